package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// tendMembers joins the member record and, where this instance comes first,
// settles its changes and removes members that are silent for long.
func (c *Coordinator) tendMembers(ctx context.Context) {
	members, revision := c.parts.Voter.Members()
	switch {
	case c.isLeaving() && !members.Has(c.common.Self.ID):
		return
	case !members.Has(c.common.Self.ID):
		c.join(ctx)
	case !c.isTender():
		return
	case !members.IsSettled():
		c.settle(ctx, members, revision)
	case c.parts.Voter.IsChangeComplete(c.now()):
		c.removeSilent(ctx, members, revision)
	}
}

func (c *Coordinator) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

func (c *Coordinator) isTender() bool {
	tender, found := c.parts.Voter.Home("members", "")
	return found && tender.ID == c.common.Self.ID
}

// join adds this process to the member record, once the last change of it is
// known to a blocking set.
func (c *Coordinator) join(ctx context.Context) {
	if err := c.Sync(ctx); err != nil {
		c.bootFromPeers(ctx)
		return
	}
	members, revision := c.parts.Voter.Members()
	if members.Has(c.common.Self.ID) {
		return
	}
	ended := members.Predecessors(c.common.Self)
	switch {
	case !members.IsSettled() && len(ended) > 0:
		// Where many start anew at once, the change waits for processes that have
		// ended; each one tells of its predecessor.
		c.publishMembers(ctx, members.WithGone(revision, ended...), revision, "gone")
		return
	case !members.IsSettled():
		// Its tender may have ended; a settled record is written by whoever can.
		c.settle(ctx, members, revision)
		return
	}
	c.publishMembers(ctx, members.With(c.common.Self, revision), revision, "joined")
}

// publishMembers writes the member record, and takes it over with everything
// that was written before it.
func (c *Coordinator) publishMembers(ctx context.Context, next membership.MemberRecord, old redwingstall.Revision, reason string) bool {
	value, err := next.Encode()
	if err != nil {
		c.common.Log.Error("member record", "error", err)
		return false
	}
	_, err = c.parts.Store.CompareAndSwap(ctx, membership.RecordName, old, value)
	c.noteStore(err)
	switch {
	case errors.Is(err, redwingstall.ErrConflict):
		c.common.Count("members.conflict")
	case err != nil:
		c.common.Count("members.unavailable")
	default:
		c.common.Count("members." + reason)
	}
	// Even after an error the record may be new.
	return c.Sync(ctx) == nil && err == nil
}

// settle writes that only the current members count, once a blocking set of
// both the former and the current ones knows the change.
func (c *Coordinator) settle(ctx context.Context, members membership.MemberRecord, revision redwingstall.Revision) {
	if !c.ReplicateRecord(ctx, membership.RecordName, revision) {
		c.common.Count("members.unsettled")
		return
	}
	c.publishMembers(ctx, members.Settle(revision), revision, "settled")
}

// removeSilent takes members out that every majority has excluded for long.
func (c *Coordinator) removeSilent(ctx context.Context, members membership.MemberRecord, revision redwingstall.Revision) {
	silent := c.parts.Voter.ExcludedFor(c.now(), c.common.Settings.Timing.RemoveAfter)
	if len(silent) == 0 {
		return
	}
	next := members.Without(revision, silent...)
	// A change that could not be settled would stop all later ones.
	if !next.HasBlockingSet(c.push(ctx, next, membership.RecordName, revision)) {
		c.common.Count("members.tooFew")
		return
	}
	c.publishMembers(ctx, next, revision, "removed")
}

// Leave takes this process out of the member record and gives its pools up.
// It tries until the context ends.
func (c *Coordinator) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.announce(ctx, redwingstall.InstanceLeaving)
	for ctx.Err() == nil {
		members, revision := c.parts.Voter.Members()
		if !members.Has(c.common.Self.ID) || len(members.Current) == 1 {
			return
		}
		if members.IsSettled() && c.parts.Voter.IsChangeComplete(c.now()) {
			c.publishMembers(ctx, members.Without(revision, c.common.Self.ID), revision, "left")
			continue
		}
		pause(ctx, membersEvery)
	}
}

