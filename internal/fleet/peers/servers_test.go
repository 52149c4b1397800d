package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

func process(i int) shardmap.Server { return shardmap.Server{ID: serverID(i), StartedAtMillis: 1} }

// observe records a response of a server that names a limit, or none if it is negative.
func (m *member) observe(server int, rate float64) {
	now := time.Now()
	m.limiter.Table.Observe(process(server), redwingstall.RateLimit{Rate: rate, IsNamed: rate >= 0}, now, now)
}

// Guards against a limit that only the instances know that have met the server.
func TestAllInstancesLearnOfALimitAndOfItsEnd(t *testing.T) {
	for _, perDomain := range []int{2, domainMeshLimit + 3} {
		runFleet(t, 4, perDomain, 3, func(t *testing.T, f *fleet) {
			time.Sleep(2 * time.Second)
			f.members[perDomain+1].observe(1, 4.5)
			time.Sleep(time.Second)
			for _, m := range f.members {
				require.InDelta(t, 4.5, m.limiter.Table.Find(process(1)).Rate, 0, m.name)
			}
			f.members[0].observe(1, -1)
			time.Sleep(time.Second)
			for _, m := range f.members {
				require.False(t, m.limiter.Table.Find(process(1)).IsActive(), m.name)
			}
		})
	}
}

// Guards against an instance that starts, or has missed messages, and knows no limits.
func TestInstanceWithoutLimitsGetsThemFromAnother(t *testing.T) {
	runFleet(t, 2, 3, 450, func(t *testing.T, f *fleet) {
		for i := range 450 {
			f.members[1].observe(i, 2)
		}
		f.members[1].limiter.Table.TakeChanges() // all notices are lost
		time.Sleep(4 * time.Second)
		for _, m := range f.members {
			require.Len(t, m.limiter.Table.All(), 450, m.name)
		}
	})
}

// Guards against a server that leaves and is still used by the instances that have not met it.
func TestAllInstancesLearnThatAServerLeaves(t *testing.T) {
	for _, perDomain := range []int{2, domainMeshLimit + 3} {
		runFleet(t, 4, perDomain, 3, func(t *testing.T, f *fleet) {
			time.Sleep(2 * time.Second)
			require.True(t, f.members[perDomain+1].exchange.view.MarkLeaving(time.Now(), process(1)))
			time.Sleep(500 * time.Millisecond)
			for _, m := range f.members {
				require.True(t, m.exchange.view.Snapshot().ByID[serverID(1)].Draining, m.name)
			}
			lost := f.members[0].exchange.view
			f.members[0].exchange.view.MarkLeaving(time.Now(), process(2))
			require.Len(t, lost.TakeLeaving(), 1) // the notices are lost
			time.Sleep(6 * time.Second)
			for _, m := range f.members[:perDomain] {
				require.True(t, m.exchange.view.Snapshot().ByID[serverID(2)].Draining, m.name)
			}
		})
	}
}

// Guards against permits that different instances grant for the same server.
func TestPermitsOfAllInstancesComeFromOneSchedule(t *testing.T) {
	runFleet(t, 6, 49, 2, func(t *testing.T, f *fleet) {
		f.members[0].observe(1, 10)
		time.Sleep(time.Second)
		granted := make(chan bool, 10*len(f.members))
		for range 10 {
			for _, m := range f.members {
				go func() { granted <- m.limiter.Acquire(t.Context(), process(1), 0).IsGranted }()
			}
			time.Sleep(200 * time.Millisecond)
		}
		synctest.Wait()
		n := 0
		for range len(granted) {
			if <-granted {
				n++
			}
		}
		require.LessOrEqual(t, n, 20+3)
		require.GreaterOrEqual(t, n, 17)
	})
}

// Guards against notices and comparisons that fill the links of a large fleet, in which two
// thirds of the servers name their limits within a second.
func TestLimitsOfManyServersCostFewBytes(t *testing.T) {
	const limited, duration = 300, 3 * time.Second
	runFleet(t, 6, 49, 454, func(t *testing.T, f *fleet) {
		time.Sleep(startupTime + 2*digestInterval)
		before := make([]int, len(f.members))
		for i, m := range f.members {
			_, _, before[i] = m.socket.counts()
		}
		for i := range limited {
			f.members[i*7%len(f.members)].observe(i, 2)
			time.Sleep(time.Second / limited)
		}
		time.Sleep(duration - time.Second)
		synctest.Wait()
		total, most := 0, 0
		for i, m := range f.members {
			require.Len(t, m.limiter.Table.All(), limited, m.name)
			_, _, bytes := m.socket.counts()
			total += bytes - before[i]
			if !m.exchange.topology().isReporter {
				most = max(most, bytes-before[i])
			}
		}
		t.Logf("%d limits: %d bytes sent per instance, %d by the one that is no reporter and sends most", limited, total/len(f.members), most)
		require.LessOrEqual(t, float64(most)/duration.Seconds(), 24_000.0)
	})
}
