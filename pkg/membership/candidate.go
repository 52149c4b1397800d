package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// Reasons for which an instance may not act.
const (
	ReasonNotConfirmed = "notConfirmed"
	ReasonNotRanked    = "notRanked"
	ReasonTransition   = "memberTransition"
)

// Candidate is one instance's own side of the votes: the rounds that it holds
// and the rights that follow from them. It is safe for concurrent use; its lock
// is taken before the voter's.
type Candidate struct {
	voter  *Voter
	timing Timing

	mu        sync.Mutex
	confirmed time.Time
	reached   bool
	reachedAt time.Time
	lapsed    map[string]bool
	// joint is set if the former members confirmed the rights too.
	joint    bool
	revision redwingstall.Revision
	handed   map[string]redwingstall.Revision
}

// NewCandidate returns a candidate without rights.
func NewCandidate(voter *Voter, timing Timing) *Candidate {
	return &Candidate{voter: voter, timing: timing, handed: map[string]redwingstall.Revision{}}
}

// Round collects the votes of one voting round.
type Round struct {
	start    time.Time
	members  MemberRecord
	revision redwingstall.Revision
	votes    map[string]redwingstall.Vote
	answered map[string]bool
}

// Begin starts a round and returns what to ask the other members. The own vote
// is in it already.
func (c *Candidate) Begin(now time.Time, applied redwingstall.Revision) (*Round, redwingstall.Candidacy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members, revision := c.voter.Members()
	candidacy := redwingstall.Candidacy{
		Candidate:          c.voter.Self(),
		MemberRevision:     revision,
		HasReachedMajority: c.reached,
		AppliedConfig:      applied,
	}
	round := &Round{
		start:    now,
		members:  members,
		revision: revision,
		votes:    map[string]redwingstall.Vote{},
		answered: map[string]bool{},
	}
	round.Add(c.voter.Vote(now, candidacy))
	return round, candidacy
}

// Add counts a vote.
func (r *Round) Add(vote redwingstall.Vote) {
	r.votes[vote.Voter] = vote
	r.answered[vote.Voter] = true
}

// Newer returns the voters that know a newer record than those given.
func (r *Round) Newer(known map[string]redwingstall.Revision) []string {
	voters := []string{}
	for voter, vote := range r.votes {
		if isNewer(vote.Revisions, known) {
			voters = append(voters, voter)
		}
	}
	return voters
}

// HasMajority reports whether a majority granted its vote.
func (r *Round) HasMajority() bool {
	granted := map[string]bool{}
	for voter, vote := range r.votes {
		granted[voter] = vote.Granted
	}
	return r.members.IsConfirmed(granted)
}

func isNewer(theirs, known map[string]redwingstall.Revision) bool {
	for name, revision := range theirs {
		if revision > known[name] {
			return true
		}
	}
	return false
}

// Finish ends a round and reports whether it confirmed the instance's rights.
// A vote counts only if by now everything that the voter knew is known here
// too, so that the rights rest on no older record.
func (c *Candidate) Finish(now time.Time, round *Round) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.voter.Revisions()
	c.reached = round.members.IsConfirmed(round.answered)
	if c.reached {
		c.reachedAt = round.start
	}
	granted := map[string]bool{}
	for voter, vote := range round.votes {
		granted[voter] = vote.Granted && !isNewer(vote.Revisions, known)
	}
	if !round.members.IsConfirmed(granted) || known[RecordName] != round.revision {
		return false
	}
	if !round.start.Before(c.confirmed) {
		c.confirmed = round.start
		c.revision = round.revision
		change := c.voter.transition(now)
		former := change.former()
		c.joint = len(former) == 0 || MemberRecord{Current: former}.IsConfirmed(granted)
		c.lapsed = c.findLapsed(now, round, change)
	}
	return true
}

