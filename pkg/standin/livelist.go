package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/livelist"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// LiveList is a stand-in for the platform's live list. A change shows after
// the lag. It is safe for concurrent use.
type LiveList struct {
	lag time.Duration

	mu   sync.Mutex
	rows map[string][]listed
}

// listed is a row and the time from which it shows.
type listed struct {
	row  redwingstall.ListedInstance
	from time.Time
}

// NewLiveList returns an empty list whose changes show after the lag.
func NewLiveList(lag time.Duration) *LiveList {
	return &LiveList{lag: lag, rows: map[string][]listed{}}
}

// Handler serves the list's protocol.
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
	l.rows[row.Name] = append(l.rows[row.Name], listed{row, time.Now().Add(l.lag)})
}

func (l *LiveList) visible() []redwingstall.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	rows := []redwingstall.ListedInstance{}
	for _, history := range l.rows {
		for i := len(history) - 1; i >= 0; i-- {
			if !now.Before(history[i].from) {
				rows = append(rows, history[i].row)
				break
			}
		}
	}
	return rows
}
