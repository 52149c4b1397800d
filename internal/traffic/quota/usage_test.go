package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
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

// Guards against credit that is given back at one instance and stays spent at the others, whatever
// is lost, doubled or reordered on the way, and if a process restarts.
func TestRefundsReachOtherInstances(t *testing.T) {
	sender, receiver, now := newTestPair(t)
	a := receiver.find("a")
	total := uint32(0)
	for process := range uint64(3) {
		if process > 0 {
			sender = newTestLimiter(process + 1)
			sender.Configure(now, accountOf(100, 100))
		}
		reports := []Usage{}
		for range 6 {
			now = now.Add(100 * time.Millisecond)
			receiver.Step(now, Fleet{Listed: 2})
			admitted := spend(sender, now, 30)
			require.Positive(t, admitted)
			reports = append(reports, sender.TakeUsage(now, ScopeOwn, 10))
			for n := range admitted - 1 {
				sender.Refund(now, "a")
				if n == admitted/2 {
					reports = append(reports, sender.TakeUsage(now, ScopeOwn, 10))
				}
			}
			total++
			reports = append(reports, sender.TakeUsage(now, ScopeOwn, 10))
		}
		for _, n := range []int{0, 0, 3, 1, 5, 4, 5, 2, 9, 17, 16, 12, 17, 3} {
			receiver.MergeUsage(now, ScopeOwn, "i1", "i1", reports[n])
		}
		require.Equal(t, total, a.counts[originDirect], "process %d", process)
		require.InDelta(t, total, a.spentSum, 1e-6)
	}
	require.InDelta(t, 100, a.level, float64(total))
}

// Guards against a level that stays low at other instances after a refund of all requests.
func TestRefundRestoresTheLevelOfOtherInstances(t *testing.T) {
	sender, receiver, now := newTestPair(t)
	admitted := spend(sender, now, 60)
	require.Positive(t, admitted)
	exchangeUsage(sender, receiver, now)
	require.InDelta(t, 100-admitted, receiver.find("a").level, 1e-6)
	for range admitted {
		sender.Refund(now, "a")
	}
	exchangeUsage(sender, receiver, now)
	require.InDelta(t, 100, sender.find("a").level, 1e-6)
	require.InDelta(t, 100, receiver.find("a").level, 1e-6)
}

// Guards against refunds that two reporters of a failure domain pass on and that give credit back
// twice, and against sums of all instances from which a receiver subtracts its own refunds wrongly.
func TestRefundsInSumsGiveCreditBackOnce(t *testing.T) {
	now := start
	receiver, member, instance := newTestLimiter(99), newTestLimiter(98), newTestLimiter(1)
	reporters := []*Limiter{newTestLimiter(2), newTestLimiter(3)}
	for _, l := range append(reporters, receiver, member, instance) {
		l.Configure(now, accountOf(1000, 1000))
		l.Step(now, Fleet{Listed: 5})
	}
	now = now.Add(learningTime)
	refund := func(l *Limiter, n int) {
		for range n {
			l.Refund(now, "a")
		}
	}
	total, ofMember := 0, 0
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		if n%2 == 0 {
			total += spend(instance, now, 10)
			ofMember += spend(member, now, 7)
		} else {
			refund(instance, 8)
			refund(member, 5)
			total, ofMember = total-8, ofMember-5
		}
		usages := map[string]Usage{"i1": instance.TakeUsage(now, ScopeOwn, 10), "i98": member.TakeUsage(now, ScopeOwn, 10)}
		for k, reporter := range reporters {
			if k == 1 && n < 10 {
				continue // it starts later, and has counted less
			}
			name := []string{"reporter0", "reporter1"}[k]
			for from, usage := range usages {
				reporter.MergeUsage(now, ScopeOwn, from, from, usage)
			}
			receiver.MergeUsage(now, ScopeDomain, "d1", name, reporter.TakeUsage(now, ScopeDomain, 10))
			member.MergeUsage(now, ScopeTotal, "", name, reporter.TakeUsage(now, ScopeTotal, 10))
		}
	}
	require.Positive(t, ofMember)
	require.EqualValues(t, total+ofMember, receiver.find("a").counts[originFar])
	require.EqualValues(t, total, member.find("a").counts[originFar])
	require.EqualValues(t, ofMember, member.find("a").counts[originOwn])
}

// Guards against credit for refunds of requests that were never charged here, which would raise
// what may be spent above the limit: a process that has just started takes first counts for old.
func TestRefundsOfUnchargedRequestsGiveNoCredit(t *testing.T) {
	sender, _, now := newTestPair(t)
	receiver := newTestLimiter(98)
	receiver.Configure(now, accountOf(100, 100))
	receiver.Step(now, Fleet{Listed: 2})
	admitted := spend(sender, now, 60)
	require.Positive(t, admitted)
	exchangeUsage(sender, receiver, now)
	for range admitted {
		sender.Refund(now, "a")
	}
	exchangeUsage(sender, receiver, now)
	a := receiver.find("a")
	require.Zero(t, a.counts[originDirect])
	require.InDelta(t, 0, a.spentSum, 1e-6)
}

// Guards against memory that grows with each version of the configuration: names of counters, and
// accounts that wait for reports of sums that an instance without that role never sends.
func TestRemovedAccountsAreNotKeptForReports(t *testing.T) {
	const versions, perVersion = 50, 20
	l, names := newTestLimiter(1), map[string]bool{}
	l.Count = func(name string) { names[name] = true }
	now := start
	for version := range versions {
		accounts := []redwingstall.ClientAccount{}
		for n := range perVersion {
			accounts = append(accounts, redwingstall.ClientAccount{Name: fmt.Sprintf("account%d-%d", version, n), Rate: 0.1, Burst: 1})
		}
		l.Configure(now, accounts)
		for _, a := range accounts {
			for range 30 {
				l.Admit(now, a.Name)
			}
		}
		now = now.Add(time.Second)
		l.TakeUsage(now, ScopeOwn, perVersion)
	}
	require.Equal(t, map[string]bool{"quota.refused": true}, names)
	for scope := range l.changes {
		require.LessOrEqual(t, len(l.changes[scope].accounts), perVersion, "scope %d", scope)
	}
}

// Guards against an account that is removed before its usage was reported, and whose usage the
// others don't learn of when it returns.
func TestUnreportedUsageIsReportedWhenALimitReturns(t *testing.T) {
	l := newTestLimiter(1)
	l.Configure(start, accountOf(10, 10))
	admitted := spend(l, start, 5)
	require.Positive(t, admitted)
	l.Configure(start, nil)
	require.Empty(t, l.TakeUsage(start, ScopeOwn, 10).Rows)
	l.Configure(start, accountOf(10, 10))
	for scope := range Scope(scopes) {
		for range sendsPerChange {
			usage := l.TakeUsage(start, scope, 10)
			require.Len(t, usage.Rows, 1)
			require.EqualValues(t, admitted, usage.Rows[0].Count)
		}
		require.Empty(t, l.TakeUsage(start, scope, 10).Rows)
	}
	require.Positive(t, spend(l, start.Add(time.Second), 1))
	require.Len(t, l.TakeUsage(start, ScopeTotal, 10).Rows, 1, "it is still scheduled for reports")
}
