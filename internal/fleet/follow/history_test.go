package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

// Guards against a history that is bounded by the number of changes only: 2,500 long values
// exceed the memory of an instance.
func TestHistoryOfLongValuesIsBounded(t *testing.T) {
	const size = 1 << 20
	h := history{}
	h.reset(redwingstall.Position{Era: 1, Revision: 10})
	for revision := redwingstall.Revision(11); revision <= 60; revision++ {
		h.add([]redwingstall.Change{{Item: redwingstall.Item{Key: "k", Revision: revision, Value: make([]byte, size)}}}, revision)
		total := 0
		for _, c := range h.changes {
			total += len(c.Value)
		}
		require.LessOrEqual(t, total, maxHistoryBytes)
		require.Equal(t, total, h.bytes)
	}
	_, isKnown := h.since(redwingstall.Position{Era: 1, Revision: 10})
	require.False(t, isKnown)
	update, isKnown := h.since(redwingstall.Position{Era: 1, Revision: 58})
	require.True(t, isKnown)
	require.Len(t, update.Changes, 2)
}
