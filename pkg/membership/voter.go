package membership

import (
	"maps"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// Reasons for which a vote is refused.
const (
	RefusalNotMember  = "notMember"
	RefusalNewer      = "newerMembers"
	RefusalExcluded   = "excluded"
	RefusalReturning  = "returning"
	RefusalNotAdopted = "notAdopted"
)

// Voter is one instance's side of the votes: the records that it knows, which
// it never forgets while its process runs, and the members that it excludes.
// It is safe for concurrent use.
type Voter struct {
	timing Timing
	self   string

	mu       sync.Mutex
	records  map[string]redwingstall.Record
	members  MemberRecord
	revision redwingstall.Revision
	// adopted holds when the present member record was taken over, and settled
	// when the voter first knew it as settled.
	adopted  time.Time
	settled  time.Time
	gradual  bool
	previous []Member
	gone     map[string]time.Time
	lives    map[string]*memberLife
	lastTick time.Time
}

// NewVoter returns a voter that knows nothing and votes for no other member.
func NewVoter(self string, timing Timing) *Voter {
	return &Voter{
		timing:  timing,
		self:    self,
		records: map[string]redwingstall.Record{},
		gone:    map[string]time.Time{},
		lives:   map[string]*memberLife{},
	}
}

// Self returns the voter's own member id.
func (v *Voter) Self() string { return v.self }

// Learn takes over records that are newer than the known ones and returns
// their names. A member record is taken over only from a complete set: whoever
// votes under it must know every change that was made before it.
func (v *Voter) Learn(now time.Time, records []redwingstall.Record, complete bool) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := []string{}
	for _, record := range records {
		if record.Revision <= v.records[record.Name].Revision {
			continue
		}
		if record.Name == RecordName && !v.adopt(now, record, complete) {
			continue
		}
		v.records[record.Name] = record
		changed = append(changed, record.Name)
	}
	return changed
}

// adopt takes over a member record.
func (v *Voter) adopt(now time.Time, record redwingstall.Record, complete bool) bool {
	next, err := DecodeRecord(record.Value)
	if err != nil || !complete {
		return false
	}
	v.noteContinuity(now, next)
	v.members = next
	v.revision = record.Revision
	v.adopted = now
	for _, id := range next.Gone {
		if _, known := v.gone[id]; !known {
			v.gone[id] = now
		}
	}
	v.refreshLives(now)
	return true
}

// noteContinuity remembers which members could act before the change. A chain
// of known changes that began in quiet lets those go on that may act under
// both the former and the present members; after a gap everyone waits.
func (v *Voter) noteContinuity(now time.Time, next MemberRecord) {
	isNext := v.revision != 0 && next.Base == v.revision
	switch {
	case isNext && v.isQuiet(now):
		v.gradual = true
		v.previous = v.members.Current
	case isNext && next.Settled():
		// The members are those that the unsettled change brought.
	default:
		v.gradual = false
		v.previous = nil
	}
	v.settled = time.Time{}
	if next.Settled() {
		v.settled = now
	}
}

// isQuiet reports whether nobody can still act under an older record.
func (v *Voter) isQuiet(now time.Time) bool {
	return !v.settled.IsZero() && now.Sub(v.settled) >= v.timing.Wait()
}

// refreshLives keeps a life for each other member. A member that left gets no
// vote any more, which the others need to know until they may take over.
func (v *Voter) refreshLives(now time.Time) {
	next := map[string]*memberLife{}
	for _, member := range v.members.Current {
		v.keepLife(next, member.ID, now)
	}
	for _, member := range v.previous {
		if v.members.Has(member.ID) {
			continue
		}
		v.keepLife(next, member.ID, now)
		if life := next[member.ID]; life != nil {
			life.fire(triggerSilence, now)
			life.lastHealthy = now.Add(-v.timing.ExcludeAfter)
		}
	}
	v.lives = next
}

func (v *Voter) keepLife(next map[string]*memberLife, id string, now time.Time) {
	if id == v.self {
		return
	}
	next[id] = v.lives[id]
	if next[id] == nil {
		next[id] = newMemberLife(now)
	}
}

// Tick excludes members that were silent for too long. After a pause of its
// own the voter gives everyone the whole time again.
func (v *Voter) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	paused := !v.lastTick.IsZero() && now.Sub(v.lastTick) > v.timing.ExcludeAfter/2
	v.lastTick = now
	for _, life := range v.lives {
		if paused && life.state != MemberExcluded {
			life.lastHealthy = now
		}
		v.advance(life, now)
	}
}

