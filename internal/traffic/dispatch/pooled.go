package dispatch

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/affinity"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/admission"
)

// choosePooled selects the server with the lowest cost among a random sample.
func (d *Dispatcher) choosePooled(j *job) (*choice, rejection) {
	s := d.View.Snapshot()
	now := time.Now()
	usable := slices.DeleteFunc(slices.Clone(s.Servers[j.service]), func(server *view.Server) bool {
		return !s.IsUsable(server) || j.triedServers[server.ID]
	})
	if len(usable) == 0 {
		return nil, rejection{reason: ReasonNoServer, retryAfter: noServerRetryAfter}
	}
	usable, wait := d.dropBackoffs(usable, now)
	if len(usable) == 0 {
		return nil, rejection{reason: ReasonServerBackoff, retryAfter: wait}
	}
	canAccept := func(c *choice) bool { return d.hasWarmupCapacity(s, c.server, now) && d.hasPermitRoom(j, c, now) }
	best, fastest := d.sample(s, j, usable, now, func(c *choice) bool { return canAccept(c) && !c.estimate.IsEjected })
	if fastest == nil {
		// Ejected servers are used only if there is no other, and those that answer without end
		// not at all: such a response helps nobody, and takes the link and the memory of others.
		endless := time.Duration(0)
		best, fastest = d.sample(s, j, usable, now, func(c *choice) bool {
			if c.estimate.Reason == placement.EjectionEndless {
				if endless == 0 || c.estimate.EjectedFor < endless {
					endless = c.estimate.EjectedFor
				}
				return false
			}
			return canAccept(c)
		})
		if fastest == nil && endless > 0 {
			return nil, rejection{reason: ReasonNoServer, retryAfter: endless}
		}
	}
	switch {
	case fastest == nil:
		// All servers are at their limits, of warm-up or of their own.
		return nil, d.rejectAtLimits(j, usable, now)
	case best == nil && d.features().Admission && !j.isHedging:
		// The queues of all servers are at their bounds.
		fastest.decision = d.decide(s, j, fastest, now)
		if fastest.decision.IsAdmitted() {
			fastest.decision.Cause = admission.CauseFull
		}
		return nil, d.rejectByValue(j, fastest)
	case best == nil:
		return nil, rejection{ReasonOverload, max(fastest.estimate.Completion/2, d.notExecutedRetryAfter(j)), fastest}
	}
	if rejected, isAdmitted := d.admit(s, j, best, now); !isAdmitted {
		return nil, rejected
	}
	if !d.takeWarmupCapacity(s, j, best.server, now) {
		return nil, rejection{ReasonOverload, fastest.estimate.Completion / 2, best}
	}
	return best, rejection{}
}

