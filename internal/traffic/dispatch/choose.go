package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
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
	return c.hasConnection && c.estimate.Queue < rounds*float64(c.server.Slots)
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
	if j.spec.Sharded && j.meta.HasKey {
		return d.chooseOwner(ctx, j)
	}
	return d.choosePooled(j)
}

// choosePooled takes the server that is expected to answer first, of a few.
func (d *Dispatcher) choosePooled(j *job) (*choice, refused) {
	s := d.View.Snapshot()
	now := time.Now()
	usable := slices.DeleteFunc(slices.Clone(s.Servers[j.service]), func(server *view.Server) bool {
		return !s.IsUsable(server) || j.tried[server.ID]
	})
	if len(usable) == 0 {
		return nil, refused{reason: ReasonNoServer, pause: noServerPause}
	}
	isOpen := func(c *choice) bool { return d.isOpen(s, c.server, now) }
	best, soonest := d.sample(s, j, usable, now, func(c *choice) bool { return isOpen(c) && !c.estimate.IsResting })
	if best == nil && soonest == 0 {
		// Resting servers are asked only if there is no other.
		best, soonest = d.sample(s, j, usable, now, isOpen)
	}
	switch {
	case best == nil:
		// No completion is known of cold servers that bear no more now.
		return nil, refused{reason: ReasonOverload, pause: max(soonest/2, d.retryPause(j))}
	case d.isTooLate(j, best, now):
		return nil, refused{ReasonOverload, d.roomPause(j, best.estimate.Completion, now), best}
	}
	if !d.takePace(s, best.server, now) {
		return nil, refused{ReasonOverload, soonest / 2, best}
	}
	return best, refused{}
}

