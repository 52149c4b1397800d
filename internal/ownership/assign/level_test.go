package assign

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// hotRates are 100 requests a second of which 60 go to 200 neighboring keys.
func hotRates() []float32 {
	rates := make([]float32, redwingstall.Keys)
	for key := range rates {
		rates[key] = 40.0 / redwingstall.Keys
	}
	for key := 10000; key < 10200; key++ {
		rates[key] += 60.0 / 200
	}
	return rates
}

func worldOf(n int, rates []float32) ClusterState {
	world := ClusterState{Servers: map[string]Server{}, KeyRates: rates}
	for i := range n {
		id := fmt.Sprintf("s%02d", i)
		world.Servers[id] = Server{Server: shardmap.Server{ID: id, StartedAtMillis: 1}, Address: id, IsUsable: true, Capacity: 16}
	}
	return world
}

// run lets every order succeed at once, and returns the assigner after a while.
func run(a *Assigner, from, to time.Duration, world ClusterState) {
	addresses := map[string]string{}
	for id := range world.Servers {
		addresses[id] = id
	}
	for now := from; now < to; now += 50 * time.Millisecond {
		tick(a, now, world, addresses, Result{Handover: "h"})
	}
}

// tick lets every order end alike, and stores what is planned.
func tick(a *Assigner, now time.Duration, world ClusterState, addresses map[string]string, result Result) {
	for _, o := range a.DueCommands(now, world, addresses) {
		a.RecordResult(now, o, result)
	}
	if draft, changed := a.Plan(now, world); changed {
		a.Adopt(draft)
	}
}

func mostUsed(a *Assigner, world ClusterState) float64 {
	most := 0.0
	for _, l := range a.ServerUsages(world) {
		most = max(most, l.Rate/l.Capacity)
	}
	return most
}

// Load: a hot group of keys lies with one server, which would need over twice its
// capacity. Within two seconds no server is overloaded, and few keys moved.
func TestHotKeysAreSpreadWithinTwoSeconds(t *testing.T) {
	world := worldOf(13, nil)
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 3*time.Second, world)
	before := a.Map()
	world.KeyRates = hotRates()
	require.Greater(t, mostUsed(a, world), 2.0)
	run(a, 3*time.Second, 5*time.Second, world)
	require.Less(t, mostUsed(a, world), 0.9)
	moved := 0
	for key := range redwingstall.Keys {
		old, _ := before.Find(key)
		r, _ := a.Map().Find(key)
		if old.Owner != r.Owner {
			moved++
		}
	}
	require.Less(t, moved, redwingstall.Keys/10)
}

// Load: an even load on servers that differ twofold in speed.
func TestSlowServersGetFewerKeys(t *testing.T) {
	world := worldOf(12, nil)
	rates := make([]float32, redwingstall.Keys)
	for key := range rates {
		rates[key] = 110.0 / redwingstall.Keys
	}
	world.KeyRates = rates
	for i := range 6 {
		s := world.Servers[fmt.Sprintf("s%02d", i)]
		s.Capacity = 8
		world.Servers[s.ID] = s
	}
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 6*time.Second, world)
	require.Less(t, mostUsed(a, world), 0.95)
}

// Servers that join get keys; a leaving one's keys are spread over the others.
func TestKeysFollowJoiningAndLeavingServers(t *testing.T) {
	rates := make([]float32, redwingstall.Keys)
	for key := range rates {
		rates[key] = 60.0 / redwingstall.Keys
	}
	world := worldOf(8, rates)
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 3*time.Second, world)
	world.Servers["new"] = Server{Server: shardmap.Server{ID: "new", StartedAtMillis: 9}, IsUsable: true, Capacity: 16}
	run(a, 3*time.Second, 5*time.Second, world)
	require.Greater(t, loadOf(a, world, "new"), 1.0)

	leaving := world.Servers["s03"]
	leaving.IsUsable = false
	world.Servers["s03"] = leaving
	run(a, 5*time.Second, 6*time.Second, world)
	for _, r := range a.Map().Ranges {
		require.NotEqual(t, "s03", r.Owner.ID)
	}
	require.Less(t, mostUsed(a, world), 0.75)
}

func loadOf(a *Assigner, world ClusterState, id string) float64 {
	for _, l := range a.ServerUsages(world) {
		if l.Server == id {
			return l.Rate
		}
	}
	return math.NaN()
}

