package follow

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

// fakeStore holds a history of changes. Calls of disconnected instances block until
// they time out.
type fakeStore struct {
	redwingstall.MetadataStore
	mu           sync.Mutex
	era          redwingstall.Era
	history      []redwingstall.Change
	compacted    redwingstall.Revision
	calls        int
	disconnected map[string]bool
	appended     chan struct{}
	// maxChanges is how many changes a watch returns in time. Zero means all.
	maxChanges int
}

func newFakeStore() *fakeStore {
	return &fakeStore{disconnected: map[string]bool{}, appended: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := redwingstall.Revision(len(s.history) + 1)
	s.history = append(s.history, redwingstall.Change{Item: redwingstall.Item{Key: key, Value: []byte(value), Revision: revision}, Deleted: value == ""})
	close(s.appended)
	s.appended = make(chan struct{})
}

// restore recovers the store from a copy of an earlier revision, in a new era.
func (s *fakeStore) restore(revision redwingstall.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.history = slices.Clone(s.history[:revision])
	close(s.appended)
	s.appended = make(chan struct{})
}

// connect returns the store as the named instance reaches it.
func (s *fakeStore) connect(name string) *storeClient { return &storeClient{fakeStore: s, name: name} }

type storeClient struct {
	*fakeStore
	name string
}

func (r *storeClient) isDisconnected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.disconnected[r.name]
}

var errDisconnected = errors.Mark(errors.New("partitioned from the store"), redwingstall.ErrUnavailable)

func (r *storeClient) Range(context.Context, string) ([]redwingstall.Item, redwingstall.Position, error) {
	if r.isDisconnected() {
		time.Sleep(900 * time.Millisecond)
		return nil, redwingstall.Position{}, errDisconnected
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	items := map[string]redwingstall.Item{}
	for _, c := range r.history {
		if delete(items, c.Key); !c.Deleted {
			items[c.Key] = c.Item
		}
	}
	list := []redwingstall.Item{}
	for _, i := range items {
		list = append(list, i)
	}
	return list, redwingstall.Position{Era: r.era, Revision: redwingstall.Revision(len(r.history))}, nil
}

// isTooMuch reports whether the changes since a position are too many for a response in time.
func (r *storeClient) isTooMuch(after redwingstall.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxChanges > 0 && len(r.history)-int(after.Revision) > r.maxChanges
}

func (r *storeClient) Watch(ctx context.Context, _ string, after redwingstall.Position, wait time.Duration) ([]redwingstall.Change, redwingstall.Position, error) {
	if r.isDisconnected() {
		time.Sleep(wait + 700*time.Millisecond)
		return nil, after, errDisconnected
	}
	if r.isTooMuch(after) {
		time.Sleep(wait + 700*time.Millisecond)
		return nil, after, errors.Mark(errors.Wrap(context.DeadlineExceeded, "store"), redwingstall.ErrUnavailable)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		isCompacted := after.Revision < r.compacted
		hasEraChanged := after.Era != r.era
		changes := slices.Clone(r.history[min(int(after.Revision), len(r.history)):])
		appended := r.appended
		r.mu.Unlock()
		switch {
		case hasEraChanged:
			return nil, after, errors.Mark(errors.New("store recovered"), redwingstall.ErrEraChanged)
		case isCompacted:
			return nil, after, errors.Mark(errors.New("history compacted"), redwingstall.ErrCompacted)
		case len(changes) > 0:
			return changes, redwingstall.Position{Era: after.Era, Revision: changes[len(changes)-1].Revision}, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, after, errDisconnected
		}
	}
}

// testDecoder passes the router's own records through. It decodes backend servers by id,
// with the length of the value as their sequence, evacuations, and the version of the
// configuration.
type testDecoder struct{}

func (testDecoder) Decode(c redwingstall.Change) (redwingstall.Event, error) {
	if domain, isEvacuation := cutPrefix(c.Key, "op/evacuate/"); isEvacuation {
		return redwingstall.EvacuationChanged{FailureDomain: domain, IsActive: !c.Deleted}, nil
	}
	if c.Key == "op/config" {
		version, err := strconv.ParseInt(string(c.Value), 10, 64)
		configuration := redwingstall.Configuration{Version: version}
		if version >= firstAccountVersion {
			configuration.Accounts = []redwingstall.ClientAccount{{Name: "oak", Keys: []string{"k"}}}
		}
		return redwingstall.ConfigurationChanged{Configuration: configuration}, err
	}
	if id, isEntry := cutPrefix(c.Key, "servers/"); isEntry {
		if c.Deleted {
			return redwingstall.EntryRemoved{ID: id}, nil
		}
		return redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: id, Service: "s", Draining: string(c.Value) == "draining", Sequence: int64(len(c.Value))}}, nil
	}
	return redwingstall.RecordChanged{Change: c}, nil
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) < len(prefix) || s[:len(prefix)] != prefix {
		return s, false
	}
	return s[len(prefix):], true
}

