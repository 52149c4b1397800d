package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// releaseBed is a leader whose server s00 has ended, and whose draft releases its keys.
type releaseBed struct {
	cluster   ClusterState
	addresses map[string]string
	leader    *Assigner
	now       time.Duration
}

func newReleaseBed() *releaseBed {
	b := &releaseBed{cluster: newClusterState(3, nil), addresses: map[string]string{}, leader: NewAssigner(0, simulationTiming, shardmap.Map{})}
	for id := range b.cluster.Servers {
		b.addresses[id] = id
	}
	b.now = 3 * time.Second
	runFor(b.leader, 0, b.now, b.cluster)
	return b
}

// end removes the entry of s00.
func (b *releaseBed) end() { delete(b.cluster.Servers, "s00") }

// lead lets a leader run without answers of s00 until the keys have another owner, or until
// the time is over, and returns when that was.
func (b *releaseBed) lead(a *Assigner, until time.Duration) time.Duration {
	for ; b.now < until; b.now += 50 * time.Millisecond {
		for _, c := range a.DueCommands(b.now, b.cluster, b.addresses) {
			if a.BeginSend(b.now, c) {
				a.RecordResult(b.now, c, Result{IsUnanswered: c.Owner.ID == "s00"})
			}
		}
		if draft, changed := a.Plan(b.now, b.cluster); changed {
			a.BeginWrite(draft)
			a.Adopt(draft)
		}
		if r, _ := a.Map().Find(0); r.Owner.ID != "s00" {
			return b.now
		}
	}
	return b.now
}

// Guards against keys without an owner for as long as leaders change: each one waited again
// for grants that none has sent since the release was stored.
func TestChangesOfLeaderDoNotRestartTheWaitForAStoredRelease(t *testing.T) {
	b := newReleaseBed()
	b.end()
	stored := b.now
	last := stored + simulationTiming.maxGrantLifetime(simulationTiming.GrantTTL)
	b.lead(b.leader, b.now+time.Second)
	leader, follower := b.leader, ReleaseHistory{}
	follower.Observe(stored+100*time.Millisecond, leader.Map())
	for range 3 {
		m, err := shardmap.Decode(leader.Map().Encode()) // the successor reads it from the store
		require.NoError(t, err)
		leader = NewAssigner(b.now, simulationTiming, m)
		leader.RecallReleases(follower)
		leader.SetEnds(b.now, &m)
		leader.Adopt(m)
		b.lead(leader, b.now+1500*time.Millisecond)
	}
	// A process that has seen nothing but the last leader's map does not begin anew either.
	m, err := shardmap.Decode(leader.Map().Encode())
	require.NoError(t, err)
	drift := time.Duration(float64(last-stored) * maxClockDrift)
	require.Less(t, b.lead(NewAssigner(b.now, simulationTiming, m), time.Minute), last+2*drift+1700*time.Millisecond)
}

// Guards against a successor that counts from its own start although it has seen the release
// before, and against one that assigns keys earlier than the map allows.
func TestSuccessorCountsFromWhenItFirstSawTheRelease(t *testing.T) {
	b := newReleaseBed()
	b.end()
	b.lead(b.leader, b.now+100*time.Millisecond)
	r, _ := b.leader.Map().Find(0)
	require.Equal(t, shardmap.StateReleasing, r.State)
	seenAt, history := b.now, ReleaseHistory{}
	history.Observe(seenAt, b.leader.Map())
	b.now += 4 * time.Second
	history.Observe(b.now, b.leader.Map())
	next := NewAssigner(b.now, simulationTiming, b.leader.Map())
	next.RecallReleases(history)
	assignedAt := b.lead(next, time.Minute)
	require.GreaterOrEqual(t, assignedAt, seenAt+r.GrantsEndWithin)
	require.Less(t, assignedAt, seenAt+r.GrantsEndWithin+time.Duration(float64(r.GrantsEndWithin)*maxClockDrift)+100*time.Millisecond)
}

// Guards against a successor that trusts a map without the ends of grants, of an earlier
// version.
func TestSuccessorWaitsInFullWithoutKnownEnds(t *testing.T) {
	b := newReleaseBed()
	b.end()
	b.lead(b.leader, b.now+100*time.Millisecond)
	m := b.leader.Map().Clone()
	for i := range m.Ranges {
		m.Ranges[i].GrantsEndWithin = 0
	}
	m.LeaderLease, m.LongestGrant, m.PredecessorsWithin = 0, 0, 0
	began := b.now
	require.GreaterOrEqual(t, b.lead(NewAssigner(b.now, simulationTiming, m), time.Minute), began+simulationTiming.HolderMemory())
}

