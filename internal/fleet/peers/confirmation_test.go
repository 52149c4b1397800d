package peers

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
)

// Guards against knowledge that looks younger than it is, since the update that carries its age
// waited in a buffer: while the receiver, the sender or a reporter between them was suspended.
func TestWaitsOfUpdatesCountToTheAge(t *testing.T) {
	const transit, clockDifference = 2 * time.Millisecond, 9 * time.Hour
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 1))
		clocks, accepted := senderClocks{}, 0
		// The updates are read in the order in which they were sent; one waits after another.
		now, sent, promptAt := time.Hour, time.Hour, time.Hour
		for range 400 {
			sent += 150 * time.Millisecond
			age := time.Duration(random.IntN(700)) * time.Millisecond
			now = max(now, sent+transit)
			if random.IntN(60) == 0 { // a suspension, then all that waited is read at once
				now += time.Duration(random.IntN(5_000)) * time.Millisecond
			}
			if now == sent+transit {
				promptAt = now
			}
			drift := time.Duration((now - promptAt).Seconds() * float64(clockDrift)) // what the clocks may differ since then
			stamp := confirmation{process: 7, sentAt: sent + clockDifference, age: age}
			confirmedAt := clocks.confirmedAt(now, "w", stamp)
			if confirmedAt == 0 {
				continue
			}
			accepted++
			require.LessOrEqual(t, confirmedAt, sent-age+transit+drift+time.Microsecond, "seed %d", seed)
			require.GreaterOrEqual(t, confirmedAt, sent-age)
		}
		require.Greater(t, accepted, 200, "seed %d", seed)
	}
}

// Guards against a first update that waited, whose delay would pass for the difference of the
// clocks: of a process that started while this one was suspended.
func TestUpdatesOfAnUnknownProcessDoNotCountAtOnce(t *testing.T) {
	clocks := senderClocks{}
	stampAt := func(process uint64, sent time.Duration) confirmation {
		return confirmation{process: process, sentAt: sent, age: 100 * time.Millisecond}
	}
	now := time.Hour
	for i := range 20 { // 3 s of updates in the buffer when this process goes on, a minute later
		require.Zero(t, clocks.confirmedAt(now, "w", stampAt(1, now-time.Minute+time.Duration(i)*150*time.Millisecond)))
	}
	confirmedAt := time.Duration(0)
	for range 3 {
		now += 150 * time.Millisecond
		confirmedAt = clocks.confirmedAt(now, "w", stampAt(1, now-time.Millisecond))
	}
	require.InDelta(t, now-100*time.Millisecond, confirmedAt, float64(time.Millisecond))
	require.Zero(t, clocks.confirmedAt(now, "w", stampAt(2, now)), "a new process may run on another machine")
	require.Zero(t, clocks.confirmedAt(now, "w", confirmation{}), "no confirmation")
	require.Zero(t, clocks.confirmedAt(now, "w", confirmation{process: 2, sentAt: now, age: -time.Second}))
	for i := range uint64(3 * maxSenders) {
		clocks.confirmedAt(now, string(rune('a'+i)), stampAt(i+1, now))
		require.LessOrEqual(t, len(clocks.byName), maxSenders)
	}
}

// Guards against a late update of a watcher's previous process that resets what is known of the clock
// of its current one.
func TestLateUpdateOfAReplacedProcessIsIgnored(t *testing.T) {
	clocks, now := senderClocks{}, time.Hour
	update := func(process uint64) time.Duration {
		return clocks.confirmedAt(now, "w", confirmation{process: process, sentAt: now, age: 100 * time.Millisecond})
	}
	for process := uint64(1); process <= maxReplaced+1; process++ {
		for range clockSamples {
			now += 150 * time.Millisecond
			update(process)
		}
		require.Equal(t, now-100*time.Millisecond, update(process))
		for late := uint64(1); late < process; late++ {
			require.Zero(t, update(late), "late update")
			require.Equal(t, now-100*time.Millisecond, update(process), "process %d after a late update of %d", process, late)
		}
	}
	require.Len(t, clocks.byName["w"].replaced, maxReplaced)
	now += replacedTime
	for range clockSamples {
		now += 150 * time.Millisecond
		update(1)
	}
	require.Equal(t, now-100*time.Millisecond, update(1), "it is forgotten")
}

// Guards against an age that is lost on the way, or that a part of an update carries which does
// not bring the receiver up to date.
func TestUpdatesCarryTheAgeOfTheirContent(t *testing.T) {
	runFleet(t, 2, domainMeshLimit+2, 1, func(t *testing.T, f *fleet) {
		sender, receiver := f.members[0], f.members[len(f.members)-2]
		for range 5 {
			sender.exchange.Broadcast(follow.Update{After: 1, UpTo: 1, ConfirmedAt: fakeClock() - 90*time.Millisecond})
			time.Sleep(150 * time.Millisecond)
		}
		large := follow.Update{After: 1, UpTo: 3, ConfirmedAt: fakeClock() - 90*time.Millisecond, Changes: []redwingstall.Change{change(2, 20<<10), change(3, 20<<10)}}
		sender.exchange.Broadcast(large)
		sender.exchange.Broadcast(follow.Update{After: 3, UpTo: 3})
		time.Sleep(100 * time.Millisecond)
		ages := []time.Duration{}
		for range len(receiver.exchange.Updates()) {
			if update := <-receiver.exchange.Updates(); update.ConfirmedAt > 0 {
				ages = append(ages, fakeClock()-update.ConfirmedAt)
				require.NotEqual(t, int64(2), update.UpTo, "the first part")
			}
		}
		ms := time.Millisecond
		require.Equal(t, []time.Duration{640 * ms, 490 * ms, 340 * ms, 190 * ms}, slices.Compact(ages), "three heartbeats, and the last part of the large update with the copies of the reporters")
	})
}

// Guards against a request for the changes before an update that nobody answers, in fleets without
// sums.
func TestSenderOfUpdatesRepairs(t *testing.T) {
	runFleet(t, 2, 3, 1, func(t *testing.T, f *fleet) {
		sender, asking := f.members[0], f.members[4]
		sender.exchange.changesSince = func(after redwingstall.Position) (follow.Update, bool) {
			return follow.Update{After: int64(after.Revision), UpTo: 9, IsRepair: true}, true
		}
		asking.exchange.RequestRepairFromSender(redwingstall.Position{Revision: 4}) // there is none yet
		sender.exchange.Broadcast(follow.Update{After: 9, UpTo: 9})
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, follow.Update{After: 9, UpTo: 9}, <-asking.exchange.Updates())
		asking.exchange.RequestRepairFromSender(redwingstall.Position{Revision: 4})
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, follow.Update{After: 4, UpTo: 9, IsRepair: true}, <-asking.exchange.Updates())
	})
}
