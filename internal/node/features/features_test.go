package features

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

// Guards against a change of behavior in deployments that do not call for it.
func TestFeaturesAreUsedOnlyWhereCalledFor(t *testing.T) {
	withTimeout := func(timeout time.Duration) *redwingstall.Configuration {
		return &redwingstall.Configuration{Routes: []redwingstall.Route{{Target: time.Second, Timeout: timeout}}}
	}
	all := Set{KeyRecovery: true, EvenLoad: true}
	require.Equal(t, Set{}, Resolve(Modes{}, nil))
	require.Equal(t, Set{}, Resolve(Modes{}, withTimeout(2*time.Second)))
	require.Equal(t, all, Resolve(Modes{}, withTimeout(3*time.Second)))
	require.Equal(t, all, Resolve(Modes{IsUnderPressure: true}, nil))
	require.Equal(t, Set{EvenLoad: true}, Resolve(Modes{EvenLoad: On}, nil))
	require.Equal(t, Set{EvenLoad: true}, Resolve(Modes{KeyRecovery: Off}, withTimeout(3*time.Second)))
	require.Equal(t, Set{Admission: true}, Resolve(Modes{Admission: On}, nil))
}

// Guards against a misspelled mode that is taken for auto.
func TestUnknownModesAreRejected(t *testing.T) {
	for _, text := range []string{"", "auto", "on", "off"} {
		_, err := ParseMode(text)
		require.NoError(t, err)
	}
	_, err := ParseMode("yes")
	require.ErrorContains(t, err, `"yes" is none of auto, on and off`)
}
