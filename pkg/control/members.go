package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// maintainMembers adds this instance to the member record. If this instance ranks
// first for the job of maintaining the record, it also completes member changes
// and removes members that have been unresponsive for too long.
func (c *Coordinator) maintainMembers(ctx context.Context) {
	members, revision := c.config.Voter.Members()
	switch {
	case c.isLeaving() && !members.Has(c.common.Self.ID):
		return
	case !members.Has(c.common.Self.ID):
		c.join(ctx)
	case !c.isMemberMaintainer():
		return
	case !members.IsSettled():
		c.completeMemberChange(ctx, members, revision)
	case c.config.Voter.IsChangeComplete(c.now()):
		c.removeUnresponsive(ctx, members, revision)
	}
}

func (c *Coordinator) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// isMemberMaintainer reports whether this instance ranks first for maintaining the
// member record.
func (c *Coordinator) isMemberMaintainer() bool {
	maintainer, found := c.config.Voter.Home("members", "")
	return found && maintainer.ID == c.common.Self.ID
}

// join adds this process to the member record. It first completes a pending
// member change, whose record must be known to a blocking set of members. While
// the store is unavailable it reads the records from peers instead.
func (c *Coordinator) join(ctx context.Context) {
	if err := c.Sync(ctx); err != nil {
		c.fetchFromPeers(ctx)
		return
	}
	members, revision := c.config.Voter.Members()
	if members.Has(c.common.Self.ID) {
		return
	}
	terminated := members.Predecessors(c.common.Self)
	switch {
	case !members.IsSettled() && len(terminated) > 0:
		// After many restarts at once, the pending change waits for processes that
		// have terminated. Each new process marks its predecessor as terminated.
		c.writeMembers(ctx, members.WithGone(revision, terminated...), revision, "gone")
		return
	case !members.IsSettled():
		// The maintainer of the record may have terminated, so any instance may
		// complete the change.
		c.completeMemberChange(ctx, members, revision)
		return
	}
	c.writeMembers(ctx, members.With(c.common.Self, revision), revision, "joined")
}

// writeMembers writes the member record by compare-and-swap. It then reads all
// control records, so that everything written before the member record is applied
// with it. The reason names the counter of a success.
func (c *Coordinator) writeMembers(ctx context.Context, next membership.MemberRecord, oldRevision redwingstall.Revision, reason string) bool {
	value, err := next.Encode()
	if err != nil {
		c.common.Log.Error("encoding the member record failed", "error", err)
		return false
	}
	_, err = c.config.Store.CompareAndSwap(ctx, membership.RecordName, oldRevision, value)
	c.recordStoreResult(err)
	switch {
	case errors.Is(err, redwingstall.ErrConflict):
		c.common.Count("members.conflict")
	case err != nil:
		c.common.Count("members.unavailable")
	default:
		c.common.Count("members." + reason)
	}
	// The write may have succeeded despite the error.
	return c.Sync(ctx) == nil && err == nil
}

// completeMemberChange writes a member record in which only the current members
// count. It does so once a blocking set of both the previous and the current
// members knows the change.
func (c *Coordinator) completeMemberChange(ctx context.Context, members membership.MemberRecord, revision redwingstall.Revision) {
	if !c.ReplicateRecord(ctx, membership.RecordName, revision) {
		c.common.Count("members.unsettled")
		return
	}
	c.writeMembers(ctx, members.Settle(revision), revision, "settled")
}

// removeUnresponsive removes the members that this instance has excluded for at
// least RemoveAfter, provided that a blocking set of the others answers.
func (c *Coordinator) removeUnresponsive(ctx context.Context, members membership.MemberRecord, revision redwingstall.Revision) {
	unresponsive := c.config.Voter.ExcludedFor(c.now(), c.common.Settings.Timing.RemoveAfter)
	if len(unresponsive) == 0 {
		return
	}
	next := members.Without(revision, unresponsive...)
	// A change that cannot be completed would block all later changes.
	if !next.HasBlockingSet(c.pushRecords(ctx, next, membership.RecordName, revision)) {
		c.common.Count("members.tooFew")
		return
	}
	c.writeMembers(ctx, next, revision, "removed")
}

// Leave removes this process from the member record, which also hands over its
// pools. It retries until the context ends. The last member stays; see
// [Coordinator.LeaveAsLastMember].
func (c *Coordinator) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.announce(ctx, redwingstall.InstanceLeaving)
	for ctx.Err() == nil {
		members, revision := c.config.Voter.Members()
		if !members.Has(c.common.Self.ID) || len(members.Current) == 1 {
			return
		}
		if members.IsSettled() && c.config.Voter.IsChangeComplete(c.now()) {
			c.writeMembers(ctx, members.Without(revision, c.common.Self.ID), revision, "left")
			continue
		}
		sleep(ctx, memberInterval)
	}
}

