package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sys/unix"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/grant"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// BackendConfig describes one stand-in backend server.
type BackendConfig struct {
	Name         string
	Slots        int
	ColdLimit    int
	ChecksFences bool
	// Keyed servers refuse requests for keys without a grant.
	Keyed bool
	// WarmAfter is the number of completed requests after which the cold start ends.
	WarmAfter int
	// ProcessingTime is the time that one request takes.
	ProcessingTime time.Duration
}

// BackendFaults are the faults that a stand-in backend server injects.
type BackendFaults struct {
	DelayMillis int64 `json:"delayMillis"`
	// Freeze blocks every request and order until it is unset.
	Freeze bool `json:"freeze"`
	Drain  bool `json:"drain"`
	Shed   bool `json:"shed"`
	// RetryAfterMillis is how long refusals ask to be left alone. Zero leaves it out.
	RetryAfterMillis int64 `json:"retryAfterMillis"`
	// Restart simulates a restart of the process: a new boot id, a cold start, no grants.
	Restart bool `json:"restart"`
	// WrongID responds with the id of another request.
	WrongID bool `json:"wrongId"`
	// CutBytes truncates each response body after this number of bytes. Zero disables it.
	CutBytes int `json:"cutBytes"`
	// ResetBefore and ResetAfter close the connection without a response, before or after the
	// request is executed.
	ResetBefore bool `json:"resetBefore"`
	ResetAfter  bool `json:"resetAfter"`
	// CopyRefusals refuses the first attempt at each request, and sends the refusal once more
	// as the next request arrives on its connection.
	CopyRefusals bool `json:"copyRefusals"`
	// Tag is appended to the entity tag of downloads, as if their content had changed.
	Tag string `json:"tag"`
}

// Execution is one request that a stand-in backend server executed.
type Execution struct {
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Path           string `json:"path"`
	Boot           string `json:"boot"`
}

// BackendStats are the counters and high-water marks of a stand-in backend server.
type BackendStats struct {
	Name            string `json:"name"`
	Boot            string `json:"boot"`
	Runs            int64  `json:"runs"`
	MaxInFlight     int    `json:"maxInFlight"`
	MaxColdInFlight int    `json:"maxColdInFlight"`
	MaxConnections  int    `json:"maxConnections"`
	Shed            int64  `json:"shed"`
	NotOwner        int64  `json:"notOwner"`
	// Overruns counts requests beyond the limit that applied, the cold limit included.
	Overruns int64 `json:"overruns"`
}

// Backend is a stand-in backend server. It is safe for concurrent use. Fields after mu are guarded
// by it.
type Backend struct {
	config BackendConfig

	mu     sync.Mutex
	table  *grant.Table
	faults BackendFaults
	// unfrozen is closed when Freeze is unset.
	unfrozen chan struct{}
	// inFlight counts requests by home instance.
	inFlight      map[string]int
	totalInFlight int
	// completed counts requests since the last restart.
	completed       int
	stats           BackendStats
	executions      []Execution
	openConnections int
	copies          copies
}

// NewBackend returns a cold backend server.
func NewBackend(config BackendConfig) *Backend {
	b := &Backend{config: config, inFlight: map[string]int{}, unfrozen: make(chan struct{})}
	b.restart()
	return b
}

// restart replaces the boot id and drops the grants. The caller holds mu.
func (b *Backend) restart() {
	b.table = grant.NewTable(uuid.NewString(), b.config.ChecksFences)
	b.completed = 0
}

// uptime returns the uptime of the machine. It advances while the process is stopped and does not
// restart with it.
func uptime() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Freeze && !faults.Freeze {
		close(b.unfrozen)
		b.unfrozen = make(chan struct{})
	}
	if faults.Restart {
		b.restart()
	}
	b.faults = faults
}

// Stats returns the counters and high-water marks.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Name = b.config.Name
	stats.Boot = b.table.Boot()
	return stats
}

