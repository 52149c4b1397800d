package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/settings"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

type discardKeys struct{}

func (discardKeys) AddKeys(time.Time, string, []int) {}
func (discardKeys) TakeKeys() map[string][]int       { return nil }

// startFleet runs instances of two failure domains that know of one server. Stopped
// ones are listed as peers but do not run.
func startFleet(t *testing.T, perDomain int, stopped ...string) (map[string]*placement.Estimator, map[string]*Exchange) {
	t.Helper()
	byName := map[string]*Exchange{}
	log := slog.New(slog.DiscardHandler)
	estimators := map[string]*placement.Estimator{}
	exchanges := []*Exchange{}
	events := []redwingstall.Event{redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: "s1", Service: "s", Slots: 4, StartedAtMillis: 1}}}
	views := []*view.View{}
	for _, domain := range []string{"a", "b"} {
		for n := range perDomain {
			name := fmt.Sprintf("%s%02d", domain, n)
			v, e := view.NewView(log, 0), &placement.Estimator{}
			x, err := NewExchange(settings.Node{Name: name, IP: "127.0.0.1", FailureDomain: domain}, v, e, discardKeys{}, func(string, int64) {}, log)
			require.NoError(t, err)
			estimators[name] = e
			views = append(views, v)
			exchanges = append(exchanges, x)
			byName[name] = x
			record, err := view.PeerRecord(x.Self())
			require.NoError(t, err)
			events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	for i, x := range exchanges {
		views[i].Apply(time.Now(), events, false)
		if !slices.Contains(stopped, x.self.Name) {
			go x.Run(ctx)
		}
	}
	t.Cleanup(func() {
		cancel()
		for _, x := range exchanges {
			if !slices.Contains(stopped, x.self.Name) {
				<-x.Done()
			}
		}
	})
	return estimators, byName
}

// Guards against requests in flight that are invisible in another failure domain. With
// many instances in each of two domains, load spreads directly within a domain and
// through the reporters to the other.
func TestLoadCrossesFailureDomainsThroughReporters(t *testing.T) {
	const perDomain = fullMeshLimit + 2
	estimators, _ := startFleet(t, perDomain)
	for range 3 {
		estimators["a13"].Begin(time.Now(), "s1")
	}
	for name, e := range estimators {
		require.Eventually(t, func() bool {
			return e.Estimate(time.Now(), "r", placement.Candidate{ID: "s1", Slots: 4}).QueueLength == 3
		}, 10*time.Second, 20*time.Millisecond, name)
	}
}

func TestReportersHaveTheWidestLinksOfADomain(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	v := view.NewView(log, 0)
	for _, p := range []view.Peer{
		{Name: "weak", FailureDomain: "a", LinkMbps: 10},
		{Name: "strong", FailureDomain: "a", LinkMbps: 200},
		{Name: "middle", FailureDomain: "a", LinkMbps: 100},
		{Name: "other", FailureDomain: "b", LinkMbps: 500},
	} {
		record, err := view.PeerRecord(p)
		require.NoError(t, err)
		v.Apply(time.Now(), []redwingstall.Event{redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}}}, false)
	}
	for name, isReporter := range map[string]bool{"strong": true, "middle": true, "weak": false} {
		topology := newTopology(view.Peer{Name: name, FailureDomain: "a"}, v.Snapshot())
		require.Equal(t, isReporter, topology.isReporter, name)
		reporters := []string{}
		for _, p := range topology.reporters {
			reporters = append(reporters, p.Name)
		}
		require.Equal(t, slices.DeleteFunc([]string{"strong", "middle"}, func(n string) bool { return n == name }), reporters)
	}
}

type keyRecorder struct{ keys map[string][]int }

func (r *keyRecorder) AddKeys(_ time.Time, service string, keys []int) {
	r.keys[service] = append(r.keys[service], keys...)
}
func (*keyRecorder) TakeKeys() map[string][]int { return nil }

// Guards against keys that are counted twice, because several reporters forward one
// message, and against keys that are sent back to the failure domain they came from.
func TestKeysOfADomainAreCountedOnce(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	v := view.NewView(log, 0)
	direct, relay := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	for _, p := range []view.Peer{{Name: "b0", FailureDomain: "b", Address: direct.String()}, {Name: "a1", FailureDomain: "a", Address: relay.String()}} {
		record, err := view.PeerRecord(p)
		require.NoError(t, err)
		v.Apply(time.Now(), []redwingstall.Event{redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}}}, false)
	}
	recorder := &keyRecorder{keys: map[string][]int{}}
	e := &Exchange{self: view.Peer{Name: "a0", FailureDomain: "a"}, view: v, estimator: &placement.Estimator{}, keys: recorder, log: log}
	message := datagram{From: "b0", Domain: "b", Keys: map[string][]int{"s": {5, 6}}}
	e.handle(time.Now(), message, nil, direct)
	e.handle(time.Now(), message, nil, relay)
	require.Equal(t, []int{5, 6}, recorder.keys["s"])
	require.Empty(t, e.domainKeys.drain())
	e.handle(time.Now(), datagram{From: "a1", Keys: map[string][]int{"s": {7}}}, nil, relay)
	require.Equal(t, map[string][]int{"s": {7}}, e.domainKeys.drain())
}

// Guards against large updates that travel through reporters only although servers
// leave. Many servers change at once, some of them leave, and both reporters of
// another failure domain have failed undetected. Its instances must still learn which
// servers leave.
func TestLargeUpdatesOfServersReachEachInstance(t *testing.T) {
	const perDomain = fullMeshLimit + 2
	_, exchanges := startFleet(t, perDomain, "b00", "b01")
	entry := redwingstall.Change{Item: redwingstall.Item{Key: "servers/s1", Revision: 9, Value: []byte(strings.Repeat("x", 2*maxDirectUpdateBytes))}}
	ownerMap := entry
	ownerMap.Key = view.MapPrefix + "s"
	exchanges["a00"].Broadcast(follow.Update{After: 8, UpTo: 9, Changes: []redwingstall.Change{entry, ownerMap}})
	select {
	case update := <-exchanges["b07"].Updates():
		require.Len(t, update.Changes, 2)
	case <-time.After(5 * time.Second):
		require.Fail(t, "update not received")
	}
}
