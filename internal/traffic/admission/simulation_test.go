package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/redwingstall/redwingstall/internal/traffic/admission"
)

// load is a stream of requests of one kind to one key or, with key -1, to many keys.
type load struct {
	name      string
	perSecond float64
	execution time.Duration
	objective time.Duration
	patience  time.Duration
	priority  int
	key       int
	from, to  time.Duration
	// repeats is how often a refused client repeats at once, whatever it was told.
	repeats int
	// returnAfter is when refused clients come back, if not when they were told.
	returnAfter time.Duration
}

// result is what the clients of a load got.
type result struct {
	clients, inTime, late, refused, again float64
	causes                                map[string]float64
}

func (r *result) add(o *result) {
	r.clients += o.clients
	r.inTime += o.inTime
	r.late += o.late
	r.refused += o.refused
	r.again += o.again
}

func (r result) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, refused %.3f, refused again %.3f, value %.3f", r.prompt(), r.late/r.clients, r.refused/r.clients, r.again/r.clients, r.value())
}

// served is the share of clients that got a response, and value is the mean value of a client,
// where a late response is worth 0.4 and another refusal costs 0.3.
func (r result) served() float64 { return (r.inTime + r.late) / r.clients }
func (r result) value() float64  { return (r.inTime + 0.4*r.late - 0.3*r.again) / r.clients }
func (r result) prompt() float64 { return r.inTime / r.clients }

// simulation plays loads against the slots of one server in simulated time. Each instance knows
// its own requests, and those of the others as they were one to two report intervals before.
type simulation struct {
	now    time.Time
	events eventQueue
	random *rand.Rand
	// paces is a source of its own, so that the server is slow at the same times in each run.
	paces         *rand.Rand
	slots         int
	instances     int
	interval      time.Duration
	isOn          bool
	counter       demandCounter
	running       int
	waiting       []*client
	slowUntil     time.Time
	meanExecution time.Duration
	// ends is the time at which the arrivals end, and start that at which they begin.
	start, ends time.Time
	knowledge   []known
	results     map[string]*result
	// busy is the time for which slots worked.
	busy time.Duration
}

type known struct {
	own, reported, pending int
	reportedAt, pendingAt  time.Time
	// counter counts the demand at the instance. The demands are those of the other instances.
	counter                       demandCounter
	reportedDemand, pendingDemand float64
	controller                    admission.Controller
}

// demandCounter counts the slots that are wanted, with a half-life of a second.
type demandCounter struct {
	work      float64
	countedAt time.Time
}

func (c *demandCounter) at(now time.Time) float64 {
	return c.work * math.Exp2(-now.Sub(c.countedAt).Seconds()) * math.Ln2
}

func (c *demandCounter) add(now time.Time, work float64) {
	c.work, c.countedAt = c.at(now)/math.Ln2+work, now
}

type client struct {
	load     *load
	began    time.Time
	refusals int
	instance int
}

const (
	maxWaiting = 40
	// meanPace is the mean pace of a server that is three times as slow for a fifth of the time.
	meanPace = 1.4
)

func newSimulation(seed uint64, isOn bool, instances int, interval time.Duration) *simulation {
	start := time.Unix(1e9, 0)
	s := &simulation{now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)), paces: rand.New(rand.NewPCG(seed, 2)), slots: 6, instances: instances, interval: interval, isOn: isOn, knowledge: make([]known, instances), results: map[string]*result{}}
	for i := range s.knowledge {
		s.after(time.Duration(s.random.Float64()*float64(interval)), func() { s.exchange(i) })
	}
	s.after(0, s.changePace)
	return s
}

func (s *simulation) run(length time.Duration, loads ...load) map[string]*result {
	s.ends = s.start.Add(length)
	work, requests := 0.0, 0.0
	for _, l := range loads {
		work += l.perSecond * float64(l.execution)
		requests += l.perSecond
	}
	s.meanExecution = time.Duration(work / requests)
	for i := range loads {
		l := &loads[i]
		s.results[l.name] = &result{}
		if l.to == 0 {
			l.to = length
		}
		s.after(l.from, func() { s.arrive(l) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.results
}

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(delay), run})
}

func (s *simulation) arrive(l *load) {
	if s.now.Sub(s.start) >= l.to {
		return
	}
	s.results[l.name].clients++
	s.try(&client{load: l, began: s.now})
	s.after(time.Duration(s.random.ExpFloat64()/l.perSecond*float64(time.Second)), func() { s.arrive(l) })
}

func (s *simulation) try(c *client) {
	c.instance = s.random.IntN(s.instances)
	k := &s.knowledge[c.instance]
	isAdmitted, retryAfter := s.decide(c, k)
	if isAdmitted && len(s.waiting) >= maxWaiting {
		isAdmitted, retryAfter = false, c.load.execution/2
	}
	if !isAdmitted {
		s.refuse(c, retryAfter)
		return
	}
	k.own++
	if s.running < s.slots {
		s.begin(c)
	} else {
		s.waiting = append(s.waiting, c)
	}
}

