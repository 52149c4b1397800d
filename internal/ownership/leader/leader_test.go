package leader_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/boottime"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/ownership/leader"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/platform"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// isolatedRelay is a relay without other instances.
type isolatedRelay struct{}

func (isolatedRelay) Broadcast(follow.Update)                  {}
func (isolatedRelay) RequestRepair(redwingstall.Position) bool { return false }
func (isolatedRelay) Updates() <-chan follow.Update            { return nil }

// fixedLoad reports no key rates, and the same capacity for every server.
type fixedLoad struct{}

func (fixedLoad) KeyRates(string) []float32     { return nil }
func (fixedLoad) Capacity(*view.Server) float64 { return 20 }

// slowOwners answers no grant after grants were blocked.
type slowOwners struct {
	redwingstall.KeyOwner
	isBlocked atomic.Bool
}

func (o *slowOwners) Grant(ctx context.Context, server, address string, grant redwingstall.KeyGrant) (redwingstall.ResponseMeta, error) {
	if o.isBlocked.Load() {
		<-ctx.Done()
		time.Sleep(30 * time.Millisecond) // the processor is busy
		return redwingstall.ResponseMeta{}, errors.Mark(ctx.Err(), redwingstall.ErrUnavailable)
	}
	return o.KeyOwner.Grant(ctx, server, address, grant)
}

// candidate is one instance that may lead.
type candidate struct {
	view   *view.View
	owners *slowOwners
	leader *leader.Leader
	stop   context.CancelFunc
}

type testBed struct {
	t      *testing.T
	store  *platformtest.Store
	http   *httptest.Server
	ledger *platformtest.Ledger
}

func newTestBed(t *testing.T) *testBed {
	b := &testBed{t: t, store: platformtest.NewStore(), ledger: platformtest.NewLedger()}
	b.http = httptest.NewServer(b.store)
	t.Cleanup(b.http.Close)
	b.store.Put(platform.ConfigurationKey, map[string]any{
		"version": "r1",
		"routes":  map[string]any{"columns": []string{}, "rows": [][]any{}},
		"services": map[string]any{
			"columns": []string{"name", "max_connections", "sharded"},
			"rows":    [][]any{{"keyed", 100, true}},
		},
	})
	return b
}

func (b *testBed) server(n int) *platformtest.Server {
	s, err := platformtest.NewServer(b.ledger, platformtest.Server{ID: fmt.Sprintf("s%d", n), StartedAtMillis: 1, Service: "keyed", FailureDomain: "a", Sharded: true, Slots: 4, Work: 1500 * time.Millisecond})
	require.NoError(b.t, err)
	b.t.Cleanup(s.Crash)
	b.store.Put(platform.ServerEntryPrefix+s.ID, s.Entry(s.Address(), "ready"))
	return s
}

func (b *testBed) candidate(name string) *candidate {
	log := slog.New(slog.NewTextHandler(b.t.Output(), nil)).With("instance", name)
	store := platform.NewStore(strings.TrimPrefix(b.http.URL, "http://"))
	c := &candidate{view: view.NewView(log, 2*time.Second), owners: &slowOwners{KeyOwner: platform.NewOwnerClient()}}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.leader = leader.NewLeader(leader.Config{
		Name: name, IsFirstStart: true, Store: store, OwnerClient: c.owners, View: c.view, Load: fixedLoad{},
		Clock: boottime.Now, MaxGrantTTL: 10 * time.Second, Log: log,
		// Leaders with and without short leases and grants succeed each other.
		Features: func() features.Set { return features.Set{KeyRecovery: name == "other"} },
		ObserveResponse: func(server shardmap.Server, meta redwingstall.ResponseMeta, _ time.Time) {
			if meta.IsLeaving {
				c.view.MarkLeaving(time.Now(), server)
			}
		},
	})
	follower := follow.NewFollower(name, store, platform.Decoder{}, c.view, isolatedRelay{}, log)
	registered := make(chan struct{})
	close(registered)
	go follower.Run(ctx, registered)
	go c.leader.Run(ctx)
	b.t.Cleanup(func() {
		cancel()
		<-c.leader.Done()
		<-follower.Done()
	})
	return c
}

