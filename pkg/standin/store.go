// Package standin holds small stand-ins for the outside systems: the platform's
// store and live list, and backend servers. It is scaffolding for tests, demos
// and measurements and is no part of the product.
package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/store"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// StoreFaults are the switches of the store stand-in.
type StoreFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// DelayMillis slows every call.
	DelayMillis int64 `json:"delayMillis"`
	// DropResponses is the number of writes that take effect without an answer.
	DropResponses int `json:"loseAnswers"`
	// StallWatches lets watches wait for ever.
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

// Handler serves the store's protocol and its switches.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/get", call(s, "get", s.get))
	mux.HandleFunc("POST /v1/list", call(s, "list", s.list))
	mux.HandleFunc("POST /v1/swap", call(s, "swap", s.swap))
	mux.HandleFunc("POST /v1/watch", call(s, "watch", s.watch))
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

// SetFaults sets the switches.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
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

// call wraps one kind of call with the counting and the switches.
func call[Req, Res any](s *Store, kind string, handle func(context.Context, Req) (Res, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := wire.ReadJSON[Req](w, r, maxCallBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faults := s.begin(kind)
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		response, lost := handle(r.Context(), request)
		if lost {
			panic(http.ErrAbortHandler)
		}
		wire.WriteJSON(w, http.StatusOK, response)
	}
}

func (s *Store) begin(kind string) StoreFaults {
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
	return store.ItemsResponse{Items: s.since(request.Prefix, 0)}, false
}

func (s *Store) since(prefix string, after redwingstall.Revision) []store.Item {
	items := []store.Item{}
	for name, item := range s.items {
		if strings.HasPrefix(name, prefix) && item.Revision > after {
			items = append(items, item)
		}
	}
	return items
}

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

func (s *Store) watch(ctx context.Context, request store.WatchRequest) (store.ItemsResponse, bool) {
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		items := s.since(request.Prefix, request.After)
		changed, muted := s.changed, s.faults.StallWatches
		s.mu.Unlock()
		if len(items) > 0 && !muted {
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
