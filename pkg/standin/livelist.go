package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/livelist"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// LiveList is a stand-in for the platform's live list. A change becomes visible after the
// propagation lag. It is safe for concurrent use.
type LiveList struct {
	lag time.Duration

	mu sync.Mutex
	// histories has the announced rows of each instance, oldest first. It is guarded by mu.
	histories map[string][]listEntry
}

// listEntry is an announced row and the time from which it is visible.
type listEntry struct {
	row         redwingstall.ListedInstance
	visibleFrom time.Time
}

// NewLiveList returns an empty list whose changes become visible after the lag.
func NewLiveList(lag time.Duration) *LiveList {
	return &LiveList{lag: lag, histories: map[string][]listEntry{}}
}

// Handler serves the protocol of the live list.
func (l *LiveList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/instances/list", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, livelist.ListResponse{Instances: l.visible()})
	})
	mux.HandleFunc("POST /v1/instances/announce", func(w http.ResponseWriter, r *http.Request) {
		row, err := wire.ReadJSON[redwingstall.ListedInstance](w, r, maxCallBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.announce(row)
		wire.WriteJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}

func (l *LiveList) announce(row redwingstall.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histories[row.Name] = append(l.histories[row.Name], listEntry{row, time.Now().Add(l.lag)})
}

// visible returns the latest visible row of each instance.
func (l *LiveList) visible() []redwingstall.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	rows := []redwingstall.ListedInstance{}
	for _, history := range l.histories {
		for i := len(history) - 1; i >= 0; i-- {
			if !now.Before(history[i].visibleFrom) {
				rows = append(rows, history[i].row)
				break
			}
		}
	}
	return rows
}