// LeaveAsLastMember empties the member record if this process is its only member,
// so that the next member need not wait for a terminated process.
func (c *Coordinator) LeaveAsLastMember(ctx context.Context) {
	members, revision := c.config.Voter.Members()
	if len(members.Current) == 1 && members.Has(c.common.Self.ID) && members.IsSettled() {
		c.writeMembers(ctx, membership.MemberRecord{Base: revision}, revision, "dissolved")
	}
}

// handOverPools stops the pools whose home instance is another member under the
// given record, and offers them to that member until the pool leases expire.
func (c *Coordinator) handOverPools(members membership.MemberRecord, revision redwingstall.Revision) {
	deadline := c.config.Candidate.Confirmed().Add(c.common.Settings.Timing.GrantLifetime)
	offers := c.config.Pools.StopReassignedPools(c.now(), func(job, failureDomain string) string {
		ranked := membership.Rank(members.Current, job, failureDomain)
		for _, member := range ranked {
			if !c.config.Voter.IsExcluded(member.ID) {
				return member.ID
			}
		}
		return ""
	})
	for id, offer := range offers {
		member, _ := members.Member(id)
		offer.MemberRevision = revision
		c.sendOffer(member, offer, deadline)
	}
}

// offerRetryDelay is the time between two hand-over calls to the same member.
const offerRetryDelay = 50 * time.Millisecond

// sendOffer repeats a hand-over offer until the member accepts it or the deadline
// passes.
func (c *Coordinator) sendOffer(to membership.Member, offer redwingstall.HandOver, deadline time.Time) {
	for c.now().Before(deadline) {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		accepted, err := c.config.Peers.ClientFor(to.Peer).HandOver(ctx, offer)
		sleep(ctx, offerRetryDelay)
		cancel()
		if err == nil && accepted {
			c.common.Count("handOvers.accepted")
			return
		}
	}
	c.common.Count("handOvers.lapsed")
}

// fetchFromPeers fetches the control records from the peers in the platform's live
// list while the store is unavailable. This instance then cannot join the members,
// but it can forward requests.
func (c *Coordinator) fetchFromPeers(ctx context.Context) {
	rows, err := c.config.LiveList.Instances(ctx)
	if err != nil {
		return
	}
	for _, row := range rows {
		if row.Peer == "" || row.Peer == c.common.Self.Peer {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		records, err := c.config.Peers.ClientFor(row.Peer).Fetch(fetchCtx)
		cancel()
		if err == nil {
			c.applyRecords(records, true)
		}
	}
}

// syncLiveList writes this instance's row to the platform's live list, and reads
// which backend servers are leaving.
func (c *Coordinator) syncLiveList(ctx context.Context) {
	state := redwingstall.InstanceLive
	if c.isLeaving() {
		state = redwingstall.InstanceLeaving
	}
	c.announce(ctx, state)
	rows, err := c.config.LiveList.Instances(ctx)
	if err != nil {
		c.common.Count("liveList.failed")
		return
	}
	leaving := map[string]bool{}
	for _, row := range rows {
		if row.State == redwingstall.InstanceLeaving {
			leaving[row.Name] = true
		}
	}
	c.config.View.SetLeavingServers(leaving)
}

// announce writes this instance's row to the platform's live list.
func (c *Coordinator) announce(ctx context.Context, state redwingstall.InstanceState) {
	err := c.config.LiveList.Announce(ctx, redwingstall.ListedInstance{
		Name:  c.common.Self.Name,
		Boot:  c.common.Self.ID,
		Peer:  c.common.Self.Peer,
		State: state,
	})
	if err != nil {
		c.common.Count("liveList.failed")
	}
}

// MarkMemberTerminated records an operator's statement that the process of a
// member has terminated, so that member changes need not wait for it. If the
// process is in fact still running behind a network partition, two instances may
// act in the same role, such as the home of a pool, for as long as that process
// runs. The method returns the new revision of the member record.
func (c *Coordinator) MarkMemberTerminated(ctx context.Context, id string) (redwingstall.Revision, error) {
	if err := c.Sync(ctx); err != nil {
		return 0, err
	}
	members, revision := c.config.Voter.Members()
	value, err := members.WithGone(revision, id).Encode()
	if err != nil {
		return 0, err
	}
	next, err := c.config.Store.CompareAndSwap(ctx, membership.RecordName, revision, value)
	if err != nil {
		return 0, err
	}
	return next, c.Sync(ctx)
}
