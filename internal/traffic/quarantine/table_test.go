package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
)

var (
	start = time.Unix(1000, 0)
	one   = quarantine.NewFingerprint("GET", "h", "/one", 5, nil)
)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func server(n int) shardmap.Server {
	return shardmap.Server{ID: fmt.Sprint("s", n), StartedAtMillis: 1}
}

func requireVerdict(t *testing.T, table *quarantine.Table, now time.Time, want quarantine.Verdict) {
	t.Helper()
	verdict, _ := table.Judge(now, one)
	require.Equal(t, want, verdict)
}

// A client repeats a request under a new id and with another deadline. Everything else that a
// server sees makes another request.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	seen := map[quarantine.Fingerprint]bool{}
	for _, f := range []quarantine.Fingerprint{
		one, quarantine.NewFingerprint("POST", "h", "/one", 5, nil), quarantine.NewFingerprint("GET", "i", "/one", 5, nil),
		quarantine.NewFingerprint("GET", "h", "/one?x", 5, nil), quarantine.NewFingerprint("GET", "h", "/one", 6, nil),
		quarantine.NewFingerprint("GET", "h", "/one", 5, []byte("x")), quarantine.NewFingerprint("GET", "h/", "one", 5, nil),
	} {
		require.False(t, seen[f])
		seen[f] = true
	}
	require.Equal(t, one, quarantine.NewFingerprint("GET", "h", "/one", 5, []byte{}))
}

// Guards against a request that ends one server after the other.
func TestRequestThatEndsAServerOnTrialIsConvicted(t *testing.T) {
	table := &quarantine.Table{}
	requireVerdict(t, table, at(0), quarantine.Admit)
	table.RecordEnd(at(100), one, server(1), at(50))
	requireVerdict(t, table, at(100), quarantine.Wait)
	requireVerdict(t, table, at(200), quarantine.Try)
	require.True(t, table.BeginTrial(at(200), one, server(2)))
	requireVerdict(t, table, at(201), quarantine.Wait)
	require.False(t, table.BeginTrial(at(201), one, server(3)), "one trial at a time")
	require.Equal(t, quarantine.Convicted, table.RecordEnd(at(260), one, server(2), at(200)).State)
	requireVerdict(t, table, at(261), quarantine.Reject)
}

// Guards against convictions of requests that only ran where servers ended for another cause.
func TestServersThatEndTogetherConvictNoRequest(t *testing.T) {
	table := &quarantine.Table{}
	for n := range 10 {
		state := table.RecordEnd(at(100+n), one, server(n), at(20+n)).State
		require.Equal(t, quarantine.Suspected, state)
	}
	for range 5 {
		require.Equal(t, quarantine.Suspected, table.RecordEnd(at(400), one, server(9), at(300)).State, "the same process")
	}
}

// Copies of a request run at several servers before it is suspected. They must not leave
// another server to a trial.
func TestRequestThatEndsThreeServersOneAfterTheOtherIsConvicted(t *testing.T) {
	table := &quarantine.Table{}
	require.Equal(t, quarantine.Suspected, table.RecordEnd(at(100), one, server(1), at(50)).State)
	require.Equal(t, quarantine.Suspected, table.RecordEnd(at(104), one, server(2), at(50)).State, "at the same time")
	require.Equal(t, quarantine.Suspected, table.RecordEnd(at(120), one, server(3), at(70)).State)
	require.Equal(t, quarantine.Convicted, table.RecordEnd(at(140), one, server(4), at(95)).State)
}

func TestSuccessClearsARequest(t *testing.T) {
	table := &quarantine.Table{}
	table.RecordEnd(at(100), one, server(1), at(50))
	require.True(t, table.BeginTrial(at(200), one, server(2)))
	table.Clear(at(300), one, at(200))
	requireVerdict(t, table, at(301), quarantine.Admit)
	require.Equal(t, quarantine.Suspected, table.RecordEnd(at(400), one, server(2), at(350)).State)
}

// Guards against a trial that nobody ends, and one that shows nothing.
func TestTrialWithoutAResultIsRepeated(t *testing.T) {
	table := &quarantine.Table{}
	table.RecordEnd(at(100), one, server(1), at(50))
	require.True(t, table.BeginTrial(at(200), one, server(2)))
	table.EndTrial(at(300), one, server(2))
	requireVerdict(t, table, at(301), quarantine.Try)
	require.True(t, table.BeginTrial(at(400), one, server(2)))
	require.True(t, table.HasTrial(at(500), server(2)))
	require.False(t, table.HasTrial(at(500), server(3)))
	requireVerdict(t, table, at(3000), quarantine.Wait)
	requireVerdict(t, table, at(3500), quarantine.Try)
	require.False(t, table.HasTrial(at(3500), server(2)))
}

