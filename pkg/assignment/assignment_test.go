package assignment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/pkg/assignment"
)

func view(servers int) assignment.View {
	v := assignment.View{Servers: map[string]assignment.ServerView{}, Shards: 128, MaxMoves: 32, Revision: 1}
	for n := range servers {
		v.Servers[fmt.Sprintf("s%02d", n)] = assignment.ServerView{Slots: 4, Eligible: true}
	}
	return v
}

func owned(record assignment.Record) map[string]int {
	counts := map[string]int{}
	for _, entry := range record.Shards {
		if entry.State == assignment.ShardOwned {
			counts[entry.Owner]++
		}
	}
	return counts
}

func TestNewRecordDistributesShardsEvenly(t *testing.T) {
	plan := assignment.MakePlan(assignment.Record{}, view(13))
	require.Equal(t, 128, plan.Assigned)
	for server, n := range owned(plan.Record) {
		require.InDelta(t, 128.0/13, n, 1, server)
	}
}

func TestShardsAreRevokedAtOnceFromLostServerAndInBatchesFromLeavingOne(t *testing.T) {
	record := assignment.MakePlan(assignment.Record{}, view(4)).Record
	v := view(4)
	v.MaxMoves = 5
	v.Servers["s00"] = assignment.ServerView{Slots: 4, Eligible: true, Lost: true}
	v.Servers["s01"] = assignment.ServerView{Slots: 4}
	plan := assignment.MakePlan(record, v)
	require.Equal(t, 32, plan.Lost)
	require.Equal(t, 5, plan.Leaving)
	require.Zero(t, plan.Assigned, "no grant has expired yet")
	again := assignment.MakePlan(plan.Record, v)
	require.True(t, again.IsEmpty(), "no further entry is revoked while MaxMoves entries move")
}

func TestRevokedShardIsAssignedOnlyAfterExpiryAndWithHigherFence(t *testing.T) {
	record := assignment.MakePlan(assignment.Record{}, view(2)).Record
	v := view(2)
	v.Revision = 7
	v.Servers["s00"] = assignment.ServerView{Slots: 4}
	record = assignment.MakePlan(record, v).Record
	require.True(t, assignment.MakePlan(record, v).Assigned == 0)
	name := ""
	for shard, entry := range record.Shards {
		if entry.State == assignment.ShardRevoking {
			name = assignment.ShardName(shard)
		}
	}
	v.Lapsed = map[string]bool{name: true}
	next := assignment.MakePlan(record, v).Record.Entries()[name]
	require.Equal(t, "s01", next.Owner)
	require.Greater(t, next.Fence, record.Entries()[name].Fence)
}

func TestStateMachineRejectsInvalidTransitions(t *testing.T) {
	entry := assignment.Entry{Owner: "a", Fence: 5, State: assignment.ShardOwned}
	_, err := entry.Assign("b", 6)
	require.True(t, errors.Is(err, assignment.ErrTransition), "an owned shard must be revoked first")
	revoking, err := entry.Revoke()
	require.NoError(t, err)
	_, err = revoking.Assign("b", 5)
	require.True(t, errors.Is(err, assignment.ErrTransition), "the fencing token must grow")
	_, err = revoking.Revoke()
	require.True(t, errors.Is(err, assignment.ErrTransition))
}

func TestIneligibleServerLosesItsShardsEvenIfNoOtherServerIsLeft(t *testing.T) {
	record := assignment.MakePlan(assignment.Record{}, view(1)).Record
	v := view(1)
	v.Servers["s00"] = assignment.ServerView{Slots: 4}
	require.Equal(t, 32, assignment.MakePlan(record, v).Leaving)
	v.Servers["s00"] = assignment.ServerView{Slots: 4, Eligible: true, Lost: true}
	require.True(t, assignment.MakePlan(record, v).IsEmpty(), "a lost server keeps its shards if no other server can take them")
}

