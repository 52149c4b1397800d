package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/alexedwards/flow"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/home"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/peer"
	"github.com/redwingstall/redwingstall/pkg/view"
)

// Readiness tells whether the instance may take requests.
type Readiness interface {
	IsReady() bool
}

// Config are what a router works with.
type Config struct {
	Voter     *membership.Voter
	View      *view.View
	Pools     *home.Manager
	Peers     *peer.Clients
	Journal   *journal.Journal
	Readiness Readiness
}

// Router serves callers, and requests that other instances forward.
type Router struct {
	common   *common.Common
	parts    Config
	policies *policies
	// active counts the requests under way, for a graceful shutdown.
	active sync.WaitGroup
	done   chan struct{}
	stop   context.Context
	halt   context.CancelFunc
}

// NewRouter returns a router.
func NewRouter(c *common.Common, parts Config) *Router {
	stop, halt := context.WithCancel(context.Background())
	return &Router{
		common:   c,
		parts:    parts,
		policies: newPolicies(c.Settings.Policy),
		done:     make(chan struct{}),
		stop:     stop,
		halt:     halt,
	}
}

// Done is closed when Close has ended every request and every record of one.
func (r *Router) Done() <-chan struct{} { return r.done }

// Close waits for what is under way, or until the context ends.
func (r *Router) Close(ctx context.Context) {
	defer close(r.done)
	finished := make(chan struct{})
	go func() {
		r.active.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		r.common.Count("shutdown.cut")
	}
	r.halt()
}

func (r *Router) now() time.Time { return r.common.Clock.Now() }

// Handler serves callers and the balancer's health check.
func (r *Router) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/healthz", r.health, http.MethodGet)
	mux.HandleFunc(pathPrefix+"...", r.serve)
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.refuse(w, refused{redwingstall.OutcomeNotRun, "badPath", http.StatusNotFound, "the path is /v1/account/service/key"})
	})
	return mux
}

func (r *Router) health(w http.ResponseWriter, _ *http.Request) {
	if !r.parts.Readiness.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serve answers one caller.
func (r *Router) serve(w http.ResponseWriter, incoming *http.Request) {
	r.active.Add(1)
	defer r.active.Done()
	r.common.Count("requests.received")
	q, bad := parse(incoming, r.parts.View.Snapshot().Service, r.common.Settings.Policy, r.common.Settings.Limits, r.now())
	if bad != nil {
		r.refuse(w, refused{redwingstall.OutcomeNotRun, bad.reason, bad.status, bad.detail})
		return
	}
	w.Header().Set(redwingstall.HeaderRequestID, q.id)
	ctx, cancel := context.WithDeadline(incoming.Context(), q.deadline)
	defer cancel()
	if q.isJournaled() {
		r.serveJournaled(ctx, w, q)
		return
	}
	ctx, release := r.answerContext(incoming.Context(), ctx)
	defer release()
	answer, err := r.send(ctx, q, q.header)
	if err != nil {
		r.refuseAttempt(w, asAttempt(err))
		return
	}
	r.pass(ctx, w, q, answer)
}

// answerContext ends with the caller's connection, and with the deadline only
// until an answer has begun: a download takes as long as it takes.
func (r *Router) answerContext(connection, deadline context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(connection)
	begun := &deadlineGuard{}
	stop := context.AfterFunc(deadline, func() { begun.expire(cancel) })
	ctx = context.WithValue(ctx, guardKey{}, begun)
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

type guardKey struct{}

// deadlineGuard lets the deadline pass once an answer has begun.
type deadlineGuard struct {
	mu    sync.Mutex
	begun bool
}

func (g *deadlineGuard) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = true
}

func (g *deadlineGuard) expire(cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.begun {
		cancel(context.DeadlineExceeded)
	}
}

func beginAnswer(ctx context.Context) {
	if guard, ok := ctx.Value(guardKey{}).(*deadlineGuard); ok {
		guard.begin()
	}
}

// refuseAttempt tells the caller why there is no answer.
func (r *Router) refuseAttempt(w http.ResponseWriter, attempt *backend.AttemptError) {
	status := http.StatusGatewayTimeout
	if attempt.Outcome == redwingstall.OutcomeNotRun {
		status = http.StatusServiceUnavailable
	}
	r.refuse(w, refused{attempt.Outcome, attempt.Reason, status, ""})
}

const retryAfterSeconds = 1

// refuse tells the caller that there is no answer, and counts the reason.
func (r *Router) refuse(w http.ResponseWriter, no refused) {
	r.common.Count("refusals." + string(no.outcome) + "." + no.reason)
	header := w.Header()
	header.Set(redwingstall.HeaderOutcome, string(no.outcome))
	header.Set(redwingstall.HeaderReason, no.reason)
	if no.status == http.StatusServiceUnavailable || no.status == http.StatusConflict {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	text := no.reason
	if no.detail != "" {
		text += ": " + no.detail
	}
	http.Error(w, text, no.status)
}
