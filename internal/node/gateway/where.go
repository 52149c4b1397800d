package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

const (
	// WherePath is the path that explains where a request would go.
	WherePath = "/where"
	// maxExplanations bounds the explanations at a time, and explanationInterval is how long each
	// keeps its place at least. One takes 0.5 ms for 258 servers, so that 20 a second take less than
	// a tenth of the smallest instance.
	maxExplanations     = 2
	explanationInterval = 100 * time.Millisecond
	// questionTimeout bounds how long a client that sends or reads slowly keeps a place.
	questionTimeout = 2 * time.Second
	// maxQuestionBytes is above the longest header that carries an API key.
	maxQuestionBytes = 64 << 10
)

// explainer answers questions about where requests would go.
type explainer struct {
	explain func(q dispatch.Question, random func() float64) dispatch.Explanation
	places  chan struct{}
}

func newExplainer(d *dispatch.Dispatcher) *explainer {
	return &explainer{explain: d.Explain, places: make(chan struct{}, maxExplanations)}
}

// ServeHTTP answers one question. The question may hold an API key, so that no error repeats a part
// of it.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "the question must be posted", http.StatusMethodNotAllowed)
		return
	}
	select {
	case e.places <- struct{}{}:
	default:
		http.Error(w, "the instance explains other requests", http.StatusServiceUnavailable)
		return
	}
	defer time.AfterFunc(explanationInterval, func() { <-e.places })
	controller, now := http.NewResponseController(w), time.Now()
	_ = controller.SetReadDeadline(now.Add(questionTimeout))
	_ = controller.SetWriteDeadline(now.Add(2 * questionTimeout))
	var q dispatch.Question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBytes)).Decode(&q); err != nil {
		http.Error(w, "the question cannot be read", http.StatusBadRequest)
		return
	}
	if q.Host == "" || !strings.HasPrefix(q.Target, "/") || q.Account != "" && q.APIKey != "" || q.TimeoutMillis < 0 {
		http.Error(w, "the question needs a host, a path that begins with / and at most one of an account and an API key", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.explain(q, rand.Float64))
}
