package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against more connections than a server accepts. An instance stays within
// its share, or exceeds it while few connections are open. All instances together
// stay below the server's limit.
func TestConnectionLimitsOfAnInstance(t *testing.T) {
	for name, c := range map[string]struct{ connections, instances, peerConnections, open int }{
		"few instances":            {100, 8, 40, 15},
		"share of many":            {520, 77, 250, 36},
		"less than a connection":   {60, 81, 50, 1},
		"many instances, few open": {120, 81, 30, 36},
		"many instances, all open": {120, 81, 80, 1},
		"alone":                    {100, 0, 0, 85},
	} {
		t.Run(name, func(t *testing.T) {
			limits := connectionLimits(c.connections, c.instances, c.peerConnections)
			require.Equal(t, c.open, limits.Open)
			require.Less(t, limits.Open+c.peerConnections, c.connections)
		})
	}
	require.Less(t, connectionLimits(120, 81, 0).Idle, connectionLimits(520, 77, 0).Idle)
}
