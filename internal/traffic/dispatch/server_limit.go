package dispatch

import (
	"context"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
)

const (
	// permitWaitShare is the part of the time before the latency objective for which a
	// request may wait for a permit. The rest allows for work that takes longer than
	// expected.
	permitWaitShare = 0.5
	// lessUrgentShare is the part of that for requests of a service that also serves more
	// urgent ones: when permits are scarce, it leaves them to these.
	lessUrgentShare = 0.5
	// maxPermitAge is how late a permit may be used. A process that was suspended asks for
	// another one.
	maxPermitAge = 250 * time.Millisecond
	// maxPermitQueries bounds the servers that one request asks a permit for.
	maxPermitQueries = 3
)

// hasPermitRoom reports whether a limited server may have a permit for the request in time.
func (d *Dispatcher) hasPermitRoom(j *job, c *choice, now time.Time) bool {
	return !d.isLimited(c.server) || d.ServerLimiter.HasRoom(now, c.server.Process(), d.maxPermitWait(j, c, now))
}

// maxPermitWait returns how long a request may wait for a permit. Returning clients, whose
// objective has passed, wait no longer than others: they would delay these beyond theirs.
func (d *Dispatcher) maxPermitWait(j *job, c *choice, now time.Time) time.Duration {
	if j.isHedging {
		return 0
	}
	share := permitWaitShare
	if d.servesMoreUrgent(j) {
		share *= lessUrgentShare
	}
	left := j.route.Target - c.estimate.Completion
	if !j.isClientRetry {
		left = j.latencyTarget.Sub(now) - c.estimate.Completion
	}
	left = min(left, j.deadline.Sub(now)-c.estimate.Completion)
	return max(time.Duration(share*float64(left)), 0)
}

// servesMoreUrgent reports whether the service may also get requests of a higher priority.
func (d *Dispatcher) servesMoreUrgent(j *job) bool {
	config := d.View.Snapshot().Config
	p := d.priorities.Load()
	if p == nil || p.config != config {
		p = newPriorities(config)
		d.priorities.Store(p)
	}
	highest, found := p.ofService[j.service]
	return found && highest < j.priority
}

// priorities are the highest ones that the requests of each service have by a configuration.
type priorities struct {
	config    *redwingstall.Configuration
	ofService map[string]int
}

// newPriorities determines the priorities of a configuration. An account may use each route, and
// its priority takes precedence.
func newPriorities(config *redwingstall.Configuration) *priorities {
	p := &priorities{config, map[string]int{}}
	add := func(service string, priority int) {
		if highest, found := p.ofService[service]; !found || priority < highest {
			p.ofService[service] = priority
		}
	}
	for _, r := range config.Routes {
		for _, part := range r.Parts {
			add(part.Service, r.Priority)
			for _, a := range config.Accounts {
				if a.HasPriority {
					add(part.Service, a.Priority)
				}
			}
		}
	}
	return p
}

// acquirePermit asks for a permit to send the request to a server that has a limit, and
// waits until it may be used.
func (d *Dispatcher) acquirePermit(ctx context.Context, j *job, c *choice) serverlimit.Permit {
	began := time.Now()
	defer func() { j.permitWait += time.Since(began) }()
	permit := serverlimit.Permit{}
	for range maxPermitQueries {
		permit = d.ServerLimiter.Acquire(ctx, c.server.Process(), d.maxPermitWait(j, c, time.Now()))
		if !permit.IsGranted {
			d.Counter.Count("serverLimits.refused")
			return permit
		}
		if permit.Wait == 0 {
			return permit
		}
		d.Counter.Count("serverLimits.waits")
		dueAt := time.Now().Add(permit.Wait)
		if sleepUntil(ctx, dueAt) && time.Since(dueAt) <= maxPermitAge {
			return permit
		}
		d.Counter.Count("serverLimits.unused")
		permit.IsGranted = false
		if ctx.Err() != nil {
			return permit
		}
	}
	return permit
}

// sleepUntil returns false if the context ends before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isStillChosen reports whether a request that has waited may still go to its server.
func (d *Dispatcher) isStillChosen(j *job, c *choice) bool {
	s, now := d.View.Snapshot(), time.Now()
	if d.backoffs.Left(now, c.server.Process()) > 0 {
		return false
	}
	if !j.isKeyed() {
		server := s.ByID[c.server.ID]
		return server != nil && server.Process() == c.server.Process() && s.IsUsable(server)
	}
	owner, _ := d.findOwner(s, j, now)
	return owner != nil && owner.server.Process() == c.server.Process()
}

// isLimited reports whether a server has a limit.
func (d *Dispatcher) isLimited(server *view.Server) bool {
	return d.ServerLimiter.Table.Find(server.Process()).IsActive()
}
