package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// attempt is a request that is sent to one server.
type attempt struct {
	choice  *choice
	number  int
	request backends.Request
	began   time.Time
	// isOnTrial is set if the request may have ended a server before.
	isOnTrial bool
	// answer and result are set when the attempt has ended.
	answer backends.Response
	result attemptResult
}

// send makes one attempt. It reports whether the response is final.
func (d *Dispatcher) send(ctx context.Context, j *job, c *choice) (*backends.Response, bool) {
	a := d.begin(j, c)
	if canHedge(j) {
		return d.sendHedged(ctx, j, a)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.run(ctx, j, a)
	return d.finish(j, a)
}

// begin counts an attempt that run must be called for.
func (d *Dispatcher) begin(j *job, c *choice) *attempt {
	j.attempts++
	j.triedServers[c.server.ID] = true
	header := backends.Forwardable(j.request.Header)
	if j.access.isActive {
		// Again, since a client may name any header as one of its connection only.
		d.Protocol.SetAccount(header, j.access.name())
	}
	began := time.Now()
	d.Protocol.SetAttempt(header, c.server.ID, j.deadline.Sub(began))
	d.Estimator.Begin(began, c.server.ID)
	return &attempt{choice: c, number: j.attempts, began: began, isOnTrial: j.isolation.needsTrial, request: backends.Request{
		Method: j.request.Method, Target: j.request.Target, Host: j.request.Host,
		Header: header, Body: j.request.Body, HasBody: j.request.HasBody, BodyRest: j.request.BodyRest, BodyLength: j.request.BodyLength, ID: j.meta.ID,
	}}
}

// run sends an attempt, waits for its end and records what it says about the server. It
// may run concurrently with the job, of which it reads only what does not change.
func (d *Dispatcher) run(ctx context.Context, j *job, a *attempt) {
	server := a.choice.server
	limits := a.choice.limits
	limits.IsNew = a.isOnTrial
	answer, err := d.Backends.Do(ctx, server.ID, server.Address, limits, a.request)
	took := time.Since(a.began)
	result := classifyAttempt(answer, err, ctx.Err() != nil, j.route.Kind)
	open, _ := d.Backends.Connections(server.ID, server.Address)
	isKeyed := j.isKeyed()
	if result.isMisdirected && !isKeyed {
		// The address belongs to another server than the one with this id.
		result.outcome = placement.Failed
	}
	d.Estimator.End(time.Now(), j.route.Name, a.choice.candidate(), placement.Outcome{
		Kind: result.outcome, Elapsed: took, QueueLength: a.choice.estimate.QueueLength, Load: answer.Meta.Load, HasLoad: answer.Meta.HasLoad,
		ResponseBytes: len(answer.Body), OpenConnections: open, IsAnswered: result.isAnswered,
		IsEndless: result.isEndless, IsReplaced: result.isMisdirected && !isKeyed, IsQueueFull: result.isReset && took < queueFullResetTime,
	})
	a.answer, a.result = answer, result
	if !result.isFinal && !result.isFailure {
		answer.Release() // it is not passed on
	} else {
		j.responses.add(&a.answer)
	}
	d.observeEnd(ctx, j, a)
	d.countAttempt(j, a)
	if err == nil {
		d.observeResponse(j, a)
	}
	if result.outcome == placement.Abandoned {
		d.logAbandoned(ctx, j, server.ID)
	}
	if result.name != "success" || a.number > 1 {
		d.logAttempt(j, a, took, err)
	}
}

// logAttempt logs an attempt that has ended, and the connection that tells it from the others at
// its request.
func (d *Dispatcher) logAttempt(j *job, a *attempt, took time.Duration, err error) {
	trace := a.answer.Trace
	if attemptError := (&backends.Error{}); errors.As(err, &attemptError) {
		trace = attemptError.Trace
	}
	d.Log.Info("attempt", "id", j.meta.ID, "route", j.route.Name, "server", a.choice.server.ID, "attempt", a.number,
		"outcome", a.result.name, "status", a.answer.Status, "tookMillis", took.Milliseconds(), "queue", a.choice.estimate.QueueLength,
		"expectedMillis", a.choice.estimate.Completion.Milliseconds(), "view", a.choice.viewAge,
		"connection", trace.Connection, "earlierRequests", trace.EarlierRequests, "strayAnswers", trace.StrayAnswers, "error", errorText(err))
}

// queueFullResetTime is the time within which a server resets a request that does
// not fit into its queue. It includes a round trip between failure domains and a new
// connection.
const queueFullResetTime = 25 * time.Millisecond

func (d *Dispatcher) countAttempt(j *job, a *attempt) {
	d.Counter.Count("attempts." + a.result.name)
	if a.choice.server.FailureDomain != d.FailureDomain {
		d.Counter.Add("answers.farBytes", int64(len(a.answer.Body)))
	}
	if a.result.isMisdirected {
		d.ownerMisses.add(time.Now(), j.service, j.meta.Key, a.choice.server.ID)
	}
}

// finish updates the job with an attempt that has ended. It reports whether the response
// is final, provided that no other attempt is running.
func (d *Dispatcher) finish(j *job, a *attempt) (*backends.Response, bool) {
	j.lastServer = a.choice.server.ID
	j.expectedLatency, j.queueLength = a.choice.estimate.Completion, a.choice.estimate.QueueLength
	if a.result.mayHaveRun {
		j.mayHaveRun = true
	}
	if a.result.isFailure {
		j.lastFailure = &a.answer
		return &a.answer, !d.canRetryFailure(j)
	}
	return &a.answer, a.result.isFinal
}

// logAbandoned logs why an attempt was canceled, and what was known of its server.
func (d *Dispatcher) logAbandoned(ctx context.Context, j *job, server string) {
	now := time.Now()
	cause := cancelCause(ctx)
	known := d.Estimator.Responsiveness(now, server)
	d.Counter.Count("attempts.abandoned." + cause)
	d.Log.Info("attempt canceled", "id", j.meta.ID, "route", j.route.Name, "server", server, "cause", cause,
		"unansweredMillis", known.UnansweredTime.Milliseconds(), "lastAnswerMillis", millisSince(now, known.AnsweredAt),
		"lastReportMillis", millisSince(now, known.ReportedAt), "leftMillis", j.deadline.Sub(now).Milliseconds())
}

// millisSince returns the milliseconds since a time, or -1 if there was none.
func millisSince(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
