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
	// Keyed servers refuse keys that they hold no grant for.
	Keyed bool
	// WarmAfter is the number of requests after which a cold start ends.
	WarmAfter int
	// ProcessingTime is the time that one request takes.
	ProcessingTime time.Duration
}

// BackendFaults are the switches of a backend server.
type BackendFaults struct {
	DelayMillis int64 `json:"delayMillis"`
	// Freeze holds every request and order until it is taken back.
	Freeze bool `json:"freeze"`
	Drain  bool `json:"drain"`
	Shed   bool `json:"shed"`
	// Restart starts the process anew: another boot, cold, without grants.
	Restart bool `json:"restart"`
	// WrongID answers with another request's id.
	WrongID bool `json:"wrongId"`
	// CutBytes cuts an answer after so many bytes of its body.
	CutBytes int `json:"cutBytes"`
	// ResetBefore and ResetAfter cut the connection before or after the run.
	ResetBefore bool `json:"resetBefore"`
	ResetAfter  bool `json:"resetAfter"`
	// Tag changes the entity tag of downloads.
	Tag string `json:"tag"`
}

// Execution is one request that a backend server ran.
type Execution struct {
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Path           string `json:"path"`
	Boot           string `json:"boot"`
}

// BackendStats are the high-water marks of a backend server.
type BackendStats struct {
	Name            string `json:"name"`
	Boot            string `json:"boot"`
	Runs            int64  `json:"runs"`
	MaxInFlight     int    `json:"maxInFlight"`
	MaxColdInFlight int    `json:"maxColdInFlight"`
	MaxConnections  int    `json:"maxConnections"`
	Shed            int64  `json:"shed"`
	NotOwner        int64  `json:"notOwner"`
	Overruns        int64  `json:"overruns"`
}

// Backend is a stand-in backend server. It is safe for concurrent use.
type Backend struct {
	config BackendConfig

	mu         sync.Mutex
	table      *grant.Table
	faults     BackendFaults
	thaw       chan struct{}
	inFlight   map[string]int
	total      int
	warm       int
	stats      BackendStats
	log        []Execution
	connection int
}

// NewBackend returns a server in a cold start.
func NewBackend(config BackendConfig) *Backend {
	b := &Backend{config: config, inFlight: map[string]int{}, thaw: make(chan struct{})}
	b.restart()
	return b
}

func (b *Backend) restart() {
	b.table = grant.NewTable(uuid.NewString(), b.config.ChecksFences)
	b.warm = 0
}

// clock is the machine's uptime, which goes on while a process is stopped and
// does not start anew with it.
func clock() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}

// SetFaults sets the switches.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Freeze && !faults.Freeze {
		close(b.thaw)
		b.thaw = make(chan struct{})
	}
	if faults.Restart {
		b.restart()
	}
	b.faults = faults
}

// Stats returns the high-water marks.
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
	return append([]Execution{}, b.log...)
}

// CountConnections is the ConnState hook of the server's listener.
func (b *Backend) CountConnections(_ net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.connection++
	case http.StateClosed, http.StateHijacked:
		b.connection--
	}
	b.stats.MaxConnections = max(b.stats.MaxConnections, b.connection)
}

// Handler serves requests, orders and switches.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders/grant", order(b, func(o redwingstall.GrantOrder) redwingstall.OrderResponse {
		return b.answer(b.table.Grant(o))
	}))
	mux.HandleFunc("POST /orders/release", order(b, func(o redwingstall.ReleaseOrder) redwingstall.OrderResponse {
		return b.answer(b.table.Release(o))
	}))
	mux.HandleFunc("POST /orders/status", order(b, func(struct{}) redwingstall.OrderResponse {
		return b.answer(nil)
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

func order[Req any](b *Backend, handle func(Req) redwingstall.OrderResponse) http.HandlerFunc {
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
		answer := handle(request)
		b.mu.Unlock()
		wire.WriteJSON(w, http.StatusOK, answer)
	}
}

func (b *Backend) answer(refused []string) redwingstall.OrderResponse {
	inFlight := map[string]int{}
	for home, n := range b.inFlight {
		inFlight[home] = n
	}
	return redwingstall.OrderResponse{
		Boot:     b.table.Boot(),
		Clock:    clock(),
		InFlight: inFlight,
		Refused:  refused,
		Draining: b.faults.Drain,
	}
}

func (b *Backend) waitWhileFrozen(ctx context.Context) bool {
	b.mu.Lock()
	frozen, thaw := b.faults.Freeze, b.thaw
	b.mu.Unlock()
	if !frozen {
		return true
	}
	select {
	case <-thaw:
		return true
	case <-ctx.Done():
		return false
	}
}

// serve runs one request.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if !b.waitWhileFrozen(r.Context()) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		return
	}
	refusal, faults := b.enter(r)
	w.Header().Set(redwingstall.HeaderRequestID, r.Header.Get(redwingstall.HeaderRequestID))
	w.Header().Set(redwingstall.HeaderServer, b.config.Name)
	if refusal != "" {
		w.Header().Set(redwingstall.HeaderRefusal, string(refusal))
		http.Error(w, string(refusal), http.StatusServiceUnavailable)
		return
	}
	defer b.leave(r)
	if faults.ResetBefore {
		panic(http.ErrAbortHandler)
	}
	if !sleep(r.Context(), b.config.ProcessingTime+time.Duration(faults.DelayMillis)*time.Millisecond) {
		return
	}
	b.run(r)
	if faults.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.WrongID {
		w.Header().Set(redwingstall.HeaderRequestID, "another-request")
	}
	b.write(w, r, body, faults)
}

