package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

var (
	start     = time.Unix(1000, 0)
	candidate = Candidate{ID: "s1", Service: "s", Slots: 4}
)

func atMillis(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// serveOne records one request that succeeds after 100 ms.
func serveOne(e *Estimator, at time.Time) {
	e.Begin(at, "s1")
	e.End(at.Add(100*time.Millisecond), "r", candidate, Outcome{Kind: Served, Elapsed: 100 * time.Millisecond, IsAnswered: true})
}

// A server stops responding to any instance. It must be ejected long before the first
// request reaches its deadline, and be probed by a request later.
func TestUnresponsiveServerIsEjected(t *testing.T) {
	e := &Estimator{}
	serveOne(e, atMillis(0))
	e.Begin(atMillis(200), "s1")
	require.False(t, e.Estimate(atMillis(700), "r", candidate).IsEjected)
	first, second := e.Estimate(atMillis(900), "r", candidate), e.Estimate(atMillis(900), "r", candidate)
	require.True(t, first.IsEjected)
	require.Equal(t, EjectionUnresponsive, first.Reason)
	require.True(t, first.HasEjectionChanged)
	require.False(t, second.HasEjectionChanged)
	e.End(atMillis(1000), "r", candidate, Outcome{Kind: Abandoned, Elapsed: 800 * time.Millisecond})
	require.True(t, e.Estimate(atMillis(1900), "r", candidate).IsEjected)
	require.False(t, e.Estimate(atMillis(2100), "r", candidate).IsEjected)
}

// A request that takes long while others are answered must not make the server
// unresponsive.
func TestSlowRequestBesideAnsweredOnesDoesNotEject(t *testing.T) {
	e := &Estimator{}
	serveOne(e, atMillis(0))
	e.Begin(atMillis(200), "s1")
	for at := 300; at < 1500; at += 200 {
		serveOne(e, atMillis(at))
	}
	require.False(t, e.Estimate(atMillis(1500), "r", candidate).IsEjected)
}

// Requests to one server are spread over many instances, each of which sends too few to
// detect by itself that the server is unresponsive or fails. Their reports must be
// enough.
func TestReportsShareUnansweredTimeAndFailures(t *testing.T) {
	witness, e := &Estimator{}, &Estimator{}
	serveOne(witness, atMillis(0))
	serveOne(e, atMillis(0))
	witness.Begin(atMillis(200), "s1")
	e.MergeReports(atMillis(1000), "witness", witness.Reports(atMillis(1000)))
	require.True(t, e.Estimate(atMillis(1000), "r", candidate).IsEjected)

	for i := range 3 {
		failing := &Estimator{}
		failing.Begin(atMillis(1000), "s2")
		failing.End(atMillis(1001), "r", Candidate{ID: "s2"}, Outcome{Kind: Failed})
		e.MergeReports(atMillis(1002), string(rune('a'+i)), failing.Reports(atMillis(1002)))
	}
	require.InDelta(t, 0.6, e.Estimate(atMillis(1002), "r", Candidate{ID: "s2"}).FailureRate, 0.01)
	require.Less(t, e.Estimate(atMillis(1002), "r", candidate).FailureRate, 0.1)
}

// The sums of a failure domain must contain what its instances know, but not what other
// domains reported: these would get their own counts back.
func TestDomainReportsExcludeOtherDomains(t *testing.T) {
	e := &Estimator{}
	e.Begin(atMillis(0), "s1")
	e.MergeReports(atMillis(10), "near", []Report{{Server: "s1", InFlight: 2, LatencyFactor: 2, Attempts: 4, Failures: 1, UnansweredTime: 300 * time.Millisecond}})
	e.MergeDomainReports(atMillis(10), "far", []Report{{Server: "s1", InFlight: 5, LatencyFactor: 3, Attempts: 9}, {Server: "s9", InFlight: 1}})
	sums := e.DomainReports(atMillis(20))
	require.Len(t, sums, 1)
	require.Equal(t, 3, sums[0].InFlight)
	require.InDelta(t, 2, sums[0].LatencyFactor, 0.01)
	require.InDelta(t, 1, sums[0].Failures, 0.01)
	require.Equal(t, 310*time.Millisecond, sums[0].UnansweredTime)
	require.InDelta(t, 8, e.Estimate(atMillis(20), "r", candidate).QueueLength, 0.01)
}

// A burst fills the queue of a server, which resets further connections at once. It must
// count as full, also for other instances, until its queue can have become shorter.
func TestImmediateResetMarksQueueFull(t *testing.T) {
	e := &Estimator{}
	e.Begin(atMillis(0), "s1")
	e.End(atMillis(3), "r", candidate, Outcome{Kind: Failed, IsQueueFull: true})
	require.Greater(t, e.Estimate(atMillis(10), "r", candidate).QueueLength, 12.0)
	other := &Estimator{}
	other.MergeReports(atMillis(20), "near", e.Reports(atMillis(20)))
	require.Greater(t, other.Estimate(atMillis(30), "r", candidate).QueueLength, 12.0)
	require.Less(t, e.Estimate(atMillis(700), "r", candidate).QueueLength, 4.0)
}

func TestReportedLoadDecays(t *testing.T) {
	e := &Estimator{}
	e.MergeReports(atMillis(0), "near", []Report{{Server: "s1", LatencyFactor: 1, HasLoad: true, Load: redwingstall.ServerLoad{Running: 4, Waiting: 4, Slots: 4, Slowdown: 3}}})
	now, later := e.Estimate(atMillis(1), "r", candidate), e.Estimate(atMillis(1000), "r", candidate)
	require.Greater(t, now.Completion, 4*later.Completion)
	require.InDelta(t, 8, now.QueueLength, 0.1)
}

// The operator adds a route, whose first request takes only a moment. The execution time
// of the whole service, which capacities are computed from, must not follow that
// request.
func TestNewRouteKeepsServiceExecutionTime(t *testing.T) {
	e := &Estimator{}
	for i := range 50 {
		serveOne(e, atMillis(200*i))
	}
	e.Begin(atMillis(11000), "s1")
	e.End(atMillis(11002), "added", candidate, Outcome{Kind: Served, Elapsed: 2 * time.Millisecond, IsAnswered: true})
	require.InDelta(t, 100, e.ServiceExecutionTime("s").Milliseconds(), 5)
}

// Servers were killed and came back under another ID while the old entries were still
// listed. Requests for the old ID are rejected at once, and these fast answers must not
// attract more requests: all instances must eject the old ID.
func TestReplacedServerIsEjectedByAllInstances(t *testing.T) {
	e, other := &Estimator{}, &Estimator{}
	e.Begin(atMillis(0), "s1")
	e.End(atMillis(1), "r", candidate, Outcome{Kind: Failed, IsAnswered: true, IsReplaced: true})
	require.True(t, e.Estimate(atMillis(900), "r", candidate).IsEjected)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		other.MergeReports(atMillis(10), name, []Report{{Server: "s1", LatencyFactor: 1, Attempts: 1, Failures: 1}})
	}
	require.True(t, other.Estimate(atMillis(20), "r", candidate).IsEjected)
	require.False(t, other.Estimate(atMillis(5000), "r", candidate).IsEjected)
}

