package dispatch

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

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
	best, soonest := d.sample(s, j, usable, now, func(c *choice) bool { return isOpen(c) && !c.estimate.IsEjected })
	if soonest == nil {
		// Resting servers are asked only if there is no other.
		best, soonest = d.sample(s, j, usable, now, isOpen)
	}
	switch {
	case soonest == nil:
		// All are cold and bear no more now.
		return nil, refused{reason: ReasonOverload, pause: d.retryPause(j)}
	case best == nil:
		return nil, refused{ReasonOverload, max(soonest.estimate.Completion/2, d.retryPause(j)), soonest}
	case d.isTooLate(j, best, now):
		return nil, refused{ReasonOverload, d.roomPause(j, best.estimate.Completion, now), best}
	}
	if !d.takePace(s, best.server, now) {
		return nil, refused{ReasonOverload, soonest.estimate.Completion / 2, best}
	}
	return best, refused{}
}

// sample looks at servers in random order, at a few of its own failure domain and
// of the others each, and returns the best one that is acceptable and has a place,
// and the one that would complete soonest of all acceptable ones, full or not.
func (d *Dispatcher) sample(s *view.Snapshot, j *job, servers []*view.Server, now time.Time, isAcceptable func(*choice) bool) (best, soonest *choice) {
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
		if soonest == nil || c.estimate.Completion < soonest.estimate.Completion {
			soonest = c
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

// cost in nanoseconds: the expected completion, made worse by a new connection
// and by another failure domain.
func (d *Dispatcher) cost(j *job, c *choice) float64 {
	cost := float64(c.estimate.Completion)
	if c.server.FailureDomain != d.FailureDomain {
		cost += float64(farMessage) + float64(farKilobyte)*d.Estimator.MeanResponseBytes(j.route.Name)/kilobyte
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

const kilobyte = 1000
