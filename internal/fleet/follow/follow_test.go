package follow

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

// fakeStore holds a history of changes. Calls of instances that are cut off hang
// until their time is up.
type fakeStore struct {
	redwingstall.MetadataStore
	mu        sync.Mutex
	history   []redwingstall.Change
	compacted redwingstall.Revision
	calls     int
	cut       map[string]bool
	grown     chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{cut: map[string]bool{}, grown: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := redwingstall.Revision(len(s.history) + 1)
	s.history = append(s.history, redwingstall.Change{Item: redwingstall.Item{Key: key, Value: []byte(value), Revision: revision}, Deleted: value == ""})
	close(s.grown)
	s.grown = make(chan struct{})
}

// as is the store as one instance reaches it.
func (s *fakeStore) as(name string) *reached { return &reached{fakeStore: s, name: name} }

type reached struct {
	*fakeStore
	name string
}

func (r *reached) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.cut[r.name]
}

var errCut = errors.Mark(errors.New("cut off"), redwingstall.ErrUnavailable)

func (r *reached) Range(context.Context, string) ([]redwingstall.Item, redwingstall.Revision, error) {
	if r.isCut() {
		time.Sleep(900 * time.Millisecond)
		return nil, 0, errCut
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
	return list, redwingstall.Revision(len(r.history)), nil
}

func (r *reached) Watch(ctx context.Context, _ string, after redwingstall.Revision, wait time.Duration) ([]redwingstall.Change, redwingstall.Revision, error) {
	if r.isCut() {
		time.Sleep(wait + 700*time.Millisecond)
		return nil, after, errCut
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		isGone := after < r.compacted
		changes := slices.Clone(r.history[after:])
		grown := r.grown
		r.mu.Unlock()
		switch {
		case isGone:
			return nil, after, errors.Mark(errors.New("gone"), redwingstall.ErrCompacted)
		case len(changes) > 0:
			return changes, changes[len(changes)-1].Revision, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, after, errCut
		}
	}
}

// records passes the router's own records on, and entries by id.
type records struct{}

func (records) Decode(c redwingstall.Change) (redwingstall.Event, error) {
	if id, isEntry := cutPrefix(c.Key, "servers/"); isEntry {
		if c.Deleted {
			return redwingstall.EntryRemoved{ID: id}, nil
		}
		return redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: id, Service: "s", Draining: string(c.Value) == "draining"}}, nil
	}
	return redwingstall.RecordChanged{Change: c}, nil
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) < len(prefix) || s[:len(prefix)] != prefix {
		return s, false
	}
	return s[len(prefix):], true
}

// hub carries news between instances; lossy drops all but every third.
type hub struct {
	mu    sync.Mutex
	boxes map[string]chan News
	lossy bool
	sent  int
}

func (h *hub) of(name string) *box {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boxes[name] = make(chan News, 64)
	return &box{h, name}
}

type box struct {
	*hub
	name string
}

func (b *box) News() <-chan News {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boxes[b.name]
}

func (b *box) Tell(news News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, c := range b.boxes {
		b.sent++
		if name == b.name || b.lossy && b.sent%3 != 0 {
			continue
		}
		select {
		case c <- news:
		default:
		}
	}
}

type fleet struct {
	store *fakeStore
	hub   *hub
	views map[string]*view.View
}

// startFleet runs six instances in three failure domains.
func startFleet(ctx context.Context) *fleet {
	f := &fleet{store: newFakeStore(), hub: &hub{boxes: map[string]chan News{}}, views: map[string]*view.View{}}
	names := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	for _, name := range names {
		record, _ := view.PeerRecord(view.Peer{Name: name, Address: "10.0.0.1:1", FailureDomain: name[:1]})
		f.store.put(record.Key, string(record.Value))
	}
	log := slog.New(slog.DiscardHandler)
	for _, name := range names {
		v := view.NewView(log, 2*time.Second)
		f.views[name] = v
		go NewFollower(name, f.store.as(name), records{}, v, f.hub.of(name), log).Run(ctx)
	}
	time.Sleep(3 * time.Second)
	return f
}

// know counts the instances that know a server.
func (f *fleet) know(id string) int {
	n := 0
	for _, v := range f.views {
		if v.Snapshot().ByID[id] != nil {
			n++
		}
	}
	return n
}

func play(t *testing.T, script func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		script(startFleet(ctx))
		cancel()
		time.Sleep(5 * time.Second)
	})
}

func TestFewInstancesWatchAndAllKnow(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.mu.Lock()
		f.store.calls = 0
		f.store.mu.Unlock()
		for i := range 10 {
			f.store.put("servers/x"+string(rune('0'+i)), "ready")
			time.Sleep(300 * time.Millisecond)
		}
		require.Equal(t, 6, f.know("x9"))
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		require.Less(t, f.store.calls, 40, "six instances would have made twice as many calls")
	})
}

func TestLostNewsAreFetched(t *testing.T) {
	play(t, func(f *fleet) {
		f.hub.mu.Lock()
		f.hub.lossy = true
		f.hub.mu.Unlock()
		f.store.put("servers/x", "ready")
		time.Sleep(1300 * time.Millisecond)
		require.Equal(t, 6, f.know("x"))
	})
}

// Found on a deployment: all watchers were cut off without a sound, and went on
// telling the others that nothing had changed.
func TestChangesArriveWithin2sWhenAllWatchersAreCutOff(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.mu.Lock()
		for _, w := range chooseWatchers(f.views["a1"].Snapshot().Peers, watchers) {
			f.store.cut[w] = true
		}
		require.Len(t, f.store.cut, watchers)
		f.store.mu.Unlock()
		f.store.put("servers/x", "ready")
		time.Sleep(2 * time.Second)
		require.Equal(t, 6, f.know("x"), "also those that are cut off, from the others")
	})
}

func TestWatchersStandInSeparateFailureDomains(t *testing.T) {
	peers := []view.Peer{{Name: "a2", FailureDomain: "a"}, {Name: "a1", FailureDomain: "a"}, {Name: "b1", FailureDomain: "b"}}
	require.Equal(t, []string{"a1", "b1"}, chooseWatchers(peers, 2))
	require.Equal(t, []string{"a1", "a2"}, chooseWatchers(peers[:2], 2))
}

func TestCompactedHistoryIsReadAnew(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.mu.Lock()
		f.store.compacted = 1000
		f.store.mu.Unlock()
		f.store.put("servers/x", "ready")
		time.Sleep(time.Second)
		f.store.mu.Lock()
		f.store.compacted = 0
		f.store.mu.Unlock()
		time.Sleep(time.Second)
		require.Equal(t, 6, f.know("x"))
	})
}

// Found on a deployment: the store turned an instance away once, when it asked for
// news that it had missed. It went on hearing news, took the store for away, and
// kept servers whose entries were removed.
func TestInstanceThatHearsNewsDoesNotTakeTheStoreForAway(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.put("servers/x", "ready")
		time.Sleep(time.Second)
		require.Equal(t, 6, f.know("x"))
		f.views["c2"].StoreLost(errCut)
		time.Sleep(3 * time.Second)
		f.store.put("servers/x", "")
		time.Sleep(time.Second)
		require.Zero(t, f.know("x"))
	})
}
