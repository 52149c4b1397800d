package dispatch

import (
	"context"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/admission"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
)

const (
	// ownerQueuePerSlot bounds the queue of the owner of a key, in requests per
	// slot. No other server can run its requests, so it is higher than
	// pooledQueuePerSlot, the bound for servers that share a service, and
	// unsafeQueuePerSlot, the bound for requests that cannot be retried. All
	// instances share a server's queue, some servers reset connections when it is
	// full, and the requests of other instances are known only after a third of a
	// second.
	ownerQueuePerSlot  = 3.0
	pooledQueuePerSlot = 2.4
	unsafeQueuePerSlot = 1.6
	// remoteDomainCost is the cost of a request to another failure domain: a round
	// trip of 2 ms, the bytes of the headers, often a new connection, and a less
	// accurate estimate of the queue.
	remoteDomainCost = 80 * time.Millisecond
	// remoteKilobyteCost is the cost of each kilobyte of a response from another
	// failure domain, since links between failure domains are the most expensive. A
	// response of 90 KB comes from there only if it is expected 130 ms sooner.
	remoteKilobyteCost = 1450 * time.Microsecond
	// costJitter is the relative random part of a cost. It keeps instances with the
	// same information from selecting the same server.
	costJitter = 0.12
	// connectCost is the cost of a new connection compared with an idle one.
	connectCost = 15 * time.Millisecond
	// connectionShare is the fraction of a server's connections that is divided
	// among the instances.
	connectionShare = 0.85
	// openConnectionShare is the fraction of a server's connections below which an
	// instance may open more than its share. The instances may open as many again
	// before they receive each other's updated counts.
	openConnectionShare = 0.55
	// smallConnectionShare is the share below which an instance closes connections
	// that were idle for smallShareIdleTimeout, so that other instances can open
	// them.
	smallConnectionShare  = 3
	smallShareIdleTimeout = 4 * time.Second
	idleTimeout           = 8 * time.Second
	// ownerPollInterval bounds the wait for an update of the shard map before the
	// owner is looked up again.
	ownerPollInterval = 100 * time.Millisecond
	// ownerMissTTL is how long an owner that did not hold a key is excluded for it.
	ownerMissTTL = 120 * time.Millisecond
	// minRetryAfter is the shortest delay before a client's retry. A retry after
	// less would find the same state.
	minRetryAfter = 20 * time.Millisecond
)

// choice is the server for the next attempt.
type choice struct {
	server   *view.Server
	estimate placement.Estimate
	limits   backends.Limits
	// hasIdle is set if there is an idle connection, and hasConnection if one is
	// idle or may be opened.
	hasIdle       bool
	hasConnection bool
	viewAge       int64
	// cost is what servers of a pool are compared by, or zero.
	cost float64
	// decision is that on admission, if there was one, and knownFor the age of the reports that
	// it was based on.
	decision  admission.Decision
	isDecided bool
	knownFor  time.Duration
}

// hasCapacity reports whether the server's queue has room for the request and a
// connection is available.
func (c *choice) hasCapacity(kind redwingstall.RouteKind) bool {
	queuePerSlot := pooledQueuePerSlot
	if !kind.IsIdempotent() {
		queuePerSlot = unsafeQueuePerSlot
	}
	return c.hasConnection && c.estimate.QueueLength < queuePerSlot*float64(c.server.Slots)
}

func (c *choice) candidate() placement.Candidate {
	return placement.Candidate{ID: c.server.ID, Service: c.server.Service, Slots: c.server.Slots}
}

// rejection is the reason why a request is not sent to a server, and when the client
// may retry.
type rejection struct {
	reason     string
	retryAfter time.Duration
	// best is the server with the lowest expected latency, if any was evaluated.
	best *choice
}

// choose returns the server for the next attempt, or why there is none.
func (d *Dispatcher) choose(ctx context.Context, j *job) (*choice, rejection) {
	if time.Until(j.deadline) < minAttemptTime {
		return nil, rejection{reason: ReasonTimeout}
	}
	for query := 1; ; query++ {
		c, rejected := d.chooseServer(ctx, j)
		if c != nil && !d.endsBeforeStop(j, c, time.Now()) {
			return nil, rejection{reason: ReasonStopping, retryAfter: minRetryAfter}
		}
		if c == nil || !d.isLimited(c.server) || j.preview != nil {
			return c, rejected
		}
		permit := d.acquirePermit(ctx, j, c)
		switch {
		case permit.IsGranted && d.isStillChosen(j, c):
			return c, rejection{}
		case ctx.Err() != nil:
			return nil, rejection{reason: ReasonTimeout}
		case query == maxPermitQueries || j.isKeyed() && !permit.IsGranted:
			return nil, rejection{ReasonServerLimit, permit.Wait, c}
		}
	}
}

