package eviction_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
)

var epoch = time.Unix(1000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

// fill adds connections named c0, c1 and so on, one a second, and returns them with the names of
// those that are cut.
func fill(t *testing.T, table *eviction.Table, number int) (entries []*eviction.Entry, cut *[]string) {
	t.Helper()
	cut = &[]string{}
	for n := range number {
		name := fmt.Sprint("c", n)
		entries = append(entries, table.Add(at(n), name, func() { *cut = append(*cut, name) }))
		require.NotNil(t, entries[n])
	}
	return entries, cut
}

// Guards against connections without a bound. The one whose client has made no progress for
// longest is closed for a new one, not one whose request runs.
func TestLongestWithoutProgressIsEvicted(t *testing.T) {
	table := eviction.NewTable(3)
	entries, cut := fill(t, table, 3)
	entries[0].SetWaiting(at(4), false)
	entries[1].Progress(at(5))
	require.NotNil(t, table.Add(at(6), "new", func() {}))
	require.Equal(t, []string{"c2"}, *cut)
	open, waiting, evicted := table.Counts()
	require.Equal(t, 3, open)
	require.Equal(t, 2, waiting)
	require.EqualValues(t, 1, evicted)
}

// Guards against a request that is cut while it runs, for a connection that has sent none.
func TestConnectionIsRefusedIfAllRequestsRun(t *testing.T) {
	table := eviction.NewTable(2)
	entries, cut := fill(t, table, 2)
	entries[0].SetWaiting(at(3), false)
	entries[1].SetWaiting(at(3), false)
	require.Nil(t, table.Add(at(4), "new", func() {}))
	require.Empty(t, *cut)
	entries[0].SetWaiting(at(5), true)
	require.NotNil(t, table.Add(at(6), "new", func() {}))
	require.Equal(t, []string{"c0"}, *cut)
}

// Guards against a response that is cut a moment after its start for a connection that has sent
// nothing. An idle connection is closed at once.
func TestConnectionHasTimeToProgress(t *testing.T) {
	for name, isWithin := range map[string]bool{"within": true, "idle": false} {
		t.Run(name, func(t *testing.T) {
			table := eviction.NewTable(1)
			entries, cut := fill(t, table, 1)
			entries[0].SetWaiting(at(1), false)
			entries[0].SetWithin(isWithin)
			entries[0].SetWaiting(at(2), true)
			require.Equal(t, isWithin, table.Add(at(2).Add(99*time.Millisecond), "new", func() {}) == nil)
			if isWithin {
				require.Empty(t, *cut)
				require.NotNil(t, table.Add(at(2).Add(100*time.Millisecond), "new", func() {}))
			}
			require.Equal(t, []string{"c0"}, *cut)
		})
	}
}

// Guards against memory that a few clients hold without progress: the one that holds the most is
// cut, unless its client makes progress or its request runs.
func TestLargestWithoutProgressIsEvicted(t *testing.T) {
	table := eviction.NewTable(10)
	entries, cut := fill(t, table, 5)
	for n, bytes := range []int64{10, 30, 20, 50, 40} {
		entries[n].Hold(bytes)
	}
	entries[3].SetWaiting(at(5), false)
	entries[4].Progress(at(9))
	require.True(t, table.EvictLargest(at(10), 2*time.Second))
	require.Equal(t, []string{"c1"}, *cut)
	entries[1].Hold(-30)
	entries[1].Remove()
	later := at(10).Add(100 * time.Millisecond)
	require.True(t, table.EvictLargest(later, 2*time.Second))
	require.Equal(t, []string{"c1", "c2"}, *cut)
	entries[0].Hold(-10)
	require.False(t, table.EvictLargest(later.Add(100*time.Millisecond), 2*time.Second), "nobody else holds anything and is stalled")
	require.Equal(t, eviction.Holder{Client: "c3", Bytes: 50}, table.Largest(at(10)))
	entries[3].SetWaiting(at(10), true)
	require.Equal(t, 2*time.Second, table.Largest(at(12)).Stalled)
}

// Guards against many connections that are closed for memory that the first one frees.
func TestEvictionsForMemoryAreLimited(t *testing.T) {
	table := eviction.NewTable(10)
	entries, cut := fill(t, table, 3)
	for _, e := range entries {
		e.Hold(1)
	}
	for n := range 20 { // in 190 ms
		table.EvictLargest(at(10).Add(time.Duration(n)*10*time.Millisecond), 2*time.Second)
	}
	require.Len(t, *cut, 2)
}

// A connection that has ended, or was cut, changes nothing any more.
func TestEndedConnectionsAreForgotten(t *testing.T) {
	table := eviction.NewTable(1)
	entries, cut := fill(t, table, 2)
	require.Equal(t, []string{"c0"}, *cut)
	entries[0].SetWaiting(at(3), false)
	entries[0].SetWaiting(at(3), true)
	entries[0].Progress(at(3))
	entries[0].Remove()
	entries[1].Remove()
	entries[1].Remove()
	open, waiting, _ := table.Counts()
	require.Zero(t, open)
	require.Zero(t, waiting)
	require.Zero(t, table.Largest(at(4)))
}
