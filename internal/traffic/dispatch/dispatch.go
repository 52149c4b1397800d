// Package dispatch takes one request from its arrival to its final answer.
package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/routing/table"
	"github.com/redwingstall/redwingstall/internal/traffic/budget"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
)

// Request is one request of a client, read whole.
type Request struct {
	Method  string
	Target  string
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool
	Arrived time.Time
}

// Reasons of answers that the router makes itself. Counters carry their names.
const (
	ReasonServed          = "served"
	ReasonBadRequest      = "badRequest"
	ReasonNoConfiguration = "noConfiguration"
	ReasonNoRoute         = "noRoute"
	ReasonNoServer        = "noServer"
	ReasonNoOwner         = "noOwner"
	ReasonOverload        = "overload"
	ReasonTimeout         = "timeout"
	ReasonNotExecuted     = "notExecuted"
	ReasonUnknown         = "outcomeUnknown"
	ReasonClientGone      = "clientGone"
)

// Backends sends attempts.
type Backends interface {
	Do(ctx context.Context, id, address string, limits backends.Limits, request backends.Request) (backends.Answer, error)
	Connections(id, address string) (open, idle int)
}

// Counter counts events and measures latencies.
type Counter interface {
	Count(name string)
	Add(name string, n int64)
	Latency(name string, took time.Duration)
}

// KeyCounter learns which keys are asked for.
type KeyCounter interface {
	CountKey(now time.Time, service string, key int)
}