// keysByOwner counts the keys of each owner. Keys that are being released or have no
// owner count under the empty name.
func keysByOwner(c *candidate) map[string]int {
	counts := map[string]int{}
	for _, r := range c.view.Snapshot().Maps["keyed"].Ranges {
		name := r.Owner.ID
		if r.State != shardmap.StateAssigned {
			name = ""
		}
		counts[name] += r.Len()
	}
	return counts
}

// Two instances campaign. The elected one must divide the keys, and move those of a
// draining server. When it resigns, the other must take over without waiting for the
// lease. No key may have two owners meanwhile.
func TestLeadershipHandoverKeepsSingleOwners(t *testing.T) {
	b := newTestBed(t)
	first := b.server(1)
	b.server(2)
	one, other := b.candidate("one"), b.candidate("other")
	const within, poll = 8 * time.Second, 20 * time.Millisecond

	require.Eventually(t, func() bool { return len(keysByOwner(one)) == 2 && keysByOwner(one)["s1"] > 0 }, within, poll)
	require.NotEqual(t, one.leader.IsLeading(), other.leader.IsLeading(), "exactly one instance leads")

	b.store.Put(platform.ServerEntryPrefix+first.ID, first.Entry(first.Address(), "draining"))
	require.Eventually(t, func() bool { return len(keysByOwner(one)) == 1 && keysByOwner(one)["s2"] > 0 }, within, poll)

	leading, waiting := one, other
	if other.leader.IsLeading() {
		leading, waiting = other, one
	}
	leading.stop()
	<-leading.leader.Done()
	b.server(3)
	resigned := time.Now()
	require.Eventually(t, func() bool { return keysByOwner(waiting)["s3"] > 0 }, within, poll)
	require.Less(t, time.Since(resigned), leader.LeaseTTL, "a new leader must not wait for the lease of one that resigned")
	require.True(t, waiting.leader.IsLeading())
	require.Empty(t, b.ledger.Violations())
}

// Guards against keys that do not move for seconds since the former leader stopped while a
// grant was in flight.
func TestLeaderResignsWhileAGrantIsInFlight(t *testing.T) {
	b := newTestBed(t)
	b.server(1)
	one := b.candidate("one")
	const within, poll = 8 * time.Second, 20 * time.Millisecond
	require.Eventually(t, func() bool { return keysByOwner(one)["s1"] > 0 }, within, poll)
	one.owners.isBlocked.Store(true)
	time.Sleep(2 * time.Second) // a renewal is in flight, until it times out
	one.stop()
	<-one.leader.Done()
	other := b.candidate("other")
	b.server(2)
	resigned := time.Now()
	require.Eventually(t, func() bool { return keysByOwner(other)["s2"] > 0 }, within, poll)
	require.Less(t, time.Since(resigned), leader.LeaseTTL)
}

// The store ends the lease of the leader record early. The leader must step down, and
// lead again under a new term, without two owners of a key.
func TestLeaderStepsDownWhenItsRecordIsLost(t *testing.T) {
	b := newTestBed(t)
	b.server(1)
	b.server(2)
	one := b.candidate("one")
	const within, poll = 10 * time.Second, 5 * time.Millisecond
	require.Eventually(t, func() bool { return keysByOwner(one)["s1"] > 0 }, within, poll)
	term := one.view.Snapshot().Maps["keyed"].Term
	require.True(t, b.store.EndLeaseOf(view.LeaderKey(b.store.Era())))
	require.Eventually(t, func() bool { return one.view.Snapshot().Maps["keyed"].Term > term }, within, poll, "leads again under a new term")
	require.Empty(t, b.ledger.Violations())
}

