// Package placement estimates when each backend server would complete a request, and
// ejects servers that fail or do not respond. It handles load that is uneven from moment
// to moment: servers of different speed, stragglers and bursts.
package placement

import (
	"math"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	// averageWeight is the weight of a new sample in the moving averages, which cover
	// about the last ten responses.
	averageWeight = 0.12
	// executionTimeWeight is the minimum weight of a sample in the mean execution time
	// of a route over all servers.
	executionTimeWeight = 0.02
	// maxSampledRounds is the queue length, in multiples of the server's slots, up to
	// which a response is a sample of the route's execution time. Behind a longer queue
	// it mostly reflects the error of the queue estimate.
	maxSampledRounds = 1.25
	// loadDecayTime is how fast a reported slowdown or queue loses its weight. Other
	// load on a server's machine changes several times a second.
	loadDecayTime = 300 * time.Millisecond

	// fullQueueRounds is the length assumed of the queue of a server that resets
	// connections, in multiples of its slots.
	fullQueueRounds = 4
	// defaultExecutionTime is assumed for a route before its first responses.
	defaultExecutionTime = 150 * time.Millisecond
	// minLatencyFactor and maxLatencyFactor bound the latency factor of a sample.
	minLatencyFactor, maxLatencyFactor = 0.3, 12.0
)

// serverState is what is known of one server.
type serverState struct {
	inFlight int
	// openConnections are those of this instance.
	openConnections int
	// samples is the number of responses in latencyFactor.
	samples       int
	latencyFactor float64
	load          redwingstall.ServerLoad
	loadAt        time.Time
	health        health
	demand        demandCounter
	// wasEjected is whether the last estimate had the server ejected.
	wasEjected bool
	// reported is what was last reported to other instances.
	reported reported
	// totalAt is when the sums of all instances were received that are merged.
	totalAt time.Time
	// hasUnreported is set while there are changes to report to the other instances.
	hasUnreported bool
	// reports are the last ones of other instances, and of failure domains as a whole,
	// by source.
	reports map[string]receivedReport
}

// reported is the part of a report that sums of all instances include.
type reported struct {
	inFlight        int
	openConnections int
	demand          float64
}

// Estimator tracks the load, speed and health of all servers. It is safe for concurrent
// use. The zero value is ready to use.
type Estimator struct {
	mu      sync.Mutex
	servers map[string]*serverState
	// mergedAt is when a report of other instances was last merged.
	mergedAt time.Time
	// totals are the last tables with sums of all instances, the newest last.
	totals []receivedTable
	// executionTimes are the mean execution times by route.
	executionTimes map[string]time.Duration
	// serviceExecutionTimes are the same by service, over all of its routes.
	serviceExecutionTimes map[string]time.Duration
	sampleCounts          map[string]int
	// responseBytes are the mean response sizes by route.
	responseBytes map[string]float64
}

func (e *Estimator) server(id string) *serverState {
	if e.servers == nil {
		e.servers = map[string]*serverState{}
		e.executionTimes = map[string]time.Duration{}
		e.serviceExecutionTimes = map[string]time.Duration{}
		e.sampleCounts = map[string]int{}
		e.responseBytes = map[string]float64{}
	}
	s := e.servers[id]
	if s == nil {
		s = &serverState{latencyFactor: 1, reports: map[string]receivedReport{}}
		e.servers[id] = s
	}
	return s
}

// Candidate is a server that a request may be sent to.
type Candidate struct {
	ID      string
	Service string
	Slots   int
}

// Estimate is what a request can expect at a server.
type Estimate struct {
	// QueueLength is the number of requests at the server, running or waiting, of all
	// instances.
	QueueLength float64
	// Own is the number of this instance's own requests at the server.
	Own int
	// Completion is the expected time until the response.
	Completion time.Duration
	// IsEjected is set after consecutive failures, while the failure rate over all
	// instances is high, and while the server responds to no instance.
	IsEjected bool
	// PeerConnections is the number of connections that the other instances have open.
	PeerConnections int
	// HasEjectionChanged is set if IsEjected differs from the previous estimate. Reason
	// is why the server is ejected.
	HasEjectionChanged bool
	Reason             EjectionReason
	// EjectedFor is how long an ejection by this instance's own attempts still lasts.
	EjectedFor time.Duration
	// FailureRate is the share of failures in the recent attempts of all instances.
	FailureRate float64
	// Demand is the number of slots that the requests of all instances want, and ReportedAt when
	// this instance last received any report.
	Demand     float64
	ReportedAt time.Time
}