// Guards against a server that is asked again and again although it answers without end, which
// takes the link and the memory of the others.
func TestEndlessResponsesEjectAServer(t *testing.T) {
	e := &Estimator{}
	answer := func(at int, o Outcome) {
		e.Begin(atMillis(at), "s1")
		e.End(atMillis(at), "r", candidate, o)
	}
	endless := Outcome{Kind: Failed, IsAnswered: true, IsEndless: true}
	answer(0, endless)
	first := e.Estimate(atMillis(200), "r", candidate)
	require.True(t, first.IsEjected, "with the first one")
	require.Equal(t, EjectionFailures, first.Reason, "the owner of keys stays in use: it may answer others")
	require.False(t, e.Estimate(atMillis(400), "r", candidate).IsEjected, "one request probes it")
	answer(500, endless)
	second := e.Estimate(atMillis(1000), "r", candidate)
	require.Equal(t, EjectionEndless, second.Reason)
	answer(1200, Outcome{Kind: Served, IsAnswered: true})
	answer(1300, Outcome{Kind: Failed})
	require.NotEqual(t, EjectionEndless, e.Estimate(atMillis(1350), "r", candidate).Reason)
}

// totals is a table with sums of all instances.
type totals map[string]Report

func (t totals) Find(server string) (Report, bool) {
	r, found := t[server]
	return r, found
}

// Guards against the demand at this instance that counts twice, since the sums of all instances
// include what it last reported.
func TestOwnDemandIsSubtractedFromTotals(t *testing.T) {
	const others = 3.0
	e := &Estimator{}
	e.CountDemand(atMillis(0), "s1", 2*time.Second)
	own := e.Estimate(atMillis(0), "r", candidate).Demand
	require.Greater(t, own, 1.0)
	reports := e.Reports(atMillis(0))
	require.Len(t, reports, 1)
	require.InDelta(t, own, reports[0].Demand, 1e-9)
	e.MergeTotalReports(atMillis(1), totals{"s1": {Server: "s1", LatencyFactor: 1, Demand: own + others}})
	require.InDelta(t, own+others, e.Estimate(atMillis(1), "r", candidate).Demand, 0.01)
	// What it counted since then is not in the sums.
	e.CountDemand(atMillis(2), "s1", 2*time.Second)
	e.MergeTotalReports(atMillis(3), totals{"s1": {Server: "s1", LatencyFactor: 1, Demand: own + others}})
	require.InDelta(t, 2*own+others, e.Estimate(atMillis(3), "r", candidate).Demand, 0.02)
	// The sums may be older than its first report.
	e.MergeTotalReports(atMillis(4), totals{"s1": {Server: "s1", LatencyFactor: 1}})
	require.InDelta(t, 2*own, e.Estimate(atMillis(4), "r", candidate).Demand, 0.02)
}
