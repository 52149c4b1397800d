package quota

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestLimiter(process uint64) *Limiter {
	return &Limiter{Process: process, Count: func(string) {}, Log: slog.New(slog.DiscardHandler)}
}

func accountOf(rate, burst float64) []redwingstall.ClientAccount {
	return []redwingstall.ClientAccount{{Name: "a", Rate: rate, Burst: burst}, {Name: "free"}}
}

// spend admits as many of n requests as the limit allows.
func spend(l *Limiter, now time.Time, n int) (admitted int) {
	for range n {
		if isAdmitted, _ := l.Admit(now, "a"); isAdmitted {
			admitted++
		}
	}
	return admitted
}

// Guards against accounts without a limit, or unknown ones, that are refused.
func TestOnlyLimitsRefuse(t *testing.T) {
	l := newTestLimiter(1)
	for range 2 {
		for range 1000 {
			for _, name := range []string{"free", "unknown"} {
				isAdmitted, _ := l.Admit(start, name)
				require.True(t, isAdmitted)
			}
		}
		l.Configure(start, accountOf(10, 10))
	}
}

// Guards against an instance on its own that exceeds a limit, and against times to return at
// which there is no credit.
func TestOneInstanceKeepsTheLimit(t *testing.T) {
	l := newTestLimiter(1)
	l.Configure(start, accountOf(100, 50))
	now, admitted := start, 0
	for range 10 * 100 {
		now = now.Add(10 * time.Millisecond)
		admitted += spend(l, now, 10)
	}
	require.InDelta(t, 10*100+50, admitted, 30)
	isAdmitted, retryAfter := l.Admit(now, "a")
	require.False(t, isAdmitted)
	isAdmitted, _ = l.Admit(now.Add(retryAfter), "a")
	require.True(t, isAdmitted)
}

// Guards against credit of refused requests that is lost, or returned more than once.
func TestRefundReturnsCredit(t *testing.T) {
	l := newTestLimiter(1)
	l.Configure(start, accountOf(1, 5))
	for range 100 {
		isAdmitted, _ := l.Admit(start, "a")
		require.True(t, isAdmitted)
		l.Refund(start, "a")
	}
	require.Zero(t, l.find("a").counts[originOwn])
	require.InDelta(t, 5, l.find("a").level, 0)
}

// Guards against reports that are charged twice or not at all if datagrams are lost, doubled or
// reordered, or if a process restarts.
func TestReportsAreChargedOnce(t *testing.T) {
	now := start
	receiver := newTestLimiter(99)
	receiver.Configure(now, accountOf(1000, 1000))
	receiver.Step(now, Fleet{Listed: 2})
	now = now.Add(learningTime)
	a := receiver.find("a")
	total := 0
	for process := range uint64(3) {
		sender := newTestLimiter(process)
		sender.Configure(now, accountOf(1000, 1000))
		reports := []Usage{}
		for range 6 {
			now = now.Add(100 * time.Millisecond)
			total += spend(sender, now, 10)
			reports = append(reports, sender.TakeUsage(now, ScopeOwn, 10))
		}
		for _, n := range []int{0, 0, 3, 1, 5, 4, 5} { // the third is lost
			receiver.MergeUsage(now, ScopeOwn, "i1", "i1", reports[n])
		}
		require.EqualValues(t, total, a.counts[originDirect])
	}
}

// Guards against requests that are charged once for each reporter of a failure domain.
func TestTwoReportersOfADomainAreChargedOnce(t *testing.T) {
	now := start
	receiver, instance := newTestLimiter(99), newTestLimiter(1)
	reporters := []*Limiter{newTestLimiter(2), newTestLimiter(3)}
	for _, l := range append(reporters, receiver, instance) {
		l.Configure(now, accountOf(1000, 1000))
		l.Step(now, Fleet{Listed: 4})
	}
	now = now.Add(learningTime)
	total := 0
	for n := range 20 {
		now = now.Add(100 * time.Millisecond)
		total += spend(instance, now, 10)
		usage := instance.TakeUsage(now, ScopeOwn, 10)
		for k, reporter := range reporters {
			if k == 1 && n < 10 {
				continue // it starts later, and has counted less
			}
			reporter.MergeUsage(now, ScopeOwn, "i1", "i1", usage)
			receiver.MergeUsage(now, ScopeDomain, "d1", fmt.Sprint("reporter", k), reporter.TakeUsage(now, ScopeDomain, 10))
		}
	}
	require.EqualValues(t, total, receiver.find("a").counts[originFar])
}