// fakeNetwork carries updates between instances. When lossy, it delivers only every
// third message.
type fakeNetwork struct {
	mu      sync.Mutex
	queues  map[string]chan Update
	isLossy bool
	sent    int
	// followers answer requests for repairs, in turn, if hasRepairs is set.
	followers  []*Follower
	hasRepairs bool
	repairs    int
}

func (h *fakeNetwork) relay(name string) *fakeRelay {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queues[name] = make(chan Update, 64)
	return &fakeRelay{h, name}
}

type fakeRelay struct {
	*fakeNetwork
	name string
}

func (b *fakeRelay) Updates() <-chan Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queues[b.name]
}

func (b *fakeRelay) Broadcast(update Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, c := range b.queues {
		b.sent++
		if name == b.name || b.isLossy && b.sent%3 != 0 {
			continue
		}
		select {
		case c <- update:
		default:
		}
	}
}

func (b *fakeRelay) RequestRepair(after redwingstall.Position) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRepairs {
		return false
	}
	b.repairs++
	update, found := b.followers[b.repairs%len(b.followers)].ChangesSince(after)
	if found {
		b.queues[b.name] <- update
	}
	return true
}

// alreadyRegistered returns the channel of an instance whose record is written.
func alreadyRegistered() <-chan struct{} {
	registered := make(chan struct{})
	close(registered)
	return registered
}

type fleet struct {
	store   *fakeStore
	network *fakeNetwork
	views   map[string]*view.View
	began   time.Time
}

// clock is the clock of package boottime in fake time.
func (f *fleet) clock() time.Duration { return time.Hour + time.Since(f.began) }

// startFleet runs six instances in three failure domains.
func startFleet(ctx context.Context) *fleet {
	f := &fleet{store: newFakeStore(), network: &fakeNetwork{queues: map[string]chan Update{}}, views: map[string]*view.View{}, began: time.Now()}
	names := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	for _, name := range names {
		record, _ := view.PeerRecord(view.Peer{Name: name, Address: "10.0.0.1:1", FailureDomain: name[:1]})
		f.store.put(record.Key, string(record.Value))
	}
	log := slog.New(slog.DiscardHandler)
	for _, name := range names {
		v := view.NewView(log, 2*time.Second)
		f.views[name] = v
		follower := NewFollower(name, f.store.connect(name), testDecoder{}, v, f.network.relay(name), log)
		follower.clock = f.clock
		f.network.followers = append(f.network.followers, follower)
		go follower.Run(ctx, alreadyRegistered())
	}
	time.Sleep(3 * time.Second)
	return f
}

// countKnowing returns the number of instances whose view contains a server.
func (f *fleet) countKnowing(id string) int {
	n := 0
	for _, v := range f.views {
		if v.Snapshot().ByID[id] != nil {
			n++
		}
	}
	return n
}

func runFleet(t *testing.T, script func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		script(startFleet(ctx))
		cancel()
		time.Sleep(5 * time.Second)
	})
}

func TestFewInstancesWatchAndAllReceiveChanges(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.mu.Lock()
		f.store.calls = 0
		f.store.mu.Unlock()
		for i := range 10 {
			f.store.put("servers/x"+string(rune('0'+i)), "ready")
			time.Sleep(300 * time.Millisecond)
		}
		require.Equal(t, 6, f.countKnowing("x9"))
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		require.Less(t, f.store.calls, 40, "six instances would have made twice as many calls")
	})
}

