package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
)

const (
	// trialPollInterval bounds the wait for the result of a trial, or for a server without
	// one, before the request is judged again.
	trialPollInterval = 20 * time.Millisecond
	// suspectRetryAfter is about the time that a trial takes.
	suspectRetryAfter = 300 * time.Millisecond
	// trialNeighborCost keeps other requests from a server that runs one on trial.
	trialNeighborCost = 200 * time.Millisecond
)

// isolation is what a job knows of its request's part in the end of servers.
type isolation struct {
	once        sync.Once
	fingerprint quarantine.Fingerprint
	// needsTrial is set if the next attempt must be on trial.
	needsTrial bool
}

// fingerprint returns the fingerprint of the request. It is safe for concurrent use.
func (j *job) fingerprint() quarantine.Fingerprint {
	j.isolation.once.Do(func() {
		key := -1
		if j.isKeyed() {
			key = j.meta.Key
		}
		j.isolation.fingerprint = quarantine.NewFingerprint(j.request.Method, j.request.Host, j.request.Target, key, j.request.Body)
	})
	return j.isolation.fingerprint
}

// passQuarantine waits until the request may be sent, at most until its latency objective. It
// returns false with the reason if the request must not be sent.
func (d *Dispatcher) passQuarantine(ctx context.Context, j *job) (rejection, bool) {
	j.isolation.needsTrial = false
	for !d.Quarantine.IsEmpty() {
		changed := d.Quarantine.Changed()
		now := time.Now()
		verdict, after := d.Quarantine.Judge(now, j.fingerprint())
		switch verdict {
		case quarantine.Admit:
			return rejection{}, true
		case quarantine.Try:
			j.isolation.needsTrial = true
			return rejection{}, true
		case quarantine.Reject:
			return rejection{reason: ReasonQuarantined, retryAfter: after}, false
		}
		if j.preview != nil || !d.awaitTrial(ctx, j, changed, after) {
			return rejection{reason: ReasonSuspected, retryAfter: suspectRetryAfter}, false
		}
	}
	return rejection{}, true
}

// awaitTrial waits for a change of the quarantine. It returns false if the request cannot wait
// any longer.
func (d *Dispatcher) awaitTrial(ctx context.Context, j *job, changed <-chan struct{}, atMost time.Duration) bool {
	now := time.Now()
	left := min(j.latencyTarget.Sub(now), j.deadline.Sub(now)-2*d.Estimator.RouteExecutionTime(j.route.Name))
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, atMost, trialPollInterval))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// observeEnd updates the quarantine with an attempt that has ended.
func (d *Dispatcher) observeEnd(ctx context.Context, j *job, a *attempt) {
	server, now := a.choice.server, time.Now()
	switch {
	case a.result.name == resultNoAnswer && d.hasEnded(ctx, a):
		record := d.Quarantine.RecordEnd(now, j.fingerprint(), server.Process(), a.began)
		d.Counter.Count("quarantine.ends")
		if record.State == quarantine.Convicted {
			d.Counter.Count("quarantine.convictions")
		}
		d.Log.Warn("backend server ended under request", "id", j.meta.ID, "route", j.route.Name, "target", j.request.Target, "key", j.meta.Key,
			"server", server.ID, "isOnTrial", a.isOnTrial, "fingerprint", record.Fingerprint, "state", record.State, "convictions", record.Convictions)
	case d.Quarantine.IsEmpty():
	case a.result.isFinal || a.result.isFailure:
		d.Quarantine.Clear(now, j.fingerprint(), a.began)
	case a.isOnTrial:
		d.Quarantine.EndTrial(now, j.fingerprint(), server.Process())
	}
}

// hasEnded reports whether the server of an attempt without an answer has ended, as far as its
// address shows. One that drains ends as planned.
func (d *Dispatcher) hasEnded(ctx context.Context, a *attempt) bool {
	server := a.choice.server
	if current := d.View.Snapshot().ByID[server.ID]; current != nil && current.Draining {
		return false
	}
	return d.endChecks.run(server.Process(), func() bool {
		return d.Backends.HasEnded(context.WithoutCancel(ctx), server.ID, server.Address, a.choice.limits)
	})
}

// endChecks share one check of a server between all attempts that broke off at the same time.
// The zero value is ready to use.
type endChecks struct {
	mu      sync.Mutex
	running map[shardmap.Server]*endCheck
}

type endCheck struct {
	done     chan struct{}
	hasEnded bool
}

func (c *endChecks) run(server shardmap.Server, check func() bool) bool {
	c.mu.Lock()
	if running := c.running[server]; running != nil {
		c.mu.Unlock()
		<-running.done
		return running.hasEnded
	}
	if c.running == nil {
		c.running = map[shardmap.Server]*endCheck{}
	}
	own := &endCheck{done: make(chan struct{})}
	c.running[server] = own
	c.mu.Unlock()
	own.hasEnded = check()
	c.mu.Lock()
	delete(c.running, server)
	c.mu.Unlock()
	close(own.done)
	return own.hasEnded
}

// trialCost replaces the cost of a server for a request on trial, which goes where it harms
// least. Other requests avoid a server that runs one on trial.
func (d *Dispatcher) trialCost(j *job, server *view.Server, queueLength, cost float64) float64 {
	switch {
	case j.isolation.needsTrial:
		return queueLength * float64(time.Second)
	case !d.Quarantine.IsEmpty() && d.Quarantine.HasTrial(time.Now(), server.Process()):
		return cost + float64(trialNeighborCost)
	}
	return cost
}
