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

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// serve lets one request of 100 ms end well.
func serve(e *Estimator, at time.Time) {
	e.Begin(at, "s1")
	e.End(at.Add(100*time.Millisecond), "r", candidate, Outcome{Kind: Served, Elapsed: 100 * time.Millisecond, IsAnswered: true})
}

// Load: a server that stops answering anybody. Requests are not sent there any
// more long before the first one has reached its deadline, and one tries again later.
func TestSilentServerRests(t *testing.T) {
	e := &Estimator{}
	serve(e, after(0))
	e.Begin(after(200), "s1")
	require.False(t, e.Estimate(after(700), "r", candidate).IsEjected)
	first, second := e.Estimate(after(900), "r", candidate), e.Estimate(after(900), "r", candidate)
	require.True(t, first.IsEjected)
	require.Equal(t, EjectionUnresponsive, first.Reason)
	require.True(t, first.HasEjectionChanged)
	require.False(t, second.HasEjectionChanged)
	e.End(after(1000), "r", candidate, Outcome{Kind: Abandoned, Elapsed: 800 * time.Millisecond})
	require.True(t, e.Estimate(after(1900), "r", candidate).IsEjected)
	require.False(t, e.Estimate(after(2100), "r", candidate).IsEjected)
}

// A request that takes long beside others that are answered is no silence.
func TestAnswersOfOthersEndASilence(t *testing.T) {
	e := &Estimator{}
	serve(e, after(0))
	e.Begin(after(200), "s1")
	for at := 300; at < 1500; at += 200 {
		serve(e, after(at))
	}
	require.False(t, e.Estimate(after(1500), "r", candidate).IsEjected)
}

// Load: requests to one server that are spread over many instances, each of which
// sends too few to see for itself that it is gone, or that it fails.
func TestInstancesLearnSilenceAndFailuresFromEachOther(t *testing.T) {
	witness, e := &Estimator{}, &Estimator{}
	serve(witness, after(0))
	serve(e, after(0))
	witness.Begin(after(200), "s1")
	e.MergeReports(after(1000), "witness", witness.Reports(after(1000)))
	require.True(t, e.Estimate(after(1000), "r", candidate).IsEjected)

	for i := range 3 {
		failing := &Estimator{}
		failing.Begin(after(1000), "s2")
		failing.End(after(1001), "r", Candidate{ID: "s2"}, Outcome{Kind: Failed})
		e.MergeReports(after(1002), string(rune('a'+i)), failing.Reports(after(1002)))
	}
	require.InDelta(t, 0.6, e.Estimate(after(1002), "r", Candidate{ID: "s2"}).FailureRate, 0.01)
	require.Less(t, e.Estimate(after(1002), "r", candidate).FailureRate, 0.1)
}

// The sums of a failure domain hold what its instances know, and not what other
// domains told them: it would come back to these.
func TestSumsOfAFailureDomain(t *testing.T) {
	e := &Estimator{}
	e.Begin(after(0), "s1")
	e.MergeReports(after(10), "near", []Report{{Server: "s1", InFlight: 2, LatencyFactor: 2, Attempts: 4, Failures: 1, UnansweredTime: 300 * time.Millisecond}})
	e.MergeDomainReports(after(10), "far", []Report{{Server: "s1", InFlight: 5, LatencyFactor: 3, Attempts: 9}, {Server: "s9", InFlight: 1}})
	sums := e.DomainReports(after(20))
	require.Len(t, sums, 1)
	require.Equal(t, 3, sums[0].InFlight)
	require.InDelta(t, 2, sums[0].LatencyFactor, 0.01)
	require.InDelta(t, 1, sums[0].Failures, 0.01)
	require.Equal(t, 310*time.Millisecond, sums[0].UnansweredTime)
	require.InDelta(t, 8, e.Estimate(after(20), "r", candidate).QueueLength, 0.01)
}

// Load: a burst. A server whose queue has no place resets the connection at once,
// and is not asked again before its queue can have become shorter.
func TestResetAtOnceIsAFullQueue(t *testing.T) {
	e := &Estimator{}
	e.Begin(after(0), "s1")
	e.End(after(3), "r", candidate, Outcome{Kind: Failed, IsQueueFull: true})
	require.Greater(t, e.Estimate(after(10), "r", candidate).QueueLength, 12.0)
	other := &Estimator{}
	other.MergeReports(after(20), "near", e.Reports(after(20)))
	require.Greater(t, other.Estimate(after(30), "r", candidate).QueueLength, 12.0)
	require.Less(t, e.Estimate(after(700), "r", candidate).QueueLength, 4.0)
}

func TestReportedLoadFades(t *testing.T) {
	e := &Estimator{}
	e.MergeReports(after(0), "near", []Report{{Server: "s1", LatencyFactor: 1, HasLoad: true, Load: redwingstall.ServerLoad{Running: 4, Waiting: 4, Slots: 4, Slowdown: 3}}})
	now, later := e.Estimate(after(1), "r", candidate), e.Estimate(after(1000), "r", candidate)
	require.Greater(t, now.Completion, 4*later.Completion)
	require.InDelta(t, 8, now.QueueLength, 0.1)
}

// Load: a route that the operator has just added gets its first request, which
// takes a moment. The work of the whole service, which capacities are computed
// from, must not follow it.
func TestNewRouteLeavesTheWorkOfItsService(t *testing.T) {
	e := &Estimator{}
	for i := range 50 {
		serve(e, after(200*i))
	}
	e.Begin(after(11000), "s1")
	e.End(after(11002), "added", candidate, Outcome{Kind: Served, Elapsed: 2 * time.Millisecond, IsAnswered: true})
	require.InDelta(t, 100, e.ServiceExecutionTime("s").Milliseconds(), 5)
}

// Load: servers that were killed come back under another id while the old entry is
// still listed. Whoever asks for the old one gets an answer at once, which must not
// draw more requests there.
func TestReplacedServerRestsAtOnceAndSoonForAll(t *testing.T) {
	e, other := &Estimator{}, &Estimator{}
	e.Begin(after(0), "s1")
	e.End(after(1), "r", candidate, Outcome{Kind: Failed, IsAnswered: true, IsReplaced: true})
	require.True(t, e.Estimate(after(900), "r", candidate).IsEjected)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		other.MergeReports(after(10), name, []Report{{Server: "s1", LatencyFactor: 1, Attempts: 1, Failures: 1}})
	}
	require.True(t, other.Estimate(after(20), "r", candidate).IsEjected)
	require.False(t, other.Estimate(after(5000), "r", candidate).IsEjected)
}
