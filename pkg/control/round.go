package control

import (
	"context"
	"slices"
	"sync"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

// round holds one voting round.
func (c *Coordinator) round(ctx context.Context) {
	now := c.now()
	c.parts.Voter.Tick(now)
	members, revision := c.parts.Voter.Members()
	if revision == 0 {
		return
	}
	round, candidacy := c.parts.Candidate.Begin(now, c.parts.View.Snapshot().Revision)
	bounded, cancel := context.WithTimeout(ctx, c.common.Settings.Timing.ConfirmEvery)
	defer cancel()
	for vote := range c.collect(bounded, members, candidacy) {
		round.Add(vote)
		if !round.HasMajority() {
			continue
		}
		c.catchUp(bounded, round, members)
		c.parts.Candidate.Finish(c.now(), round)
	}
	c.catchUp(ctx, round, members)
	c.noteConfirmed(c.parts.Candidate.Finish(c.now(), round))
}

func (c *Coordinator) noteConfirmed(confirmed bool) {
	c.mu.Lock()
	changed := confirmed != c.lastConfirm
	c.lastConfirm = confirmed
	c.mu.Unlock()
	if !confirmed {
		c.common.Count("rounds.failed")
	}
	if changed {
		c.common.Log.Info("voting rounds", "confirmed", confirmed)
	}
}

// collect asks every other member and passes the votes on as they come.
func (c *Coordinator) collect(ctx context.Context, members membership.MemberRecord, candidacy redwingstall.Candidacy) <-chan redwingstall.Vote {
	votes := make(chan redwingstall.Vote, len(members.Current))
	asking := sync.WaitGroup{}
	for _, member := range members.Current {
		if member.ID == c.common.Self.ID {
			continue
		}
		asking.Go(func() {
			vote, err := c.parts.Peers.ClientFor(member.Peer).Confirm(ctx, candidacy)
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
		asking.Wait()
		close(votes)
	}()
	return votes
}

// catchUp fetches the records of voters that know more.
func (c *Coordinator) catchUp(ctx context.Context, round *membership.Round, members membership.MemberRecord) {
	newer := round.Newer(c.parts.Voter.Revisions())
	slices.Sort(newer)
	for _, voter := range newer {
		if len(round.Newer(c.parts.Voter.Revisions())) == 0 {
			return
		}
		member, found := members.Member(voter)
		if !found || voter == c.common.Self.ID {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, learnTimeout)
		records, err := c.parts.Peers.ClientFor(member.Peer).Fetch(bounded)
		cancel()
		if err == nil {
			c.learn(records, true)
		}
	}
}