// Found on a deployment: the division began when two of thirteen servers had
// registered, and one of these had three times its share when requests came.
func TestFirstDivisionWaitsForTheServers(t *testing.T) {
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 300*time.Millisecond, worldOf(2, nil))
	run(a, 300*time.Millisecond, 900*time.Millisecond, worldOf(9, nil))
	require.Empty(t, a.Map().Ranges)
	run(a, 900*time.Millisecond, 4*time.Second, worldOf(13, nil))
	require.Len(t, a.Map().Ranges, 13)
}

// A silent server's keys come back to service once no grant can be in force.
func TestKeysOfASilentServerAreGivenOutAfterItsHold(t *testing.T) {
	world := worldOf(4, nil)
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 3*time.Second, world)
	lost := a.Map().Ranges[0].Owner
	delete(world.Servers, lost.ID)
	addresses := map[string]string{lost.ID: lost.ID}
	freeAt := time.Duration(0)
	for now := 3 * time.Second; now < 20*time.Second && freeAt == 0; now += 50 * time.Millisecond {
		tick(a, now, world, addresses, Result{IsUnanswered: true})
		if r, _ := a.Map().Find(0); r.State == shardmap.StateAssigned && r.Owner != lost {
			freeAt = now
		}
	}
	require.InDelta(t, 3+exploreTiming.GrantTTL.Seconds(), freeAt.Seconds(), 2)
}

// An address that another server has taken over proves that the owner is gone.
func TestReplacedOwnerLosesItsKeysAtOnce(t *testing.T) {
	world := worldOf(4, nil)
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 3*time.Second, world)
	lost := a.Map().Ranges[0].Owner
	delete(world.Servers, lost.ID)
	addresses := map[string]string{lost.ID: lost.ID}
	for now := 3 * time.Second; now < 3200*time.Millisecond; now += 50 * time.Millisecond {
		tick(a, now, world, addresses, Result{IsUnanswered: true, IsReplaced: true})
	}
	r, _ := a.Map().Find(0)
	require.NotEqual(t, lost, r.Owner)
}

// Load: one key has more requests than any server bears, and a group of others
// is hot too. Found on a deployment: the one key's server was always the most
// used, and nothing else was leveled.
func TestOneHotKeyDoesNotStopLeveling(t *testing.T) {
	world := worldOf(13, nil)
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 3*time.Second, world)
	world.KeyRates = hotRates()
	world.KeyRates[60000] += 50
	run(a, 3*time.Second, 6*time.Second, world)
	overloaded := 0
	for _, l := range a.ServerUsages(world) {
		if l.Utilization() > 0.95 {
			overloaded++
		}
	}
	require.Equal(t, 1, overloaded)
}

// Load: the leader's machine is lost while a failure domain is taken out. Its
// successor hands nothing out until the former one's grants can be told from its
// own; what it took back before would be served by nobody. Servers that are only
// asked to leave keep their keys so long.
func TestLeavingServersServeUntilKeysCanBeHandedOut(t *testing.T) {
	world := worldOf(6, nil)
	first := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(first, 0, 3*time.Second, world)
	stored := first.Map()
	stored.Term++
	next := NewAssigner(3*time.Second, exploreTiming, stored)
	leaving := world.Servers["s03"]
	leaving.IsUsable = false
	world.Servers["s03"] = leaving
	world.KeyRates = hotRates()

	run(next, 3*time.Second, 3*time.Second+exploreTiming.LeaderLeaseTTL, world)
	for _, r := range next.Map().Ranges {
		require.Equal(t, shardmap.StateAssigned, r.State)
	}
	run(next, 3*time.Second+exploreTiming.LeaderLeaseTTL, 9*time.Second, world)
	for _, r := range next.Map().Ranges {
		require.NotEqual(t, "s03", r.Owner.ID)
	}
}

// Load: all servers are overloaded about alike. Moves would help nobody, and their
// keys would wait for the work under way.
func TestNothingMovesAmongServersThatAreAllOverloaded(t *testing.T) {
	world := worldOf(6, nil)
	a := NewAssigner(0, exploreTiming, shardmap.Map{})
	run(a, 0, 3*time.Second, world)
	rates := make([]float32, redwingstall.Keys)
	for key := range rates {
		rates[key] = 130.0 / redwingstall.Keys
	}
	world.KeyRates = rates
	slower := world.Servers["s02"]
	slower.Capacity = 14
	world.Servers["s02"] = slower
	before := a.Map()
	run(a, 3*time.Second, 6*time.Second, world)
	require.Equal(t, before.LastFence, a.Map().LastFence)
}
