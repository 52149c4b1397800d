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

type noKeys struct{}

func (noKeys) AddKeys(time.Time, string, []int) {}
func (noKeys) TakeKeys() map[string][]int       { return nil }

// fleet runs instances of two failure domains that know of one server. Lost ones
// are listed and do not run.
func fleet(t *testing.T, perDomain int, lost ...string) (map[string]*placement.Estimator, map[string]*Exchange) {
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
			x, err := NewExchange(settings.Node{Name: name, IP: "127.0.0.1", FailureDomain: domain}, v, e, noKeys{}, func(string, int64) {}, log)
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
		if !slices.Contains(lost, x.self.Name) {
			go x.Run(ctx)
		}
	}
	t.Cleanup(func() {
		cancel()
		for _, x := range exchanges {
			if !slices.Contains(lost, x.self.Name) {
				<-x.Done()
			}
		}
	})
	return estimators, byName
}

// Load: many instances in two failure domains. What one has in flight is known in
// its own domain by itself and in the other one through the reporters.
func TestLoadCrossesFailureDomainsThroughReporters(t *testing.T) {
	const perDomain = farFrom + 2
	estimators, _ := fleet(t, perDomain)
	for range 3 {
		estimators["a13"].Begin(time.Now(), "s1")
	}
	for name, e := range estimators {
		require.Eventually(t, func() bool {
			return e.Estimate(time.Now(), "r", placement.Candidate{ID: "s1", Slots: 4}).QueueLength == 3
		}, 10*time.Second, 20*time.Millisecond, name)
	}
}

func TestReportersAreTheStrongestOfADomain(t *testing.T) {
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
	for name, want := range map[string]int{"strong": 0, "middle": 1, "weak": -1} {
		e := &Exchange{self: view.Peer{Name: name, FailureDomain: "a"}, view: v}
		rank, isReporter := e.reporterRank(e.self)
		require.Equal(t, want >= 0, isReporter, name)
		if isReporter {
			require.Equal(t, want, rank, name)
		}
	}
}

type keyRecorder struct{ keys map[string][]int }

func (r *keyRecorder) AddKeys(_ time.Time, service string, keys []int) {
	r.keys[service] = append(r.keys[service], keys...)
}
func (*keyRecorder) TakeKeys() map[string][]int { return nil }

// Keys are counted once, however many reporters pass a message on, and those of
// another failure domain are not told back to it.
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
	e.take(time.Now(), message, nil, direct)
	e.take(time.Now(), message, nil, relay)
	require.Equal(t, []int{5, 6}, recorder.keys["s"])
	require.Empty(t, e.domainKeys.take())
	e.take(time.Now(), datagram{From: "a1", Keys: map[string][]int{"s": {7}}}, nil, relay)
	require.Equal(t, map[string][]int{"s": {7}}, e.domainKeys.take())
}

// Load: many servers change at one moment, some of them leave, and both reporters
// of another failure domain are lost without being missed yet. Its instances must
// hear of the servers that leave all the same.
func TestLargeNewsOfServersReachEachInstance(t *testing.T) {
	const perDomain = farFrom + 2
	_, exchanges := fleet(t, perDomain, "b00", "b01")
	entry := redwingstall.Change{Item: redwingstall.Item{Key: "servers/s1", Revision: 9, Value: []byte(strings.Repeat("x", 2*directNewsBytes))}}
	ownerMap := entry
	ownerMap.Key = view.MapPrefix + "s"
	exchanges["a00"].Tell(follow.News{After: 8, At: 9, Changes: []redwingstall.Change{entry, ownerMap}})
	select {
	case news := <-exchanges["b07"].News():
		require.Len(t, news.Changes, 2)
	case <-time.After(5 * time.Second):
		require.Fail(t, "news not heard")
	}
}
