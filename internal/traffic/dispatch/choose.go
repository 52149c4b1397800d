package dispatch

import (
	"context"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
)

const (
	// ownerQueue times the slots is the most that the owner of a key is let queue,
	// which has it alone; serverQueue is that of a server beside others, and
	// unsafeQueue that for requests which cannot be sent again. The queue is shared
	// by all instances, some servers reset what does not fit, and what others have
	// sent is known a third of a second late.
	ownerQueue  = 3.0
	serverQueue = 2.4
	unsafeQueue = 1.6
	// farMessage is what another failure domain costs a request: a round trip of
	// 2 ms, the bytes of its headers, often a new connection, and a queue that is
	// known less well than those nearby.
	farMessage = 80 * time.Millisecond
	// farKilobyte is what each kilobyte of an answer from another failure domain
	// is taken to cost, since links between them are the dearest: an answer of
	// 90 KB goes there if it comes 130 ms sooner.
	farKilobyte = 1450 * time.Microsecond
	// noise breaks ties between instances that know the same.
	noise = 0.12
	// connectCost of a new connection against a kept one.
	connectCost = 15 * time.Millisecond
	// connectionShare of a server's connections is divided among the instances.
	connectionShare = 0.85
	// freeShare of them may be open in all for an instance to open more than its
	// share: as many may be opened before it is known of these.
	freeShare = 0.55
	// shortShare of an instance is one with which connections are closed after
	// shortIdle, so that they are there for those that need them.
	shortShare = 3
	shortIdle  = 4 * time.Second
	longIdle   = 8 * time.Second
	// ownerPoll is the longest wait for a newer owner map before looking again.
	ownerPoll = 100 * time.Millisecond
	// missRest is how long an owner that did not hold a key is not asked again.
	missRest = 120 * time.Millisecond
	// leastPause keeps a returning client from finding the same state.
	leastPause = 20 * time.Millisecond
)

// choice is the server for the next attempt.
type choice struct {
	server   *view.Server
	estimate placement.Estimate
	limits   backends.Limits
	// hasIdle is set if a connection waits for use, and hasConnection if one may
	// be used or opened.
	hasIdle       bool
	hasConnection bool
	viewAge       int64
}

// isFree reports whether a server has a place in its queue and a connection.
func (c *choice) isFree(kind redwingstall.RouteKind) bool {
	rounds := serverQueue
	if !kind.Idempotent() {
		rounds = unsafeQueue
	}
	return c.hasConnection && c.estimate.QueueLength < rounds*float64(c.server.Slots)
}

func (c *choice) candidate() placement.Candidate {
	return placement.Candidate{ID: c.server.ID, Service: c.server.Service, Slots: c.server.Slots}
}

// refused says why no server gets the request, and when to come back.
type refused struct {
	reason string
	pause  time.Duration
	// best is the server that would have answered first, if one was looked at.
	best *choice
}

// choose returns the server for the next attempt, or why there is none.
func (d *Dispatcher) choose(ctx context.Context, j *job) (*choice, refused) {
	if time.Until(j.deadline) < leastTime {
		return nil, refused{reason: ReasonTimeout}
	}
	if j.isKeyed() {
		return d.chooseOwner(ctx, j)
	}
	return d.choosePooled(j)
}

func (d *Dispatcher) assess(s *view.Snapshot, j *job, server *view.Server, now time.Time) *choice {
	c := &choice{server: server, viewAge: s.Age}
	c.estimate = d.Estimator.Estimate(now, j.route.Name, c.candidate())
	if c.estimate.HasEjectionChanged {
		d.tellRest(c)
	}
	open, idle := d.Backends.Connections(server.ID, server.Address)
	c.limits = connectionLimits(j.spec.MaxConnections, len(s.Peers), c.estimate.PeerConnections)
	c.hasIdle = idle > 0
	c.hasConnection = idle > 0 || open < c.limits.Open
	return c
}

// tellRest logs that a server is taken to be unfit for requests, or fit again.
func (d *Dispatcher) tellRest(c *choice) {
	message, counter := "backend server fit again", "servers.fitAgain"
	if c.estimate.IsEjected {
		message, counter = "backend server rests", "servers.rest"
	}
	d.Counter.Count(counter)
	d.Log.Info(message, "server", c.server.ID, "service", c.server.Service, "reason", c.estimate.Reason, "failureRate", c.estimate.FailureRate,
		"queue", c.estimate.QueueLength, "expectedMillis", c.estimate.Completion.Milliseconds(), "view", c.viewAge)
}

// connectionLimits bound an instance's connections to a server that accepts so
// many from all. An instance may have more than its share while few are open.
func connectionLimits(connections, instances, elsewhere int) backends.Limits {
	share := int(connectionShare*float64(connections)) / max(instances, 1)
	limits := backends.Limits{Open: max(share, int(freeShare*float64(connections))-elsewhere, 1), Idle: longIdle}
	if share < shortShare {
		limits.Idle = shortIdle
	}
	return limits
}

// isOpen reports whether a cold server bears a request of this instance now.
func (d *Dispatcher) isOpen(s *view.Snapshot, server *view.Server, now time.Time) bool {
	return !server.IsCold(now) || d.Pace.IsOpen(now, server.ID, d.coldShare(s, server))
}

func (d *Dispatcher) takePace(s *view.Snapshot, server *view.Server, now time.Time) bool {
	return !server.IsCold(now) || d.Pace.Take(now, server.ID, d.coldShare(s, server))
}

// coldShare is how many requests a second this instance may send to a server
// while it is cold. All shares together stay below what it bears, with a
// request to spare for instances that differ on who there is.
func (d *Dispatcher) coldShare(s *view.Snapshot, server *view.Server) int {
	rate := s.Config.Services[server.Service].WarmupRate
	bears := min(rate*d.WarmupOverrun, rate+1) + min(d.WarmupSlack/2, 2)
	return pace.Share(d.Self, server.ID, s.PeerNames, bears)
}
