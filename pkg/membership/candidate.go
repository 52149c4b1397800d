package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// The reasons why an instance may not act.
const (
	ReasonNotConfirmed = "notConfirmed"
	ReasonNotRanked    = "notRanked"
	ReasonTransition   = "memberTransition"
)

// Candidate runs one instance's voting rounds and derives the instance's rights
// from them. It is safe for concurrent use. Its lock is acquired before the
// voter's.
type Candidate struct {
	voter  *Voter
	timing Timing

	mu          sync.Mutex
	confirmedAt time.Time
	isReached   bool
	reachedAt   time.Time
	expired     map[string]bool
	// isJoint is set if a majority of the previous members confirmed the rights too.
	isJoint    bool
	revision   redwingstall.Revision
	handedOver map[string]redwingstall.Revision
}

// NewCandidate returns a candidate that has no rights yet.
func NewCandidate(voter *Voter, timing Timing) *Candidate {
	return &Candidate{voter: voter, timing: timing, handedOver: map[string]redwingstall.Revision{}}
}

// Round collects the votes of one voting round.
type Round struct {
	start    time.Time
	members  MemberRecord
	revision redwingstall.Revision
	votes    map[string]redwingstall.Vote
	answered map[string]bool
}

// Begin starts a round and returns the vote request for the other members. The
// round already includes the instance's own vote.
func (c *Candidate) Begin(now time.Time, applied redwingstall.Revision) (*Round, redwingstall.Candidacy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members, revision := c.voter.Members()
	candidacy := redwingstall.Candidacy{
		Candidate:          c.voter.Self(),
		MemberRevision:     revision,
		HasReachedMajority: c.isReached,
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

// Add records a vote.
func (r *Round) Add(vote redwingstall.Vote) {
	r.votes[vote.Voter] = vote
	r.answered[vote.Voter] = true
}

// Newer returns the voters that know a newer revision of any record than known has.
func (r *Round) Newer(known map[string]redwingstall.Revision) []string {
	voters := []string{}
	for voter, vote := range r.votes {
		if isNewer(vote.Revisions, known) {
			voters = append(voters, voter)
		}
	}
	return voters
}

// HasMajority reports whether a majority of the members granted its vote.
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

// Finish ends a round and reports whether it confirmed the instance's rights. A
// vote counts only if this instance knows every revision that the voter knew, so
// that the rights are not based on an outdated record.
func (c *Candidate) Finish(now time.Time, round *Round) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.voter.Revisions()
	c.isReached = round.members.IsConfirmed(round.answered)
	if c.isReached {
		c.reachedAt = round.start
	}
	granted := map[string]bool{}
	for voter, vote := range round.votes {
		granted[voter] = vote.Granted && !isNewer(vote.Revisions, known)
	}
	if !round.members.IsConfirmed(granted) || known[RecordName] != round.revision {
		return false
	}
	if !round.start.Before(c.confirmedAt) {
		c.confirmedAt = round.start
		c.revision = round.revision
		change := c.voter.currentTransition(now)
		former := change.former()
		c.isJoint = len(former) == 0 || MemberRecord{Current: former}.IsConfirmed(granted)
		c.expired = c.findExpired(now, round, change)
	}
	return true
}

// findExpired returns the members whose rights have certainly expired.
func (c *Candidate) findExpired(now time.Time, round *Round, change transition) map[string]bool {
	expired := map[string]bool{}
	for _, member := range slices.Concat(change.members.Current, change.previous) {
		if c.isExpired(now, round, change, member.ID) {
			expired[member.ID] = true
		}
	}
	return expired
}

func (c *Candidate) isExpired(now time.Time, round *Round, change transition, id string) bool {
	if _, hasEnded := change.endedAt[id]; hasEnded {
		return true
	}
	excluding := map[string]bool{}
	for voter, vote := range round.votes {
		if age, excluded := vote.Excluded[id]; excluded && age >= c.timing.Wait() {
			excluding[voter] = true
		}
	}
	for endedID, since := range change.endedAt {
		// A right that an ended process voted for may last for another lifetime.
		if now.Sub(since) >= c.timing.Wait() {
			excluding[endedID] = true
		}
	}
	sets := MemberRecord{Current: change.members.Current, Previous: change.previous}
	return sets.HasBlockingSet(excluding)
}

// Confirmed returns the start time of the last round that confirmed the rights.
func (c *Candidate) Confirmed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// IsConfirmed reports whether the instance's rights are confirmed and unexpired.
func (c *Candidate) IsConfirmed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isConfirmed(now)
}

func (c *Candidate) isConfirmed(now time.Time) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) < c.timing.Lifetime
}

// TakeOver records that the former home instance handed over jobs under the given
// member revision, and reports whether it accepted them. The rights must be
// confirmed under that revision, by a majority of the previous members too. Only
// then can no third member win a majority under the previous revision.
func (c *Candidate) TakeOver(now time.Time, jobs []string, revision redwingstall.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isConfirmed(now) || c.revision != revision || !c.isJoint {
		return false
	}
	for _, job := range jobs {
		c.handedOver[job] = revision
	}
	return true
}

// isHandedOver reports whether a job was handed over under the current members.
func (c *Candidate) isHandedOver(job string, change transition) bool {
	revision, isRecorded := c.handedOver[job]
	if !isRecorded {
		return false
	}
	return revision == change.revision || change.members.IsSettled() && change.members.Base == revision
}

// IsFresh reports whether a majority answered within the last lifetime, so that
// the instance knows every record in force.
func (c *Candidate) IsFresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reachedAt.IsZero() && now.Sub(c.reachedAt) < c.timing.Lifetime
}

// MayAct reports whether the instance has the exclusive right to a job at time
// now, and if not, the reason. While a member change is in progress, only the
// instance that ranked first before the change may continue, and only if
// majorities of the members before and after it confirmed the rights. (Joint
// majorities as in Ongaro, Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014, section 6.)
func (c *Candidate) MayAct(now time.Time, job, failureDomain string) (may bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.voter.currentTransition(now)
	switch {
	case !c.isConfirmed(now) || change.revision != c.revision:
		return false, ReasonNotConfirmed
	case !c.isHighestRanked(change.members.Current, job, failureDomain):
		return false, ReasonNotRanked
	case change.isQuiet || c.isHandedOver(job, change):
		return true, ""
	case change.isContinuous && c.isJoint && c.isHighestRanked(change.previous, job, failureDomain):
		return true, ""
	}
	return false, ReasonTransition
}

// isHighestRanked reports whether the rights of all members ranked above this one
// have expired.
func (c *Candidate) isHighestRanked(members []Member, job, failureDomain string) bool {
	for _, member := range Rank(members, job, failureDomain) {
		if member.ID == c.voter.Self() {
			return true
		}
		if !c.expired[member.ID] {
			return false
		}
	}
	return false
}

// Home returns the member that most likely has the right to a job: the highest
// ranked one that this voter does not exclude. The result is a hint; the member
// itself decides whether it may act.
func (v *Voter) Home(job, failureDomain string) (Member, bool) {
	members, _ := v.Members()
	for _, member := range Rank(members.Current, job, failureDomain) {
		if !v.IsExcluded(member.ID) {
			return member, true
		}
	}
	return Member{}, false
}

// IsChangeComplete reports whether the last member change is complete, so that no right
// from an older member record is left.
func (v *Voter) IsChangeComplete(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isQuiet(now)
}
