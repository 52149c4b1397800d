package caller

import (
	"net/http"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
)

const (
	// slowCallerTime is the time to accept eviction.StepBytes after which a caller is cut off if
	// others wait for what its response holds, and slowCallerInterval how often that is checked.
	slowCallerTime     = time.Second
	slowCallerInterval = 100 * time.Millisecond
	// maxCallerStall is the time after which it is cut off in any case.
	maxCallerStall = 20 * time.Second
)

// shouldCut decides whether a caller that has not accepted a step for a time is cut off.
func shouldCut(stalled time.Duration, isWaitedFor func() bool) bool {
	return stalled >= maxCallerStall || stalled >= slowCallerTime && isWaitedFor()
}

// stallWriter writes a response, and cuts off a caller that is slow to read it.
type stallWriter struct {
	http.ResponseWriter
	isWaitedFor func() bool
	count       func(name string)

	mu    sync.Mutex
	timer *time.Timer
	// began is when the current write began, or zero. blocked is the time of the writes since the
	// last step, which accepted bytes.
	began   time.Time
	blocked time.Duration
	bytes   int
}

// newStallWriter returns a writer that asks whether others wait for what the response holds, while
// the caller is slow.
func newStallWriter(w http.ResponseWriter, isWaitedFor func() bool, count func(name string)) *stallWriter {
	return &stallWriter{ResponseWriter: w, isWaitedFor: isWaitedFor, count: count}
}

// Write writes to the caller.
func (w *stallWriter) Write(p []byte) (int, error) {
	w.begin()
	n, err := w.ResponseWriter.Write(p)
	w.end(n)
	return n, err
}

// FlushError sends what is buffered. Small pieces of a response of unknown length only enter the
// buffer in Write, so that a slow caller blocks here.
func (w *stallWriter) FlushError() error {
	w.begin()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.end(0)
	return err
}

func (w *stallWriter) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = time.Now()
	if w.timer == nil {
		w.timer = time.AfterFunc(slowCallerTime, w.check)
		return
	}
	w.timer.Reset(max(slowCallerTime-w.blocked, slowCallerInterval))
}

func (w *stallWriter) end(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.blocked += time.Since(w.began)
	w.began = time.Time{}
	if w.bytes += bytes; w.bytes >= eviction.StepBytes {
		w.bytes, w.blocked = 0, 0
	}
}

// check cuts the caller off if it has to be.
func (w *stallWriter) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.began.IsZero() {
		return
	}
	if !shouldCut(w.blocked+time.Since(w.began), w.isWaitedFor) {
		w.timer.Reset(slowCallerInterval)
		return
	}
	w.count("answers.cut.slowCaller")
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Unix(1, 0))
}

// Unwrap returns the wrapped writer, for [http.ResponseController].
func (w *stallWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// isWaitedFor reports whether other requests wait for the slot or the memory of a response.
func (r *Router) isWaitedFor(pool, server string) bool {
	return r.buffers.responses.IsShort() || r.config.Pools.IsWaitedFor(pool, server)
}
