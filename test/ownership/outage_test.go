package ownership_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultFreeChooser injects no fault: it drops no message, pauses no instance and takes the
// longest time steps.
type faultFreeChooser struct{}

func (faultFreeChooser) choose(_ string, n int) int { return n - 1 }

// countHeldShards counts the shards with a valid grant at a server that is not lost.
func (sm *simulation) countHeldShards() int {
	held := map[string]bool{}
	for _, s := range sm.servers {
		if sm.lostServers[s.name] {
			continue
		}
		for shard := range s.table.Held(s.clock.read(sm.elapsed)) {
			held[shard] = true
		}
	}
	return len(held)
}

// newSettledSimulation returns a fault-free simulation in which every shard has an owner.
func newSettledSimulation(t *testing.T) *simulation {
	sm := newSimulation(faultFreeChooser{}, disabledMechanisms{}, true)
	sm.runRounds(30)
	require.Empty(t, sm.violation)
	require.Equal(t, shards, sm.countHeldShards())
	return sm
}

// Guards against owners that lose their grants during a store outage. The store is unavailable
// for an hour and an entry instance crashes meanwhile; every shard must keep its owner.
func TestOwnersSurviveOneHourStoreOutage(t *testing.T) {
	sm := newSettledSimulation(t)
	sm.storeAvailable = false
	start := sm.elapsed
	for sm.elapsed-start < time.Hour {
		sm.runRounds(1)
		require.Empty(t, sm.violation)
		require.Equal(t, shards, sm.countHeldShards(), "at %v", sm.elapsed)
		if sm.elapsed-start > 10*time.Minute {
			sm.instances[0].isCrashed = true
		}
	}
	acting := 0
	for _, i := range sm.instances {
		if !i.isCrashed && i.now().Before(i.actsUntil) {
			acting++
		}
	}
	require.Equal(t, 1, acting, "the pool must have a home instance again")
}

const (
	// recoveryBound bounds the time from the loss of an owner until its keys are served again.
	recoveryBound = 4 * time.Second
	// detectionBound bounds the time in which package home detects a lost server: one interval
	// between orders plus the time after which a server counts as lost.
	detectionBound = 1300 * time.Millisecond
)

// Guards against slow reassignment: with the store available, the keys of a lost owner must have
// a new one within recoveryBound, which includes the detection of the loss.
func TestKeysOfLostOwnerAreReassignedInTime(t *testing.T) {
	sm := newSettledSimulation(t)
	lost := ""
	for _, s := range sm.servers {
		if len(s.table.Held(s.clock.read(sm.elapsed))) > 0 {
			lost = s.name
		}
	}
	sm.lostServers[lost] = true
	start := sm.elapsed
	require.Less(t, sm.countHeldShards(), shards)
	for sm.countHeldShards() < shards {
		sm.runRounds(1)
		require.Empty(t, sm.violation)
		require.Less(t, sm.elapsed-start, recoveryBound-detectionBound, strings.Join(sm.trace, "\n"))
	}
}

// Guards against losing acknowledged assignments in a rolling replacement: every instance is
// replaced in turn by a new process with empty memory.
func TestRollingReplacementKeepsEveryAssignment(t *testing.T) {
	sm := newSettledSimulation(t)
	before := sm.store[recordName]
	for n := range sm.instances {
		sm.instances[n].restart()
		sm.runRounds(15)
		require.Empty(t, sm.violation)
	}
	require.Equal(t, before.Value, sm.store[recordName].Value, "no shard may move")
	require.Equal(t, shards, sm.countHeldShards())
	require.Equal(t, before, sm.instances[0].voter.Record(recordName))
}