// Executions returns what the server ran.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution{}, b.executions...)
}

// CountConnections is the ConnState hook of the server's listener.
func (b *Backend) CountConnections(_ net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.openConnections++
	case http.StateClosed, http.StateHijacked:
		b.openConnections--
	}
	b.stats.MaxConnections = max(b.stats.MaxConnections, b.openConnections)
}

// Handler serves requests, grant and release orders, and the calls that inject faults and read
// statistics.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders/grant", handleOrder(b, func(o redwingstall.GrantOrder) redwingstall.OrderResponse {
		return b.orderResponse(b.table.Grant(o))
	}))
	mux.HandleFunc("POST /orders/release", handleOrder(b, func(o redwingstall.ReleaseOrder) redwingstall.OrderResponse {
		return b.orderResponse(b.table.Release(o))
	}))
	mux.HandleFunc("POST /orders/status", handleOrder(b, func(struct{}) redwingstall.OrderResponse {
		return b.orderResponse(nil)
	}))
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		faults, err := wire.ReadJSON[BackendFaults](w, r, maxCallBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetFaults(faults)
		wire.WriteJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) { wire.WriteJSON(w, http.StatusOK, b.Executions()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { wire.WriteJSON(w, http.StatusOK, b.Stats()) })
	mux.HandleFunc("/", b.serve)
	return mux
}

// handleOrder decodes an order, handles it under mu and writes the response.
func handleOrder[Req any](b *Backend, handle func(Req) redwingstall.OrderResponse) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := wire.ReadJSON[Req](w, r, maxCallBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !b.waitWhileFrozen(r.Context()) {
			return
		}
		b.mu.Lock()
		response := handle(request)
		b.mu.Unlock()
		wire.WriteJSON(w, http.StatusOK, response)
	}
}

// orderResponse returns the response to an order with the refused shards. The caller holds mu.
func (b *Backend) orderResponse(refused []string) redwingstall.OrderResponse {
	inFlight := map[string]int{}
	for home, count := range b.inFlight {
		inFlight[home] = count
	}
	return redwingstall.OrderResponse{
		Boot:     b.table.Boot(),
		Clock:    uptime(),
		InFlight: inFlight,
		Refused:  refused,
		Draining: b.faults.Drain,
	}
}

// waitWhileFrozen blocks while Freeze is set. It returns false if the context ends first.
func (b *Backend) waitWhileFrozen(ctx context.Context) bool {
	b.mu.Lock()
	isFrozen, unfrozen := b.faults.Freeze, b.unfrozen
	b.mu.Unlock()
	if !isFrozen {
		return true
	}
	select {
	case <-unfrozen:
		return true
	case <-ctx.Done():
		return false
	}
}

// serve executes one request with the injected faults.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if !b.waitWhileFrozen(r.Context()) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		return
	}
	refusal, faults := b.admit(r)
	if refusal == "" && faults.CopyRefusals {
		defer b.finish(r)
		b.serveWithCopies(w, r)
		return
	}
	w.Header().Set(redwingstall.HeaderRequestID, r.Header.Get(redwingstall.HeaderRequestID))
	w.Header().Set(redwingstall.HeaderServer, b.config.Name)
	if refusal != "" {
		w.Header().Set(redwingstall.HeaderRefusal, string(refusal))
		if faults.RetryAfterMillis > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(float64(faults.RetryAfterMillis)/1000, 'f', 3, 64))
		}
		http.Error(w, string(refusal), http.StatusServiceUnavailable)
		return
	}
	defer b.finish(r)
	if faults.ResetBefore {
		panic(http.ErrAbortHandler)
	}
	if !sleepUnlessDone(r.Context(), b.config.ProcessingTime+time.Duration(faults.DelayMillis)*time.Millisecond) {
		return
	}
	b.recordExecution(r)
	if faults.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.WrongID {
		w.Header().Set(redwingstall.HeaderRequestID, "another-request")
	}
	b.writeResponse(w, r, body, faults)
}

