package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const holderMemory = 12 * time.Second

func snapshotOf(era redwingstall.Era, ids ...string) *view.Snapshot {
	s := &view.Snapshot{
		Config: &redwingstall.Configuration{Services: map[string]redwingstall.ServiceSpec{"keyed": {Sharded: true}}},
		Era:    era, Servers: map[string][]*view.Server{}, ByID: map[string]*view.Server{},
	}
	for _, id := range ids {
		server := &view.Server{BackendEntry: redwingstall.BackendEntry{ID: id, Service: "keyed", Address: id}}
		s.Servers["keyed"] = append(s.Servers["keyed"], server)
		s.ByID[id] = server
	}
	return s
}

// Guards against a server forgotten as soon as it is unlisted, after a time without changes.
func TestServerListedUntilNowIsRemembered(t *testing.T) {
	h := history{}
	h.update(0, snapshotOf(1, "a", "b"), true, holderMemory)
	h.update(13*time.Second, snapshotOf(1, "a"), true, holderMemory)
	require.Contains(t, h.addresses("keyed"), "b", "b was listed until now")
}

// Guards against an instance that was suspended or cut off, and takes that time for one in
// which it followed the store.
func TestTimeWithoutNewsDoesNotCountAsFollowing(t *testing.T) {
	for name, c := range map[string]struct {
		newsUntil, eraBeganAt time.Duration
		knowsHolders          bool
	}{
		"short outage":  {20 * time.Second, 22 * time.Second, true},
		"long outage":   {20 * time.Second, 26 * time.Second, false},
		"suspended":     {0, 20 * time.Second, false},
		"just started":  {2 * time.Second, 4 * time.Second, false},
		"without a gap": {20 * time.Second, 20 * time.Second, true},
	} {
		h := history{}
		for now := time.Duration(0); now <= c.newsUntil; now += time.Second {
			h.update(now, snapshotOf(1, "a"), true, holderMemory)
		}
		h.update(c.eraBeganAt, snapshotOf(2, "a"), true, holderMemory)
		require.Equal(t, c.knowsHolders, h.knowsHolders, name)
	}
}

// Guards against keys that are divided although a process of the first start has loaded the
// store late, after a recovery from a copy without a map.
func TestLateFirstLoadIsNoFirstStart(t *testing.T) {
	for loadedAt, hadNoGrants := range map[time.Duration]bool{
		300 * time.Millisecond: true, 900 * time.Millisecond: true, 1200 * time.Millisecond: false,
	} {
		h := history{}
		h.update(time.Second+loadedAt, snapshotOf(1), true, holderMemory)
		require.Equal(t, hadNoGrants, h.hadNoGrants(time.Second), loadedAt)
		h.update(time.Minute, snapshotOf(2), true, holderMemory)
		require.False(t, h.hadNoGrants(time.Second), "a later era")
	}
}

// Guards against keys without an owner for seconds, since a second recovery of the store
// came before the leader could write its map after the first one.
func TestTermContinuesAfterTwoRecoveries(t *testing.T) {
	newState := func() *serviceState {
		return &serviceState{assigner: assign.NewAssigner(0, assign.Timing{}, shardmap.Map{}), position: redwingstall.Position{Era: 1, Revision: 5}}
	}
	l := NewLeader(Config{})
	l.services = map[string]*serviceState{"tried": newState(), "untried": newState()}
	l.suspended = l.suspendTerm(1)
	l.services = map[string]*serviceState{}
	l.suspended.services["tried"].continuableIn = 2
	l.suspended = l.suspendTerm(2)
	require.NotNil(t, l.suspendedState(3, "tried"))
	require.Nil(t, l.suspendedState(3, "untried"), "another leader may have written a map")
	l.services = map[string]*serviceState{}
	l.suspended = l.suspendTerm(3)
	require.Nil(t, l.suspendedState(4, "tried"))
}

// Guards against a leader that takes its own map for that of another one, since the write
// was not answered.
func TestTermContinuesAfterAWriteWithoutAnAnswer(t *testing.T) {
	last := shardmap.Map{}
	last.Divide([]shardmap.Server{{ID: "a", StartedAtMillis: 1}})
	l := NewLeader(Config{})
	l.services = map[string]*serviceState{"keyed": {assigner: assign.NewAssigner(0, assign.Timing{}, last), position: redwingstall.Position{Era: 1, Revision: 5}}}
	l.suspended = l.suspendTerm(1)
	held := redwingstall.Lease{Era: 2, ID: 77}
	own := last.Clone()
	own.StartEra(2, 77)
	stored := storedMap{Map: own, position: redwingstall.Position{Era: 2, Revision: 9}}
	require.True(t, l.canContinue(held, "keyed", stored))
	stored.Term = 78
	require.False(t, l.canContinue(held, "keyed", stored), "another leader has taken over")
}

// Guards against a leader that goes on in a new era with a map that it never stored, while
// another leader of the former era has granted keys by one that it did store.
func TestTermWithoutAStoredMapDoesNotContinue(t *testing.T) {
	stored := &serviceState{assigner: assign.NewAssigner(0, assign.Timing{}, shardmap.Map{}), position: redwingstall.Position{Era: 3, Revision: 7}}
	unstored := &serviceState{assigner: stored.assigner, position: redwingstall.Position{Era: 3}}
	l := &Leader{suspended: &suspendedTerm{era: 3, services: map[string]*serviceState{"stored": stored, "unstored": unstored}}}
	require.Same(t, stored, l.suspendedState(4, "stored"))
	require.Nil(t, l.suspendedState(4, "unstored"))
	require.Nil(t, l.suspendedState(5, "stored"), "another leader may have led in era 4")
}
