package placement

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// sourceAge is how long another instance's counts are taken as they are.
const sourceAge = 1500 * time.Millisecond

// Report is what an instance, or a failure domain as a whole, tells the others
// about a server.
type Report struct {
	Server string
	// InFlight requests at the server, and Open connections to it.
	InFlight        int
	OpenConnections int
	// LatencyFactor is how slow the server is against the usual time.
	LatencyFactor float64
	// Load as last seen on an answer, and its age.
	Load    redwingstall.ServerLoad
	HasLoad bool
	LoadAge time.Duration
	// Attempts and Failures of late.
	Attempts float64
	Failures float64
	// UnansweredTime is how long an answer has been awaited in vain.
	UnansweredTime time.Duration
}

// heard is a report that was received.
type heard struct {
	Report
	at time.Time
	// isDomain is the sum over a failure domain.
	isDomain bool
}

func (h heard) isFresh(now time.Time) bool { return now.Sub(h.at) < sourceAge }

// Reports returns what has changed since the last call, and every server with
// requests in flight.
func (e *Estimator) Reports(now time.Time) []Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	reports := []Report{}
	for id, s := range e.servers {
		if s.told || s.inFlight > 0 {
			reports = append(reports, s.report(now, id))
		}
		s.told = false
	}
	return reports
}

// DomainReports sums up what this instance and those of its failure domain know
// of every server that they use.
func (e *Estimator) DomainReports(now time.Time) []Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	reports := []Report{}
	for id, s := range e.servers {
		if r, isUsed := s.domainReport(now, id); isUsed {
			reports = append(reports, r)
		}
	}
	return reports
}

func (s *state) report(now time.Time, id string) Report {
	age := now.Sub(s.loadAt)
	r := Report{
		Server: id, InFlight: s.inFlight, OpenConnections: s.open, LatencyFactor: s.factor,
		Load: s.load, HasLoad: age < time.Second, LoadAge: age, UnansweredTime: s.health.silence(now),
	}
	r.Attempts, r.Failures = s.health.tally.at(now)
	return r
}

func (s *state) domainReport(now time.Time, id string) (sum Report, isUsed bool) {
	sum = s.report(now, id)
	isUsed = s.samples > 0 || s.inFlight > 0
	factors, n := s.factor*float64(min(s.samples, 1)), float64(min(s.samples, 1))
	for _, t := range s.sources {
		if t.isDomain || !t.isFresh(now) {
			continue
		}
		isUsed = true
		sum.InFlight += t.InFlight
		sum.OpenConnections += t.OpenConnections
		sum.Attempts += t.Attempts
		sum.Failures += t.Failures
		if t.UnansweredTime > 0 {
			sum.UnansweredTime = max(sum.UnansweredTime, t.UnansweredTime+now.Sub(t.at))
		}
		factors += t.LatencyFactor
		n++
	}
	if n > 0 {
		sum.LatencyFactor = factors / n
	}
	return sum, isUsed
}

// MergeReports takes over what another instance reports.
func (e *Estimator) MergeReports(now time.Time, instance string, reports []Report) {
	e.learnReports(now, "instance "+instance, reports, false)
}

// MergeDomainReports takes over the sums of another failure domain.
func (e *Estimator) MergeDomainReports(now time.Time, domain string, reports []Report) {
	e.learnReports(now, "domain "+domain, reports, true)
}

func (e *Estimator) learnReports(now time.Time, source string, reports []Report, isDomain bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range reports {
		s := e.state(r.Server)
		s.sources[source] = heard{r, now, isDomain}
		if seen := now.Add(-r.LoadAge); r.HasLoad && seen.After(s.loadAt) {
			s.load, s.loadAt = r.Load, seen
		}
	}
}
