package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Guards against a server that announced in a response that it leaves, and that is used again
// since its entry does not say so.
func TestServerThatAnnouncedToLeaveStaysUnusable(t *testing.T) {
	v := loaded(written("a", 1, false))
	process := v.Snapshot().ByID["a"].Process()
	require.True(t, v.MarkLeaving(start.Add(time.Second), process))
	require.False(t, v.MarkLeaving(start.Add(2*time.Second), process))
	isUsable := func() bool { s := v.Snapshot(); return s.IsUsable(s.ByID["a"]) }
	require.False(t, isUsable())
	apply(v, 3*time.Second, written("a", 2, false))
	require.False(t, isUsable(), "heartbeat")
	apply(v, 3*time.Second, redwingstall.EntryRemoved{ID: "a"}, written("a", 3, false))
	require.False(t, isUsable(), "removed and listed again")
	v.MergeLeaving(start.Add(4*time.Minute), view.Leaving{Server: shardmap.Server{ID: "b"}, Since: start.Add(4 * time.Minute)})
	load(v, 4*time.Minute, 1, written("a", 4, false))
	require.False(t, isUsable(), "listed all the time")
	apply(v, 5*time.Minute, written("a", 5, true))
	require.False(t, isUsable(), "drains")
	require.Equal(t, start.Add(time.Second), v.Snapshot().ByID["a"].DrainingSince)
}

// Guards against a server that is lost for good after its operator has withdrawn a drain, or
// after a restart under its id.
func TestAnnouncementToLeaveEnds(t *testing.T) {
	for name, events := range map[string][]redwingstall.Event{
		"drain withdrawn": {written("a", 2, true), written("a", 3, false)},
		"restarted":       {redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: "a", Service: "s", StartedAtMillis: start.UnixMilli(), Sequence: 1}}},
	} {
		v := loaded(written("a", 1, false))
		v.MarkLeaving(start, v.Snapshot().ByID["a"].Process())
		for _, e := range events {
			apply(v, time.Second, e)
		}
		s := v.Snapshot()
		require.True(t, s.IsUsable(s.ByID["a"]), name)
	}
}

// Guards against an announcement of an earlier process that binds the next one.
func TestAnnouncementOfAnEarlierProcessIsIgnored(t *testing.T) {
	v := loaded(written("a", 1, false))
	process := v.Snapshot().ByID["a"].Process()
	v.MergeLeaving(start, view.Leaving{Server: shardmap.Server{ID: "a", StartedAtMillis: process.StartedAtMillis - 1}, Since: start})
	s := v.Snapshot()
	require.True(t, s.IsUsable(s.ByID["a"]))
	require.Empty(t, v.AllLeaving())
}
