// Package placement estimates when each backend server would complete a
// request, and chooses among them. It answers loads that are uneven from moment
// to moment: servers of different speed, stragglers, bursts.
package placement

import (
	"math"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	// gain of the moving averages: the last ten answers or so count.
	gain = 0.12
	// workGain of a route's mean, over all servers.
	workGain = 0.02
	// plainRounds is up to how long a queue an answer tells the work of a route;
	// behind a longer one it tells more of the estimate of the queue.
	plainRounds = 1.25
	// reportAge is how fast a reported slowdown or queue loses its weight;
	// neighbors come and go several times a second.
	reportAge = 300 * time.Millisecond

	// fullQueue times the slots is taken to wait at a server that resets.
	fullQueue = 4
	// presetWork is assumed for a route before its first answers.
	presetWork = 150 * time.Millisecond
	// minFactor and maxFactor bound how much faster or slower than the others
	// one server is taken to be.
	minFactor, maxFactor = 0.3, 12.0
)

type state struct {
	inFlight int
	// open connections of this instance.
	open int
	// samples is the number of answers that the factor rests on.
	samples int
	factor  float64
	load    redwingstall.ServerLoad
	loadAt  time.Time
	health  health
	// rests is what the last estimate said.
	rests bool
	// told is set while the state has news for the other instances.
	told bool
	// sources are other instances, and failure domains as a whole.
	sources map[string]heard
}

// Estimator holds what is known of all servers. It is safe for concurrent use.
// The zero value knows nothing.
type Estimator struct {
	mu      sync.Mutex
	servers map[string]*state
	// work is the usual time of a route's requests.
	work map[string]time.Duration
	// byService is the same over all routes of a service.
	byService map[string]time.Duration
	answers   map[string]int
	// bytes is the mean size of a route's answers.
	bytes map[string]float64
}

func (e *Estimator) state(id string) *state {
	if e.servers == nil {
		e.servers = map[string]*state{}
		e.work = map[string]time.Duration{}
		e.byService = map[string]time.Duration{}
		e.answers = map[string]int{}
		e.bytes = map[string]float64{}
	}
	s := e.servers[id]
	if s == nil {
		s = &state{factor: 1, sources: map[string]heard{}}
		e.servers[id] = s
	}
	return s
}

// Candidate is a server that a request may go to.
type Candidate struct {
	ID      string
	Service string
	Slots   int
}

// Estimate is what a request can expect at a server.
type Estimate struct {
	// QueueLength counts the requests at the server, of all instances.
	QueueLength float64
	// Completion from now.
	Completion time.Duration
	// IsEjected is set after failures in a row, and while the server answers
	// nobody.
	IsEjected bool
	// PeerConnections counts the connections that other instances have open.
	PeerConnections int
	// HasEjectionChanged is set on the first estimate that differs in IsResting from the
	// one before, with the reason of the rest.
	HasEjectionChanged bool
	Reason             EjectionReason
	// FailureRate is the share of recent attempts, of all instances, that failed.
	FailureRate float64
}

// Estimate tells when a server would complete a request of a route.
func (e *Estimator) Estimate(now time.Time, route string, c Candidate) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(c.ID)
	estimate := e.estimate(now, s, route, c)
	estimate.HasEjectionChanged = estimate.IsEjected != s.rests
	s.rests = estimate.IsEjected
	return estimate
}

func (e *Estimator) estimate(now time.Time, s *state, route string, c Candidate) Estimate {
	work := e.work[route]
	if work == 0 {
		work = presetWork
	}
	queue := s.queue(now)
	slowdown := 1 + (max(s.load.Slowdown, 1)-1)*weightOf(now.Sub(s.loadAt))
	if s.load.Slowdown == 0 {
		slowdown = 1
	}
	rounds := max(1, (queue+1)/float64(max(c.Slots, 1)))
	completion := time.Duration(float64(work) * s.factorNow(now) * slowdown * rounds)
	reason := s.restReason(now, completion)
	return Estimate{
		QueueLength: queue,
		Completion:  completion,
		IsEjected:   reason != EjectionNone,
		Reason:      reason,
		FailureRate: s.failureRate(now),

		PeerConnections: s.elsewhereOpen(now),
	}
}

// IsUnresponsive reports whether a server answers nobody.
func (e *Estimator) IsUnresponsive(now time.Time, route string, c Candidate) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(c.ID)
	return s.isSilent(now, e.estimate(now, s, route, c).Completion)
}

func (s *state) elsewhereOpen(now time.Time) int {
	sum := 0
	for _, h := range s.sources {
		if h.isFresh(now) {
			sum += h.OpenConnections
		}
	}
	return sum
}

func weightOf(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(reportAge))
}

// queue is the larger of what the instances have under way and, while it is
// fresh, what the server reported.
func (s *state) queue(now time.Time) float64 {
	sum := float64(s.inFlight)
	for _, t := range s.sources {
		if t.isFresh(now) {
			sum += float64(t.InFlight)
		}
	}
	reported := float64(s.load.Running+s.load.Waiting) * weightOf(now.Sub(s.loadAt))
	return max(sum, reported)
}

