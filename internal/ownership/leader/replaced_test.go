package leader

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// namedAnswers answers health checks by address.
type namedAnswers struct {
	redwingstall.KeyOwner
	ids map[string]string
}

func (n namedAnswers) Identify(_ context.Context, address, _ string) (string, error) {
	if id := n.ids[address]; id != "" {
		return id, nil
	}
	return "", redwingstall.ErrUnavailable
}

// Guards against keys that move while their owner lives, by evidence that something else
// than the owner's end gives too.
func TestOwnerIsReplacedOnlyByAListedSuccessorThatNamesItself(t *testing.T) {
	const address = "10.0.0.1:80"
	release := assign.Command{Kind: assign.CommandRelease, Address: address, Owner: shardmap.Server{ID: "former", StartedAtMillis: 5}}
	entry := func(id, address string, started int64) redwingstall.Event {
		return redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: id, Service: "s", Address: address, Slots: 1, StartedAtMillis: started, Sequence: 1}}
	}
	isReplaced := func(answer string, entries ...redwingstall.Event) bool {
		v := view.NewView(slog.New(slog.DiscardHandler), 0)
		config := redwingstall.ConfigurationChanged{Configuration: redwingstall.Configuration{Version: 1}}
		v.Apply(time.Now(), append(entries, config), false)
		l := NewLeader(Config{View: v, OwnerClient: namedAnswers{ids: map[string]string{address: answer}}, Log: slog.New(slog.DiscardHandler)})
		return l.isReplaced(context.Background(), release)
	}
	successor := entry("next", address, 9)
	require.True(t, isReplaced("next", successor))
	require.True(t, isReplaced("next", successor, entry("former", "10.0.0.7:80", 10)), "the owner started again elsewhere")
	require.False(t, isReplaced("next"), "no entry of the process that answers")
	require.False(t, isReplaced("", successor), "nobody names itself")
	require.False(t, isReplaced("third", successor), "another process names itself")
	require.False(t, isReplaced("next", entry("next", "10.0.0.2:80", 9)), "its entry names another address")
	require.False(t, isReplaced("next", entry("next", address, 4)), "it started before the owner")
	require.False(t, isReplaced("next", successor, entry("former", address, 5)), "the owner is still listed")
	require.False(t, isReplaced("former", entry("former", address, 9)), "the owner's next process answers the release itself")
}