// Estimate estimates when a server would complete a request of a route.
func (e *Estimator) Estimate(now time.Time, route string, c Candidate) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(c.ID)
	e.mergeTotal(s, c.ID)
	estimate := e.estimate(now, s, route, c)
	estimate.HasEjectionChanged = estimate.IsEjected != s.wasEjected
	s.wasEjected = estimate.IsEjected
	return estimate
}

// Preview returns what Estimate would return, and leaves it to that to report whether the ejection
// has changed.
func (e *Estimator) Preview(now time.Time, route string, c Candidate) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(c.ID)
	e.mergeTotal(s, c.ID)
	return e.estimate(now, s, route, c)
}

func (e *Estimator) estimate(now time.Time, s *serverState, route string, c Candidate) Estimate {
	executionTime := e.executionTimes[route]
	if executionTime == 0 {
		executionTime = defaultExecutionTime
	}
	queue := s.queueLength(now)
	slowdown := 1 + (max(s.load.Slowdown, 1)-1)*loadWeight(now.Sub(s.loadAt))
	if s.load.Slowdown == 0 {
		slowdown = 1
	}
	rounds := max(1, (queue+1)/float64(max(c.Slots, 1)))
	completion := time.Duration(float64(executionTime) * s.mergedLatencyFactor(now) * slowdown * rounds)
	reason := s.ejectionReason(now, completion)
	return Estimate{
		QueueLength: queue,
		Own:         s.inFlight,
		Completion:  completion,
		IsEjected:   reason != EjectionNone,
		Reason:      reason,
		EjectedFor:  max(s.health.ejectedUntil.Sub(now), 0),
		FailureRate: s.failureRate(now),

		PeerConnections: s.peerConnections(now),
		Demand:          s.totalDemand(now),
		ReportedAt:      e.mergedAt,
	}
}

// IsUnresponsive reports whether a server has recently answered no instance.
func (e *Estimator) IsUnresponsive(now time.Time, route string, c Candidate) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(c.ID)
	e.mergeTotal(s, c.ID)
	return s.isUnresponsive(now, e.estimate(now, s, route, c).Completion)
}

// Responsiveness is what is known of a server's last responses.
type Responsiveness struct {
	// UnansweredTime is the longest time that some instance has waited while none got a
	// response.
	UnansweredTime time.Duration
	// AnsweredAt is when some instance last got a response, and ReportedAt when the
	// newest report of another instance was received. They are zero if there is none.
	AnsweredAt time.Time
	ReportedAt time.Time
}

// Responsiveness returns what is known of a server's last responses.
func (e *Estimator) Responsiveness(now time.Time, id string) Responsiveness {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(id)
	e.mergeTotal(s, id)
	return Responsiveness{UnansweredTime: s.unansweredTime(now), AnsweredAt: s.answeredAt(), ReportedAt: s.reportedAt()}
}

func (s *serverState) peerConnections(now time.Time) int {
	sum := 0
	for _, r := range s.reports {
		if r.isFresh(now) {
			sum += r.OpenConnections
		}
	}
	return sum
}

func loadWeight(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(loadDecayTime))
}

// queueLength returns the larger of the number of requests that the instances have in
// flight and the decayed load that the server reported.
func (s *serverState) queueLength(now time.Time) float64 {
	sum := float64(s.inFlight)
	for _, r := range s.reports {
		if r.isFresh(now) {
			sum += float64(r.InFlight)
		}
	}
	reported := float64(s.load.Running+s.load.Waiting) * loadWeight(now.Sub(s.loadAt))
	return max(sum, reported)
}

// mergedLatencyFactor merges the average of this instance with those of the others.
func (s *serverState) mergedLatencyFactor(now time.Time) float64 {
	sum, n := s.latencyFactor*min(float64(s.samples), 10)+0.5, min(float64(s.samples), 10)+0.5
	for _, r := range s.reports {
		if r.isFresh(now) && r.LatencyFactor > 0 {
			weight := 1.0
			if r.scope == scopeTotal {
				weight = float64(max(r.Sources, 1))
			}
			sum += weight * r.LatencyFactor
			n += weight
		}
	}
	return sum / n
}

// Begin records a request that is sent to a server.
func (e *Estimator) Begin(now time.Time, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(id)
	s.inFlight++
	s.hasUnreported = true
	s.health.begin(now)
}

// End records the outcome of a request that Begin has recorded.
func (e *Estimator) End(now time.Time, route string, c Candidate, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(c.ID)
	s.inFlight--
	s.openConnections = outcome.OpenConnections
	s.hasUnreported = true
	if outcome.HasLoad {
		s.load, s.loadAt = outcome.Load, now
	}
	s.health.end(now, outcome, s.inFlight)
	switch outcome.Kind {
	case Served:
		e.recordServed(s, route, outcome, c)
	case Failed:
		if outcome.IsQueueFull {
			s.markQueueFull(now, c)
		}
	case Abandoned:
		// The elapsed time is a lower bound of the server's latency.
		e.recordAbandoned(s, route, outcome)
	case Shed, Neutral:
	}
}

