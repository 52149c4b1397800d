package ownership_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// steady chooses what hurts nobody: no loss, no pause, the longest steps.
type steady struct{}

func (steady) choose(_ string, n int) int { return n - 1 }

func (w *world) heldShards() int {
	held := map[string]bool{}
	for _, s := range w.servers {
		if w.lost[s.name] {
			continue
		}
		for shard := range s.table.Held(s.clock.at(w.time)) {
			held[shard] = true
		}
	}
	return len(held)
}

func startedWorld(t *testing.T) *world {
	w := newWorld(steady{}, faults{}, true)
	w.work(30)
	require.Empty(t, w.violation)
	require.Equal(t, shards, w.heldShards())
	return w
}

// With the store out for an hour, every key of a living owner goes on being
// served, also through the death of an entry instance.
func TestOwnersOutliveAnHourWithoutTheStore(t *testing.T) {
	w := startedWorld(t)
	w.storeUp = false
	began := w.time
	for w.time-began < time.Hour {
		w.work(1)
		require.Empty(t, w.violation)
		require.Equal(t, shards, w.heldShards(), "at %v", w.time)
		if w.time-began > 10*time.Minute {
			w.instances[0].dead = true
		}
	}
	acting := 0
	for _, i := range w.instances {
		if !i.dead && i.now().Before(i.until) {
			acting++
		}
	}
	require.Equal(t, 1, acting, "the pool has a home again")
}

const (
	servedAgainWithin = 4 * time.Second
	// detection is what package home takes to find a server lost, at most: an
	// interval of orders and the time after which a server is lost.
	detection = 1300 * time.Millisecond
)

// With the store up, the keys of a lost owner are served again in time.
func TestKeysAreServedAgainInTime(t *testing.T) {
	w := startedWorld(t)
	lost := ""
	for _, s := range w.servers {
		if len(s.table.Held(s.clock.at(w.time))) > 0 {
			lost = s.name
		}
	}
	w.lost[lost] = true
	began := w.time
	require.Less(t, w.heldShards(), shards)
	for w.heldShards() < shards {
		w.work(1)
		require.Empty(t, w.violation)
		require.Less(t, w.time-began, servedAgainWithin-detection, strings.Join(w.trace, "\n"))
	}
}

// The instances are lost one after the other, each replaced by a new process:
// nothing that was acknowledged is lost.
func TestRollingReplacementKeepsEveryAssignment(t *testing.T) {
	w := startedWorld(t)
	before := w.store[recordName]
	for n := range w.instances {
		w.instances[n].restart()
		w.work(15)
		require.Empty(t, w.violation)
	}
	require.Equal(t, before.Value, w.store[recordName].Value, "nothing moved")
	require.Equal(t, shards, w.heldShards())
	require.Equal(t, before, w.instances[0].voter.Record(recordName))
}