// Guards against an instance that asks for the changes since one position again and again,
// which are more than the store returns in time. Found by the soak, beside long entries of
// another writer.
func TestTooManyLostUpdatesAreFollowedByALoad(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.network.mu.Lock()
		f.network.isLossy = true
		f.network.mu.Unlock()
		f.store.mu.Lock()
		f.store.maxChanges = 5
		f.store.disconnected["c1"], f.store.disconnected["c2"] = true, true
		f.store.mu.Unlock()
		for n := range 60 {
			f.store.put(fmt.Sprint("servers/y", n), "ready")
			time.Sleep(50 * time.Millisecond)
		}
		f.store.put("servers/x", "ready")
		time.Sleep(time.Second)
		f.store.mu.Lock()
		clear(f.store.disconnected)
		f.store.mu.Unlock()
		f.network.mu.Lock()
		f.network.isLossy = false
		f.network.mu.Unlock()
		time.Sleep(5 * time.Second)
		require.Equal(t, 6, f.countKnowing("x"))
		require.Equal(t, 6, f.countKnowing("y30"))
	})
}

func TestLostUpdatesAreFetched(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.network.mu.Lock()
		f.network.isLossy = true
		f.network.mu.Unlock()
		f.store.put("servers/x", "ready")
		time.Sleep(1300 * time.Millisecond)
		require.Equal(t, 6, f.countKnowing("x"))
	})
}

// Guards against a fleet in which each instance asks the store for the same changes when
// updates are lost. An instance asks another one first, and the store if that did not help
// in time.
func TestLostUpdatesAreRepairedByOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		store := newFakeStore()
		for _, id := range []string{"x", "y", "z"} {
			store.put("servers/"+id, "ready")
		}
		network := &fakeNetwork{queues: map[string]chan Update{}, hasRepairs: true}
		relay := network.relay("b")
		sibling := NewFollower("a", store.connect("a"), testDecoder{}, view.NewView(log, 0), network.relay("a"), log)
		require.NoError(t, sibling.catchUp(t.Context()))
		network.followers = []*Follower{sibling}
		v := view.NewView(log, 0)
		f := NewFollower("b", store.connect("b"), testDecoder{}, v, relay, log)
		store.calls = 0

		// The heartbeat shows a gap, which the sibling closes.
		relay.queues["b"] <- Update{After: 3, UpTo: 3}
		require.NoError(t, f.receiveUpdate(t.Context()))
		require.Equal(t, 1, network.repairs)
		require.NoError(t, f.receiveUpdate(t.Context()))
		require.NotNil(t, v.Snapshot().ByID["z"])
		require.Zero(t, store.calls)

		// The sibling does not know the next change. It is asked once.
		store.put("servers/w", "ready")
		for range 3 {
			relay.queues["b"] <- Update{After: 4, UpTo: 4}
			require.NoError(t, f.receiveUpdate(t.Context()))
			require.Zero(t, store.calls)
			time.Sleep(repairTimeout/3 - time.Millisecond)
		}
		require.Equal(t, 2, network.repairs)
		time.Sleep(repairTimeout)
		relay.queues["b"] <- Update{After: 4, UpTo: 4}
		require.NoError(t, f.receiveUpdate(t.Context()))
		require.NotNil(t, v.Snapshot().ByID["w"])
		require.Equal(t, 1, store.calls)
	})
}

// Guards against an instance that takes an outage of the store as over because another
// instance repaired its view.
func TestRepairDoesNotMarkTheStoreAvailable(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	network := &fakeNetwork{queues: map[string]chan Update{}}
	v := view.NewView(log, time.Second)
	f := NewFollower("a", nil, testDecoder{}, v, network.relay("a"), log)
	entry := redwingstall.Change{Item: redwingstall.Item{Key: "servers/x", Revision: 1, Value: []byte("ready")}}
	f.apply([]redwingstall.Change{entry}, 1)
	v.MarkStoreUnavailable(errDisconnected)
	network.queues["a"] <- Update{After: 1, UpTo: 2, IsRepair: true, Changes: []redwingstall.Change{{Item: redwingstall.Item{Key: "servers/x", Revision: 2}, Deleted: true}}}
	require.NoError(t, f.receiveUpdate(t.Context()))
	require.True(t, v.Snapshot().ByID["x"].IsSuspect, "the entry may have expired in the outage")
}