func TestMoverWaitStartsAtFirstAcknowledgement(t *testing.T) {
	const wait = 1500 * time.Millisecond
	start := time.Unix(0, 0)
	mover := assignment.NewMover(wait)
	entry, err := assignment.Entry{Owner: "a", Fence: 5, State: assignment.ShardOwned}.Revoke()
	require.NoError(t, err)
	record := assignment.Record{Shards: []assignment.Entry{entry}}
	require.Empty(t, mover.Lapsed(start.Add(time.Hour), record), "nothing was acknowledged")
	mover.Acknowledge(start, record)
	mover.Acknowledge(start.Add(time.Second), record)
	require.Empty(t, mover.Lapsed(start.Add(wait-1), record))
	require.Contains(t, mover.Lapsed(start.Add(wait), record), "s0")
}

func TestReleaseShortensTheWaitOnlyIfNoOlderGrantOverlaps(t *testing.T) {
	const wait = 1500 * time.Millisecond
	start := time.Unix(0, 0)
	entry := assignment.Entry{Owner: "a", Fence: 5, State: assignment.ShardOwned}
	revoking, err := entry.Revoke()
	require.NoError(t, err)
	before := assignment.Record{Shards: []assignment.Entry{entry}}
	after := assignment.Record{Shards: []assignment.Entry{revoking}}

	newMover := assignment.NewMover(wait)
	newMover.Acknowledge(start, after)
	require.Empty(t, newMover.PendingReleases(start, after), "an older grant may overlap it")

	mover := assignment.NewMover(wait)
	mover.Acknowledge(start, before)
	now := start.Add(wait)
	require.Empty(t, mover.PendingReleases(now, after), "the revocation is not acknowledged")
	mover.Acknowledge(now, after)
	require.Contains(t, mover.PendingReleases(now, after), "a")
	mover.AcknowledgeRelease("s0", 5)
	require.Contains(t, mover.Lapsed(now, after), "s0")
}

// A hot key gets its own entry, moves if the benefit exceeds the cost, and is
// merged into its shard when it is cold. Without load, the plan stays empty.
func TestHotKeyIsSplitMovedAndMerged(t *testing.T) {
	v := view(4)
	record := assignment.MakePlan(assignment.Record{}, v).Record
	v.Balance = assignment.Balance{
		MaxMoves: 4, Start: 1.3, Stop: 1.1, Unavailable: 300 * time.Millisecond,
		Horizon: 30 * time.Second, HotShare: 0.1, MaxHot: 8,
	}
	shard, entry, _ := record.Locate("hot")
	require.True(t, assignment.MakePlan(record, v).IsEmpty(), "no load, no move")

	v.Loads = map[string]float64{shard: 500}
	v.KeyLoads = map[string]float64{"hot": 450}
	plan := assignment.MakePlan(record, v)
	require.Equal(t, 1, plan.Split)
	name, hot, _ := plan.Record.Locate("hot")
	require.Equal(t, assignment.KeyName("hot"), name)
	require.Equal(t, entry.Owner, hot.Owner, "a split changes no owner")
	require.Greater(t, hot.Fence, entry.Fence)
	for _, grant := range plan.Record.Grants(entry.Owner) {
		require.Equal(t, grant.Shard == shard, len(grant.Except) == 1)
	}

	split := plan.Record
	v.KeyLoads = nil
	v.Loads = map[string]float64{shard: 500, name: 0}
	plan = assignment.MakePlan(split, v)
	require.Equal(t, 1, plan.Merged, "a cold key is merged into its shard")
	require.Empty(t, plan.Record.Hot)

	v.Loads = map[string]float64{shard: 300, name: 400}
	plan = assignment.MakePlan(split, v)
	require.Positive(t, plan.Balanced)
	entries := plan.Record.Entries()
	moving := []assignment.ShardState{entries[name].State, entries[shard].State}
	require.Contains(t, moving, assignment.ShardRevoking, "the hot key or its shard moves away")
	require.Contains(t, moving, assignment.ShardOwned, "and the other stays")
}
