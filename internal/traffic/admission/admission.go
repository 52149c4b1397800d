// Package admission decides which requests a full server takes, and when the clients of the
// others return. Time, load and randomness are arguments.
//
// Instances learn of each other's requests after 0.1 to 0.6 s. In that time a busy key alone may
// bring several times what its server can hold, so that a bound of the queue by itself admits too
// many and too few in turns. Each instance therefore estimates the demand of all instances from
// its own, and admits the share of it that the server has room for.
package admission

import (
	"sync"
	"time"
)

const (
	// objectiveShare is the part of the time left before the objective within which a first
	// attempt must be expected to be answered. A fifth of the requests take three times as long
	// as the others, and work has a coefficient of variation of up to 0.8.
	objectiveShare = 0.85
	// targetRounds is the number of requests at a server, as a multiple of its slots, that
	// keeps it busy. More make all of them late and serve no more. Requests that go later find
	// a shorter target, so that those that go first find a queue in which they are in time.
	targetRounds     = 2.0
	lessUrgentRounds = 1.6
	returnRounds     = 1.3
	excessRounds     = 1.0
	// longFactor is the execution time from which a request is long, as a multiple of the mean.
	longFactor = 2.0
	// correctionTime is the time within which the queue is corrected to that target: about the
	// age of the reports, so that the queue does not oscillate.
	correctionTime = 300 * time.Millisecond
	// staleAge is the age of reports from which they count as half as certain.
	staleAge = 700 * time.Millisecond
	// keyShare is the share of a server's capacity that one key may take while other requests
	// want it.
	keyShare = 0.25
	// maxTracked bounds the servers and services whose demand is counted, and trackedFor is how
	// long one without requests is kept.
	maxTracked = 2048
	trackedFor = 10 * time.Second
)

// Target is what is known of the server, or of all servers of a service, that would run a request.
type Target struct {
	// Name identifies it among the targets of a controller.
	Name    string
	Service string
	Slots   int
	// MaxBusy is the number of slots that the request rate of a cold server keeps busy, or zero.
	MaxBusy float64
	// Queue is the number of requests there, running or waiting.
	Queue float64
	// Execution is the mean execution time of all requests there, and Pace the execution time
	// there as a multiple of that at all servers.
	Execution time.Duration
	Pace      float64
	// Age is the age of what is known of other instances' requests.
	Age time.Duration
	// Demand is the number of slots that the requests of all instances want.
	Demand float64
	// IsPooled is set if other servers could run the request too. The demand for one of them says
	// little while it has a free slot, since the next requests go to others.
	IsPooled bool
	// Instances is the number of instances that send requests there.
	Instances int
}

// Request is a request that wants to be admitted.
type Request struct {
	// Priority of the client account or the route. 0 is the highest.
	Priority int
	Key      int
	HasKey   bool
	// IsReturn is set if the client was refused before.
	IsReturn bool
	// Execution is the mean execution time of the route's requests.
	Execution time.Duration
	// ObjectiveLeft and DeadlineLeft are the times left before the latency objective and
	// before the client gives up.
	ObjectiveLeft time.Duration
	DeadlineLeft  time.Duration
	// ReturnLeft is the time within which the client may return if it is refused.
	ReturnLeft time.Duration
	// IsCounted is set if an earlier decision on the request has counted its work.
	IsCounted bool
}

// Cause is why a request is refused. Metrics and logs use these names.
type Cause string

// The causes.
const (
	CauseNone Cause = ""
	// CauseLate means that the response cannot be expected in time.
	CauseLate Cause = "late"
	// CauseShare means that the capacity left by requests that go first does not suffice.
	CauseShare Cause = "share"
	// CauseKey is the same for a request beyond the share of its key.
	CauseKey Cause = "key"
	// CauseFull means that queues or connections are at their bounds, or that the server is cold.
	CauseFull Cause = "full"
)

// Decision is the result of a decision and its inputs.
type Decision struct {
	Cause Cause
	// RetryAfter is when the client should return if it is refused, also for another reason.
	RetryAfter time.Duration
	// Share is the share of such requests that is admitted.
	Share float64
	// Room, Demand and Before are the slots that are available to new requests, wanted by
	// requests of the same rank, and wanted by those that go first.
	Room   float64
	Demand float64
	Before float64
	// Completion is the expected time until the response.
	Completion time.Duration
	// IsStale is set if the reports of other instances counted as half as certain.
	IsStale bool
}

// IsAdmitted reports whether the request is sent.
func (d Decision) IsAdmitted() bool { return d.Cause == CauseNone }

// Controller decides for one instance. It is safe for concurrent use. The zero value is ready to
// use.
type Controller struct {
	mu       sync.Mutex
	targets  mixes
	services mixes
	keys     keySketch
}

// Decide decides on a request. Random returns numbers in [0, 1).
func (c *Controller) Decide(now time.Time, r Request, t Target, random func() float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, service := c.targets.find(now, t.Name), c.services.find(now, t.Service)
	decision, rank := c.decide(now, r, t, target, service, c.keys.add, random)
	if !r.IsCounted {
		work := t.work(r)
		target.add(rank, work)
		service.add(rank, work)
	}
	return decision
}

// Preview returns what Decide would return, without counting the request.
func (c *Controller) Preview(now time.Time, r Request, t Target, random func() float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, service := c.targets.peek(now, t.Name), c.services.peek(now, t.Service)
	decision, _ := c.decide(now, r, t, &target, &service, c.keys.peek, random)
	return decision
}