// Two suspects at one server could not be told apart if it ends.
func TestServerRunsOneRequestOnTrial(t *testing.T) {
	table := &quarantine.Table{}
	other := quarantine.NewFingerprint("GET", "h", "/other", 5, nil)
	table.RecordEnd(at(100), one, server(1), at(50))
	table.RecordEnd(at(100), other, server(1), at(50))
	require.True(t, table.BeginTrial(at(200), one, server(2)))
	require.False(t, table.BeginTrial(at(200), other, server(2)))
	require.True(t, table.BeginTrial(at(200), other, server(3)))
	table.Clear(at(250), one, at(200))
	require.False(t, table.HasTrial(at(250), server(2)))
}

// Guards against a request that is rejected for good although servers could run it again, and
// against one that ends a server at short intervals.
func TestConvictionEndsAndGrowsWithEachFurtherOne(t *testing.T) {
	table := &quarantine.Table{}
	now := at(0)
	table.RecordEnd(now, one, server(0), now.Add(-time.Second))
	lengths := []time.Duration{}
	for n := 1; n <= 7; n++ {
		now = now.Add(time.Second)
		require.True(t, table.BeginTrial(now, one, server(n)))
		require.Equal(t, quarantine.Convicted, table.RecordEnd(now.Add(time.Millisecond), one, server(n), now).State)
		verdict, left := table.Judge(now.Add(time.Millisecond), one)
		require.Equal(t, quarantine.Reject, verdict)
		lengths = append(lengths, left)
		table.Clear(now.Add(time.Second), one, now)
		requireVerdict(t, table, now.Add(left), quarantine.Reject)
		now = now.Add(left + time.Millisecond)
		requireVerdict(t, table, now, quarantine.Try)
	}
	minute := time.Minute
	require.Equal(t, []time.Duration{minute / 2, minute, 2 * minute, 4 * minute, 8 * minute, 10 * minute, 10 * minute}, lengths)
	require.True(t, table.BeginTrial(now, one, server(9)))
	table.Clear(now.Add(time.Second), one, now)
	requireVerdict(t, table, now.Add(time.Second), quarantine.Admit)
}

func TestSuspicionEndsWithTime(t *testing.T) {
	table := &quarantine.Table{}
	table.RecordEnd(at(0), one, server(1), at(-50))
	requireVerdict(t, table, at(59_000), quarantine.Try)
	requireVerdict(t, table, at(60_000), quarantine.Admit)
	require.Empty(t, table.All(at(60_000)))
	require.True(t, table.IsEmpty())
}

// Guards against memory that clients fill, and against suspicions that push convictions out.
func TestRecordsAreBounded(t *testing.T) {
	table := &quarantine.Table{}
	table.RecordEnd(at(0), one, server(1), at(-50))
	table.RecordEnd(at(200), one, server(2), at(100))
	for n := range 5000 {
		f := quarantine.NewFingerprint("GET", "h", fmt.Sprint("/", n), 5, nil)
		table.RecordEnd(at(300+n/100), f, server(3), at(250))
	}
	require.Len(t, table.All(at(400)), 1000)
	requireVerdict(t, table, at(400), quarantine.Reject)
}

// Guards against a record that a message which comes late, or once more, brings back.
func TestLaterRecordsReplaceEarlierOnes(t *testing.T) {
	table, other := &quarantine.Table{}, &quarantine.Table{}
	table.RecordEnd(at(0), one, server(1), at(-50))
	suspected := table.TakeChanges()
	require.Len(t, suspected, 1)
	require.Empty(t, table.TakeChanges())
	require.True(t, other.Merge(at(2), suspected[0]))
	require.False(t, other.Merge(at(3), suspected[0]))
	require.True(t, other.BeginTrial(at(100), one, server(2)))
	other.Clear(at(200), one, at(100))
	require.False(t, other.Merge(at(201), suspected[0]))
	require.NotEqual(t, table.Digest(at(201)), other.Digest(at(201)))
	for _, r := range other.TakeChanges() {
		require.True(t, table.Merge(at(202), r))
	}
	requireVerdict(t, table, at(202), quarantine.Admit)
	require.Equal(t, table.Digest(at(202)), other.Digest(at(202)))
}

// The news of two instances may cross. Both must come to the same state, the worse one.
func TestConcurrentRecordsLeadToTheWorseState(t *testing.T) {
	table, other := &quarantine.Table{}, &quarantine.Table{}
	table.RecordEnd(at(0), one, server(1), at(-50))
	r := table.TakeChanges()[0]
	other.Merge(at(1), r)
	require.True(t, table.BeginTrial(at(100), one, server(2)))
	other.RecordEnd(at(100), one, server(3), at(60))
	a, b := table.TakeChanges()[0], other.TakeChanges()[0]
	table.Merge(at(101), b)
	other.Merge(at(101), a)
	requireVerdict(t, table, at(101), quarantine.Reject)
	requireVerdict(t, other, at(101), quarantine.Reject)
}