// findLapsed returns the members whose rights have provably lapsed.
func (c *Candidate) findLapsed(now time.Time, round *Round, change transition) map[string]bool {
	lapsed := map[string]bool{}
	for _, member := range slices.Concat(change.members.Current, change.previous) {
		if c.isLapsed(now, round, change, member.ID) {
			lapsed[member.ID] = true
		}
	}
	return lapsed
}

func (c *Candidate) isLapsed(now time.Time, round *Round, change transition, id string) bool {
	if _, gone := change.gone[id]; gone {
		return true
	}
	excluding := map[string]bool{}
	for voter, vote := range round.votes {
		if age, excluded := vote.Excluded[id]; excluded && age >= c.timing.Wait() {
			excluding[voter] = true
		}
	}
	for gone, since := range change.gone {
		// What an ended process voted for may hold for a lifetime yet.
		if now.Sub(since) >= c.timing.Wait() {
			excluding[gone] = true
		}
	}
	sets := MemberRecord{Current: change.members.Current, Previous: change.previous}
	return sets.IsBlocked(excluding)
}

// Confirmed returns the start of the last round that confirmed the rights.
func (c *Candidate) Confirmed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// IsConfirmed reports whether the instance may act at all.
func (c *Candidate) IsConfirmed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isConfirmed(now)
}

func (c *Candidate) isConfirmed(now time.Time) bool {
	return !c.confirmed.IsZero() && now.Sub(c.confirmed) < c.timing.Lifetime
}

// TakeOver notes that the former home instance gave jobs up under the member
// revision. It is refused unless the rights are confirmed under that revision,
// by a majority of the former members too: only then can no third member still
// win a majority under the former one.
func (c *Candidate) TakeOver(now time.Time, jobs []string, revision redwingstall.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isConfirmed(now) || c.revision != revision || !c.joint {
		return false
	}
	for _, job := range jobs {
		c.handed[job] = revision
	}
	return true
}

// isHanded reports whether a job was given up under the present members.
func (c *Candidate) isHanded(job string, change transition) bool {
	revision, handed := c.handed[job]
	if !handed {
		return false
	}
	return revision == change.revision || change.members.Settled() && change.members.Base == revision
}

// IsFresh reports whether a majority answered within the last lifetime, so
// that the instance knows everything in force.
func (c *Candidate) IsFresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reachedAt.IsZero() && now.Sub(c.reachedAt) < c.timing.Lifetime
}

// MayAct reports whether the instance alone may do a job now, and else why not.
// Until a change of members has run its course, only who was first before it
// may go on, confirmed by majorities of the members before and after. (Joint
// majorities as in Ongaro, Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014, section 6.)
func (c *Candidate) MayAct(now time.Time, job, failureDomain string) (may bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.voter.transition(now)
	switch {
	case !c.isConfirmed(now) || change.revision != c.revision:
		return false, ReasonNotConfirmed
	case !c.isFirst(change.members.Current, job, failureDomain):
		return false, ReasonNotRanked
	case change.quiet || c.isHanded(job, change):
		return true, ""
	case change.gradual && c.joint && c.isFirst(change.previous, job, failureDomain):
		return true, ""
	}
	return false, ReasonTransition
}

// isFirst reports whether all members ranked above this one have lapsed.
func (c *Candidate) isFirst(members []Member, job, failureDomain string) bool {
	for _, member := range Rank(members, job, failureDomain) {
		if member.ID == c.voter.Self() {
			return true
		}
		if !c.lapsed[member.ID] {
			return false
		}
	}
	return false
}

// Home returns the member that most likely does the job now: the first that
// this instance does not exclude. It is a hint; the member itself decides.
func (v *Voter) Home(job, failureDomain string) (Member, bool) {
	members, _ := v.Members()
	for _, member := range Rank(members.Current, job, failureDomain) {
		if !v.IsExcluded(member.ID) {
			return member, true
		}
	}
	return Member{}, false
}

// IsQuiet reports whether the last member change has run its course.
func (v *Voter) IsQuiet(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isQuiet(now)
}