// Guards against owners that are assigned from an older copy of the owner map.
func TestRecoveryOfTheStoreFromAnOlderCopyKeepsSingleOwners(t *testing.T) {
	b := newTestBed(t)
	first := b.server(1)
	for n := 2; n <= 4; n++ {
		b.server(n)
	}
	one := b.candidate("one")
	other := b.candidate("other")
	const within, poll = 20 * time.Second, 20 * time.Millisecond
	require.Eventually(t, func() bool { return keysByOwner(one)["s1"] > 0 }, within, poll)
	copied := b.store.Backup()

	// The copy lacks what follows: keys of s1 are granted to the other servers.
	b.store.Put(platform.ServerEntryPrefix+first.ID, first.Entry(first.Address(), "draining"))
	require.Eventually(t, func() bool { return keysByOwner(one)["s1"] == 0 && keysByOwner(one)[""] == 0 }, within, poll)
	time.Sleep(200 * time.Millisecond) // the grants arrive
	b.store.Restore(copied)()

	require.Eventually(t, func() bool { return one.leader.IsLeading() || other.leader.IsLeading() }, within, poll)
	b.server(5)
	require.Eventually(t, func() bool { return keysByOwner(one)["s5"] > 0 || len(b.ledger.Violations()) > 0 }, within, poll, "keys move again")
	time.Sleep(200 * time.Millisecond)
	require.Empty(t, b.ledger.Violations())
	require.Zero(t, keysByOwner(one)["s1"])
}

// Guards against an owner that keeps its keys although it announces, in its responses to
// orders only, that it leaves.
func TestKeysLeaveAnOwnerThatAnnouncesToLeave(t *testing.T) {
	b := newTestBed(t)
	first := b.server(1)
	b.server(2)
	one := b.candidate("one")
	const within, poll = 8 * time.Second, 20 * time.Millisecond
	require.Eventually(t, func() bool { return keysByOwner(one)["s1"] > 0 && keysByOwner(one)["s2"] > 0 }, within, poll)
	first.AnnounceLeaving()
	require.Eventually(t, func() bool { return keysByOwner(one)["s2"] == redwingstall.KeyCount }, within, poll)
	require.Empty(t, b.ledger.Violations())
}

// Guards against review/2 and review/4: keys are granted to another server while their owner
// works on them, since the answer to another release, or one without end, counted as that to
// its release.
func TestKeysOfAnOwnerAtWorkStayWithItWhateverItsAnswersLookLike(t *testing.T) {
	for name, kind := range map[string]platformtest.Disorder{
		"lateCopies": platformtest.LateCopies, "endlessBodies": platformtest.EndlessBodies, "endlessHeads": platformtest.EndlessHeads,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			first, second := b.server(1), b.server(2)
			one := b.candidate("one")
			const within, poll = 20 * time.Second, 20 * time.Millisecond
			list := func(s *platformtest.Server, state string) {
				b.store.Put(platform.ServerEntryPrefix+s.ID, s.Entry(s.Address(), state))
			}
			ownsAll := func(id string) func() bool {
				return func() bool { return keysByOwner(one)[id] == redwingstall.KeyCount }
			}
			require.Eventually(t, func() bool { return len(keysByOwner(one)) == 2 }, within, poll)
			if kind == platformtest.LateCopies {
				first.DisturbOrders(kind)
			}
			list(first, "draining")
			require.Eventually(t, ownsAll("s2"), within, poll)
			list(first, "ready")
			list(second, "draining")
			require.Eventually(t, ownsAll("s1"), within, poll)
			time.Sleep(200 * time.Millisecond) // the grants arrive
			first.DisturbOrders(kind)

			working := make(chan int, 1)
			go func() { working <- ask(first.Address(), "r-1", 5) }()
			require.Eventually(t, func() bool { return b.ledger.RunCount("r-1") == 1 }, within, time.Millisecond)
			list(second, "ready")
			list(first, "draining")
			require.Eventually(t, ownsAll("s2"), within, poll)
			require.Equal(t, http.StatusOK, <-working)
			require.Empty(t, b.ledger.Violations())
		})
	}
}

// ask sends a request for a key to a server, and returns the status of the response.
func ask(address, id string, key int) int {
	request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	platformtest.SetRequest(request.Header, id, time.Minute, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