// Parts that a dispatcher works with.
type Parts struct {
	Self          string
	FailureDomain string
	View          *view.View
	Backends      Backends
	Protocol      redwingstall.GatewayProtocol
	Estimator     *placement.Estimator
	Budget        *budget.Budget
	Pace          *pace.Limiter
	Keys          KeyCounter
	Counter       Counter
	Log           *slog.Logger
	// WarmupOverrun and WarmupSlack bound the requests a second at a cold server.
	WarmupOverrun float64
	WarmupSlack   float64
	// DrainLimit and EvacuateLimit are how long after its leaving, or that of its
	// failure domain, was told an owner of keys may
	// still get requests, until they have moved.
	DrainLimit    time.Duration
	EvacuateLimit time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Parts
	owners   ownerMisses
	patience patience
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(parts Parts) *Dispatcher {
	return &Dispatcher{Parts: parts}
}

// job is a request on its way.
type job struct {
	request  Request
	meta     redwingstall.RequestMeta
	route    *table.Route
	service  string
	spec     redwingstall.ServiceSpec
	deadline time.Time
	// target is when the answer loses its full worth to the client.
	target   time.Time
	tried    map[string]bool
	attempts int
	// mayHaveRun is set once an attempt ended without a clear outcome.
	mayHaveRun bool
	lastServer string
	// isReturn is a client that was refused before and has come back.
	isReturn bool
	// expected and queue are what the last attempt was sent with.
	expected time.Duration
	queue    float64
	// failure is the last answer of a server that was not a success.
	failure *backends.Answer
	waited  time.Duration
}

// isKeyed reports whether only the owner of its key may run the request.
func (j *job) isKeyed() bool { return j.spec.Sharded && j.meta.HasKey }

// Serve returns the final answer. The context ends when the client leaves.
func (d *Dispatcher) Serve(ctx context.Context, request Request) backends.Answer {
	j := &job{request: request, tried: map[string]bool{}}
	answer, reason := d.serve(ctx, j)
	d.record(j, answer, reason)
	return answer
}

func (d *Dispatcher) serve(ctx context.Context, j *job) (backends.Answer, string) {
	meta, err := d.Protocol.Request(j.request.Header)
	j.meta = meta
	if err != nil {
		d.Log.Info("request unreadable", "id", meta.ID, "error", err.Error())
		return d.own(j, http.StatusBadRequest, 0), ReasonBadRequest
	}
	s := d.View.Snapshot()
	if s.Config == nil {
		return d.own(j, http.StatusServiceUnavailable, noConfigurationPause), ReasonNoConfiguration
	}
	j.route = s.Routes.Find(j.request.Host, j.request.Path)
	if j.route == nil {
		return d.own(j, http.StatusNotFound, 0), ReasonNoRoute
	}
	j.service = j.route.NextService()
	j.spec = s.Config.Services[j.service]
	j.deadline = deadline(j)
	gone := d.patience.gone(j.route.Name, meta.ClientTimeout)
	j.isReturn = gone > 0
	j.target = j.request.Arrived.Add(j.route.Target - gone)
	d.Budget.Count(j.request.Arrived, j.service)
	if j.isKeyed() {
		d.Keys.CountKey(j.request.Arrived, j.service, meta.Key)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	return d.attempt(ctx, j)
}

// deadline is the earlier one of the client's and the operator's.
func deadline(j *job) time.Time {
	wait := j.route.Timeout
	if j.meta.ClientTimeout > 0 && (wait == 0 || j.meta.ClientTimeout < wait) {
		wait = j.meta.ClientTimeout
	}
	if wait == 0 {
		wait = defaultTimeout
	}
	return j.request.Arrived.Add(wait)
}

const (
	// defaultTimeout for routes and clients that name none.
	defaultTimeout = 30 * time.Second
	// noConfigurationPause is about what a start takes.
	noConfigurationPause = 300 * time.Millisecond
	// leastTime is the least that a send is worth; a server could not answer.
	leastTime = 15 * time.Millisecond
)

// attempt sends the request until it has an answer or no more sends are allowed.
func (d *Dispatcher) attempt(ctx context.Context, j *job) (backends.Answer, string) {
	for {
		choice, refusal := d.choose(ctx, j)
		if choice == nil {
			d.tellRefusal(j, refusal)
			return d.give(ctx, j, refusal)
		}
		if j.attempts > 0 && !d.mayRepeat(j) {
			d.Counter.Count("retries.refused.budget")
			return d.give(ctx, j, refused{reason: ReasonNotExecuted, pause: choice.estimate.Completion / 2})
		}
		answer, isFinal := d.send(ctx, j, choice)
		if isFinal {
			return *answer, ReasonServed
		}
		if ctx.Err() != nil || j.attempts >= j.route.MaxAttempts || j.mayHaveRun && !j.route.Kind.Idempotent() {
			return d.give(ctx, j, refused{reason: ReasonNotExecuted, pause: d.retryPause(j)})
		}
	}
}

// tellRefusal logs what a refusal was decided from.
func (d *Dispatcher) tellRefusal(j *job, r refused) {
	if r.best == nil {
		return
	}
	d.Log.Info("refusal", "id", j.meta.ID, "route", j.route.Name, "server", r.best.server.ID, "queue", r.best.estimate.QueueLength,
		"expectedMillis", r.best.estimate.Completion.Milliseconds(), "isResting", r.best.estimate.IsEjected, "isReturn", j.isReturn,
		"targetLeftMillis", time.Until(j.target).Milliseconds(), "leftMillis", time.Until(j.deadline).Milliseconds(),
		"retryAfterMillis", r.pause.Milliseconds(), "view", r.best.viewAge)
}

// mayRepeat draws on the shared budget. What was not run at all is more worth
// a repeat than what failed, which may fail again.
func (d *Dispatcher) mayRepeat(j *job) bool {
	reserve := 0.0
	if j.failure != nil || j.mayHaveRun {
		reserve = failureReserve
	}
	return d.Budget.Take(time.Now(), j.service, len(d.View.Snapshot().Peers), reserve)
}

// failureReserve is the part of the budget kept for requests that were not run.
const failureReserve = 0.3

// send makes one attempt. It reports whether its answer is the final one.
func (d *Dispatcher) send(ctx context.Context, j *job, c *choice) (*backends.Answer, bool) {
	server := c.server
	j.attempts++
	j.tried[server.ID] = true
	j.lastServer = server.ID
	j.expected, j.queue = c.estimate.Completion, c.estimate.QueueLength
	header := backends.Forwardable(j.request.Header)
	began := time.Now()
	d.Protocol.Attempt(header, server.ID, j.deadline.Sub(began))
	d.Estimator.Begin(began, server.ID)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if d.mayGiveUp(j) {
		defer d.cancelOnSilence(j, c, cancel)()
	}
	answer, err := d.Backends.Do(attemptCtx, server.ID, server.Address, c.limits, backends.Request{
		Method: j.request.Method, Target: j.request.Target, Host: j.request.Host,
		Header: header, Body: j.request.Body, HasBody: j.request.HasBody, ID: j.meta.ID,
	})
	took := time.Since(began)
	verdict := judge(answer, err, attemptCtx.Err() != nil)
	open, _ := d.Backends.Connections(server.ID, server.Address)
	isKeyed := j.isKeyed()
	if verdict.isMisdirected && !isKeyed {
		// Whoever has the address now, it is not the server of this id.
		verdict.teaches = placement.Failed
	}
	d.Estimator.End(time.Now(), j.route.Name, c.candidate(), placement.Outcome{
		Kind: verdict.teaches, Elapsed: took, QueueLength: c.estimate.QueueLength, Load: answer.Meta.Load, HasLoad: answer.Meta.HasLoad,
		ResponseBytes: len(answer.Body), OpenConnections: open, IsAnswered: err == nil,
		IsReplaced: verdict.isMisdirected && !isKeyed, IsQueueFull: verdict.isReset && took < fullReset,
	})
	d.Counter.Count("attempts." + verdict.name)
	if server.FailureDomain != d.FailureDomain {
		d.Counter.Add("answers.farBytes", int64(len(answer.Body)))
	}
	if verdict.isMisdirected {
		d.owners.miss(time.Now(), j.service, j.meta.Key, server.ID)
	}
	if verdict.name != "success" {
		d.Log.Info("attempt", "id", j.meta.ID, "route", j.route.Name, "server", server.ID, "attempt", j.attempts,
			"outcome", verdict.name, "status", answer.Status, "tookMillis", took.Milliseconds(), "queue", c.estimate.QueueLength,
			"expectedMillis", c.estimate.Completion.Milliseconds(), "view", c.viewAge, "error", errorText(err))
	}
	if verdict.mayHaveRun {
		j.mayHaveRun = true
	}
	if verdict.isFailure {
		j.failure = &answer
		return &answer, !d.isWorthRepeating(j)
	}
	return &answer, verdict.isFinal
}

// fullReset is within what a server takes to turn away a request that its queue
// has no place for, over a round trip between failure domains and a new
// connection.
const fullReset = 25 * time.Millisecond

// isWorthRepeating reports whether a server's failure may be asked for again.
func (d *Dispatcher) isWorthRepeating(j *job) bool {
	left := time.Until(j.deadline)
	return j.route.Kind.Idempotent() && j.attempts < j.route.MaxAttempts && left > d.Estimator.RouteExecutionTime(j.route.Name)/2
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// give makes the final answer of a request that no further server gets.
func (d *Dispatcher) give(ctx context.Context, j *job, r refused) (backends.Answer, string) {
	switch {
	case j.failure != nil:
		return *j.failure, "serverFailure"
	case j.mayHaveRun && !time.Now().Before(j.deadline):
		return d.own(j, http.StatusGatewayTimeout, 0), ReasonTimeout
	case j.mayHaveRun:
		return d.own(j, http.StatusBadGateway, 0), ReasonUnknown
	case ctx.Err() != nil && time.Now().Before(j.deadline):
		return d.own(j, http.StatusServiceUnavailable, 0), ReasonClientGone
	}
	return d.own(j, http.StatusServiceUnavailable, max(r.pause, leastPause)), r.reason
}

// own is an answer of the router itself.
func (d *Dispatcher) own(j *job, status int, pause time.Duration) backends.Answer {
	header := http.Header{}
	d.Protocol.Echo(header, j.meta.ID)
	if pause > 0 {
		d.Protocol.RetryAfter(header, d.spread(pause))
	}
	return backends.Answer{Status: status, Header: header}
}

// record counts and logs the end of a request.
func (d *Dispatcher) record(j *job, answer backends.Answer, reason string) {
	took := time.Since(j.request.Arrived)
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	d.Counter.Count("requests." + reason)
	d.Counter.Latency("requests", took)
	d.Log.Info("request", "id", j.meta.ID, "route", route, "service", j.service, "key", j.meta.Key, "status", answer.Status,
		"reason", reason, "server", j.lastServer, "attempts", j.attempts, "tookMillis", took.Milliseconds(),
		"waitedMillis", j.waited.Milliseconds(), "expectedMillis", j.expected.Milliseconds(), "queue", j.queue,
		"isReturn", j.isReturn, "targetMillis", j.target.Sub(j.request.Arrived).Milliseconds(), "view", d.View.Snapshot().Age)
}
