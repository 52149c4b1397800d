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

// simulation plays loads in simulated time against one server, the owner of all keys, or a pool of
// servers. Each instance knows its own requests, and those of the others as they were one to two
// report intervals before.
type simulation struct {
	now    time.Time
	events eventQueue
	random *rand.Rand
	// paces is a source of its own, so that servers are slow at the same times in each run.
	paces         *rand.Rand
	instances     int
	interval      time.Duration
	isOn          bool
	servers       []simulatedServer
	meanExecution time.Duration
	// ends is the time at which the arrivals end, and start that at which they begin.
	start, ends time.Time
	knowledge   []known
	results     map[string]*result
}

const slots = 6

type simulatedServer struct {
	counter   demandCounter
	running   int
	waiting   []*client
	slowUntil time.Time
	isLost    bool
}

type known struct {
	servers    []knownServer
	controller admission.Controller
}

type knownServer struct {
	own, reported, pending int
	reportedAt, pendingAt  time.Time
	// counter counts the demand at the instance. The demands are those of the other instances.
	counter                       demandCounter
	reportedDemand, pendingDemand float64
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
	server   int
}

const (
	maxWaiting = 40
	// meanPace is the mean pace of a server that is three times as slow for a fifth of the time.
	meanPace = 1.4
)

func newSimulation(seed uint64, isOn bool, instances, servers int, interval time.Duration) *simulation {
	start := time.Unix(1e9, 0)
	s := &simulation{now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)), paces: rand.New(rand.NewPCG(seed, 2)), instances: instances, interval: interval, isOn: isOn, knowledge: make([]known, instances), servers: make([]simulatedServer, servers), results: map[string]*result{}}
	for i := range s.knowledge {
		s.knowledge[i].servers = make([]knownServer, servers)
		s.after(time.Duration(s.random.Float64()*float64(interval)), func() { s.exchange(i) })
	}
	for i := range s.servers {
		s.after(0, func() { s.changePace(&s.servers[i]) })
	}
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
	c.server = s.choose(&s.knowledge[c.instance])
	v := &s.servers[c.server]
	isAdmitted, retryAfter := s.decide(c, &s.knowledge[c.instance])
	if isAdmitted && (len(v.waiting) >= maxWaiting || v.isLost) {
		isAdmitted, retryAfter = false, c.load.execution/2
	}
	if !isAdmitted {
		s.refuse(c, retryAfter)
		return
	}
	s.knowledge[c.instance].servers[c.server].own++
	if v.running < slots {
		s.begin(c)
	} else {
		v.waiting = append(v.waiting, c)
	}
}

// choose returns the server with the shortest queue of three at random, without those whose loss
// is known.
func (s *simulation) choose(k *known) int {
	best := 0
	for n, i := range s.random.Perm(len(s.servers)) {
		if n == 0 || s.servers[best].isLost || !s.servers[i].isLost && n < 3 && k.servers[i].own+k.servers[i].reported < k.servers[best].own+k.servers[best].reported {
			best = i
		}
	}
	return best
}

// lose ends a server with all of its requests.
func (s *simulation) lose(n int) {
	v := &s.servers[n]
	v.isLost = true
	for _, c := range v.waiting {
		s.knowledge[c.instance].servers[n].own--
		s.results[c.load.name].refused++
	}
	v.waiting = nil
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
	v := &s.servers[c.server]
	v.running++
	const variation = 0.65
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	took := float64(c.load.execution) * math.Exp(s.random.NormFloat64()*sigma-sigma*sigma/2)
	if s.now.Before(v.slowUntil) {
		took *= 3
	}
	s.after(time.Duration(took), func() { s.end(c) })
}

func (s *simulation) end(c *client) {
	v := &s.servers[c.server]
	v.running--
	s.knowledge[c.instance].servers[c.server].own--
	r := s.results[c.load.name]
	switch took := s.now.Sub(c.began); {
	case v.isLost:
		r.refused++
	case took <= c.load.objective:
		r.inTime++
	case took <= c.load.patience:
		r.late++
	default:
		r.refused++
	}
	if len(v.waiting) > 0 {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		s.begin(next)
	}
}

func (s *simulation) decide(c *client, k *known) (isAdmitted bool, retryAfter time.Duration) {
	l, v := c.load, &k.servers[c.server]
	reported, reportedDemand := v.reported, v.reportedDemand
	if s.now.Sub(v.reportedAt) > 1500*time.Millisecond {
		reported, reportedDemand = 0, 0 // no report is used for longer
	}
	queue := float64(v.own + reported)
	rounds := max(1, (queue+1)/float64(slots))
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
		demand := reportedDemand + v.counter.at(s.now)
		s.servers[c.server].counter.add(s.now, l.execution.Seconds()*meanPace)
		v.counter.add(s.now, l.execution.Seconds()*meanPace)
		d := k.controller.Decide(s.now, admission.Request{
			Priority: l.priority, Key: key, HasKey: len(s.servers) == 1, IsReturn: elapsed > 0, Execution: l.execution,
			ObjectiveLeft: l.objective - elapsed, DeadlineLeft: deadlineLeft, ReturnLeft: deadlineLeft,
		}, admission.Target{
			Name: fmt.Sprint(c.server), Service: "s", Demand: demand, Slots: slots, Queue: queue, Execution: s.meanExecution, Pace: meanPace,
			Age: s.now.Sub(v.reportedAt), IsPooled: len(s.servers) > 1, Instances: s.instances,
		}, s.random.Float64)
		return d.IsAdmitted(), d.RetryAfter
	}
	// The decisions without the feature, as in dispatch.
	isFull := queue >= 3*float64(slots)
	isLate := time.Duration(0.7*float64(completion)) > deadlineLeft || elapsed == 0 && completion > l.objective+l.execution/2
	if queue < float64(slots) || !isFull && !isLate {
		return true, 0
	}
	retryAfter = max(min(completion-l.objective/2, time.Duration(0.3*float64(deadlineLeft))), 60*time.Millisecond)
	return false, time.Duration(float64(retryAfter) * (0.75 + 0.75*s.random.Float64()))
}

// exchange lets an instance receive what the others sent one interval ago.
func (s *simulation) exchange(i int) {
	for n := range s.servers {
		k, v := &s.knowledge[i].servers[n], &s.servers[n]
		k.reported, k.reportedAt = k.pending, k.pendingAt
		k.reportedDemand, k.pendingDemand = k.pendingDemand, v.counter.at(s.now)-k.counter.at(s.now)
		k.pending, k.pendingAt = v.running+len(v.waiting)-k.own, s.now
	}
	if s.now.Before(s.ends) {
		s.after(s.interval, func() { s.exchange(i) })
	}
}

func (s *simulation) changePace(v *simulatedServer) {
	slow := time.Duration(s.paces.ExpFloat64() * float64(400*time.Millisecond))
	v.slowUntil = s.now.Add(slow)
	if s.now.Before(s.ends) || s.ends.IsZero() {
		s.after(slow+time.Duration(s.paces.ExpFloat64()*float64(1600*time.Millisecond)), func() { s.changePace(v) })
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
