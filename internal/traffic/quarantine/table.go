package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	// settleTime is how long after the end of a server a request that ran there waits for
	// its trial. Servers that end for one cause, such as a loss of power, end within it.
	settleTime = 50 * time.Millisecond
	// reporterHeadStart is how long the other instances leave the trial to the one that has
	// reported the end, and trialSpread is the time over which they begin theirs. A record
	// reaches all instances within milliseconds.
	reporterHeadStart = 20 * time.Millisecond
	trialSpread       = 200 * time.Millisecond
	// simultaneousTime is how far apart servers end that end for one common cause.
	simultaneousTime = 10 * time.Millisecond
	// maxEnds is how many servers, one after the other, end under a request until it is
	// convicted without a trial. Copies of it may have run before it was suspected.
	maxEnds = 3
	// maxTrialTime is the time without a result after which another trial may begin. The
	// instance that ran the first one may have ended.
	maxTrialTime = 3 * time.Second
	// suspicionTime is the time without a change after which a suspicion is dropped.
	suspicionTime = time.Minute
	// convictionTime is how long a request is rejected after its first conviction. It
	// doubles with each further one up to maxConvictionTime. After it the request may run
	// on trial again: servers of another version may run it.
	convictionTime    = 30 * time.Second
	maxConvictionTime = 10 * time.Minute
	// maxRecords bounds the number of records. Only the end of a server adds some.
	maxRecords = 1000
	// clearedTime is how long a cleared record is kept, so that late messages of other
	// instances do not bring the suspicion back.
	clearedTime = 10 * time.Second
)

// State is what is known of a request. Of two records of the same version, the later state
// counts.
type State int

// The states of a request.
const (
	Cleared State = iota
	// Suspected requests ran on a server as it ended.
	Suspected
	// OnTrial means that a suspected request runs alone.
	OnTrial
	// Convicted requests have ended a server on trial.
	Convicted
)

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint
	// Version rises with each change.
	Version int64
	State   State
	// ChangedAt is when the state began.
	ChangedAt time.Time
	// EndedAt is when a server last ended under the request, and Server which one.
	EndedAt time.Time
	Server  shardmap.Server
	// Ends is how many servers have ended one after the other since the suspicion began.
	Ends int
	// TrialServer is the server on which the request runs on trial.
	TrialServer shardmap.Server
	// Convictions is how often the request was convicted.
	Convictions int
	// Reporter is the instance that has made the last change.
	Reporter string
}

// entry is a record, and when this instance may begin a trial.
type entry struct {
	Record
	trialFrom time.Time
}

// convictedUntil returns the end of a conviction.
func (r Record) convictedUntil() time.Time {
	duration := convictionTime
	for n := 1; n < r.Convictions && duration < maxConvictionTime; n++ {
		duration *= 2
	}
	return r.ChangedAt.Add(min(duration, maxConvictionTime))
}

// replaces reports whether a record replaces a known one. All instances decide alike.
func (r Record) replaces(known Record) bool {
	return cmp.Or(cmp.Compare(r.Version, known.Version), cmp.Compare(r.State, known.State), cmp.Compare(r.Reporter, known.Reporter)) > 0
}

// isOver reports whether a record may be forgotten.
func (r Record) isOver(now time.Time) bool {
	switch r.State {
	case Cleared:
		return now.Sub(r.ChangedAt) >= clearedTime
	case Convicted:
		return !now.Before(r.convictedUntil().Add(maxConvictionTime))
	}
	return now.Sub(r.ChangedAt) >= suspicionTime
}

// isOnTrial reports whether the request still runs on trial, as far as is known.
func (r Record) isOnTrial(now time.Time) bool {
	return r.State == OnTrial && now.Sub(r.ChangedAt) < maxTrialTime
}