// factorNow joins the own average with those of other instances.
func (s *state) factorNow(now time.Time) float64 {
	sum, n := s.factor*min(float64(s.samples), 10)+0.5, min(float64(s.samples), 10)+0.5
	for _, t := range s.sources {
		if t.isFresh(now) && t.LatencyFactor > 0 {
			sum += t.LatencyFactor
			n++
		}
	}
	return sum / n
}

// Begin counts a request that is sent to a server.
func (e *Estimator) Begin(now time.Time, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(id)
	s.inFlight++
	s.told = true
	s.health.begin(now)
}

// End notes how a request ended that found a queue before it.
func (e *Estimator) End(now time.Time, route string, c Candidate, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(c.ID)
	s.inFlight--
	s.open = outcome.OpenConnections
	s.told = true
	if outcome.HasLoad {
		s.load, s.loadAt = outcome.Load, now
	}
	s.health.end(now, outcome, s.inFlight)
	switch outcome.Kind {
	case Served:
		e.learn(s, route, outcome, c)
	case Failed:
		if outcome.IsQueueFull {
			s.fill(now, c)
		}
	case Abandoned:
		// Canceled after this time: the server is at least as slow as that.
		e.learnSlow(s, route, outcome)
	case Shed, Neutral:
	}
}

// OutcomeKind says what an attempt teaches about its server.
type OutcomeKind int

// The kinds of outcomes.
const (
	// Neutral teaches nothing.
	Neutral OutcomeKind = iota
	// Served is a complete answer.
	Served
	// Failed is no answer, or a failure of the server's own.
	Failed
	// Abandoned was given up before the answer.
	Abandoned
	// Shed is the server's word that it did not run the request.
	Shed
)

// Outcome of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// Elapsed is the time from the sending.
	Elapsed time.Duration
	// QueueLength is the estimate when it was sent.
	QueueLength float64
	Load        redwingstall.ServerLoad
	HasLoad     bool
	// ResponseBytes of the answer.
	ResponseBytes int
	// OpenConnections connections to the server afterwards.
	OpenConnections int
	// IsAnswered is set if the server sent anything.
	IsAnswered bool
	// IsReplaced is an address at which another server answers.
	IsReplaced bool
	// IsQueueFull is a connection that was reset at once, as servers do whose queue
	// is full.
	IsQueueFull bool
}

// fill notes that a server's queue is full, until its answers say otherwise.
func (s *state) fill(now time.Time, c Candidate) {
	s.load.Running, s.load.Waiting = c.Slots, max(s.load.Waiting, fullQueue*c.Slots)
	s.loadAt = now
}

func (e *Estimator) learn(s *state, route string, o Outcome, c Candidate) {
	rounds := max(1, (o.QueueLength+1)/float64(max(c.Slots, 1)))
	alone := float64(o.Elapsed) / rounds
	e.bytes[route] += gain * (float64(o.ResponseBytes) - e.bytes[route])
	work := e.work[route]
	if work == 0 {
		e.work[route] = time.Duration(alone)
		if e.byService[c.Service] == 0 {
			e.byService[c.Service] = time.Duration(alone)
		}
		return
	}
	sample := min(max(alone/float64(work), minFactor), maxFactor)
	s.samples++
	s.factor += gain * (sample - s.factor)
	if rounds > plainRounds {
		return
	}
	// The route's work is the mean over all servers, which anchors the factors.
	e.answers[c.Service]++
	mean := max(workGain, 1/float64(e.answers[c.Service]+1))
	e.work[route] += time.Duration(mean * (alone - float64(work)))
	e.byService[c.Service] += time.Duration(mean * (alone - float64(e.byService[c.Service])))
}

func (e *Estimator) learnSlow(s *state, route string, o Outcome) {
	work := e.work[route]
	if work == 0 {
		return
	}
	if sample := float64(o.Elapsed) / float64(work); sample > s.factor {
		s.factor += gain * (min(sample, maxFactor) - s.factor)
	}
}

// RouteExecutionTime is the usual time that requests of a route take.
func (e *Estimator) RouteExecutionTime(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w := e.work[route]; w > 0 {
		return w
	}
	return presetWork
}

// LatencyFactor is how slow a server is against the usual time.
func (e *Estimator) LatencyFactor(now time.Time, id string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state(id).factorNow(now)
}

// RemoveUnlisted drops servers that are not listed any more.
func (e *Estimator) RemoveUnlisted(isListed func(id string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.servers {
		if s.inFlight == 0 && !isListed(id) {
			delete(e.servers, id)
		}
	}
}

// ServiceExecutionTime is the usual time of a request at a service, over all routes.
func (e *Estimator) ServiceExecutionTime(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w := e.byService[service]; w > 0 {
		return w
	}
	return presetWork
}

// MeanResponseBytes is the mean size of a route's answers.
func (e *Estimator) MeanResponseBytes(route string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bytes[route]
}