// stopMargin is the latency, as a multiple of the expected one, that must fit before the stop
// of the instance for a request that cannot be repeated. One in a hundred takes longer.
const stopMargin = 4

// endsBeforeStop reports whether a request can be expected to end before the instance stops.
// Another instance can serve it, unless it is sent and cut off.
func (d *Dispatcher) endsBeforeStop(j *job, c *choice, now time.Time) bool {
	stopAt := d.StopAt()
	if stopAt.IsZero() {
		return true
	}
	if j.route.Kind.IsIdempotent() {
		return !now.Add(c.estimate.Completion).After(stopAt)
	}
	latest := now.Add(stopMargin * c.estimate.Completion)
	return !stopAt.Before(latest) || !stopAt.Before(j.deadline)
}

func (d *Dispatcher) chooseServer(ctx context.Context, j *job) (*choice, rejection) {
	if j.isKeyed() {
		return d.chooseOwner(ctx, j)
	}
	return d.choosePooled(j)
}

func (d *Dispatcher) assess(s *view.Snapshot, j *job, server *view.Server, now time.Time) *choice {
	c := &choice{server: server, viewAge: s.Sequence}
	if j.preview != nil {
		c.estimate = d.Estimator.Preview(now, j.route.Name, c.candidate())
		j.preview.evaluated[server.ID] = c
	} else {
		c.estimate = d.Estimator.Estimate(now, j.route.Name, c.candidate())
	}
	if c.estimate.HasEjectionChanged {
		d.logEjectionChange(c)
	}
	open, idle := d.Backends.Connections(server.ID, server.Address)
	c.limits = connectionLimits(j.spec.MaxConnections, len(s.Peers), c.estimate.PeerConnections)
	c.hasIdle = idle > 0
	c.hasConnection = idle > 0 || open < c.limits.Open
	return c
}

// logEjectionChange logs that a server was ejected or readmitted.
func (d *Dispatcher) logEjectionChange(c *choice) {
	message, counter := "backend server fit again", "servers.fitAgain"
	if c.estimate.IsEjected {
		message, counter = "backend server rests", "servers.rest"
	}
	d.Counter.Count(counter)
	d.Log.Info(message, "server", c.server.ID, "service", c.server.Service, "reason", c.estimate.Reason, "failureRate", c.estimate.FailureRate,
		"queue", c.estimate.QueueLength, "expectedMillis", c.estimate.Completion.Milliseconds(), "view", c.viewAge)
}

// connectionLimits returns the limits of an instance's connections to a server that
// accepts the given number from all instances. An instance may exceed its share
// while few are open.
func connectionLimits(connections, instances, peerConnections int) backends.Limits {
	share := int(connectionShare*float64(connections)) / max(instances, 1)
	limits := backends.Limits{Open: max(share, int(openConnectionShare*float64(connections))-peerConnections, 1), Idle: idleTimeout}
	if share < smallConnectionShare {
		limits.Idle = smallShareIdleTimeout
	}
	return limits
}

// hasWarmupCapacity reports whether this instance may send a request to the server
// at this time, as far as warm-up limits it.
func (d *Dispatcher) hasWarmupCapacity(s *view.Snapshot, server *view.Server, now time.Time) bool {
	return !d.isWarmingUp(server, now) || d.WarmupLimiter.HasCapacity(now, server.ID, d.warmupShare(s, server))
}

func (d *Dispatcher) takeWarmupCapacity(s *view.Snapshot, j *job, server *view.Server, now time.Time) bool {
	if j.preview != nil {
		return d.hasWarmupCapacity(s, server, now)
	}
	return !d.isWarmingUp(server, now) || d.WarmupLimiter.Allow(now, server.ID, d.warmupShare(s, server))
}

func (d *Dispatcher) isWarmingUp(server *view.Server, now time.Time) bool {
	return server.IsWarmingUp(now) || d.warmups.Left(now, server.Process()) > 0
}

// warmupShare returns the requests per second that this instance may send to a
// server in warm-up. All shares together stay below what the server can handle, with
// one request to spare for instances that disagree on the members.
func (d *Dispatcher) warmupShare(s *view.Snapshot, server *view.Server) int {
	rate := s.Config.Services[server.Service].WarmupRate
	maxRate := min(rate*d.WarmupOverrun, rate+1) + min(d.WarmupSlack/2, 2)
	return pace.Share(d.InstanceName, server.ID, s.PeerNames, maxRate)
}