// Table holds the records of all instances. It is safe for concurrent use. The zero value is
// ready to use.
type Table struct {
	// Self is the name of this instance.
	Self string
	// Random returns a number in [0, 1). It may be nil.
	Random func() float64

	mu      sync.Mutex
	records map[Fingerprint]entry
	// trials are the requests on trial by server.
	trials map[shardmap.Server]Fingerprint
	// changed are the records that the other instances do not know yet.
	changed map[Fingerprint]bool
	// wake receives when changed is no longer empty, and updated is closed and replaced with
	// each change of a record.
	wake    chan struct{}
	updated chan struct{}
}

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Admit lets the request run like any other.
	Admit Verdict = iota
	// Try lets it run on trial, if BeginTrial agrees.
	Try
	// Wait means that the result of a trial has to be awaited.
	Wait
	// Reject means that the request must not run.
	Reject
)

// IsEmpty reports whether no request has a record, so that none needs a fingerprint.
func (t *Table) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Judge returns what may be done with a request, and when to ask again: after the end of a
// conviction, or at the latest time at which a trial may begin.
func (t *Table) Judge(now time.Time, f Fingerprint) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, isKnown := t.records[f]
	switch {
	case !isKnown || r.State == Cleared || r.isOver(now):
		return Admit, 0
	case r.State == Convicted && now.Before(r.convictedUntil()):
		return Reject, r.convictedUntil().Sub(now)
	case r.isOnTrial(now):
		return Wait, r.ChangedAt.Add(maxTrialTime).Sub(now)
	case now.Before(r.trialFrom):
		return Wait, r.trialFrom.Sub(now)
	}
	return Try, 0
}

// Changed returns a channel that is closed with the next change of any record.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	return t.updated
}

// HasTrial reports whether a server runs a request on trial.
func (t *Table) HasTrial(now time.Time, server shardmap.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasTrial(now, server)
}

func (t *Table) hasTrial(now time.Time, server shardmap.Server) bool {
	f, isKnown := t.trials[server]
	return isKnown && t.records[f].isOnTrial(now)
}

// BeginTrial begins a trial, unless another one of the request or on the server has begun.
func (t *Table) BeginTrial(now time.Time, f Fingerprint, server shardmap.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, isKnown := t.records[f]
	if !isKnown || r.isOnTrial(now) || r.State == Cleared || r.State == Convicted && now.Before(r.convictedUntil()) || t.hasTrial(now, server) {
		return false
	}
	r.State, r.ChangedAt, r.TrialServer = OnTrial, now, server
	t.set(now, r.Record)
	return true
}

// EndTrial ends a trial that has shown nothing.
func (t *Table) EndTrial(now time.Time, f Fingerprint, server shardmap.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r.State == OnTrial && r.TrialServer == server {
		r.State, r.ChangedAt = Suspected, now
		t.set(now, r.Record)
	}
}

// Clear records that a server has run the request to its end. An attempt that began before the
// request was convicted does not end the conviction.
func (t *Table) Clear(now time.Time, f Fingerprint, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, isKnown := t.records[f]
	if !isKnown || r.State == Cleared || r.State == Convicted && began.Before(r.ChangedAt) {
		return
	}
	r.State, r.ChangedAt = Cleared, now
	t.set(now, r.Record)
}

// RecordEnd records that a server process has ended while it ran the request, in an attempt
// that began at a time. The request is convicted if the attempt began after another server
// had ended under it, or if several have ended one after the other without a success between:
// servers that end for a common cause do so at the same time.
func (t *Table) RecordEnd(now time.Time, f Fingerprint, server shardmap.Server, began time.Time) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f].Record
	if r.State == Cleared || r.isOver(now) {
		r = Record{Fingerprint: f, Version: r.Version, State: Suspected, ChangedAt: now, Convictions: r.Convictions}
	} else if r.Server == server {
		return r // reported by another attempt at the same process
	}
	isConvicting := r.isConvictedBy(began)
	if now.Sub(r.EndedAt) >= simultaneousTime {
		r.Ends++
	}
	if isConvicting || r.State != Convicted && r.Ends >= maxEnds {
		r.State, r.ChangedAt = Convicted, now
		r.Convictions++
	}
	r.EndedAt, r.Server = now, server
	t.set(now, r)
	return r
}

// isConvictedBy reports whether the end of another server convicts the request by the time at
// which the attempt began.
func (r Record) isConvictedBy(began time.Time) bool {
	if r.State == Convicted {
		return !began.Before(r.convictedUntil())
	}
	return r.Ends > 0 && began.Sub(r.EndedAt) >= settleTime
}