func TestHistory(t *testing.T) {
	h := &history{}
	at := func(revision redwingstall.Revision) redwingstall.Position {
		return redwingstall.Position{Era: 2, Revision: revision}
	}
	_, found := h.since(at(0))
	require.False(t, found)
	h.reset(at(10))
	for r := redwingstall.Revision(11); r <= 20; r++ {
		h.add([]redwingstall.Change{{Item: redwingstall.Item{Key: "a", Revision: r}}, {Item: redwingstall.Item{Key: "b", Revision: r}}}, r)
	}
	for _, after := range []redwingstall.Revision{9, 20, 21} {
		_, found = h.since(at(after))
		require.False(t, found, after)
	}
	_, found = h.since(redwingstall.Position{Era: 1, Revision: 17})
	require.False(t, found, "revisions of another era")
	update, found := h.since(at(17))
	require.True(t, found)
	require.EqualValues(t, 2, update.Era)
	require.EqualValues(t, 17, update.After)
	require.EqualValues(t, 20, update.UpTo)
	require.Len(t, update.Changes, 6)
	require.EqualValues(t, 18, update.Changes[0].Revision)

	// The history forgets whole revisions only.
	for r := redwingstall.Revision(21); r <= 20+maxHistory; r++ {
		h.add([]redwingstall.Change{{Item: redwingstall.Item{Key: "a", Revision: r}}}, r)
	}
	_, found = h.since(at(19))
	require.False(t, found)
	update, found = h.since(at(20))
	require.True(t, found)
	require.Len(t, update.Changes, maxHistory)
}

// Guards against watchers that keep sending heartbeats after a silent partition from
// the store. Found on a deployment: all watchers were partitioned and kept reporting
// that nothing had changed, so no other instance called the store.
func TestChangesArriveWithin2sWhenAllWatchersArePartitioned(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.mu.Lock()
		for _, w := range chooseWatchers(f.views["a1"].Snapshot().Peers, regularWatchers) {
			f.store.disconnected[w] = true
		}
		require.Len(t, f.store.disconnected, regularWatchers)
		f.store.mu.Unlock()
		f.store.put("servers/x", "ready")
		time.Sleep(2 * time.Second)
		require.Equal(t, 6, f.countKnowing("x"), "partitioned instances receive the change from the others")
	})
}

func TestWatchersAreInSeparateFailureDomains(t *testing.T) {
	peers := []view.Peer{{Name: "a2", FailureDomain: "a"}, {Name: "a1", FailureDomain: "a"}, {Name: "b1", FailureDomain: "b"}}
	require.Equal(t, []string{"a1", "b1"}, chooseWatchers(peers, 2))
	require.Equal(t, []string{"a1", "a2"}, chooseWatchers(peers[:2], 2))
}

// Guards against an instance that broadcasts to all others while it shuts down, so that its
// last responses wait for its link.
func TestLeavingInstancesAreWatchersLast(t *testing.T) {
	peers := []view.Peer{
		{Name: "a1", FailureDomain: "a", LinkMbps: 200, IsLeaving: true},
		{Name: "a2", FailureDomain: "a", LinkMbps: 10, IsLeaving: true},
		{Name: "a3", FailureDomain: "a", LinkMbps: 10},
		{Name: "b1", FailureDomain: "b", LinkMbps: 200},
	}
	require.Equal(t, []string{"b1", "a1"}, chooseWatchers(peers, 2), "the wide link carries the broadcasts")
	require.Equal(t, []string{"b1", "a3"}, chooseWatchers(peers[1:], 2))
	require.Equal(t, []string{"a1", "a2"}, chooseWatchers(peers[:2], 2))
}

func TestAllRecordsAreLoadedAfterCompaction(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.mu.Lock()
		f.store.compacted = 1000
		f.store.mu.Unlock()
		f.store.put("servers/x", "ready")
		time.Sleep(time.Second)
		f.store.mu.Lock()
		f.store.compacted = 0
		f.store.mu.Unlock()
		time.Sleep(time.Second)
		require.Equal(t, 6, f.countKnowing("x"))
	})
}