// Guards against a successor with short leases and grants that takes its predecessor's, or those
// of an earlier leader which may still run, for as short.
func TestSuccessorWaitsByTheTimesOfEarlierLeaders(t *testing.T) {
	b := newReleaseBed()
	b.end()
	began := b.now
	next := NewAssigner(b.now, fastTiming, b.leader.Map())
	require.Equal(t, began+simulationTiming.LeaderLeaseTTL+simulationTiming.GrantTimeout, next.predecessorDoneAt)
	m := next.Map().Clone()
	next.SetEnds(b.now, &m)
	second := NewAssigner(b.now+time.Second, fastTiming, m)
	require.GreaterOrEqual(t, second.predecessorDoneAt, next.predecessorDoneAt)
	require.GreaterOrEqual(t, b.lead(second, time.Minute), began+simulationTiming.HolderMemory()-time.Second)
}

// Guards against more calls of the leader than it can make, and against grants that end before
// the next leader renews them.
func TestShortGrantsGrowWithTheNumberOfRanges(t *testing.T) {
	for ranges, want := range map[int]time.Duration{1: 3 * time.Second, 234: 3 * time.Second, 500: 4 * time.Second, 810: 4500 * time.Millisecond} {
		ttl := fastTiming.grantTTL(ClusterState{}, ranges)
		require.Equal(t, want, ttl, "%d ranges", ranges)
		interval := fastTiming.renewalInterval(ttl, ClusterState{})
		require.LessOrEqual(t, float64(ranges)/interval.Seconds(), 650.0, "calls per second")
		require.GreaterOrEqual(t, ttl-interval, fastTiming.LeaderLeaseTTL+500*time.Millisecond, "change of leader")
	}
}

// Guards against a mark of resignation that outlasts the takeover: the next leader's maps would
// let its own successor not wait for it.
func TestSuccessorRemovesTheMarkOfResignation(t *testing.T) {
	b := newReleaseBed()
	m := b.leader.Map().Clone()
	m.IsResigned = true
	next := NewAssigner(b.now, simulationTiming, m)
	b.end()
	draft, changed := next.Plan(b.now, b.cluster)
	require.True(t, changed)
	require.False(t, draft.IsResigned)
}

// Guards against grants that are sent after the write of a release has begun: it may take
// effect before its answer arrives, or although it seems to have failed.
func TestNoGrantIsSentFromTheBeginningOfTheWriteOfItsRelease(t *testing.T) {
	b := newReleaseBed()
	b.now += simulationTiming.GrantTTL
	due := b.leader.DueCommands(b.now, b.cluster, b.addresses)
	require.Len(t, due, 3)
	draft := b.leader.Map().Clone()
	half := draft.Ranges[0].KeyRange
	half.To = 99
	draft.Split(half)
	draft.Ranges[0].Release(draft.NextReleaseFence())
	b.leader.BeginWrite(draft)
	for _, c := range due {
		require.Equal(t, c.Owner.ID != "s00", b.leader.BeginSend(b.now, c), "%v", c)
	}
	grants := b.leader.DueCommands(b.now, b.cluster, b.addresses)
	require.Len(t, grants, 1, "the rest of the range is granted on")
	require.Equal(t, 100, grants[0].Keys.From)
	require.True(t, b.leader.HasWithheldGrants(), "the map has to be written again")
	b.leader.Adopt(b.leader.Map())
	require.False(t, b.leader.HasWithheldGrants())
}

// Guards against releases without end at ten a second to a server that has ended, while a new
// process or address must still be asked at once.
func TestRepeatedReleasesBackOff(t *testing.T) {
	b := newReleaseBed()
	b.end()
	count := func(until time.Duration) int {
		sent := 0
		for ; b.now < until; b.now += 50 * time.Millisecond {
			for _, c := range b.leader.DueCommands(b.now, b.cluster, b.addresses) {
				if c.Kind == CommandRelease {
					sent++
				}
				b.leader.RecordResult(b.now, c, Result{IsUnanswered: c.Owner.ID == "s00"})
			}
			if draft, changed := b.leader.Plan(b.now, b.cluster); changed {
				b.leader.Adopt(draft)
			}
		}
		return sent
	}
	require.Less(t, count(b.now+4*time.Second), 6)
	b.addresses["s00"] = "elsewhere"
	require.Equal(t, 1, count(b.now+50*time.Millisecond))
}

// Guards against confirmed releases that count while a leader before the one that resigned may
// still send grants: a server that confirms and starts anew would accept a late one.
func TestResignationDoesNotEndTheWaitForEarlierLeaders(t *testing.T) {
	m := shardmap.Map{IsResigned: true, Term: 2, PredecessorsWithin: 3 * time.Second, LeaderLease: 3 * time.Second, LongestGrant: 5 * time.Second}
	m.Divide([]shardmap.Server{{ID: "s0", StartedAtMillis: 1}})
	require.GreaterOrEqual(t, NewAssigner(time.Minute, simulationTiming, m).predecessorDoneAt, time.Minute+3*time.Second)
	m.PredecessorsWithin = 0
	require.Equal(t, time.Minute, NewAssigner(time.Minute, simulationTiming, m).predecessorDoneAt)
}