// set stores a changed record under the next version.
func (t *Table) set(now time.Time, r Record) {
	r.Version++
	r.Reporter = t.Self
	t.store(now, r)
	t.changed[r.Fingerprint] = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Table) store(now time.Time, r Record) {
	t.initialize()
	if _, isKnown := t.records[r.Fingerprint]; !isKnown && len(t.records) >= maxRecords {
		t.removeOldest()
	}
	t.removeTrial(r.Fingerprint)
	t.records[r.Fingerprint] = entry{r, t.trialFrom(now, r)}
	if r.State == OnTrial {
		t.trials[r.TrialServer] = r.Fingerprint
	}
	close(t.updated)
	t.updated = make(chan struct{})
}

// trialFrom returns when this instance may begin a trial of a suspected request. All instances
// at which it waits would begin at once otherwise.
func (t *Table) trialFrom(now time.Time, r Record) time.Time {
	from := r.EndedAt.Add(settleTime)
	if r.Reporter == t.Self {
		return from
	}
	if from.Before(now) {
		from = now
	}
	spread := trialSpread / 2
	if t.Random != nil {
		spread = time.Duration(t.Random() * float64(trialSpread))
	}
	return from.Add(reporterHeadStart + spread)
}

// removeTrial removes the trial of a request.
func (t *Table) removeTrial(f Fingerprint) {
	if r := t.records[f]; r.State == OnTrial && t.trials[r.TrialServer] == f {
		delete(t.trials, r.TrialServer)
	}
}

// remove forgets a record.
func (t *Table) remove(f Fingerprint) {
	t.removeTrial(f)
	delete(t.records, f)
	delete(t.changed, f)
}

func (t *Table) initialize() {
	if t.records == nil {
		t.records, t.changed = map[Fingerprint]entry{}, map[Fingerprint]bool{}
		t.trials = map[shardmap.Server]Fingerprint{}
		t.wake, t.updated = make(chan struct{}, 1), make(chan struct{})
	}
}

// removeOldest removes the record that matters least: the first state, and in it the oldest.
func (t *Table) removeOldest() {
	oldest, isFirst := entry{}, true
	for _, r := range t.records {
		if isFirst || cmp.Or(cmp.Compare(r.State, oldest.State), r.ChangedAt.Compare(oldest.ChangedAt)) < 0 {
			oldest, isFirst = r, false
		}
	}
	t.remove(oldest.Fingerprint)
}

// Merge stores a record of another instance. It reports whether that changes the state.
func (t *Table) Merge(now time.Time, r Record) (hasChanged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, isKnown := t.records[r.Fingerprint]
	if isKnown && !r.replaces(known.Record) || !isKnown && r.isOver(now) {
		return false
	}
	t.store(now, r)
	return !isKnown || known.State != r.State
}

// Newer returns the known record of a request if it is newer than the given one.
func (t *Table) Newer(than Record) (known Record, isNewer bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, isKnown := t.records[than.Fingerprint]
	return e.Record, isKnown && e.Version > than.Version
}

// Wake returns a channel that receives when there are changes to send.
func (t *Table) Wake() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	return t.wake
}

// TakeChanges returns the records changed by this instance since the last call.
func (t *Table) TakeChanges() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := make([]Record, 0, len(t.changed))
	for f := range t.changed {
		changes = append(changes, t.records[f].Record)
	}
	clear(t.changed)
	return sorted(changes)
}

// All returns all records that are not over, and forgets the others.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Record, 0, len(t.records))
	for f, r := range t.records {
		if r.isOver(now) {
			t.remove(f)
			continue
		}
		all = append(all, r.Record)
	}
	return sorted(all)
}

func sorted(records []Record) []Record {
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return records
}

// Digest returns a hash of the records and their versions. It is 0 if there is none.
func (t *Table) Digest(now time.Time) uint64 {
	digest := uint64(0)
	for _, r := range t.All(now) {
		const odd = 0x9e3779b97f4a7c15 // spreads small numbers over 64 bits
		digest ^= (binary.LittleEndian.Uint64(r.Fingerprint[:]) + uint64(r.Version)*4 + uint64(r.State)) * odd
	}
	return digest
}