// sample looks at servers in random order, at a few of its own failure domain and
// of the others each, and returns the best one that is acceptable and has a place,
// with the earliest completion of all acceptable ones, or zero if there is none.
func (d *Dispatcher) sample(s *view.Snapshot, j *job, servers []*view.Server, now time.Time, isAcceptable func(*choice) bool) (best *choice, soonest time.Duration) {
	near, far := newSampling(len(s.Peers), len(servers)), newSampling(len(s.Peers), len(servers))
	bestCost := 0.0
	for i := range servers {
		k := i + int(d.Random()*float64(len(servers)-i))
		servers[i], servers[k] = servers[k], servers[i]
		found := &far
		if servers[i].FailureDomain == d.FailureDomain {
			found = &near
		}
		if found.isDone() {
			continue
		}
		c := d.assess(s, j, servers[i], now)
		if !isAcceptable(c) {
			continue
		}
		if soonest == 0 || c.estimate.Completion < soonest {
			soonest = c.estimate.Completion
		}
		found.looks--
		if !c.isFree(j.route.Kind) {
			continue
		}
		found.wanted--
		if cost := d.cost(j, c); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, soonest
}

const (
	// exactInstances are so few that each knows what the others have just sent.
	exactInstances = 12
	// fewChoices are enough to avoid the most loaded servers. The best of all would
	// be the same one for all instances until they hear of each other's requests,
	// which would overload it. (Mitzenmacher, How useful is old information?, 2000.)
	fewChoices = 3
	// fewLooks keep all instances from finding the last server with a place when
	// the others are full.
	fewLooks = 6
)

// sampling is how many servers with a place are wanted, and how many are looked at
// for them.
type sampling struct {
	wanted int
	looks  int
}

func newSampling(instances, servers int) sampling {
	if instances <= exactInstances {
		return sampling{servers, servers}
	}
	return sampling{fewChoices, fewLooks}
}

func (s sampling) isDone() bool { return s.wanted == 0 || s.looks == 0 }

// noServerPause is about how long service discovery takes to tell of a server.
const noServerPause = 400 * time.Millisecond

func (d *Dispatcher) assess(s *view.Snapshot, j *job, server *view.Server, now time.Time) *choice {
	c := &choice{server: server, viewAge: s.Age}
	c.estimate = d.Estimator.Estimate(now, j.route.Name, c.candidate())
	open, idle := d.Backends.Connections(server.ID, server.Address)
	c.limits = connectionLimits(j.spec.MaxConnections, len(s.Peers), c.estimate.ElsewhereOpen)
	c.hasIdle = idle > 0
	c.hasConnection = idle > 0 || open < c.limits.Open
	return c
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

const kilobyte = 1000

// cost in nanoseconds: the expected completion, made worse by a new connection
// and by another failure domain.
func (d *Dispatcher) cost(j *job, c *choice) float64 {
	cost := float64(c.estimate.Completion)
	if c.server.FailureDomain != d.FailureDomain {
		cost += float64(farMessage) + float64(farKilobyte)*d.Estimator.Bytes(j.route.Name)/kilobyte
	}
	if !c.hasIdle {
		cost += float64(connectCost)
	}
	return cost*(1+noise*d.Random()) + c.estimate.FailureRate*float64(d.failureCost(j))
}

// failureCost is what a failed attempt costs: the time for another one, or the
// whole request where it may not be sent again.
func (d *Dispatcher) failureCost(j *job) time.Duration {
	if j.route.Kind.Idempotent() {
		return j.route.Target
	}
	return unsafeFailure * j.route.Target
}

// unsafeFailure times the latency objective is what a failure of a request costs
// that is not sent again.
const unsafeFailure = 3

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

// chooseOwner takes the owner of the key. While keys change hands it waits for a
// newer map, at most for the latency objective: a client that is sent away would
// have to come back into the same wait.
func (d *Dispatcher) chooseOwner(ctx context.Context, j *job) (*choice, refused) {
	for {
		s := d.View.Snapshot()
		now := time.Now()
		c, isComing := d.owner(s, j, now)
		if c != nil {
			return d.admitOwner(s, j, c, now)
		}
		left := min(j.target.Sub(now), j.deadline.Sub(now)-2*d.Estimator.Work(j.route.Name))
		if !isComing || left <= 0 {
			return nil, refused{reason: ReasonNoOwner, pause: noOwnerPause}
		}
		timer := time.NewTimer(min(left, ownerPoll))
		select {
		case <-s.Changed:
			timer.Stop()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, refused{reason: ReasonTimeout}
		}
		j.waited += time.Since(now)
	}
}

// noOwnerPause is about what it takes to hand keys over.
const noOwnerPause = 250 * time.Millisecond

// owner returns the server that holds the key, or whether one is about to.
func (d *Dispatcher) owner(s *view.Snapshot, j *job, now time.Time) (*choice, bool) {
	r, found := s.Maps[j.service].Find(j.meta.Key)
	if !found {
		return nil, false
	}
	if r.State != shardmap.StateHeld {
		return nil, r.State == shardmap.StateReleased || s.ByID[r.Owner.ID] != nil
	}
	server := s.ByID[r.Owner.ID]
	if server == nil || server.Born != r.Owner.Born {
		return nil, false
	}
	if d.owners.isResting(now, j.service, j.meta.Key, server.ID) {
		return nil, true
	}
	if d.hasLeft(s, server, now) {
		return nil, true
	}
	return d.assess(s, j, server, now), true
}

// admitOwner refuses what the owner could not answer in time: no other server
// can run the request.
func (d *Dispatcher) admitOwner(s *view.Snapshot, j *job, c *choice, now time.Time) (*choice, refused) {
	isFull := !c.hasConnection || c.estimate.Queue >= ownerQueue*float64(c.server.Slots)
	if d.isTooLate(j, c, now) || isFull || c.estimate.IsResting || !d.takePace(s, c.server, now) {
		return nil, refused{ReasonOverload, d.roomPause(j, c.estimate.Completion, now), c}
	}
	return c, refused{}
}

// isTooLate decides who is served under overload. A request that comes for the
// first time is refused if the queue would keep it beyond the latency objective:
// serving it late would make all that follow late too. Whoever was refused before
// has no further try, and is served while it can be in time. A free slot is never
// refused: what is slow at the moment may not stay so, and nobody is kept waiting.
func (d *Dispatcher) isTooLate(j *job, c *choice, now time.Time) bool {
	if c.estimate.Queue < float64(c.server.Slots) {
		return false
	}
	completion := c.estimate.Completion
	if now.Add(time.Duration(float64(completion) * deadlineShare)).After(j.deadline) {
		return true
	}
	return !j.isReturn && now.Add(completion).After(j.target.Add(d.Estimator.Work(j.route.Name)/2))
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
	return d.Estimator.Work(j.route.Name) / 2
}

// spread keeps clients that were refused together from returning together.
func (d *Dispatcher) spread(pause time.Duration) time.Duration {
	const least, most = 0.75, 1.5
	return time.Duration(float64(pause) * (least + (most-least)*d.Random()))
}

// hasLeft reports whether an owner of keys must get no requests any more: it
// drains, or its failure domain is taken out, for so long that its keys should
// have moved.
func (d *Dispatcher) hasLeft(s *view.Snapshot, server *view.Server, now time.Time) bool {
	if server.Draining && now.Sub(server.DrainingSince) > d.DrainLimit {
		return true
	}
	since, isEvacuated := s.Evacuated[server.FailureDomain]
	return isEvacuated && now.Sub(since) > d.EvacuateLimit
}

// ownerMisses remembers owners that did not hold a key. It spares them, and the
// budget for repeats, until their grant has arrived.
type ownerMisses struct {
	mu     sync.Mutex
	misses map[missKey]time.Time
}

type missKey struct {
	service string
	server  string
	// block of neighboring keys, which are mostly granted together.
	block int
}

const missBlock = 64

func (o *ownerMisses) miss(now time.Time, service string, key int, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.misses == nil {
		o.misses = map[missKey]time.Time{}
	}
	for k, at := range o.misses {
		if now.Sub(at) >= missRest {
			delete(o.misses, k)
		}
	}
	o.misses[missKey{service, server, key / missBlock}] = now
}

func (o *ownerMisses) isResting(now time.Time, service string, key int, server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.misses[missKey{service, server, key / missBlock}]
	return found && now.Sub(at) < missRest
}
