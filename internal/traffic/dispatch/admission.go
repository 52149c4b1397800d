package dispatch

import (
	"time"
)

// isTooLate decides who is served under overload. A request that comes for the
// first time is refused if the queue would keep it beyond the latency objective:
// serving it late would make all that follow late too. Whoever was refused before
// has no further try, and is served while it can be in time. A free slot is never
// refused: what is slow at the moment may not stay so, and nobody is kept waiting.
func (d *Dispatcher) isTooLate(j *job, c *choice, now time.Time) bool {
	if c.estimate.QueueLength < float64(c.server.Slots) {
		return false
	}
	completion := c.estimate.Completion
	if now.Add(time.Duration(float64(completion) * deadlineShare)).After(j.deadline) {
		return true
	}
	return !j.isReturn && now.Add(completion).After(j.target.Add(d.Estimator.RouteExecutionTime(j.route.Name)/2))
}

// deadlineShare of the expected time must fit before the deadline; half of the
// requests take less than expected.
const deadlineShare = 0.7

// roomPause is when a refused client should come back: when enough of the queue
// has been worked off, and early enough to be served before its deadline.
func (d *Dispatcher) roomPause(j *job, completion time.Duration, now time.Time) time.Duration {
	const least, mostOfPatience = 60 * time.Millisecond, 0.3
	excess := completion - j.route.Target/2
	most := time.Duration(float64(j.deadline.Sub(now)) * mostOfPatience)
	return max(min(excess, most), least)
}

// retryPause is when a request that servers would not run may come back.
func (d *Dispatcher) retryPause(j *job) time.Duration {
	return d.Estimator.RouteExecutionTime(j.route.Name) / 2
}

// spread keeps clients that were refused together from returning together.
func (d *Dispatcher) spread(pause time.Duration) time.Duration {
	const least, most = 0.75, 1.5
	return time.Duration(float64(pause) * (least + (most-least)*d.Random()))
}
