package placement

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
)

// maxReportAge is how long a report of another instance is used, without decay of its
// counts.
const maxReportAge = 1500 * time.Millisecond

// Report is what an instance, or a failure domain as a whole, reports to the others
// about a server.
type Report struct {
	Server string
	// InFlight is the number of requests at the server, and OpenConnections that of
	// connections to it.
	InFlight        int
	OpenConnections int
	// LatencyFactor is the latency of the server as a multiple of the mean.
	LatencyFactor float64
	// Load is the last one that the server reported on a response, LoadAge ago. HasLoad
	// is set if it is recent.
	Load    redwingstall.ServerLoad
	HasLoad bool
	LoadAge time.Duration
	// Attempts and Failures are recent counts with exponential decay.
	Attempts float64
	Failures float64
	// Sources is the number of instances whose reports are summed up, or zero for one.
	Sources int
	// UnansweredTime is how long a response has been pending without any arriving.
	UnansweredTime time.Duration
	// Demand is the number of slots that requests want, whether they were sent or not.
	Demand float64
}

// receivedReport is a report of another instance or failure domain.
type receivedReport struct {
	Report
	receivedAt time.Time
	scope      reportScope
}

// reportScope is whose requests a report covers.
type reportScope int

const (
	// scopeInstance covers one other instance.
	scopeInstance reportScope = iota
	// scopeDomain covers another failure domain.
	scopeDomain
	// scopeTotal covers all instances, this one included.
	scopeTotal
)

func (r receivedReport) isFresh(now time.Time) bool { return now.Sub(r.receivedAt) < maxReportAge }

// Reports returns the servers that have changed since the last call, and those with
// requests in flight.
func (e *Estimator) Reports(now time.Time) []Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	reports := []Report{}
	for id, s := range e.servers {
		if s.hasUnreported || s.inFlight > 0 {
			reports = append(reports, s.report(now, id))
			s.reported = reported{s.inFlight, s.openConnections, s.demand.slotsAt(now)}
		}
		s.hasUnreported = false
	}
	return reports
}

// DomainReports sums up what this instance and the others of its failure domain have
// reported about each server that they use.
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

// TotalReports sums up all reports about each server that any instance uses.
func (e *Estimator) TotalReports(now time.Time) []Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	reports := []Report{}
	for id, s := range e.servers {
		if r, isUsed := s.totalReport(now, id); isUsed {
			reports = append(reports, r)
		}
	}
	return reports
}

func (s *serverState) report(now time.Time, id string) Report {
	age := now.Sub(s.loadAt)
	r := Report{
		Server: id, InFlight: s.inFlight, OpenConnections: s.openConnections, LatencyFactor: s.latencyFactor,
		Load: s.load, HasLoad: age < time.Second, LoadAge: age, UnansweredTime: s.health.unansweredDuration(now),
		Demand: s.demand.slotsAt(now),
	}
	r.Attempts, r.Failures = s.health.counter.countsAt(now)
	return r
}

// domainReport sums up the reports of this instance and the others of its failure
// domain.
func (s *serverState) domainReport(now time.Time, id string) (sum Report, isUsed bool) {
	return s.sumReports(now, id, scopeInstance)
}

// totalReport sums up the reports of this instance, the others of its failure domain, and
// the other domains.
func (s *serverState) totalReport(now time.Time, id string) (sum Report, isUsed bool) {
	return s.sumReports(now, id, scopeDomain)
}

// sumReports sums up the reports up to a scope.
func (s *serverState) sumReports(now time.Time, id string, maxScope reportScope) (sum Report, isUsed bool) {
	sum = s.report(now, id)
	isUsed = s.samples > 0 || s.inFlight > 0 || sum.Demand > 0
	sum.Sources = min(s.samples, 1)
	factors := s.latencyFactor * float64(sum.Sources)
	for _, r := range s.reports {
		if r.scope > maxScope || !r.isFresh(now) {
			continue
		}
		isUsed = true
		sum.InFlight += r.InFlight
		sum.OpenConnections += r.OpenConnections
		sum.Attempts += r.Attempts
		sum.Failures += r.Failures
		sum.Demand += r.Demand
		if r.UnansweredTime > 0 {
			sum.UnansweredTime = max(sum.UnansweredTime, r.UnansweredTime+now.Sub(r.receivedAt))
		}
		factors += r.LatencyFactor * float64(max(r.Sources, 1))
		sum.Sources += max(r.Sources, 1)
	}
	if sum.Sources > 0 {
		sum.LatencyFactor = factors / float64(sum.Sources)
	}
	return sum, isUsed
}

// MergeReports merges the reports of another instance.
func (e *Estimator) MergeReports(now time.Time, instance string, reports []Report) {
	e.mergeReports(now, "instance "+instance, reports, scopeInstance)
}

// MergeDomainReports merges the sums of another failure domain.
func (e *Estimator) MergeDomainReports(now time.Time, domain string, reports []Report) {
	e.mergeReports(now, "domain "+domain, reports, scopeDomain)
}

// ReportTable finds the report about a server.
type ReportTable interface {
	Find(server string) (Report, bool)
}

// receivedTable is a table with sums of all instances.
type receivedTable struct {
	ReportTable
	receivedAt time.Time
}

// MergeTotalReports merges the sums of all instances, which include what this one last
// reported. A report is looked up when its server is next estimated, since an instance
// sends requests to few of the servers between two tables.
func (e *Estimator) MergeTotalReports(now time.Time, table ReportTable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals = slices.DeleteFunc(e.totals, func(t receivedTable) bool { return now.Sub(t.receivedAt) >= maxReportAge })
	e.totals = append(e.totals, receivedTable{table, now})
	e.mergedAt = now
}

// mergeTotal merges the newest sums about a server, unless that is done already.
func (e *Estimator) mergeTotal(s *serverState, id string) {
	for _, table := range slices.Backward(e.totals) {
		if !table.receivedAt.After(s.totalAt) {
			return
		}
		r, found := table.Find(id)
		if !found {
			continue
		}
		s.totalAt = table.receivedAt
		r.Demand = max(r.Demand-s.reported.demand, 0)
		r.InFlight = max(r.InFlight-s.reported.inFlight, 0)
		r.OpenConnections = max(r.OpenConnections-s.reported.openConnections, 0)
		s.merge(table.receivedAt, "total", r, scopeTotal)
		return
	}
}

func (e *Estimator) mergeReports(now time.Time, source string, reports []Report, scope reportScope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mergedAt = now
	for _, r := range reports {
		e.server(r.Server).merge(now, source, r, scope)
	}
}

// merge replaces the last report from a source.
func (s *serverState) merge(now time.Time, source string, r Report, scope reportScope) {
	s.reports[source] = receivedReport{r, now, scope}
	if measuredAt := now.Add(-r.LoadAge); r.HasLoad && measuredAt.After(s.loadAt) {
		s.load, s.loadAt = r.Load, measuredAt
	}
}
