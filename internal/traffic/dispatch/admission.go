package dispatch

import (
	"time"
)

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
func (d *Dispatcher) jitter(retryAfter time.Duration) time.Duration {
	const minFactor, maxFactor = 0.75, 1.5
	return time.Duration(float64(retryAfter) * (minFactor + (maxFactor-minFactor)*d.Random()))
}

// spreadLater randomizes a delay before whose end a retry is useless.
func (d *Dispatcher) spreadLater(retryAfter time.Duration) time.Duration {
	const maxExtra = 0.25
	return time.Duration(float64(retryAfter) * (1 + maxExtra*d.Random()))
}
