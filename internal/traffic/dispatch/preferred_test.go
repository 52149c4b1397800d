package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/routing/affinity"
)

// sampledInstances is a number of instances with which servers are sampled.
const sampledInstances = 13

// listPeers lists this instance and others in its failure domain. It returns their names.
func (f *fixture) listPeers(t *testing.T) []string {
	t.Helper()
	names := []string{"a"}
	for i := range sampledInstances - 1 {
		names = append(names, fmt.Sprintf("b%02d", i))
	}
	for _, name := range names {
		record, err := view.PeerRecord(view.Peer{Name: name})
		require.NoError(t, err)
		f.view.Apply(time.Now(), []redwingstall.Event{redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}}}, false)
	}
	return names
}

// Guards against a request that evaluates hundreds of preferred servers, and against requests that
// all evaluate the same few.
func TestFewPreferredServersAreEvaluatedForEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, servers = 200, 400
		// Six of the sample, and six preferred ones.
		const maxEvaluations = 12
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
		w.dispatcher.Features = func() features.Set { return features.Set{EvenLoad: true} }
		w.listPeers(t)
		events := []redwingstall.Event{}
		for i := range servers {
			events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: fmt.Sprint("s", i+1), Service: "s", Slots: 4, StartedAtMillis: 1}})
		}
		w.view.Apply(time.Now(), events, false)
		used := map[string]bool{}
		for range requests {
			before := w.backends.assessed
			require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
			require.LessOrEqual(t, w.backends.assessed-before, maxEvaluations)
		}
		for _, id := range w.backends.sent {
			used[id] = true
		}
		require.Greater(t, len(used), 50)
	})
}

// Guards against preferred slots that are not used with even load, or are used without it. Two equal
// servers have one slot each, one of which is preferred by this instance.
func TestPreferredSlotsAreUsedWithEvenLoadOnly(t *testing.T) {
	const requests = 60
	for _, isOn := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
			w.dispatcher.Features = func() features.Set { return features.Set{EvenLoad: isOn} }
			names := w.listPeers(t)
			events := []redwingstall.Event{}
			for _, id := range []string{"s1", "s2", "s3"} {
				entry := redwingstall.BackendEntry{ID: id, Service: "s", Slots: 1, StartedAtMillis: 1, Draining: id == "s3"}
				events = append(events, redwingstall.EntryChanged{Entry: entry})
			}
			w.view.Apply(time.Now(), events, false)
			slots := affinity.Divide("a", names, []affinity.Server{{ID: "s1", Slots: 1}, {ID: "s2", Slots: 1}})
			require.Len(t, slots, 1)
			preferred := 0
			for range requests {
				require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
			}
			require.Len(t, w.backends.sent, requests)
			for _, id := range w.backends.sent {
				preferred += slots[id]
			}
			if isOn {
				require.Equal(t, requests, preferred)
				return
			}
			require.Greater(t, preferred, requests/6)
			require.Less(t, preferred, requests*5/6)
		})
	}
}

// Guards against a second attempt at the preferred server that refused the first one, and against
// further requests to it while it wants none.
func TestPreferredServerThatRefusesIsLeftOut(t *testing.T) {
	const requests = 200
	for _, wantsNone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(nil)
			names := w.listPeers(t)
			events, servers := []redwingstall.Event{}, []affinity.Server{}
			for _, id := range []string{"s1", "s2", "s3"} {
				events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: id, Service: "s", Slots: 1, StartedAtMillis: 1}})
				servers = append(servers, affinity.Server{ID: id, Slots: 1})
			}
			w.view.Apply(time.Now(), events, false)
			w.dispatcher.Features = func() features.Set { return features.Set{EvenLoad: true} }
			slots := affinity.Divide("a", names, servers)
			require.Len(t, slots, 1)
			isRefusing, refusals := false, 0
			w.backends.script = func(_ int, id string, _ backends.Request) (backends.Response, error) {
				switch {
				case slots[id] == 0 || !isRefusing:
					return signed(200), nil
				case wantsNone:
					refusals++
					return overloaded("5", true), nil
				}
				refusals++
				return backends.Response{}, reset
			}
			for n := range requests {
				// Rarely, so that its failures are no reason to leave the server out.
				isRefusing = n%20 == 19
				before := refusals
				require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
				require.LessOrEqual(t, refusals-before, 1)
				time.Sleep(50 * time.Millisecond)
			}
			if wantsNone {
				require.LessOrEqual(t, refusals, 1+int(requests*50*time.Millisecond/(5*time.Second)))
			}
			require.Positive(t, refusals)
		})
	}
}