// OutcomeKind is what an attempt says about its server.
type OutcomeKind int

// The kinds of outcomes.
const (
	// Neutral says nothing about the server.
	Neutral OutcomeKind = iota
	// Served is a complete response.
	Served
	// Failed is a missing response, or a failure of the server itself.
	Failed
	// Abandoned is an attempt that was canceled before the response.
	Abandoned
	// Shed is a response in which the server states that it did not run the request.
	Shed
)

// Outcome is the outcome of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// Elapsed is the time since the request was sent.
	Elapsed time.Duration
	// QueueLength is the estimate when the request was sent.
	QueueLength   float64
	Load          redwingstall.ServerLoad
	HasLoad       bool
	ResponseBytes int
	// OpenConnections to the server after the attempt.
	OpenConnections int
	// IsAnswered is set if the server sent anything.
	IsAnswered bool
	// IsReplaced is set if another server answers at the address.
	IsReplaced bool
	// IsEndless is set if the response exceeded the bound of its length.
	IsEndless bool
	// IsQueueFull is set if the connection was reset at once, as servers do whose queue
	// is full.
	IsQueueFull bool
}

// markQueueFull assumes a full queue until the server reports another load.
func (s *serverState) markQueueFull(now time.Time, c Candidate) {
	s.load.Running, s.load.Waiting = c.Slots, max(s.load.Waiting, fullQueueRounds*c.Slots)
	s.loadAt = now
}

func (e *Estimator) recordServed(s *serverState, route string, o Outcome, c Candidate) {
	rounds := max(1, (o.QueueLength+1)/float64(max(c.Slots, 1)))
	executionTime := float64(o.Elapsed) / rounds
	e.responseBytes[route] += averageWeight * (float64(o.ResponseBytes) - e.responseBytes[route])
	routeTime := e.executionTimes[route]
	if routeTime == 0 {
		e.executionTimes[route] = time.Duration(executionTime)
		if e.serviceExecutionTimes[c.Service] == 0 {
			e.serviceExecutionTimes[c.Service] = time.Duration(executionTime)
		}
		return
	}
	sample := min(max(executionTime/float64(routeTime), minLatencyFactor), maxLatencyFactor)
	s.samples++
	s.latencyFactor += averageWeight * (sample - s.latencyFactor)
	if rounds > maxSampledRounds {
		return
	}
	// The route's execution time is the mean over all servers, which anchors the latency
	// factors.
	e.sampleCounts[c.Service]++
	weight := max(executionTimeWeight, 1/float64(e.sampleCounts[c.Service]+1))
	e.executionTimes[route] += time.Duration(weight * (executionTime - float64(routeTime)))
	e.serviceExecutionTimes[c.Service] += time.Duration(weight * (executionTime - float64(e.serviceExecutionTimes[c.Service])))
}

func (e *Estimator) recordAbandoned(s *serverState, route string, o Outcome) {
	executionTime := e.executionTimes[route]
	if executionTime == 0 {
		return
	}
	if sample := float64(o.Elapsed) / float64(executionTime); sample > s.latencyFactor {
		s.latencyFactor += averageWeight * (min(sample, maxLatencyFactor) - s.latencyFactor)
	}
}

// RouteExecutionTime returns the mean execution time of a route's requests.
func (e *Estimator) RouteExecutionTime(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean := e.executionTimes[route]; mean > 0 {
		return mean
	}
	return defaultExecutionTime
}

// LatencyFactor returns the latency of a server as a multiple of the mean over all
// servers.
func (e *Estimator) LatencyFactor(now time.Time, id string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.server(id)
	e.mergeTotal(s, id)
	return s.mergedLatencyFactor(now)
}

// RemoveUnlisted removes servers that are not listed and have no request in flight.
func (e *Estimator) RemoveUnlisted(isListed func(id string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.servers {
		if s.inFlight == 0 && !isListed(id) {
			delete(e.servers, id)
		}
	}
}

// ServiceExecutionTime returns the mean execution time of a service's requests over all
// routes.
func (e *Estimator) ServiceExecutionTime(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean := e.serviceExecutionTimes[service]; mean > 0 {
		return mean
	}
	return defaultExecutionTime
}

// MeanResponseBytes returns the mean response size of a route.
func (e *Estimator) MeanResponseBytes(route string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.responseBytes[route]
}