// rejectAtLimits rejects a request that no server has capacity for. If the servers have named
// limits, the client is told when the first of them may have a permit.
func (d *Dispatcher) rejectAtLimits(j *job, servers []*view.Server, now time.Time) rejection {
	wait := time.Duration(0)
	for _, server := range servers {
		if left := d.ServerLimiter.FreeIn(now, server.Process()); left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	if wait == 0 {
		return rejection{reason: ReasonOverload, retryAfter: d.notExecutedRetryAfter(j)}
	}
	return rejection{reason: ReasonServerLimit, retryAfter: wait}
}

// dropBackoffs removes the servers that want no requests from this instance for a time. It
// returns the shortest of these times.
func (d *Dispatcher) dropBackoffs(servers []*view.Server, now time.Time) (kept []*view.Server, wait time.Duration) {
	if d.backoffs.IsEmpty() {
		return servers, 0
	}
	kept = slices.DeleteFunc(servers, func(server *view.Server) bool {
		left := d.backoffs.Left(now, server.Process())
		if left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
		return left > 0
	})
	return kept, wait
}

// sample evaluates servers in random order: a few of the instance's own failure
// domain and a few of the others. It returns the acceptable server with capacity and
// the lowest cost, and the acceptable one with the lowest expected latency, with or
// without capacity. With even load, a server of which this instance has a free preferred
// slot comes before the others, unless it is much slower.
func (d *Dispatcher) sample(s *view.Snapshot, j *job, servers []*view.Server, now time.Time, isAcceptable func(*choice) bool) (best, fastest *choice) {
	local, remote := newSampleQuota(len(s.Peers), len(servers)), newSampleQuota(len(s.Peers), len(servers))
	bestCost := 0.0
	for i := range servers {
		k := i + int(d.random(j)*float64(len(servers)-i))
		servers[i], servers[k] = servers[k], servers[i]
		quota := &remote
		if servers[i].FailureDomain == d.FailureDomain {
			quota = &local
		}
		if quota.isDone() {
			continue
		}
		c := d.assess(s, j, servers[i], now)
		if !isAcceptable(c) {
			continue
		}
		if fastest == nil || c.estimate.Completion < fastest.estimate.Completion {
			fastest = c
		}
		quota.evaluations--
		if !c.hasCapacity(j.route.Kind) {
			continue
		}
		quota.choices--
		c.cost = d.trialCost(j, c.server, c.estimate.QueueLength, d.cost(j, c))
		if cost := c.cost; best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if len(s.Peers) <= maxExactInstances || !d.features().EvenLoad {
		return best, fastest
	}
	if preferred, cost := d.preferredChoice(s, j, now, isAcceptable); preferred != nil && (best == nil || affinity.Prefers(cost, bestCost)) {
		d.count(j, "choices.preferredSlot")
		if fastest == nil {
			fastest = preferred
		}
		return preferred, fastest
	}
	d.count(j, "choices.sampled")
	return best, fastest
}

const (
	// maxExactInstances is the number of instances up to which all servers are
	// evaluated. Up to this number, instances learn quickly of each other's requests.
	maxExactInstances = 12
	// sampledChoices is the number of servers with capacity to choose from. A few
	// are enough to avoid the most loaded servers. If all were compared, all
	// instances would select the same one until they learn of each other's requests,
	// and overload it. (Mitzenmacher, How useful is old information?, 2000.)
	sampledChoices = 3
	// sampledEvaluations bounds the servers that are evaluated. It keeps all
	// instances from selecting the last server with capacity when the others are
	// full.
	sampledEvaluations = 6
)

// sampleQuota is how many more servers with capacity to find, and how many more to
// evaluate for them.
type sampleQuota struct {
	choices     int
	evaluations int
}

func newSampleQuota(instances, servers int) sampleQuota {
	if instances <= maxExactInstances {
		return sampleQuota{servers, servers}
	}
	return sampleQuota{sampledChoices, sampledEvaluations}
}

func (s sampleQuota) isDone() bool { return s.choices == 0 || s.evaluations == 0 }

// noServerRetryAfter is about the time after which service discovery reports a new
// server.
const noServerRetryAfter = 400 * time.Millisecond

// cost returns the expected latency in nanoseconds, with penalties for another
// failure domain, a new connection and the server's failure rate. It includes random
// jitter.
func (d *Dispatcher) cost(j *job, c *choice) float64 {
	cost := float64(c.estimate.Completion)
	if c.server.FailureDomain != d.FailureDomain {
		cost += float64(remoteDomainCost) + float64(remoteKilobyteCost)*d.Estimator.MeanResponseBytes(j.route.Name)/kilobyte
	}
	if !c.hasIdle {
		cost += float64(connectCost)
	}
	return cost*(1+costJitter*d.random(j)) + c.estimate.FailureRate*float64(d.failureCost(j))
}

// failureCost returns the cost of a failed attempt: the time of another attempt, or
// more for a request that may not be retried and fails as a whole.
func (d *Dispatcher) failureCost(j *job) time.Duration {
	if j.route.Kind.IsIdempotent() {
		return j.route.Target
	}
	return unsafeFailureFactor * j.route.Target
}

// unsafeFailureFactor is the cost of the failure of a request that is not retried,
// in multiples of the latency objective.
const unsafeFailureFactor = 3

const kilobyte = 1000
