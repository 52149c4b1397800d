package membership

import (
	"maps"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// The reasons why a vote is refused.
const (
	RefusalNotMember  = "notMember"
	RefusalNewer      = "newerMembers"
	RefusalExcluded   = "excluded"
	RefusalReturning  = "returning"
	RefusalNotAdopted = "notAdopted"
)

// Voter answers vote requests on behalf of one instance. It stores the records
// that the instance knows, which it never discards while the process runs, and
// tracks which members it excludes. It is safe for concurrent use.
type Voter struct {
	timing Timing
	self   string

	mu       sync.Mutex
	records  map[string]redwingstall.Record
	members  MemberRecord
	revision redwingstall.Revision
	// adoptedAt is when the current member record was adopted. settledAt is when
	// the voter first knew it as settled, or zero.
	adoptedAt    time.Time
	settledAt    time.Time
	isContinuous bool
	previous     []Member
	endedAt      map[string]time.Time
	memberViews  map[string]*memberView
	lastTick     time.Time
}

// NewVoter returns a voter that knows no records and grants no votes.
func NewVoter(self string, timing Timing) *Voter {
	return &Voter{
		timing:      timing,
		self:        self,
		records:     map[string]redwingstall.Record{},
		endedAt:     map[string]time.Time{},
		memberViews: map[string]*memberView{},
	}
}

// Self returns the voter's own member id.
func (v *Voter) Self() string { return v.self }

// Learn stores records that are newer than the known ones, and returns their names.
// A member record is accepted only as part of a complete set, because a voter under
// it must know every change that was made before it.
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

// adopt puts a member record in force and reports whether it was accepted. A later record
// that was made from an older one than the known one shows that the store was recovered
// from an older copy: members that joined since may still confirm rights.
func (v *Voter) adopt(now time.Time, record redwingstall.Record, complete bool) bool {
	next, err := DecodeRecord(record.Value)
	if err != nil || !complete || next.Base < v.revision {
		return false
	}
	v.updateContinuity(now, next)
	v.members = next
	v.revision = record.Revision
	v.adoptedAt = now
	for _, id := range next.Gone {
		if _, known := v.endedAt[id]; !known {
			v.endedAt[id] = now
		}
	}
	v.updateMemberViews(now)
	return true
}

// updateContinuity records which members could act before the change. If the last
// change was complete and the voter has seen every record since, a member that may
// act under both the previous and the current members continues. If the voter
// missed a record, all members wait.
func (v *Voter) updateContinuity(now time.Time, next MemberRecord) {
	isNext := v.revision != 0 && next.Base == v.revision
	switch {
	case isNext && v.isQuiet(now):
		v.isContinuous = true
		v.previous = v.members.Current
	case isNext && next.IsSettled():
		// The members are those that the unsettled change brought.
	default:
		v.isContinuous = false
		v.previous = nil
	}
	v.settledAt = time.Time{}
	if next.IsSettled() {
		v.settledAt = now
	}
}

// isQuiet reports whether no member can still act under an older member record.
func (v *Voter) isQuiet(now time.Time) bool {
	return !v.settledAt.IsZero() && now.Sub(v.settledAt) >= v.timing.Wait()
}

// updateMemberViews keeps a view of each other member, and of each previous member.
// Members that left are excluded. The others need to know of the exclusion until
// they may take over the jobs.
func (v *Voter) updateMemberViews(now time.Time) {
	next := map[string]*memberView{}
	for _, member := range v.members.Current {
		v.carryOverView(next, member.ID, now)
	}
	for _, member := range v.previous {
		if v.members.Has(member.ID) {
			continue
		}
		v.carryOverView(next, member.ID, now)
		if view := next[member.ID]; view != nil {
			view.fire(triggerUnresponsive, now)
			view.lastHealthy = now.Add(-v.timing.ExcludeAfter)
		}
	}
	v.memberViews = next
}

func (v *Voter) carryOverView(next map[string]*memberView, id string, now time.Time) {
	if id == v.self {
		return
	}
	next[id] = v.memberViews[id]
	if next[id] == nil {
		next[id] = newMemberView(now)
	}
}

// Tick excludes members that were unresponsive for too long. After a pause of its
// own process, the voter restarts the timeout of every member that is not excluded.
func (v *Voter) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	paused := !v.lastTick.IsZero() && now.Sub(v.lastTick) > v.timing.ExcludeAfter/2
	v.lastTick = now
	for _, view := range v.memberViews {
		if paused && view.state != MemberExcluded {
			view.lastHealthy = now
		}
		v.advance(view, now)
	}
}

