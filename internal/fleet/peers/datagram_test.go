package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

func TestReportsSurviveEncoding(t *testing.T) {
	whole := placement.Report{
		Server: "a", InFlight: 3, OpenConnections: 70_000, LatencyFactor: 1.25,
		Load: redwingstall.ServerLoad{Running: 4, Waiting: 2, Slots: 4, Slowdown: 3.5}, HasLoad: true, LoadAge: 120 * time.Millisecond,
		Attempts: 12.5, Failures: 0.5, UnansweredTime: 700 * time.Millisecond, Sources: 49, Demand: 6.25,
	}
	idle := placement.Report{Server: "b", LatencyFactor: 1}
	table := encodeReports([]placement.Report{whole, idle})
	ids := map[uint32]string{shortID("a"): "a", shortID("b"): "b"}
	whole.OpenConnections = 65_535 // the largest number of a column
	require.Equal(t, []placement.Report{whole, idle}, decodeReports(table, ids))
	delete(ids, shortID("a"))
	require.Equal(t, []placement.Report{idle}, decodeReports(table, ids), "an unknown server is left out")
	require.Equal(t, []placement.Report{}, decodeReports(table[:loadRowBytes-1], ids), "an incomplete row is left out")
}

// Guards against a sorted table in which a server is not found, and against one that is
// cut short.
func TestFindInSums(t *testing.T) {
	reports := []placement.Report{}
	for i := range 100 {
		reports = append(reports, placement.Report{Server: serverID(i), InFlight: i, LatencyFactor: 1})
	}
	table := encodeReports(sortedByShortID(reports))
	for i := range 100 {
		r, found := table.Find(serverID(i))
		require.True(t, found)
		require.Equal(t, i, r.InFlight)
	}
	_, found := table.Find(serverID(100))
	require.False(t, found)
	_, found = loadTable{1, 2, 3}.Find(serverID(1))
	require.False(t, found)
}