// sleepUnlessDone sleeps and returns false if the context ends first.
func sleepUnlessDone(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit counts a request as in flight, or returns the reason of its refusal.
func (b *Backend) admit(r *http.Request) (redwingstall.Refusal, BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Drain {
		return redwingstall.RefusalDraining, b.faults
	}
	if b.isExpired(r) {
		return redwingstall.RefusalExpired, b.faults
	}
	if b.config.Keyed && !b.holdsGrant(r) {
		b.stats.NotOwner++
		return redwingstall.RefusalNotOwner, b.faults
	}
	isCold := b.completed < b.config.WarmAfter
	limit := b.config.Slots
	if isCold {
		limit = b.config.ColdLimit
	}
	if b.totalInFlight >= limit {
		b.stats.Overruns++
	}
	if b.faults.Shed || b.totalInFlight >= b.config.Slots {
		b.stats.Shed++
		return redwingstall.RefusalShed, b.faults
	}
	b.totalInFlight++
	b.inFlight[r.Header.Get(redwingstall.HeaderHome)]++
	b.stats.MaxInFlight = max(b.stats.MaxInFlight, b.totalInFlight)
	if isCold {
		b.stats.MaxColdInFlight = max(b.stats.MaxColdInFlight, b.totalInFlight)
	}
	return "", b.faults
}

// isExpired reports whether the deadline of the request, in the time of uptime, has passed.
func (b *Backend) isExpired(r *http.Request) bool {
	nanos, err := strconv.ParseInt(r.Header.Get(redwingstall.HeaderNotAfter), 10, 64)
	return err == nil && uptime() > time.Duration(nanos)
}

// holdsGrant reports whether the server has a valid grant for the key of the request.
func (b *Backend) holdsGrant(r *http.Request) bool {
	_, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return b.table.Holds(uptime(), r.Header.Get(redwingstall.HeaderShard), key)
}

// finish removes a request from those in flight.
func (b *Backend) finish(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	home := r.Header.Get(redwingstall.HeaderHome)
	b.totalInFlight--
	b.inFlight[home]--
	if b.inFlight[home] == 0 {
		delete(b.inFlight, home)
	}
	b.completed++
}

// maxExecutions bounds the recorded executions; later ones are only counted.
const maxExecutions = 200_000

func (b *Backend) recordExecution(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Runs++
	if len(b.executions) >= maxExecutions {
		return
	}
	b.executions = append(b.executions, Execution{
		RequestID:      r.Header.Get(redwingstall.HeaderRequestID),
		IdempotencyKey: r.Header.Get(redwingstall.HeaderIdempotencyKey),
		Path:           r.URL.Path,
		Boot:           b.table.Boot(),
	})
}

// writeResponse writes a download of the requested size, or a short text if none is requested.
func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, faults BackendFaults) {
	w.Header().Set(redwingstall.HeaderLoad, strconv.Itoa(b.currentLoad()))
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil {
		text := fmt.Sprintf("%s %s %s %d\n", r.Method, r.URL.Path, r.Header.Get(redwingstall.HeaderRequestID), len(body))
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		writeBody(w, []byte(text), faults)
		return
	}
	content := DownloadContent(r.URL.Path, size)
	w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("%s-%d%s", r.URL.Path, size, faults.Tag)))
	if faults.CutBytes > 0 {
		w.Header().Set("Accept-Ranges", "bytes")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		writeBody(w, content, faults)
		return
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

// writeBody writes the body. If CutBytes is below its length, it writes that many bytes and aborts
// the connection.
func writeBody(w http.ResponseWriter, body []byte, faults BackendFaults) {
	if faults.CutBytes == 0 || faults.CutBytes >= len(body) {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:faults.CutBytes])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (b *Backend) currentLoad() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalInFlight
}

// DownloadContent returns the bytes of a download. They are the same on every server.
func DownloadContent(path string, size int) []byte {
	pattern := []byte(path + "\n")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}