func (s *simulation) refuse(c *client, retryAfter time.Duration) {
	r := s.results[c.load.name]
	if c.refusals++; c.refusals > 1 {
		r.again++
	}
	if c.load.returnAfter > 0 {
		retryAfter = c.load.returnAfter
	}
	if c.refusals <= c.load.repeats {
		retryAfter = 5 * time.Millisecond
	}
	if c.refusals > max(2, c.load.repeats) || s.now.Add(retryAfter).Sub(c.began) >= c.load.patience {
		r.refused++
		return
	}
	s.after(retryAfter, func() { s.try(c) })
}

func (s *simulation) begin(c *client) {
	s.running++
	const variation = 0.65
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	took := float64(c.load.execution) * math.Exp(s.random.NormFloat64()*sigma-sigma*sigma/2)
	if s.now.Before(s.slowUntil) {
		took *= 3
	}
	if s.now.Before(s.ends) {
		s.busy += time.Duration(took)
	}
	s.after(time.Duration(took), func() { s.end(c) })
}

func (s *simulation) end(c *client) {
	s.running--
	s.knowledge[c.instance].own--
	r := s.results[c.load.name]
	switch took := s.now.Sub(c.began); {
	case took <= c.load.objective:
		r.inTime++
	case took <= c.load.patience:
		r.late++
	default:
		r.refused++
	}
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(next)
	}
}

func (s *simulation) decide(c *client, k *known) (isAdmitted bool, retryAfter time.Duration) {
	l := c.load
	reported, reportedDemand := k.reported, k.reportedDemand
	if s.now.Sub(k.reportedAt) > 1500*time.Millisecond {
		reported, reportedDemand = 0, 0 // no report is used for longer
	}
	queue := float64(k.own + reported)
	rounds := max(1, (queue+1)/float64(s.slots))
	completion := time.Duration(float64(l.execution) * meanPace * rounds)
	elapsed := s.now.Sub(c.began)
	if elapsed < time.Duration(0.15*float64(l.patience)) {
		elapsed = 0 // the client timeout does not tell it from a first attempt
	}
	deadlineLeft := l.patience - elapsed
	if s.isOn {
		key := l.key
		if key < 0 {
			key = 1000 + s.random.IntN(1000)
		}
		demand := reportedDemand + k.counter.at(s.now)
		s.counter.add(s.now, l.execution.Seconds()*meanPace)
		k.counter.add(s.now, l.execution.Seconds()*meanPace)
		d := k.controller.Decide(s.now, admission.Request{
			Priority: l.priority, Key: key, HasKey: true, IsReturn: elapsed > 0, Execution: l.execution,
			ObjectiveLeft: l.objective - elapsed, DeadlineLeft: deadlineLeft, ReturnLeft: deadlineLeft,
		}, admission.Target{Name: "s", Service: "s", Demand: demand, Slots: s.slots, Queue: queue, Execution: s.meanExecution, Pace: meanPace, Age: s.now.Sub(k.reportedAt), Instances: s.instances}, s.random.Float64)
		return d.IsAdmitted(), d.RetryAfter
	}
	// The decisions without the feature, as in dispatch.
	isFull := queue >= 3*float64(s.slots)
	isLate := time.Duration(0.7*float64(completion)) > deadlineLeft || elapsed == 0 && completion > l.objective+l.execution/2
	if queue < float64(s.slots) || !isFull && !isLate {
		return true, 0
	}
	retryAfter = max(min(completion-l.objective/2, time.Duration(0.3*float64(deadlineLeft))), 60*time.Millisecond)
	return false, time.Duration(float64(retryAfter) * (0.75 + 0.75*s.random.Float64()))
}

// exchange lets an instance receive what the others sent one interval ago.
func (s *simulation) exchange(i int) {
	k := &s.knowledge[i]
	k.reported, k.reportedAt = k.pending, k.pendingAt
	k.reportedDemand, k.pendingDemand = k.pendingDemand, s.counter.at(s.now)-k.counter.at(s.now)
	k.pending, k.pendingAt = s.running+len(s.waiting)-k.own, s.now
	if s.now.Before(s.ends) {
		s.after(s.interval, func() { s.exchange(i) })
	}
}

func (s *simulation) changePace() {
	slow := time.Duration(s.paces.ExpFloat64() * float64(400*time.Millisecond))
	s.slowUntil = s.now.Add(slow)
	if s.now.Before(s.ends) || s.ends.IsZero() {
		s.after(slow+time.Duration(s.paces.ExpFloat64()*float64(1600*time.Millisecond)), s.changePace)
	}
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
