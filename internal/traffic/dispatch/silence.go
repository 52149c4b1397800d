package dispatch

import (
	"context"
	"time"

	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// silenceEvery is how often a server that has not answered yet is looked at.
const silenceEvery = 100 * time.Millisecond

// mayGiveUp reports whether another server can stand in for the one that a request
// is about to be sent to.
func (d *Dispatcher) mayGiveUp(j *job) bool {
	return !j.isKeyed() && j.route.Kind.Idempotent() && j.attempts < j.route.MaxAttempts
}

// cancelOnSilence ends the attempt once its server answers no instance any more,
// while there is time for another one. A server that is merely slow is waited for:
// sending the request twice would slow down all of them. The function that it
// returns ends the watch.
func (d *Dispatcher) cancelOnSilence(j *job, c *choice, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		timer := time.NewTimer(placement.MinUnresponsiveTime)
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-timer.C:
				if j.deadline.Sub(now) < 2*d.Estimator.RouteExecutionTime(j.route.Name) {
					return
				}
				if d.Estimator.IsUnresponsive(now, j.route.Name, c.candidate()) {
					cancel()
					return
				}
				timer.Reset(silenceEvery)
			}
		}
	}()
	return func() { close(done) }
}