// LeaveAsLastMember empties the member record when its only member ends, so that the
// next one need not wait for a process that is gone.
func (c *Coordinator) LeaveAsLastMember(ctx context.Context) {
	members, revision := c.parts.Voter.Members()
	if len(members.Current) == 1 && members.Has(c.common.Self.ID) && members.IsSettled() {
		c.publishMembers(ctx, membership.MemberRecord{Base: revision}, revision, "dissolved")
	}
}

// handOver offers the pools whose home is now another member to that member,
// for as long as the right to them lasts.
func (c *Coordinator) handOver(members membership.MemberRecord, revision redwingstall.Revision) {
	deadline := c.parts.Candidate.Confirmed().Add(c.common.Settings.Timing.GrantLifetime)
	offers := c.parts.Pools.StopReassignedPools(c.now(), func(job, failureDomain string) string {
		ranked := membership.Rank(members.Current, job, failureDomain)
		for _, member := range ranked {
			if !c.parts.Voter.IsExcluded(member.ID) {
				return member.ID
			}
		}
		return ""
	})
	for id, offer := range offers {
		member, _ := members.Member(id)
		offer.MemberRevision = revision
		c.offer(member, offer, deadline)
	}
}

const offerPause = 50 * time.Millisecond

func (c *Coordinator) offer(to membership.Member, offer redwingstall.HandOver, deadline time.Time) {
	for c.now().Before(deadline) {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		accepted, err := c.parts.Peers.ClientFor(to.Peer).HandOver(ctx, offer)
		pause(ctx, offerPause)
		cancel()
		if err == nil && accepted {
			c.common.Count("handOvers.accepted")
			return
		}
	}
	c.common.Count("handOvers.lapsed")
}

// bootFromPeers learns from the peers in the platform's live list while the
// store is out. This instance cannot join, but it can pass requests on.
func (c *Coordinator) bootFromPeers(ctx context.Context) {
	rows, err := c.parts.LiveList.Instances(ctx)
	if err != nil {
		return
	}
	for _, row := range rows {
		if row.Peer == "" || row.Peer == c.common.Self.Peer {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, learnTimeout)
		records, err := c.parts.Peers.ClientFor(row.Peer).Fetch(bounded)
		cancel()
		if err == nil {
			c.learn(records, true)
		}
	}
}

// readLiveList takes in which backend servers the platform says are leaving,
// and keeps this instance's own row.
func (c *Coordinator) readLiveList(ctx context.Context) {
	state := redwingstall.InstanceLive
	if c.isLeaving() {
		state = redwingstall.InstanceLeaving
	}
	c.announce(ctx, state)
	rows, err := c.parts.LiveList.Instances(ctx)
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
	c.parts.View.SetLeavingServers(leaving)
}

func (c *Coordinator) announce(ctx context.Context, state redwingstall.InstanceState) {
	err := c.parts.LiveList.Announce(ctx, redwingstall.ListedInstance{
		Name:  c.common.Self.Name,
		Boot:  c.common.Self.ID,
		Peer:  c.common.Self.Peer,
		State: state,
	})
	if err != nil {
		c.common.Count("liveList.failed")
	}
}

// MarkMemberTerminated takes an operator's word that the process of a former member has
// ended, so that changes need not wait for it. A false word would let two
// instances act at once for as long as the process lives on cut off.
func (c *Coordinator) MarkMemberTerminated(ctx context.Context, id string) (redwingstall.Revision, error) {
	if err := c.Sync(ctx); err != nil {
		return 0, err
	}
	members, revision := c.parts.Voter.Members()
	value, err := members.WithGone(revision, id).Encode()
	if err != nil {
		return 0, err
	}
	next, err := c.parts.Store.CompareAndSwap(ctx, membership.RecordName, revision, value)
	if err != nil {
		return 0, err
	}
	return next, c.Sync(ctx)
}
