// Package standin implements stand-ins for the external systems: the platform's store and live
// list, and backend servers. It also has a load generator and benchmarks. It serves tests, demos
// and measurements and is not part of the product.
package standin

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/store"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// StoreFaults are the faults that the stand-in store injects.
type StoreFaults struct {
	// Outage fails every call.
	Outage bool `json:"outage"`
	// DelayMillis delays every call.
	DelayMillis int64 `json:"delayMillis"`
	// DropResponses is the number of following writes that take effect but get no response.
	DropResponses int `json:"loseAnswers"`
	// StallWatches keeps watches from returning changes; they end after their wait time.
	StallWatches bool `json:"muteWatches"`
}

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision redwingstall.Revision
	items    map[string]store.Item
	changed  chan struct{}
	faults   StoreFaults
	counts   map[string]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]store.Item{}, changed: make(chan struct{}), counts: map[string]int64{}}
}

const maxCallBytes = 4 << 20

// Handler serves the protocol of the store, and the calls that inject faults and read counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/get", handleCall(s, "get", s.get))
	mux.HandleFunc("POST /v1/list", handleCall(s, "list", s.list))
	mux.HandleFunc("POST /v1/swap", handleCall(s, "swap", s.swap))
	mux.HandleFunc("POST /v1/watch", handleCall(s, "watch", s.watch))
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		faults, err := wire.ReadJSON[StoreFaults](w, r, maxCallBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
		wire.WriteJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// StoreBackup is a copy of the contents of a store.
type StoreBackup struct {
	revision redwingstall.Revision
	items    map[string]store.Item
}

// Backup returns a copy of the contents.
func (s *Store) Backup() StoreBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreBackup{s.revision, maps.Clone(s.items)}
}

// Restore replaces the contents by those of an older copy. Revisions since then are assigned
// again.
func (s *Store) Restore(backup StoreBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items = backup.revision, maps.Clone(backup.items)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns the number of calls by kind.
func (s *Store) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int64{}
	for kind, n := range s.counts {
		counts[kind] = n
	}
	return counts
}

// handleCall counts one kind of call, applies the faults and handles the call. If handle returns
// true, the connection is aborted without a response.
func handleCall[Req, Res any](s *Store, kind string, handle func(context.Context, Req) (Res, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := wire.ReadJSON[Req](w, r, maxCallBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faults := s.countCall(kind)
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		response, isAborted := handle(r.Context(), request)
		if isAborted {
			panic(http.ErrAbortHandler)
		}
		wire.WriteJSON(w, http.StatusOK, response)
	}
}

// countCall counts a call and returns the current faults.
func (s *Store) countCall(kind string) StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
	return s.faults
}

func (s *Store) get(_ context.Context, request store.GetRequest) (store.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[request.Name], false
}

func (s *Store) list(_ context.Context, request store.ListRequest) (store.ItemsResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.ItemsResponse{Items: s.itemsAfter(request.Prefix, 0)}, false
}

// itemsAfter returns the items below the prefix that changed after the revision. The caller
// holds mu.
func (s *Store) itemsAfter(prefix string, after redwingstall.Revision) []store.Item {
	items := []store.Item{}
	for name, item := range s.items {
		if strings.HasPrefix(name, prefix) && item.Revision > after {
			items = append(items, item)
		}
	}
	return items
}

// swap writes an item if its revision is the expected one.
func (s *Store) swap(_ context.Context, request store.SwapRequest) (store.SwapResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.items[request.Name].Revision
	if current != request.Old {
		return store.SwapResponse{Revision: current}, false
	}
	s.revision++
	s.items[request.Name] = store.Item{Name: request.Name, Revision: s.revision, Value: request.Value}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return store.SwapResponse{}, true
	}
	return store.SwapResponse{Swapped: true, Revision: s.revision}, false
}

// watch waits until an item below the prefix changes after the revision, or until the wait time
// has passed.
func (s *Store) watch(ctx context.Context, request store.WatchRequest) (store.ItemsResponse, bool) {
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		items := s.itemsAfter(request.Prefix, request.After)
		changed, isStalled := s.changed, s.faults.StallWatches
		s.mu.Unlock()
		if len(items) > 0 && !isStalled {
			return store.ItemsResponse{Items: items}, false
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.ItemsResponse{}, false
		case <-ctx.Done():
			return store.ItemsResponse{}, true
		}
	}
}
