package dispatch

import (
	"strconv"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/traffic/admission"
)

// admit reports whether the request may be sent to the server as far as load is concerned, or why
// not. A hedge is admitted by the expected completion only: it must not count as demand.
func (d *Dispatcher) admit(s *view.Snapshot, j *job, c *choice, now time.Time) (rejection, bool) {
	switch {
	case !d.features().Admission || j.isHedging:
		if d.shouldShed(j, c, now) {
			return rejection{ReasonOverload, d.overloadRetryAfter(j, c.estimate.Completion, now), c}, false
		}
		return rejection{}, true
	case j.admittedTo == c.server.ID:
		// It waited for a permit of the server.
		return rejection{}, true
	}
	c.decision = d.decide(s, j, c, now)
	if !c.decision.IsAdmitted() {
		return d.rejectByValue(j, c), false
	}
	j.admittedTo = c.server.ID
	return rejection{}, true
}

// decide decides on the request by what a response is still worth to its client.
func (d *Dispatcher) decide(s *view.Snapshot, j *job, c *choice, now time.Time) admission.Decision {
	execution, meanExecution := d.Estimator.RouteExecutionTime(j.route.Name), d.Estimator.ServiceExecutionTime(j.service)
	rounds := max(1, (c.estimate.QueueLength+1)/float64(max(c.server.Slots, 1)))
	pace := float64(c.estimate.Completion) / (rounds * float64(execution))
	c.knownFor = now.Sub(c.estimate.ReportedAt)
	if len(s.Peers) <= 1 {
		c.knownFor = 0
	}
	maxBusy := 0.0
	if d.isWarmingUp(c.server, now) {
		maxBusy = s.Config.Services[j.service].WarmupRate * pace * meanExecution.Seconds()
	}
	decide := d.admission.Decide
	if j.preview != nil {
		decide = d.admission.Preview
	} else if !j.isDemandCounted {
		d.Estimator.CountDemand(now, c.server.ID, time.Duration(pace*float64(execution)))
	}
	decision := decide(now, admission.Request{
		Priority: j.priority, Key: j.meta.Key, HasKey: j.isKeyed(), IsReturn: j.isClientRetry, Execution: execution,
		ObjectiveLeft: j.latencyTarget.Sub(now), DeadlineLeft: j.deadline.Sub(now), ReturnLeft: returnLeft(j, now), IsCounted: j.isDemandCounted,
	}, admission.Target{
		Name: c.server.ID, Service: j.service, Slots: c.server.Slots, MaxBusy: maxBusy, Queue: c.estimate.QueueLength, Execution: meanExecution, Pace: pace,
		Demand: c.estimate.Demand, Age: c.knownFor, IsPooled: !j.isKeyed(), Instances: len(s.Peers),
	}, func() float64 { return d.random(j) })
	j.isDemandCounted = true
	c.isDecided = true
	if decision.IsStale {
		d.count(j, "admission.stale")
	}
	return decision
}

// rejectByValue rejects a request that is not admitted, and counts why.
func (d *Dispatcher) rejectByValue(j *job, c *choice) rejection {
	d.count(j, "admission.refused."+string(c.decision.Cause))
	if j.isClientRetry {
		d.count(j, "admission.refusedAgain")
	}
	return rejection{ReasonNotAdmitted, c.decision.RetryAfter, c}
}

// returnLeft returns the time within which the client may return. Its own timeout may be longer
// than that of the route, which bounds one attempt.
func returnLeft(j *job, now time.Time) time.Duration {
	if j.meta.ClientTimeout == 0 {
		return j.deadline.Sub(now)
	}
	return j.request.Arrived.Add(j.meta.ClientTimeout).Sub(now)
}

// decisionFields returns the inputs of the decision on admission and their age, for logs.
func (c *choice) decisionFields() []any {
	if c.decision.IsAdmitted() {
		return nil
	}
	f := func(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }
	return []any{
		"cause", c.decision.Cause, "share", f(c.decision.Share), "room", f(c.decision.Room), "demand", f(c.decision.Demand),
		"before", f(c.decision.Before), "reportAgeMillis", c.knownFor.Milliseconds(),
	}
}

// shouldShed reports whether overload requires the request to be rejected. A first
// attempt of a client is shed if the queue would delay it beyond the latency
// objective: serving it late would delay all requests behind it too. A client's
// retry is the last one, so it is served while it can meet its deadline. A request
// is never shed while a slot is free: the server may be slow only for a moment, and
// no other request waits for the slot.
func (d *Dispatcher) shouldShed(j *job, c *choice, now time.Time) bool {
	if c.estimate.QueueLength < float64(c.server.Slots) {
		return false
	}
	completion := c.estimate.Completion
	if now.Add(time.Duration(float64(completion) * deadlineShare)).After(j.deadline) {
		return true
	}
	return !j.isClientRetry && now.Add(completion).After(j.latencyTarget.Add(d.Estimator.RouteExecutionTime(j.route.Name)/2))
}

// deadlineShare is the fraction of the expected latency that must fit before the
// deadline. Half of the requests take less than expected.
const deadlineShare = 0.7

// overloadRetryAfter returns the delay after which a rejected client should retry:
// long enough for the queue to shrink, and short enough to be served before the
// deadline.
func (d *Dispatcher) overloadRetryAfter(j *job, completion time.Duration, now time.Time) time.Duration {
	const minimum, maxTimeoutShare = 60 * time.Millisecond, 0.3
	excess := completion - j.route.Target/2
	maximum := time.Duration(float64(j.deadline.Sub(now)) * maxTimeoutShare)
	return max(min(excess, maximum), minimum)
}

// notExecutedRetryAfter returns the delay before the retry of a request that servers
// did not execute.
func (d *Dispatcher) notExecutedRetryAfter(j *job) time.Duration {
	return d.Estimator.RouteExecutionTime(j.route.Name) / 2
}

// jitter randomizes a delay, so that clients that were rejected together do not
// retry together.
func (d *Dispatcher) jitter(j *job, retryAfter time.Duration) time.Duration {
	const minFactor, maxFactor = 0.75, 1.5
	return time.Duration(float64(retryAfter) * (minFactor + (maxFactor-minFactor)*d.random(j)))
}

// spreadLater randomizes a delay before whose end a retry is useless.
func (d *Dispatcher) spreadLater(j *job, retryAfter time.Duration) time.Duration {
	const maxExtra = 0.25
	return time.Duration(float64(retryAfter) * (1 + maxExtra*d.random(j)))
}