// Guards against an account that returns with its limit and whose usage the others ignore.
func TestCountsGoOnWhenALimitReturns(t *testing.T) {
	l := newTestLimiter(1)
	l.Configure(start, accountOf(10, 10))
	admitted := spend(l, start, 5)
	require.Positive(t, admitted)
	l.Configure(start, nil)
	l.Configure(start, accountOf(10, 10))
	require.EqualValues(t, admitted, l.find("a").counts[originOwn])
}

// Guards against the removal of many accounts that makes others, removed recently, count from zero
// again when they return, while other instances expect the counts of the same process to go on.
func TestAccountsRemovedLastAreKept(t *testing.T) {
	l, now := newTestLimiter(1), start
	numbered := func(prefix string, n int) []redwingstall.ClientAccount {
		accounts := []redwingstall.ClientAccount{}
		for k := range n {
			accounts = append(accounts, redwingstall.ClientAccount{Name: fmt.Sprint(prefix, k), Rate: 10, Burst: 10})
		}
		return accounts
	}
	configure := func(accounts []redwingstall.ClientAccount) {
		now = now.Add(time.Second)
		l.Configure(now, accounts)
	}
	configure(numbered("first", 100))
	configure(numbered("many", maxRemoved-50))
	configure(accountOf(10, 10)) // "many" is removed
	admitted := spend(l, now, 5)
	require.Positive(t, admitted)
	configure(numbered("last", 10)) // "a" is removed
	configure(nil)
	countKept := func(accounts []redwingstall.ClientAccount) (kept int) {
		for _, a := range accounts {
			if _, isKept := l.removed[a.Name]; isKept {
				kept++
			}
		}
		return kept
	}
	require.Equal(t, maxRemoved-50, countKept(numbered("many", maxRemoved-50)))
	require.Equal(t, 10, countKept(numbered("last", 10)))
	require.Equal(t, 100-61, countKept(numbered("first", 100)), "those removed first are evicted")
	require.Equal(t, maxRemoved, len(l.removed))
	configure(accountOf(10, 10))
	require.EqualValues(t, admitted, l.find("a").counts[originOwn])
}

// Guards against accounts whose names have the same hash and that share a limit.
func TestNamesOfOneHashAreApart(t *testing.T) {
	require.Equal(t, hash("costarring"), hash("liquid"))
	l := newTestLimiter(1)
	l.Configure(start, []redwingstall.ClientAccount{{Name: "liquid", Rate: 1, Burst: 1}, {Name: "costarring", Rate: 1, Burst: 1}})
	require.NotEqual(t, l.find("liquid").id, l.find("costarring").id)
}

// Guards against more than bounded memory: 10,000 accounts, reported by 20 sources.
func TestMemoryOfManyAccounts(t *testing.T) {
	const accounts, sources, maxBytes = 10_000, 20, 40 << 20
	configured := []redwingstall.ClientAccount{}
	for n := range accounts {
		configured = append(configured, redwingstall.ClientAccount{Name: fmt.Sprint("account", n), Rate: 10, Burst: 10})
	}
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapBytes()
	l := newTestLimiter(1)
	l.Configure(start, configured)
	configuredBytes := heapBytes() - before
	for n := range sources {
		usage := Usage{Process: uint64(n + 10), Sequence: 1, Heard: 1}
		for id := range l.directory.Load().byID {
			usage.Rows = append(usage.Rows, Row{Account: id, Count: 1, Recent: 1, Demand: 1, Active: 1})
		}
		l.MergeUsage(start, ScopeOwn, fmt.Sprint("i", n), fmt.Sprint("i", n), usage)
	}
	reportedBytes := heapBytes() - before
	t.Logf("%d accounts: %.1f MB, and %.1f MB if %d instances report all of them", accounts, float64(configuredBytes)/1e6, float64(reportedBytes)/1e6, sources)
	require.LessOrEqual(t, reportedBytes, uint64(maxBytes))
	runtime.KeepAlive(l)
}

// The check of a request may take a microsecond, together with that of its key, without
// allocation.
func BenchmarkAdmit(b *testing.B) {
	for _, rate := range []float64{1e12, 1e-3} {
		b.Run(map[bool]string{true: "admitted", false: "refused"}[rate > 1], func(b *testing.B) {
			l := newTestLimiter(1)
			l.Configure(start, accountOf(rate, rate))
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Admit(now, "a")
			}
		})
	}
}
