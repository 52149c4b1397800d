// Package dispatch serves client requests: it selects a backend server, sends the
// attempts and returns the final response.
package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/routing/table"
	"github.com/redwingstall/redwingstall/internal/traffic/admission"
	"github.com/redwingstall/redwingstall/internal/traffic/budget"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
)

// Request is a client request whose header has been read.
type Request struct {
	Method string
	Target string
	Path   string
	Host   string
	Header http.Header
	// Body is the body, or its start if BodyRest is set.
	Body    []byte
	HasBody bool
	// BodyRest reads the rest of the body from the client, or is nil.
	BodyRest backends.BodyRest
	// BodyLength is the total size of the body in bytes, or -1 if it is unknown.
	BodyLength int64
	Arrived    time.Time
}

// canBeSent reports whether the whole body is still there to be sent.
func (r *Request) canBeSent() bool { return r.BodyRest == nil || !r.BodyRest.IsStarted() }

// Reasons why a request ended. All but ReasonServed belong to responses that the
// router generates itself. Metrics use these names.
const (
	ReasonServed          = "served"
	ReasonBadRequest      = "badRequest"
	ReasonNoConfiguration = "noConfiguration"
	ReasonNoRoute         = "noRoute"
	ReasonNoServer        = "noServer"
	ReasonNoOwner         = "noOwner"
	ReasonOverload        = "overload"
	ReasonNotAdmitted     = "notAdmitted"
	ReasonServerLimit     = "serverLimit"
	ReasonServerBackoff   = "serverBackoff"
	ReasonTimeout         = "timeout"
	ReasonNotExecuted     = "notExecuted"
	ReasonUnknown         = "outcomeUnknown"
	ReasonClientGone      = "clientGone"
	ReasonStopping        = "stopping"
	ReasonSuspected       = "suspected"
	ReasonQuarantined     = "quarantined"
)

// Backends sends attempts to backend servers and reports the connections to them.
type Backends interface {
	Do(ctx context.Context, id, address string, limits backends.Limits, request backends.Request) (backends.Response, error)
	Connections(id, address string) (open, idle int)
	// HasEnded reports whether nothing listens at the server's address any more.
	HasEnded(ctx context.Context, id, address string, limits backends.Limits) bool
}

// Counter counts events and records latencies.
type Counter interface {
	Count(name string)
	Add(name string, n int64)
	RecordLatency(name string, took time.Duration)
}

// KeyCounter counts the requests for each key.
type KeyCounter interface {
	CountKey(now time.Time, service string, key int)
}

// Config holds the dependencies and settings of a dispatcher.
type Config struct {
	InstanceName  string
	FailureDomain string
	View          *view.View
	Backends      Backends
	Protocol      redwingstall.GatewayProtocol
	Estimator     *placement.Estimator
	Budget        *budget.Budget
	WarmupLimiter *pace.Limiter
	// ServerLimiter keeps the limits that servers name for all instances together.
	ServerLimiter *serverlimit.Limiter
	// Quarantine keeps requests away that end servers.
	Quarantine *quarantine.Table
	KeyCounter KeyCounter
	Counter    Counter
	Log        *slog.Logger
	// WarmupOverrun and WarmupSlack limit the requests per second to a server that
	// warms up: a factor on the warm-up rate of its service, and an additional
	// allowance in requests.
	WarmupOverrun float64
	WarmupSlack   float64
	// DrainTimeout and EvacuateTimeout bound how long the owner of keys still receives
	// requests after it announced that it drains, or after its failure domain was
	// evacuated. Its keys move to other servers in the meantime.
	DrainTimeout    time.Duration
	EvacuateTimeout time.Duration
	// StopAt returns when the instance cancels the requests that it still serves, or the zero
	// time while it does not shut down.
	StopAt func() time.Time
	// Features returns the optional features in use. Nil means none.
	Features func() features.Set
	// Accounts decides about requests where the configuration has client accounts.
	Accounts accounts.Policy
	// Quota limits the requests of client accounts. Nil means no limits.
	Quota Quota
	// Clock is the clock of package boottime. Nil means that one.
	Clock func() time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Config
	ownerMisses    ownerMisses
	releases       knownReleases
	clientTimeouts clientTimeouts
	admission      admission.Controller
	endChecks      endChecks
	preferred      preferredSlots
	accountLabels  accountLabels
	// priorities are those of the configuration that was last in use.
	priorities atomic.Pointer[priorities]
	// backoffs are the servers that want no requests from this instance for a time, and
	// warmups those that are in warm-up by their own word.
	backoffs placement.Timers
	warmups  placement.Timers
}

