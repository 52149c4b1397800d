package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	recoveredEra   = 3
	recoveredLease = 77
	eraBeganAt     = 20 * time.Second
)

// recoveryBed recovers the owners of a service whose last known map has two owners.
type recoveryBed struct {
	t         *testing.T
	recovery  *Recovery
	cluster   ClusterState
	addresses map[string]string
}

func newRecoveryBed(t *testing.T, knowsHolders bool) *recoveryBed {
	b := &recoveryBed{t: t, cluster: ClusterState{Servers: map[string]Server{}}, addresses: map[string]string{}}
	last := shardmap.Map{}
	last.Divide([]shardmap.Server{{ID: "a", StartedAtMillis: 1}, {ID: "b", StartedAtMillis: 1}})
	last.StartEra(recoveredEra, recoveredLease)
	for _, id := range []string{"a", "b", "c"} {
		b.cluster.Servers[id] = Server{Server: shardmap.Server{ID: id, StartedAtMillis: 1}, Address: id, IsUsable: true, Capacity: 10}
		b.addresses[id] = id
	}
	b.recovery = NewRecovery(eraBeganAt, simulationTiming, last, knowsHolders)
	return b
}

// releases sends the commands that are due, and answers them by server.
func (b *recoveryBed) releases(now time.Duration, answers map[string]Result) {
	for _, c := range b.recovery.DueCommands(now, b.cluster, b.addresses) {
		require.Equal(b.t, CommandRelease, c.Kind)
		require.Equal(b.t, redwingstall.KeyCount, c.Keys.Len())
		require.Greater(b.t, c.Fence, int64(recoveredEra)<<32)
		result, found := answers[c.Owner.ID]
		if !found {
			result = Result{IsUnanswered: true}
		}
		b.recovery.RecordResult(now, c, result)
	}
}

// Guards against keys that get a second owner since a server that is not in the last known
// map was granted them.
func TestRecoveryWaitsForEachServerThatMayHoldKeys(t *testing.T) {
	b := newRecoveryBed(t, true)
	now := eraBeganAt + simulationTiming.LeaderLeaseTTL
	require.Empty(t, b.recovery.DueCommands(now, b.cluster, b.addresses), "earlier leaders may still send grants")
	now += simulationTiming.GrantTimeout
	b.releases(now, map[string]Result{"a": {Handover: "ha"}, "b": {Handover: "hb"}})
	require.False(t, b.recovery.IsDone(now), "c may hold keys")
	now += releaseRetryDelay
	b.releases(now, map[string]Result{"c": {}})
	require.True(t, b.recovery.IsDone(now))

	a := b.recovery.Assigner(now)
	m, changed := a.Plan(now, b.cluster)
	require.True(t, changed)
	require.EqualValues(t, recoveredLease, m.Term)
	require.False(t, m.IsResigned)
	require.Len(t, m.Ranges, 2)
	for i, id := range []string{"a", "b"} {
		require.Equal(t, id, m.Ranges[i].Owner.ID, "keys return to their last known owner")
		require.Equal(t, shardmap.StateAssigned, m.Ranges[i].State)
		require.Equal(t, "h"+id, m.Ranges[i].Handover)
		require.Greater(t, m.Ranges[i].Fence, int64(recoveredEra)<<32)
	}
}

func TestRecoveryWaitsForGrantsOfUnknownServersToExpire(t *testing.T) {
	b := newRecoveryBed(t, false)
	now := eraBeganAt + simulationTiming.LeaderLeaseTTL + simulationTiming.GrantTimeout
	b.releases(now, map[string]Result{"a": {}, "b": {}, "c": {}})
	require.Empty(t, b.recovery.Unreleased())
	require.False(t, b.recovery.IsDone(now))
	now = eraBeganAt + simulationTiming.HolderMemory()
	require.False(t, b.recovery.IsDone(now-time.Millisecond))
	require.True(t, b.recovery.IsDone(now))
}

// Guards against keys of a server that only a partition hides: its entry is gone and its
// release fails at once, but it may serve others until its grants expire.
func TestRecoveryTrustsOnlyConfirmedReleases(t *testing.T) {
	b := newRecoveryBed(t, true)
	now := eraBeganAt + simulationTiming.LeaderLeaseTTL + simulationTiming.GrantTimeout
	b.releases(now, map[string]Result{"a": {}, "b": {}, "c": {IsUnanswered: true}})
	require.Equal(t, []string{"c"}, b.recovery.Unreleased())
	delete(b.cluster.Servers, "c")
	b.releases(now+releaseRetryDelay, nil)
	require.Equal(t, []string{"c"}, b.recovery.Unreleased())
	now = eraBeganAt + simulationTiming.HolderMemory()
	require.False(t, b.recovery.IsDone(now-time.Millisecond))
	require.True(t, b.recovery.IsDone(now))
}

// Guards against grants that their server refuses, since it released all keys under a higher token.
func TestRecoveredKeysGetTokensAboveTheReleaseOfTheirNewOwner(t *testing.T) {
	b := newRecoveryBed(t, true)
	delete(b.cluster.Servers, "a") // its last owner has ended
	now := eraBeganAt + simulationTiming.LeaderLeaseTTL + simulationTiming.GrantTimeout
	seen := map[string]int64{}
	for _, c := range b.recovery.DueCommands(now, b.cluster, b.addresses) {
		seen[c.Owner.ID] = c.Fence
		b.recovery.RecordResult(now, c, Result{IsUnanswered: c.Owner.ID == "a"})
	}
	now = eraBeganAt + simulationTiming.HolderMemory()
	require.True(t, b.recovery.IsDone(now))
	m, _ := b.recovery.Assigner(now).Plan(now, b.cluster)
	for _, r := range m.Ranges {
		require.Equal(t, shardmap.StateAssigned, r.State)
		require.Greater(t, r.Fence, seen[r.Owner.ID], "%s released all keys under %d", r.Owner.ID, seen[r.Owner.ID])
	}
}

// Guards against a server counted as released by what another server answered at its former address.
func TestRecoveryReleasesServerAgainAtItsNewAddress(t *testing.T) {
	b := newRecoveryBed(t, true)
	now := eraBeganAt + simulationTiming.LeaderLeaseTTL + simulationTiming.GrantTimeout
	b.cluster.Servers["c"] = Server{Server: shardmap.Server{ID: "c", StartedAtMillis: 1}, Address: "old", IsUsable: true, Capacity: 10}
	b.releases(now, map[string]Result{"a": {}, "b": {IsUnanswered: true}, "c": {}})
	// The entry in the copy was that of c's former process. The current one is written again.
	b.cluster.Servers["c"] = Server{Server: shardmap.Server{ID: "c", StartedAtMillis: 2}, Address: "new", IsUsable: true, Capacity: 10}
	now += releaseRetryDelay
	b.releases(now, map[string]Result{"b": {}})
	require.False(t, b.recovery.IsDone(now), "c may hold keys at its new address")
}