func sleep(ctx context.Context, duration time.Duration) bool {
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

// enter counts a request in or refuses it.
func (b *Backend) enter(r *http.Request) (redwingstall.Refusal, BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Drain {
		return redwingstall.RefusalDraining, b.faults
	}
	if b.isLate(r) {
		return redwingstall.RefusalExpired, b.faults
	}
	if b.config.Keyed && !b.holds(r) {
		b.stats.NotOwner++
		return redwingstall.RefusalNotOwner, b.faults
	}
	isCold := b.warm < b.config.WarmAfter
	limit := b.config.Slots
	if isCold {
		limit = b.config.ColdLimit
	}
	if b.total >= limit {
		b.stats.Overruns++
	}
	if b.faults.Shed || b.total >= b.config.Slots {
		b.stats.Shed++
		return redwingstall.RefusalShed, b.faults
	}
	b.total++
	b.inFlight[r.Header.Get(redwingstall.HeaderHome)]++
	b.stats.MaxInFlight = max(b.stats.MaxInFlight, b.total)
	if isCold {
		b.stats.MaxColdInFlight = max(b.stats.MaxColdInFlight, b.total)
	}
	return "", b.faults
}

// isLate reports whether the request's own deadline on this clock has passed.
func (b *Backend) isLate(r *http.Request) bool {
	nanos, err := strconv.ParseInt(r.Header.Get(redwingstall.HeaderNotAfter), 10, 64)
	return err == nil && clock() > time.Duration(nanos)
}

func (b *Backend) holds(r *http.Request) bool {
	_, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return b.table.Holds(clock(), r.Header.Get(redwingstall.HeaderShard), key)
}

func (b *Backend) leave(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	home := r.Header.Get(redwingstall.HeaderHome)
	b.total--
	b.inFlight[home]--
	if b.inFlight[home] == 0 {
		delete(b.inFlight, home)
	}
	b.warm++
}

const maxLog = 200_000

func (b *Backend) run(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Runs++
	if len(b.log) >= maxLog {
		return
	}
	b.log = append(b.log, Execution{
		RequestID:      r.Header.Get(redwingstall.HeaderRequestID),
		IdempotencyKey: r.Header.Get(redwingstall.HeaderIdempotencyKey),
		Path:           r.URL.Path,
		Boot:           b.table.Boot(),
	})
}

// write answers: a download of the size asked for, or a short text.
func (b *Backend) write(w http.ResponseWriter, r *http.Request, body []byte, faults BackendFaults) {
	w.Header().Set(redwingstall.HeaderLoad, strconv.Itoa(b.loadNow()))
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil {
		text := fmt.Sprintf("%s %s %s %d\n", r.Method, r.URL.Path, r.Header.Get(redwingstall.HeaderRequestID), len(body))
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		cut(w, []byte(text), faults)
		return
	}
	content := DownloadContent(r.URL.Path, size)
	w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("%s-%d%s", r.URL.Path, size, faults.Tag)))
	if faults.CutBytes > 0 {
		w.Header().Set("Accept-Ranges", "bytes")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		cut(w, content, faults)
		return
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

// cut writes an answer, or its beginning.
func cut(w http.ResponseWriter, body []byte, faults BackendFaults) {
	if faults.CutBytes == 0 || faults.CutBytes >= len(body) {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:faults.CutBytes])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (b *Backend) loadNow() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// DownloadContent returns the bytes of a download, the same from every server.
func DownloadContent(path string, size int) []byte {
	pattern := []byte(path + "\n")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}