// Guards against servers that stay in the view after their entries are removed. Found
// on a deployment: the store refused one call of an instance that was fetching missed
// changes. The instance kept receiving updates but treated the store as unavailable,
// so it kept the servers.
func TestReceivedUpdatesMarkTheStoreAvailable(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.store.put("servers/x", "ready")
		time.Sleep(time.Second)
		require.Equal(t, 6, f.countKnowing("x"))
		f.views["c2"].MarkStoreUnavailable(errDisconnected)
		time.Sleep(3 * time.Second)
		f.store.put("servers/x", "")
		time.Sleep(time.Second)
		require.Zero(t, f.countKnowing("x"))
	})
}

// Guards against a server that counts as draining only since an instance regained contact,
// though it may have announced that at any time since the instance was cut off. The first
// heartbeat afterwards shows a gap, which the store or another instance closes.
func TestChangesLearnedLateCountFromTheLossOfContact(t *testing.T) {
	for _, isRepaired := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			log := slog.New(slog.DiscardHandler)
			store := newFakeStore()
			store.put("servers/x", "ready")
			network := &fakeNetwork{queues: map[string]chan Update{}, hasRepairs: isRepaired}
			relay := network.relay("b")
			v := view.NewView(log, 0)
			f := NewFollower("b", store.connect("b"), testDecoder{}, v, relay, log)
			require.NoError(t, f.loadAll(t.Context()))
			lostAt := time.Now()
			store.put("servers/x", "draining")
			time.Sleep(5 * time.Second)
			sibling := NewFollower("a", store.connect("a"), testDecoder{}, view.NewView(log, 0), network.relay("a"), log)
			require.NoError(t, sibling.catchUp(t.Context()))
			network.followers = []*Follower{sibling}
			for range 2 {
				relay.queues["b"] <- Update{After: 2, UpTo: 2}
				require.NoError(t, f.receiveUpdate(t.Context()))
			}
			if isRepaired { // the repair arrived behind the second heartbeat
				require.NoError(t, f.receiveUpdate(t.Context()))
			}
			require.True(t, v.Snapshot().ByID["x"].Draining)
			require.Equal(t, lostAt, v.Snapshot().ByID["x"].DrainingSince)
		})
	}
}

// Guards against an instance that misses one update, cannot read it from the store, and
// ignores all further ones for that.
func TestUpdatesBehindAGapAreAppliedWhileTheStoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		store := newFakeStore()
		network := &fakeNetwork{queues: map[string]chan Update{}}
		v := view.NewView(log, time.Second)
		relay := network.relay("a")
		f := NewFollower("a", store.connect("a"), testDecoder{}, v, relay, log)
		store.put("servers/x", "ready")
		require.NoError(t, f.loadAll(t.Context()))
		store.disconnected["a"] = true
		for _, id := range []string{"missed", "y", "z"} {
			store.put("servers/"+id, "ready")
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(5 * time.Second) // calls in progress end
		}()
		go f.followChanges(ctx)
		for i, id := range []string{"y", "z"} {
			after := int64(2 + i)
			change := redwingstall.Change{Item: redwingstall.Item{Key: "servers/" + id, Revision: redwingstall.Revision(after + 1), Value: []byte("ready")}}
			relay.queues["a"] <- Update{After: after, UpTo: after + 1, Changes: []redwingstall.Change{change}}
		}
		for range 10 {
			relay.queues["a"] <- Update{After: 4, UpTo: 4}
		}
		time.Sleep(1500 * time.Millisecond)
		require.NotNil(t, v.Snapshot().ByID["y"])
		require.NotNil(t, v.Snapshot().ByID["z"])
		store.mu.Lock()
		store.disconnected["a"] = false
		store.mu.Unlock()
		for range 40 {
			relay.queues["a"] <- Update{After: 4, UpTo: 4}
			time.Sleep(100 * time.Millisecond)
		}
		require.NotNil(t, v.Snapshot().ByID["missed"], "the gap is closed in the end")
	})
}
