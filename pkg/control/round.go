package control

import (
	"context"
	"slices"
	"sync"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// runVotingRound asks the other members for their votes. It confirms the leases of
// this instance as soon as a majority has granted its vote, and again with the
// votes that arrive later.
func (c *Coordinator) runVotingRound(ctx context.Context) {
	now := c.now()
	c.config.Voter.Tick(now)
	members, revision := c.config.Voter.Members()
	if revision == 0 {
		return
	}
	round, candidacy := c.config.Candidate.Begin(now, c.config.View.Snapshot().Revision)
	roundCtx, cancel := context.WithTimeout(ctx, c.common.Settings.Timing.ConfirmEvery)
	defer cancel()
	for vote := range c.collectVotes(roundCtx, members, candidacy) {
		round.Add(vote)
		if !round.HasMajority() {
			continue
		}
		c.fetchNewerRecords(roundCtx, round, members)
		c.config.Candidate.Finish(c.now(), round)
	}
	c.fetchNewerRecords(ctx, round, members)
	c.recordRoundResult(c.config.Candidate.Finish(c.now(), round))
}

// recordRoundResult counts a failed round, and logs when the result differs from
// that of the previous round.
func (c *Coordinator) recordRoundResult(confirmed bool) {
	c.mu.Lock()
	changed := confirmed != c.lastRoundConfirmed
	c.lastRoundConfirmed = confirmed
	c.mu.Unlock()
	if !confirmed {
		c.common.Count("rounds.failed")
	}
	if changed {
		c.common.Log.Info("voting round result changed", "confirmed", confirmed)
	}
}

// collectVotes asks all other members for their vote. It sends the votes to the
// channel as they arrive and closes it after the last one.
func (c *Coordinator) collectVotes(ctx context.Context, members membership.MemberRecord, candidacy redwingstall.Candidacy) <-chan redwingstall.Vote {
	votes := make(chan redwingstall.Vote, len(members.Current))
	requests := sync.WaitGroup{}
	for _, member := range members.Current {
		if member.ID == c.common.Self.ID {
			continue
		}
		requests.Go(func() {
			vote, err := c.config.Peers.ClientFor(member.Peer).Confirm(ctx, candidacy)
			if err != nil {
				c.common.Count("votes.missed")
				return
			}
			if vote.Voter != member.ID {
				c.common.Count("votes.otherProcess")
				return
			}
			votes <- vote
		})
	}
	go func() {
		requests.Wait()
		close(votes)
	}()
	return votes
}

// fetchNewerRecords fetches the records of voters that know newer revisions, until
// this instance knows them all.
func (c *Coordinator) fetchNewerRecords(ctx context.Context, round *membership.Round, members membership.MemberRecord) {
	newer := round.Newer(c.config.Voter.Revisions())
	slices.Sort(newer)
	for _, voter := range newer {
		if len(round.Newer(c.config.Voter.Revisions())) == 0 {
			return
		}
		member, found := members.Member(voter)
		if !found || voter == c.common.Self.ID {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		records, err := c.config.Peers.ClientFor(member.Peer).Fetch(fetchCtx)
		cancel()
		if err == nil {
			c.applyRecords(records, true)
		}
	}
}
