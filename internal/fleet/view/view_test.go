package view_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

var start = time.Unix(1000, 0)

func entry(id string, startedAtMillis int64) redwingstall.EntryChanged {
	return redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: id, Service: "s", StartedAtMillis: startedAtMillis, Slots: 4}}
}

func viewOf(events ...redwingstall.Event) *view.View {
	v := view.NewView(slog.New(slog.DiscardHandler), 2*time.Second)
	v.Apply(start, events, false)
	return v
}

func TestEntriesExpiredInAnOutageAreKeptForTheGracePeriod(t *testing.T) {
	v := viewOf(entry("back", 1), entry("gone", 1))
	v.MarkStoreUnavailable(errors.New("store unavailable"))
	v.Apply(start, []redwingstall.Event{redwingstall.EntryRemoved{ID: "back"}, redwingstall.EntryRemoved{ID: "gone"}}, false)
	require.Len(t, v.Snapshot().ByID, 2)
	v.MarkStoreAvailable(start)
	v.Apply(start, nil, true)
	v.EndGracePeriods(start.Add(1900 * time.Millisecond))
	require.Len(t, v.Snapshot().ByID, 2)
	v.Apply(start, []redwingstall.Event{entry("back", 1)}, false)
	v.EndGracePeriods(start.Add(2100 * time.Millisecond))
	require.Contains(t, v.Snapshot().ByID, "back")
	require.NotContains(t, v.Snapshot().ByID, "gone")
}

func TestRemovedEntryIsDroppedAtOnceWhileTheStoreAnswers(t *testing.T) {
	v := viewOf(entry("a", 1))
	v.Apply(start, []redwingstall.Event{redwingstall.EntryRemoved{ID: "a"}}, false)
	require.Empty(t, v.Snapshot().ByID)
}

func TestDrainingServerIsNotKeptInAnOutage(t *testing.T) {
	leaving := entry("a", 1)
	leaving.Entry.Draining = true
	v := viewOf(leaving)
	v.MarkStoreUnavailable(errors.New("store unavailable"))
	v.Apply(start, []redwingstall.Event{redwingstall.EntryRemoved{ID: "a"}}, false)
	require.Empty(t, v.Snapshot().ByID)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	v := viewOf(redwingstall.ConfigurationChanged{Configuration: redwingstall.Configuration{Version: 7}})
	v.Apply(start, []redwingstall.Event{redwingstall.ConfigurationChanged{Configuration: redwingstall.Configuration{Version: 6}}}, false)
	require.EqualValues(t, 7, v.Snapshot().Config.Version)
	v.Apply(start, nil, true)
	require.EqualValues(t, 7, v.Snapshot().Config.Version)
	require.True(t, v.IsComplete())
}

func TestEntryOfAnEarlierProcessIsIgnored(t *testing.T) {
	v := viewOf(entry("a", 5))
	v.Apply(start, []redwingstall.Event{entry("a", 4)}, false)
	require.EqualValues(t, 5, v.Snapshot().ByID["a"].StartedAtMillis)
}

func TestEvacuation(t *testing.T) {
	away := redwingstall.EvacuationChanged{FailureDomain: "z", IsActive: true}
	v := viewOf(entry("a", 1), away)
	s := v.Snapshot()
	server := *s.ByID["a"]
	server.FailureDomain = "z"
	require.False(t, s.IsUsable(&server))
	v.Apply(start, []redwingstall.Event{entry("a", 1)}, true)
	require.True(t, v.Snapshot().IsUsable(&server), "a full listing without the evacuation ends it")
	select {
	case <-s.Changed:
	default:
		t.Fatal("a new snapshot must close Changed of the previous one")
	}
}

func TestWarmupCountsFromItsReport(t *testing.T) {
	cold := entry("a", 1)
	cold.Entry.WarmupLeft = time.Second
	v := viewOf(cold)
	server := v.Snapshot().ByID["a"]
	require.True(t, server.IsWarmingUp(start.Add(900*time.Millisecond)))
	require.False(t, server.IsWarmingUp(start.Add(1100*time.Millisecond)))
}

// Guards against an entry of another writer that is newer than all that the server writes.
func TestEntryOfAServerThatStartsInTheFutureIsIgnored(t *testing.T) {
	v := view.NewView(slog.New(slog.DiscardHandler), 2*time.Second)
	now := time.UnixMilli(1_700_000_000_000)
	entry := redwingstall.BackendEntry{ID: "i-1", Service: "s", Address: "10.1.0.9:80", FailureDomain: "a", Slots: 4}
	entry.StartedAtMillis = now.Add(365 * 24 * time.Hour).UnixMilli()
	v.Apply(now, []redwingstall.Event{redwingstall.EntryChanged{Entry: entry}}, false)
	require.Nil(t, v.Snapshot().ByID["i-1"])
	entry.StartedAtMillis = now.UnixMilli()
	v.Apply(now, []redwingstall.Event{redwingstall.EntryChanged{Entry: entry}}, false)
	require.NotNil(t, v.Snapshot().ByID["i-1"])
}