func (d *Dispatcher) features() features.Set {
	if d.Features == nil {
		return features.Set{}
	}
	return d.Features()
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(parts Config) *Dispatcher {
	return &Dispatcher{Config: parts}
}

// job is the state of one request while it is served.
type job struct {
	request Request
	meta    redwingstall.RequestMeta
	route   *table.Route
	access  access
	// priority is that of the client account, else that of the route; 0 is the highest.
	priority int
	service  string
	spec     redwingstall.ServiceSpec
	deadline time.Time
	// latencyTarget is the latest time at which a response meets the latency
	// objective.
	latencyTarget time.Time
	triedServers  map[string]bool
	attempts      int
	// mayHaveRun is set once a server may have executed an attempt without a
	// successful response.
	mayHaveRun bool
	lastServer string
	// isClientRetry is set if the client was rejected before and retries.
	isClientRetry bool
	// expectedLatency and queueLength are the estimates that the last attempt was
	// based on.
	expectedLatency time.Duration
	queueLength     float64
	// lastFailure is the last server error that may be returned to the client.
	lastFailure *backends.Response
	// responses are those that may be passed on to the client.
	responses responses
	ownerWait time.Duration
	// isHedging is set while a server for a hedge is chosen, which must not wait.
	isHedging bool
	// permitWait is the time that was spent on permits for servers with a limit.
	permitWait time.Duration
	isolation  isolation
	// admittedTo is the server that the request was last admitted to, and isDemandCounted is
	// set once it counts as demand.
	admittedTo      string
	isDemandCounted bool
	// preview is set if the request is not to be sent.
	preview *preview
}

// isKeyed reports whether only the owner of its key may run the request.
func (j *job) isKeyed() bool { return j.spec.Sharded && j.meta.HasKey }

// Serve returns the final response, which the caller releases. The context is canceled when the
// client disconnects.
func (d *Dispatcher) Serve(ctx context.Context, request Request) backends.Response {
	j := &job{request: request, triedServers: map[string]bool{}}
	answer, reason := d.serve(ctx, j)
	d.refundUnused(j, reason)
	j.responses.releaseOthers(answer)
	d.record(j, answer, reason)
	return answer
}

func (d *Dispatcher) serve(ctx context.Context, j *job) (backends.Response, string) {
	meta, err := d.Protocol.ParseRequest(j.request.Header)
	j.meta = meta
	if err != nil {
		d.Log.Info("invalid request headers", "id", meta.ID, "error", err.Error())
		return d.routerAnswer(j, http.StatusBadRequest, 0), ReasonBadRequest
	}
	if answer, reason, isReady := d.prepare(j); !isReady {
		return answer, reason
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	return d.sendUntilFinal(ctx, j)
}

// prepare finds the route, the client account, the service and the deadline of a request. It
// returns false with the response if the request is refused.
func (d *Dispatcher) prepare(j *job) (answer backends.Response, reason string, isReady bool) {
	s := d.View.Snapshot()
	if s.Config == nil {
		return d.routerAnswer(j, http.StatusServiceUnavailable, d.jitter(j, noConfigurationRetryAfter)), ReasonNoConfiguration, false
	}
	j.route = s.Routes.Find(j.request.Host, j.request.Path)
	if j.route == nil {
		return d.routerAnswer(j, http.StatusNotFound, 0), ReasonNoRoute, false
	}
	if answer, reason, isAdmitted := d.checkAccess(j); !isAdmitted {
		return answer, reason, false
	}
	if j.preview != nil {
		j.service = j.route.PeekService()
	} else {
		j.service = j.route.NextService()
	}
	j.spec = s.Config.Services[j.service]
	j.deadline = deadline(j)
	elapsed := d.clientTimeouts.elapsedBefore(j.route.Name, j.meta.ClientTimeout, j.preview != nil)
	j.isClientRetry = elapsed > 0
	j.latencyTarget = j.request.Arrived.Add(j.route.Target - elapsed)
	if j.preview != nil {
		return answer, "", true
	}
	d.Budget.CountRequest(j.request.Arrived, j.service, len(s.Peers))
	if j.isKeyed() {
		d.KeyCounter.CountKey(j.request.Arrived, j.service, j.meta.Key)
	}
	return answer, "", true
}

// deadline returns the earlier deadline of the client's timeout and the route's.
func deadline(j *job) time.Time {
	timeout := j.route.Timeout
	if j.meta.ClientTimeout > 0 && (timeout == 0 || j.meta.ClientTimeout < timeout) {
		timeout = j.meta.ClientTimeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return j.request.Arrived.Add(timeout)
}

const (
	// defaultTimeout applies if neither the route nor the client sets a timeout.
	defaultTimeout = 30 * time.Second
	// noConfigurationRetryAfter is about the time that an instance needs to start.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// minAttemptTime is the least time before the deadline in which an attempt is
	// sent. A server could not answer in less.
	minAttemptTime = 15 * time.Millisecond
)

// sendUntilFinal sends the request until it has a final response or no further attempt is
// allowed.
func (d *Dispatcher) sendUntilFinal(ctx context.Context, j *job) (backends.Response, string) {
	for {
		if rejected, isPassed := d.passQuarantine(ctx, j); !isPassed {
			return d.finalAnswer(ctx, j, rejected)
		}
		choice, rejected := d.choose(ctx, j)
		if choice == nil {
			d.logRejection(j, rejected)
			return d.finalAnswer(ctx, j, rejected)
		}
		if j.attempts > 0 && !d.takeRetryBudget(j, j.lastFailure != nil || j.mayHaveRun) {
			d.Counter.Count("retries.refused.budget")
			return d.finalAnswer(ctx, j, rejection{reason: ReasonNotExecuted, retryAfter: choice.estimate.Completion / 2})
		}
		if j.isolation.needsTrial && !d.Quarantine.BeginTrial(time.Now(), j.fingerprint(), choice.server.Process()) {
			if !d.awaitTrial(ctx, j, nil, trialPollInterval) {
				return d.finalAnswer(ctx, j, rejection{reason: ReasonSuspected, retryAfter: suspectRetryAfter})
			}
			continue
		}
		answer, isFinal := d.send(ctx, j, choice)
		if isFinal {
			return *answer, ReasonServed
		}
		if ctx.Err() != nil || !d.mayRetry(j) {
			return d.finalAnswer(ctx, j, rejection{reason: ReasonNotExecuted, retryAfter: d.notExecutedRetryAfter(j)})
		}
	}
}

// mayRetry reports whether the request may be sent to another server.
func (d *Dispatcher) mayRetry(j *job) bool {
	return j.attempts < j.route.MaxAttempts && (!j.mayHaveRun || j.route.Kind.IsIdempotent()) && j.request.canBeSent()
}

// logRejection logs the estimates that a rejection was based on.
func (d *Dispatcher) logRejection(j *job, r rejection) {
	if r.best == nil {
		return
	}
	d.Log.With(r.best.decisionFields()...).Info("refusal", "id", j.meta.ID, "route", j.route.Name, "server", r.best.server.ID, "queue", r.best.estimate.QueueLength,
		"expectedMillis", r.best.estimate.Completion.Milliseconds(), "isResting", r.best.estimate.IsEjected, "isReturn", j.isClientRetry,
		"targetLeftMillis", time.Until(j.latencyTarget).Milliseconds(), "leftMillis", time.Until(j.deadline).Milliseconds(),
		"retryAfterMillis", r.retryAfter.Milliseconds(), "view", r.best.viewAge)
}

// takeRetryBudget reports whether the retry budget allows another attempt, and
// counts it. Requests that were not executed may use more of the budget than those that a
// server may have executed, which may fail again.
func (d *Dispatcher) takeRetryBudget(j *job, mayHaveRun bool) bool {
	reserve := 0.0
	if mayHaveRun {
		reserve = failureReserve
	}
	return d.Budget.Allow(time.Now(), j.service, len(d.View.Snapshot().Peers), reserve)
}

// failureReserve is the fraction of the retry budget that is kept for requests that
// were not executed.
const failureReserve = 0.3

// canRetryFailure reports whether a request that a server failed may be sent again.
func (d *Dispatcher) canRetryFailure(j *job) bool {
	left := time.Until(j.deadline)
	return d.mayRetry(j) && left > d.Estimator.RouteExecutionTime(j.route.Name)/2
}

// finalAnswer returns the final response of a request that is not sent again.
func (d *Dispatcher) finalAnswer(ctx context.Context, j *job, r rejection) (backends.Response, string) {
	switch {
	case j.lastFailure != nil:
		return *j.lastFailure, "serverFailure"
	case j.mayHaveRun && !time.Now().Before(j.deadline):
		return d.routerAnswer(j, http.StatusGatewayTimeout, 0), ReasonTimeout
	case j.mayHaveRun:
		return d.routerAnswer(j, http.StatusBadGateway, 0), ReasonUnknown
	case ctx.Err() != nil && time.Now().Before(j.deadline):
		return d.routerAnswer(j, http.StatusServiceUnavailable, 0), ReasonClientGone
	}
	return d.routerAnswer(j, http.StatusServiceUnavailable, d.toldRetryAfter(j, r)), r.reason
}

// toldRetryAfter returns the time after which a rejected client is told to return.
func (d *Dispatcher) toldRetryAfter(j *job, r rejection) time.Duration {
	retryAfter := max(r.retryAfter, minRetryAfter)
	isOwnerExpectedLater := r.reason == ReasonNoOwner && r.retryAfter > noOwnerRetryAfter
	switch {
	case r.reason == ReasonNotAdmitted:
		return retryAfter // it is spread already
	case r.reason == ReasonServerLimit, r.reason == ReasonServerBackoff, r.reason == ReasonQuarantined, isOwnerExpectedLater:
		// A client that returns earlier is refused again.
		return d.spreadLater(j, retryAfter)
	}
	return d.jitter(j, retryAfter)
}

// routerAnswer returns a response that the router generates itself.
func (d *Dispatcher) routerAnswer(j *job, status int, retryAfter time.Duration) backends.Response {
	header := http.Header{}
	d.Protocol.SetRequestID(header, j.meta.ID)
	if retryAfter > 0 {
		d.Protocol.SetRetryAfter(header, retryAfter)
	}
	return backends.Response{Status: status, Header: header}
}

// record logs a completed request and updates the metrics.
func (d *Dispatcher) record(j *job, answer backends.Response, reason string) {
	took := time.Since(j.request.Arrived)
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	d.Counter.Count("requests." + reason)
	d.countAccount(j, reason)
	d.Counter.RecordLatency("requests", took)
	d.Log.Info("request", "id", j.meta.ID, "route", route, "account", j.access.name(), "priority", j.priority, "service", j.service, "key", j.meta.Key, "status", answer.Status,
		"reason", reason, "server", j.lastServer, "attempts", j.attempts, "tookMillis", took.Milliseconds(),
		"waitedMillis", j.ownerWait.Milliseconds(), "permitMillis", j.permitWait.Milliseconds(), "expectedMillis", j.expectedLatency.Milliseconds(), "queue", j.queueLength,
		"isReturn", j.isClientRetry, "targetMillis", j.latencyTarget.Sub(j.request.Arrived).Milliseconds(), "view", d.View.Snapshot().Sequence)
}