func (v *Voter) advance(view *memberView, now time.Time) {
	if now.Sub(view.lastHealthy) >= v.timing.ExcludeAfter {
		view.fire(triggerUnresponsive, now)
	}
	if view.state == MemberReturning && now.Sub(view.since) >= v.timing.Wait() {
		view.fire(triggerExpired, now)
	}
}

// Vote answers a candidate's vote request.
func (v *Voter) Vote(now time.Time, candidacy redwingstall.Candidacy) redwingstall.Vote {
	v.mu.Lock()
	defer v.mu.Unlock()
	refusal := v.refusalFor(now, candidacy)
	return redwingstall.Vote{
		Voter:     v.self,
		Granted:   refusal == "",
		Refusal:   refusal,
		Revisions: v.revisions(),
		Excluded:  v.exclusions(now),
	}
}

func (v *Voter) refusalFor(now time.Time, candidacy redwingstall.Candidacy) string {
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
	return v.refusalForMember(now, v.memberViews[candidacy.Candidate], candidacy)
}

func (v *Voter) refusalForMember(now time.Time, view *memberView, candidacy redwingstall.Candidacy) string {
	view.applied = int64(candidacy.AppliedConfig)
	v.advance(view, now)
	if candidacy.HasReachedMajority {
		view.lastHealthy = now
		if view.state == MemberExcluded {
			view.fire(triggerResponsive, now)
		}
	}
	switch view.state {
	case MemberExcluded:
		return RefusalExcluded
	case MemberReturning:
		return RefusalReturning
	}
	return ""
}

func (v *Voter) exclusions(now time.Time) map[string]time.Duration {
	excluded := map[string]time.Duration{}
	for id, view := range v.memberViews {
		if view.state == MemberExcluded {
			excluded[id] = now.Sub(view.since)
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
	view := v.memberViews[id]
	return view != nil && view.state == MemberExcluded
}

// ExcludedFor returns the ids of the current members that this voter has excluded for
// at least the duration after.
func (v *Voter) ExcludedFor(now time.Time, after time.Duration) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	excluded := []string{}
	for _, member := range v.members.Current {
		view := v.memberViews[member.ID]
		if view != nil && view.state == MemberExcluded && now.Sub(view.since) >= after {
			excluded = append(excluded, member.ID)
		}
	}
	return excluded
}

// States returns the state of every other current member, and the configuration
// revision that it last reported as applied.
func (v *Voter) States() (states map[string]MemberState, applied map[string]redwingstall.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	states = map[string]MemberState{}
	applied = map[string]redwingstall.Revision{}
	for id, view := range v.memberViews {
		if !v.members.Has(id) {
			continue
		}
		states[id] = view.state
		applied[id] = redwingstall.Revision(view.applied)
	}
	return states, applied
}

// transition is the state of the last member change.
type transition struct {
	members      MemberRecord
	revision     redwingstall.Revision
	previous     []Member
	isContinuous bool
	isQuiet      bool
	endedAt      map[string]time.Time
}

// former returns the members before the last change. A majority of them may have
// confirmed rights that are still valid.
func (t transition) former() []Member {
	if t.previous != nil {
		return t.previous
	}
	return t.members.Previous
}

// currentTransition returns a copy of the state of the last member change.
func (v *Voter) currentTransition(now time.Time) transition {
	v.mu.Lock()
	defer v.mu.Unlock()
	return transition{
		members:      v.members,
		revision:     v.revision,
		previous:     v.previous,
		isContinuous: v.isContinuous,
		isQuiet:      v.isQuiet(now),
		endedAt:      maps.Clone(v.endedAt),
	}
}