func (v *Voter) advance(life *memberLife, now time.Time) {
	if now.Sub(life.lastHealthy) >= v.timing.ExcludeAfter {
		life.fire(triggerSilence, now)
	}
	if life.state == MemberReturning && now.Sub(life.since) >= v.timing.Wait() {
		life.fire(triggerLapse, now)
	}
}

// Vote answers a candidate.
func (v *Voter) Vote(now time.Time, candidacy redwingstall.Candidacy) redwingstall.Vote {
	v.mu.Lock()
	defer v.mu.Unlock()
	refusal := v.judge(now, candidacy)
	return redwingstall.Vote{
		Voter:     v.self,
		Granted:   refusal == "",
		Refusal:   refusal,
		Revisions: v.revisions(),
		Excluded:  v.exclusions(now),
	}
}

func (v *Voter) judge(now time.Time, candidacy redwingstall.Candidacy) string {
	switch {
	case v.revision == 0:
		return RefusalNotAdopted
	case candidacy.MemberRevision < v.revision:
		return RefusalNewer
	case candidacy.MemberRevision > v.revision:
		return RefusalNotAdopted
	case !v.members.Has(candidacy.Candidate):
		return RefusalNotMember
	case candidacy.Candidate == v.self:
		return ""
	}
	return v.judgeLife(now, v.lives[candidacy.Candidate], candidacy)
}

func (v *Voter) judgeLife(now time.Time, life *memberLife, candidacy redwingstall.Candidacy) string {
	life.applied = int64(candidacy.AppliedConfig)
	v.advance(life, now)
	if candidacy.HasReachedMajority {
		life.lastHealthy = now
		if life.state == MemberExcluded {
			life.fire(triggerHeard, now)
		}
	}
	switch life.state {
	case MemberExcluded:
		return RefusalExcluded
	case MemberReturning:
		return RefusalReturning
	}
	return ""
}

func (v *Voter) exclusions(now time.Time) map[string]time.Duration {
	excluded := map[string]time.Duration{}
	for id, life := range v.lives {
		if life.state == MemberExcluded {
			excluded[id] = now.Sub(life.since)
		}
	}
	return excluded
}

func (v *Voter) revisions() map[string]redwingstall.Revision {
	known := make(map[string]redwingstall.Revision, len(v.records))
	for name, record := range v.records {
		known[name] = record.Revision
	}
	return known
}

// Revisions returns the revision of every known record.
func (v *Voter) Revisions() map[string]redwingstall.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revisions()
}

// Record returns a known record, or one with revision zero.
func (v *Voter) Record(name string) redwingstall.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records[name]
}

// Records returns every known record.
func (v *Voter) Records() []redwingstall.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	records := make([]redwingstall.Record, 0, len(v.records))
	for _, record := range v.records {
		records = append(records, record)
	}
	return records
}

// Members returns the member record in force and its revision.
func (v *Voter) Members() (MemberRecord, redwingstall.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members, v.revision
}

// IsExcluded reports whether this voter excludes the member.
func (v *Voter) IsExcluded(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	life := v.lives[id]
	return life != nil && life.state == MemberExcluded
}

// Silent returns the current members that this voter has excluded for at least
// the time given.
func (v *Voter) Silent(now time.Time, after time.Duration) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	silent := []string{}
	for _, member := range v.members.Current {
		life := v.lives[member.ID]
		if life != nil && life.state == MemberExcluded && now.Sub(life.since) >= after {
			silent = append(silent, member.ID)
		}
	}
	return silent
}

// States returns the state of every other member and the configuration
// revision that it last said it had in force.
func (v *Voter) States() (states map[string]MemberState, applied map[string]redwingstall.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	states = map[string]MemberState{}
	applied = map[string]redwingstall.Revision{}
	for id, life := range v.lives {
		if !v.members.Has(id) {
			continue
		}
		states[id] = life.state
		applied[id] = redwingstall.Revision(life.applied)
	}
	return states, applied
}

// transition is what a candidate needs to know of the last member change.
type transition struct {
	members  MemberRecord
	revision redwingstall.Revision
	previous []Member
	gradual  bool
	quiet    bool
	gone     map[string]time.Time
}

// former returns the members before the last change, whose majority may still
// have confirmed somebody.
func (t transition) former() []Member {
	if t.previous != nil {
		return t.previous
	}
	return t.members.Previous
}

func (v *Voter) transition(now time.Time) transition {
	v.mu.Lock()
	defer v.mu.Unlock()
	return transition{
		members:  v.members,
		revision: v.revision,
		previous: v.previous,
		gradual:  v.gradual,
		quiet:    v.isQuiet(now),
		gone:     maps.Clone(v.gone),
	}
}
