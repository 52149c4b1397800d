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
