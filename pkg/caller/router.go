package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/home"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/peer"
	"github.com/redwingstall/redwingstall/pkg/view"
)

// Readiness reports whether the instance may accept requests.
type Readiness interface {
	IsReady() bool
}

// Config holds the components that a Router uses.
type Config struct {
	Voter     *membership.Voter
	View      *view.View
	Pools     *home.Manager
	Peers     *peer.Clients
	Journal   *journal.Journal
	Readiness Readiness
}

// Router serves requests of callers and requests that other instances forward.
type Router struct {
	common   *common.Common
	config   Config
	policies *servicePolicies
	buffers  buffers
	// inFlight counts requests and pending journal writes, for a graceful shutdown.
	inFlight sync.WaitGroup
	done     chan struct{}
	// recordCtx ends when journal writes must no longer be retried.
	recordCtx     context.Context
	stopRecording context.CancelFunc
	// stopAt is when a shutdown closes the connections that are left.
	stopAt atomic.Pointer[time.Time]
}

// NewRouter returns a router that uses the components of config.
func NewRouter(c *common.Common, config Config) *Router {
	recordCtx, stopRecording := context.WithCancel(context.Background())
	return &Router{
		common:        c,
		config:        config,
		policies:      newServicePolicies(c.Settings.Policy),
		buffers:       newBuffers(c.Settings.Limits),
		done:          make(chan struct{}),
		recordCtx:     recordCtx,
		stopRecording: stopRecording,
	}
}

// Done returns a channel that is closed when Close returns.
func (r *Router) Done() <-chan struct{} { return r.done }

// StopAt makes the router reject further requests that may last until a time, at which the
// shutdown closes the connections that are left.
func (r *Router) StopAt(at time.Time) { r.stopAt.Store(&at) }

// endsBeforeStop reports whether a request ends before the connections are closed.
func (r *Router) endsBeforeStop(q *request) bool {
	at := r.stopAt.Load()
	return at == nil || q.deadline.Before(*at)
}

// Close waits for requests in flight and their journal writes, or until the context
// ends. It then stops retrying journal writes.
func (r *Router) Close(ctx context.Context) {
	defer close(r.done)
	finished := make(chan struct{})
	go func() {
		r.inFlight.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		r.common.Count("shutdown.cut")
	}
	r.stopRecording()
}

func (r *Router) now() time.Time { return r.common.Clock.Now() }

// Handler returns the handler of callers' requests and of the load balancer's health
// check.
func (r *Router) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/healthz", r.serveHealth, http.MethodGet)
	mux.HandleFunc(pathPrefix+"...", r.serveCaller)
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.writeRefusal(w, refusal{redwingstall.OutcomeNotRun, "badPath", http.StatusNotFound, "the path must be /v1/account/service/key"})
	})
	return mux
}

func (r *Router) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !r.config.Readiness.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveCaller serves one request of a caller.
func (r *Router) serveCaller(w http.ResponseWriter, incoming *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	r.common.Count("requests.received")
	q, invalid := parseRequest(incoming, r.config.View.Snapshot().Service, r.common.Settings.Policy, r.now())
	if invalid == nil {
		defer q.release()
		invalid = r.readBody(w, incoming, q)
	}
	if invalid != nil {
		r.writeRefusal(w, refusal{redwingstall.OutcomeNotRun, invalid.reason, invalid.status, invalid.detail})
		return
	}
	w.Header().Set(redwingstall.HeaderRequestID, q.requestID)
	if !r.endsBeforeStop(q) {
		r.writeRefusal(w, refusal{redwingstall.OutcomeNotRun, "stopping", http.StatusServiceUnavailable, "the instance stops before the request's deadline"})
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), q.deadline)
	defer cancel()
	if q.isJournaled() {
		r.serveJournaled(ctx, w, q)
		return
	}
	ctx, release := r.responseContext(incoming.Context(), ctx)
	defer release()
	response, err := r.send(ctx, q, q.header)
	if err != nil {
		r.writeAttemptError(w, asAttemptError(err))
		return
	}
	r.relayResponse(ctx, w, q, response)
}

// readBody reads the body of a request until its deadline, which remains set for a streamed body
// until the response starts. If there is no memory for it, the
// connection that holds the most and has made no progress is closed for later ones.
func (r *Router) readBody(w http.ResponseWriter, incoming *http.Request, q *request) *requestError {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(q.deadline)
	invalid := q.readBody(incoming, r.common.Settings.Limits, r.buffers.requests)
	switch {
	case invalid == nil && q.streamedBody == nil:
		_ = controller.SetReadDeadline(time.Time{})
	case invalid == errNoMemory:
		eviction.EvictLargest(incoming.Context(), time.Now(), slowCallerTime)
	}
	return invalid
}

// responseContext returns a context that ends with the caller's connection. It also
// ends with the deadline, but only until a response has started, since a download
// may take longer than the deadline.
func (r *Router) responseContext(connection, deadline context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(connection)
	guard := &deadlineGuard{}
	stop := context.AfterFunc(deadline, func() { guard.cancelUnlessStarted(cancel) })
	ctx = context.WithValue(ctx, deadlineGuardKey{}, guard)
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

type deadlineGuardKey struct{}

// deadlineGuard makes the deadline ineffective once a response has started.
type deadlineGuard struct {
	mu         sync.Mutex
	hasStarted bool
}

func (g *deadlineGuard) markStarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasStarted = true
}

func (g *deadlineGuard) cancelUnlessStarted(cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasStarted {
		cancel(context.DeadlineExceeded)
	}
}

func markResponseStarted(ctx context.Context) {
	if guard, ok := ctx.Value(deadlineGuardKey{}).(*deadlineGuard); ok {
		guard.markStarted()
	}
}

// writeAttemptError writes the error response for a failed attempt: 503 if the request
// did not run, 502 if its response was invalid, else 504.
func (r *Router) writeAttemptError(w http.ResponseWriter, attemptErr *backend.AttemptError) {
	status := http.StatusGatewayTimeout
	if attemptErr.Outcome == redwingstall.OutcomeNotRun {
		status = http.StatusServiceUnavailable
	} else if attemptErr.Reason == backend.ReasonInvalidResponse {
		status = http.StatusBadGateway
	}
	r.writeRefusal(w, refusal{attemptErr.Outcome, attemptErr.Reason, status, ""})
}

const retryAfterSeconds = 1

// writeRefusal writes an error response with the outcome and the reason in its
// headers, and counts the reason.
func (r *Router) writeRefusal(w http.ResponseWriter, refused refusal) {
	r.common.Count("refusals." + string(refused.outcome) + "." + refused.reason)
	header := w.Header()
	header.Set(redwingstall.HeaderOutcome, string(refused.outcome))
	header.Set(redwingstall.HeaderReason, refused.reason)
	if refused.status == http.StatusServiceUnavailable || refused.status == http.StatusConflict {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	body := refused.reason
	if refused.detail != "" {
		body += ": " + refused.detail
	}
	http.Error(w, body, refused.status)
}
