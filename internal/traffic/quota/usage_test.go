package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestPair returns two limiters of a fleet of two that have been in touch for 10 s, and the time
// after that.
func newTestPair(t *testing.T) (sender, receiver *Limiter, now time.Time) {
	t.Helper()
	sender, receiver, now = newTestLimiter(1), newTestLimiter(99), start
	for _, l := range []*Limiter{sender, receiver} {
		l.Share()
		l.Configure(now, accountOf(100, 100))
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		exchangeUsage(sender, receiver, now)
	}
	return sender, receiver, now
}

// exchangeUsage delivers a report in each direction.
func exchangeUsage(a, b *Limiter, now time.Time) {
	b.MergeUsage(now, ScopeOwn, "i1", "i1", a.TakeUsage(now, ScopeOwn, 10))
	a.MergeUsage(now, ScopeOwn, "i2", "i2", b.TakeUsage(now, ScopeOwn, 10))
	a.Step(now, Fleet{Listed: 2})
	b.Step(now, Fleet{Listed: 2})
}

// Guards against the first report of an account that is left out of the sum over the window, as if
// its requests had been spent over a long silence.
func TestFirstReportOfAnAccountCountsInTheWindow(t *testing.T) {
	sender, receiver, now := newTestPair(t)
	admitted := 0
	for range 4 {
		now = now.Add(100 * time.Millisecond)
		admitted += spend(sender, now, 10)
	}
	require.Positive(t, admitted)
	exchangeUsage(sender, receiver, now)
	a := receiver.find("a")
	require.EqualValues(t, admitted, a.counts[originDirect])
	require.InDelta(t, admitted, a.spentSum, 1e-6)

	// A source that is new counts in full as well: how long it was silent is not known.
	third := newTestLimiter(3)
	third.Configure(now, accountOf(100, 100))
	more := spend(third, now, 20)
	require.Positive(t, more)
	receiver.MergeUsage(now, ScopeOwn, "i3", "i3", third.TakeUsage(now, ScopeOwn, 10))
	require.EqualValues(t, admitted+more, a.counts[originDirect])
	require.InDelta(t, admitted+more, a.spentSum, 1e-6)
}

// Guards against usage that is charged again because a datagram of an instance's previous process
// arrives after the first one of its next process.
func TestLateReportOfAReplacedProcessIsIgnored(t *testing.T) {
	receiver, now := newTestLimiter(99), start
	receiver.Configure(now, accountOf(1000, 1000))
	receiver.Step(now, Fleet{Listed: 2})
	now = now.Add(learningTime)
	a := receiver.find("a")
	total := 0
	late := []Usage{}
	for process := range uint64(maxReplaced + 1) {
		sender := newTestLimiter(process + 1)
		sender.Configure(now, accountOf(1000, 1000))
		for range 3 {
			now = now.Add(100 * time.Millisecond)
			total += spend(sender, now, 10)
			usage := sender.TakeUsage(now, ScopeOwn, 10)
			receiver.MergeUsage(now, ScopeOwn, "i1", "i1", usage)
			for _, replaced := range late {
				receiver.MergeUsage(now, ScopeOwn, "i1", "i1", replaced)
			}
			require.EqualValues(t, total, a.counts[originDirect])
		}
		late = append(late, sender.TakeUsage(now, ScopeOwn, 10))
	}
	require.Len(t, receiver.sources[sourceKey{ScopeOwn, "i1"}].streams["i1"].replaced, maxReplaced)
	// Late reports do not make an instance count as heard.
	now = now.Add(2 * silenceTimeout)
	receiver.MergeUsage(now, ScopeOwn, "i1", "i1", late[0])
	receiver.Step(now, Fleet{Listed: 2})
	require.Equal(t, 1, receiver.heard[ScopeTotal])
}
