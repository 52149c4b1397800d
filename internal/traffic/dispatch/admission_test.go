package dispatch_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/budget"
)

// Guards against requests to a server that other instances are about to fill, which its queue
// does not show yet, and against a change of decisions where the feature is not in use.
func TestDemandOfOtherInstancesBoundsAdmission(t *testing.T) {
	const requests = 200
	for name, c := range map[string]struct {
		path           string
		isOn           bool
		queue          int
		demand         float64
		minOK, maxOK   int
		unreportedTime time.Duration
	}{
		"owner with much demand":             {"/keyed/x", true, 6, 40, 10, 60, 0},
		"owner with little demand":           {"/keyed/x", true, 6, 2, requests, requests, 0},
		"owner with a free slot":             {"/keyed/x", true, 0, 40, 20, 100, 0},
		"owner without the feature":          {"/keyed/x", false, 6, 40, requests, requests, 0},
		"pool with much demand":              {"/safe/x", true, 6, 40, 10, 60, 0},
		"pool with a free slot":              {"/safe/x", true, 3, 40, requests, requests, 0},
		"pool without the feature":           {"/safe/x", false, 6, 40, requests, requests, 0},
		"owner whose reports are not in use": {"/keyed/x", true, 6, 40, requests, requests, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
				w.dispatcher.Features = func() features.Set { return features.Set{Admission: c.isOn} }
				ok := 0
				for range requests {
					reports := []placement.Report{}
					for _, id := range []string{"s1", "s2", "s3", "k1", "k2"} {
						reports = append(reports, placement.Report{Server: id, InFlight: c.queue, LatencyFactor: 1, Demand: c.demand})
					}
					w.dispatcher.Estimator.MergeReports(time.Now(), "peer", reports)
					time.Sleep(c.unreportedTime + time.Second)
					answer := w.get(t.Context(), c.path, "Shard-Key", "5")
					if answer.Status == 200 {
						ok++
						continue
					}
					require.Equal(t, 503, answer.Status)
					seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
					require.NoError(t, err)
					require.Positive(t, seconds)
				}
				require.Len(t, w.backends.sent, ok)
				require.GreaterOrEqual(t, ok, c.minOK)
				require.LessOrEqual(t, ok, c.maxOK)
			})
		})
	}
}

// Guards against an account's priority that admission does not follow. Each account's requests want
// the whole server.
func TestAdmissionFollowsThePriorityOfTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAccountFixture(accounts.Policy{})
		f.dispatcher.Features = func() features.Set { return features.Set{Admission: true} }
		ok := map[string]int{}
		for n := range 400 {
			f.dispatcher.Estimator.MergeReports(time.Now(), "peer", []placement.Report{{Server: "k1", InFlight: 8, LatencyFactor: 1, Demand: 8}})
			f.view.Confirm(f.clock())
			account := []string{"oak", "elm"}[n%2]
			if f.get(t.Context(), "/keyed/x", "Shard-Key", strconv.Itoa(n%1000), "Authorization", "Bearer "+account+"-key").Status == 200 {
				ok[account]++
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Greater(t, ok["oak"], 150, "of 200, priority 0")
		require.Less(t, ok["elm"], 50, "priority 3")
	})
}

// Guards against a request that counts as demand at each server that it is sent to: the servers
// would seem to be wanted twice as much whenever they shed requests.
func TestRequestOfTwoAttemptsIsOneDemand(t *testing.T) {
	demandAfter := func(sheds int) (demand float64) {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
				if n <= sheds {
					return shed, nil
				}
				return signed(200), nil
			})
			w.dispatcher.Features = func() features.Set { return features.Set{Admission: true} }
			require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
			require.Len(t, w.backends.sent, sheds+1)
			if sheds > 0 {
				require.NotEqual(t, w.backends.sent[0], w.backends.sent[1])
			}
			for _, r := range w.dispatcher.Estimator.Reports(time.Now()) {
				demand += r.Demand
			}
		})
		return demand
	}
	one := demandAfter(0)
	require.Positive(t, one)
	require.InDelta(t, one, demandAfter(1), 0.01*one)
}

// Guards against a request that this instance counts at each server that it is sent to. Without
// recent reports, each of 1,000 instances takes its requests for a thousandth of the demand: one that
// only went to a server since another one shed it must not keep the next one away.
func TestRequestOfTwoAttemptsIsCountedAtItsFirstServer(t *testing.T) {
	const instances = 1000
	for n := range 10 {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
				if n == 1 {
					return shed, nil
				}
				return signed(200), nil
			})
			w.dispatcher.Features = func() features.Set { return features.Set{Admission: true} }
			w.dispatcher.Budget = budget.NewBudget(0.2, 56*instances, 10*time.Second)
			w.dispatcher.Random = rand.New(rand.NewPCG(uint64(n), 1)).Float64
			peers := []redwingstall.Event{}
			for i := range instances {
				record, err := view.PeerRecord(view.Peer{Name: "p" + strconv.Itoa(i)})
				require.NoError(t, err)
				peers = append(peers, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
			}
			w.view.Apply(time.Now(), peers, false)
			reports := []placement.Report{}
			for _, id := range []string{"s1", "s2", "s3"} {
				reports = append(reports, placement.Report{Server: id, InFlight: 6, LatencyFactor: 1})
			}
			w.dispatcher.Estimator.MergeReports(time.Now(), "p0", reports)
			time.Sleep(time.Second)
			require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
			require.Len(t, w.backends.sent, 2)
			events := []redwingstall.Event{}
			for _, id := range []string{"s1", "s2", "s3"} {
				events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: id, Service: "s", Slots: 4, StartedAtMillis: 1, Draining: id != w.backends.sent[1]}})
			}
			w.view.Apply(time.Now(), events, false)
			require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
		})
	}
}