// countKey returns the work that was counted for a key, and may count more.
type countKey func(now time.Time, key keyID, work float64) float64

func (c *Controller) decide(now time.Time, r Request, t Target, target, service *mix, count countKey, random func() float64) (Decision, class) {
	capacity := t.capacity()
	total := t.Demand
	if t.isStale() {
		total = max(total, estimateAlone(target, t.Instances, capacity))
	}
	rank := newClass(r.Priority, float64(r.Execution) > longFactor*float64(t.Execution), r.IsReturn, isExcess(now, r, t, total, capacity, count, random))
	d := divide(total, target, service, rank)
	decision := Decision{Room: room(t, rank, capacity), Demand: d.own, Before: d.before, Completion: completion(r, t), IsStale: t.isStale()}
	decision.Share = min(max((decision.Room-d.before)/max(d.own, minDemand), 0), 1)
	if t.IsPooled && t.Queue < float64(t.Slots) {
		decision.Share = 1
	}
	switch {
	case isLate(r, t, decision.Completion):
		decision.Cause = CauseLate
	case random() < decision.Share:
	case rank.isExcess():
		decision.Cause = CauseKey
	default:
		decision.Cause = CauseShare
	}
	decision.RetryAfter = returnAfter(r, t, d, capacity, random)
	return decision, rank
}

// work returns the time for which a request occupies a slot, in seconds.
func (t Target) work(r Request) float64 { return r.Execution.Seconds() * max(t.Pace, minPace) }

const (
	// minPace bounds the pace of a server that is not known yet.
	minPace = 0.3
	// minDemand avoids a division by zero.
	minDemand = 1e-6
)

// isExcess reports whether a request is beyond the share of its key. Of a key that wants more
// than its share, the share is chosen at random.
func isExcess(now time.Time, r Request, t Target, total, capacity float64, count countKey, random func() float64) bool {
	if !r.HasKey {
		return false
	}
	work := t.work(r)
	ofKey := count(now, keyID{t.Service, t.Name, r.Key}, work)
	ofTarget := count(now, keyID{t.Service, t.Name, allKeys}, work)
	wanted := total * ofKey / (ofTarget + keyPrior*work)
	return wanted > 0 && random() >= keyShare*capacity/wanted
}

// keyPrior is the number of requests for other keys that are assumed beside those that this
// instance has seen.
const keyPrior = 1

// completion returns the expected time until the response: the request's own execution behind
// requests of the mean execution time.
func completion(r Request, t Target) time.Duration {
	rounds := max((t.Queue+1)/float64(max(t.Slots, 1))-1, 0)
	return time.Duration(max(t.Pace, minPace) * (float64(r.Execution) + rounds*float64(t.Execution)))
}

// isLate reports whether a first attempt cannot be expected within its objective, or a returning
// client's before its deadline. It is not late while a slot is free: the server may be slow only
// for a moment, and no other request waits for the slot.
func isLate(r Request, t Target, completion time.Duration) bool {
	if t.Queue < float64(t.Slots) {
		return false
	}
	if r.IsReturn {
		return completion > r.DeadlineLeft
	}
	margin := 1 - objectiveShare
	if t.isStale() {
		margin *= 2
	}
	return float64(completion) > (1-margin)*float64(r.ObjectiveLeft) || completion > r.DeadlineLeft
}

// capacity returns the number of slots that requests may keep busy.
func (t Target) capacity() float64 {
	capacity := float64(max(t.Slots, 1))
	if t.MaxBusy > 0 {
		return min(capacity, t.MaxBusy)
	}
	return capacity
}

func (t Target) isStale() bool { return t.Age > staleAge }

// room returns the slots that the target has for new requests: its capacity, more while its
// queue is below the target length, and less while it is above.
func room(t Target, rank class, capacity float64) float64 {
	rounds := targetRounds
	switch {
	case rank.isExcess():
		rounds = excessRounds
	case rank.isReturn():
		rounds = returnRounds
	case rank > 0:
		rounds = lessUrgentRounds
	}
	correction := (rounds*capacity - t.Queue) * t.Execution.Seconds() * max(t.Pace, minPace) / correctionTime.Seconds()
	if t.isStale() {
		correction /= 2
	}
	return max(capacity+correction, 0)
}

// mixes are counts by name, in bounded memory.
type mixes struct {
	byName  map[string]*mix
	sweptAt time.Time
}

// find returns the decayed counts of a name. It drops names without requests when there are many.
func (m *mixes) find(now time.Time, name string) *mix {
	found := m.byName[name]
	if found == nil {
		if len(m.byName) >= maxTracked {
			m.sweep(now)
		}
		found = &mix{countedAt: now}
		if m.byName == nil {
			m.byName = map[string]*mix{}
		}
		if len(m.byName) < maxTracked {
			m.byName[name] = found
		}
	}
	found.decayTo(now)
	return found
}

// peek returns the decayed counts of a name without keeping any.
func (m *mixes) peek(now time.Time, name string) mix {
	found := m.byName[name]
	if found == nil {
		return mix{countedAt: now}
	}
	decayed := *found
	decayed.decayTo(now)
	return decayed
}

func (m *mixes) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < trackedFor {
		return
	}
	m.sweptAt = now
	for name, found := range m.byName {
		if now.Sub(found.countedAt) >= trackedFor {
			delete(m.byName, name)
		}
	}
}
