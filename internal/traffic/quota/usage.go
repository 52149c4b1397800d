package quota

import (
	"slices"
	"sync"
	"time"
)

// Row is the usage of one account.
type Row struct {
	Account uint32
	// Count is the number of admitted requests since the start of the process that reports
	// it, and Recent how many of them belong to the last intervals and were not refunded.
	// Count wraps around.
	Count uint32
	// Refunds is how many of Count were refunded. It wraps around, too.
	Refunds uint32
	Recent  uint32
	// Demand is what was asked for, with the time constant that all instances use.
	Demand float64
	// Active is the number of instances with requests of the account.
	Active int
}

// Usage is what one process reports. Rows hold only accounts that changed.
type Usage struct {
	Process uint64
	// Sequence grows with each report of the process.
	Sequence uint32
	// Heard is the number of instances whose usage the rows sum up.
	Heard int
	// IsFresh is set if none of them is silent.
	IsFresh bool
	Rows    []Row
}

// Scope is whose usage a report sums up.
type Scope int

// The scopes of reports.
const (
	// ScopeOwn is one instance, ScopeDomain a failure domain and ScopeTotal all instances.
	ScopeOwn Scope = iota
	ScopeDomain
	ScopeTotal

	scopeOwn    = int(ScopeOwn)
	scopeDomain = int(ScopeDomain)
	scopeTotal  = int(ScopeTotal)
	scopes      = scopeTotal + 1
)

const (
	// sendsPerChange is how often a change is reported: single datagrams may be lost.
	sendsPerChange = 3
	// markInterval bounds from below what a report calls recent. Twice that is the upper
	// bound.
	markInterval = time.Second
	// learningTime is how long a new process takes counts that it sees first for old.
	learningTime = 2 * time.Second
	// returnTime is the time in which the usage of instances that are back in touch arrives.
	returnTime = 2 * time.Second
	// backlogTime is the time in which reports arrive that waited in a socket's buffer.
	backlogTime = 200 * time.Millisecond
	// forgetTime is the time without reports after which a source is removed.
	forgetTime = time.Minute
	// maxReplaced bounds the processes of a sender that are known to have been replaced.
	maxReplaced = 4
)

// changeList holds the accounts to be reported in one scope, each once.
type changeList struct {
	mu       sync.Mutex
	accounts []*account
}

// markChanged schedules the reports of an account's change, in the given scope and in those
// that include it.
func (l *Limiter) markChanged(a *account, from Scope) {
	for n := int(from); n < scopes; n++ {
		if a.sendsLeft[n].Swap(sendsPerChange) <= 0 {
			c := &l.changes[n]
			c.mu.Lock()
			c.accounts = append(c.accounts, a)
			c.mu.Unlock()
		}
	}
}

// configure removes the accounts that are not in the directory: no report may ever be taken in this
// scope. Accounts that return are scheduled again if they had changed.
func (c *changeList) configure(d *directory, scope Scope, returned []*account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accounts = slices.DeleteFunc(c.accounts, func(a *account) bool { return d.byID[a.id] != a })
	scheduled := map[*account]bool{}
	if len(returned) > 0 {
		for _, a := range c.accounts {
			scheduled[a] = true
		}
	}
	for _, a := range returned {
		if d.byID[a.id] == a && a.sendsLeft[scope].Load() > 0 && !scheduled[a] {
			c.accounts = append(c.accounts, a)
		}
	}
}

// TakeUsage returns the next report in a scope, with up to maxRows of the accounts that changed.
func (l *Limiter) TakeUsage(now time.Time, scope Scope, maxRows int) Usage {
	s, b := l.currentStanding(now), l.bounds()
	l.mu.Lock()
	l.sequence++
	usage := Usage{Process: l.Process, Sequence: l.sequence, Heard: max(l.heard[scope], 1), IsFresh: l.isFresh[scope]}
	l.mu.Unlock()
	c := &l.changes[scope]
	c.mu.Lock()
	n := min(len(c.accounts), maxRows)
	taken := c.accounts[:n:n]
	c.accounts = slices.Clone(c.accounts[n:])
	c.mu.Unlock()
	for _, a := range taken {
		left := a.sendsLeft[scope].Add(-1)
		usage.Rows = append(usage.Rows, a.report(now, s, b, scope))
		if left > 0 {
			c.mu.Lock()
			c.accounts = append(c.accounts, a)
			c.mu.Unlock()
		}
	}
	return usage
}

func (a *account) report(now time.Time, s standing, b Bounds, scope Scope) Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now, s, b)
	row := Row{Account: a.id, Active: 1}
	for origin := range int(scope) + 1 { // each scope adds one origin
		row.Count += a.counts[origin] + a.refunds[origin]
		row.Refunds += a.refunds[origin]
		row.Recent += uint32(max(int32(a.counts[origin]-a.marks[origin]), 0))
		row.Demand += a.demand[origin]
		row.Active += a.active[origin]
	}
	if scope == ScopeOwn {
		a.reported, a.reportedRefunds = row.Count, row.Refunds
	}
	return row
}

// sourceKey identifies whose requests a source stands for: those of an instance, a failure
// domain, or all.
type sourceKey struct {
	scope Scope
	name  string
}

// source holds what was reported about the requests of one instance or failure domain.
type source struct {
	streams map[string]*stream
	// heardAt is when a report arrived last, and returnedAt when instances came back in touch.
	heardAt, returnedAt time.Time
	// silence is how long they were out of touch, at least, or zero for a new source, whose
	// usage counts in full.
	silence time.Duration
	usage   map[uint32]reported
}

// reported is the usage of one account at a source.
type reported struct {
	// progress is the count that was charged, and refunds the number of refunds that was
	// taken into account.
	progress, refunds uint32
	// net is what was charged and not given back.
	net    uint32
	active int32
	demand float64
	// at is when it was last reported.
	at time.Time
}

// stream is what one process reports about a source.
type stream struct {
	process uint64
	// sequence, heardAt and heard belong to the newest report.
	sequence uint32
	heardAt  time.Time
	heard    int
	isFresh  bool
	rows     map[uint32]streamRow
	// replaced are the sender's previous processes, the last one at the end.
	replaced []replacedProcess
}

// replacedProcess is a process whose sender reported as another one at a time. A report of it that
// arrives later must not replace the newer process: the counts of both would be charged again.
type replacedProcess struct {
	process uint64
	at      time.Time
}

// isReplaced reports whether a process was replaced by the one of the stream. Nil knows none.
func (s *stream) isReplaced(now time.Time, process uint64) bool {
	return s != nil && slices.ContainsFunc(s.replaced, func(r replacedProcess) bool {
		return r.process == process && now.Sub(r.at) < forgetTime
	})
}

// next returns an empty stream of the process that replaces the one of s, which may be nil.
func (s *stream) next(now time.Time, process uint64) *stream {
	next := &stream{process: process, rows: map[uint32]streamRow{}}
	if s != nil {
		next.replaced = append(slices.Clone(s.replaced), replacedProcess{s.process, now})
		next.replaced = next.replaced[max(len(next.replaced)-maxReplaced, 0):]
	}
	return next
}

// streamRow is the last row of an account in a stream. The offsets are added to its counts and
// refunds, so that the two reporters of a failure domain, which have counted since different times,
// agree.
type streamRow struct {
	sequence     uint32
	offset       uint32
	refundOffset uint32
}

// MergeUsage charges what another process reports: in ScopeOwn about itself, in ScopeDomain about
// the failure domain with the given name, and in ScopeTotal about all instances.
func (l *Limiter) MergeUsage(now time.Time, scope Scope, name, sender string, usage Usage) {
	s, b := l.currentStanding(now), l.bounds()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.directory.Load()
	if usage.Process == l.Process {
		return
	}
	from := l.source(sourceKey{scope, name})
	current := from.streams[sender]
	if current.isReplaced(now, usage.Process) {
		return
	}
	if current == nil || current.process != usage.Process {
		current = current.next(now, usage.Process)
		from.streams[sender] = current
	}
	if silence := now.Sub(from.heardAt); silence > silenceTimeout || usage.Heard > current.heard {
		from.returnedAt, from.silence = now, max(silence, silenceTimeout)
		if from.heardAt.IsZero() {
			from.silence = 0
		}
	}
	from.heardAt = now
	if int32(usage.Sequence-current.sequence) > 0 || current.heardAt.IsZero() {
		current.sequence, current.heard, current.isFresh, current.heardAt = usage.Sequence, usage.Heard, usage.IsFresh, now
	}
	if d == nil {
		return
	}
	isLearning := l.startedAt.IsZero() || now.Sub(l.startedAt) < learningTime
	for _, row := range usage.Rows {
		if a := d.byID[row.Account]; a != nil {
			a.merge(now, s, b, scope, from, current, usage.Sequence, row, isLearning)
			if scope != ScopeTotal {
				l.markChanged(a, scope+1)
			}
		}
	}
}

func (l *Limiter) source(key sourceKey) *source {
	from := l.sources[key]
	if from == nil {
		from = &source{streams: map[string]*stream{}, usage: map[uint32]reported{}}
		if l.sources == nil {
			l.sources = map[sourceKey]*source{}
		}
		l.sources[key] = from
	}
	return from
}

// merge charges a row and gives back its refunds. Both only ever advance: a row that is late or
// arrives twice adds nothing.
func (a *account) merge(now time.Time, s standing, b Bounds, scope Scope, from *source, current *stream, sequence uint32, row Row, isLearning bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now, s, b)
	if scope == ScopeTotal {
		row = a.withoutOwn(row)
	}
	last, isKnown := current.rows[row.Account]
	if isKnown && int32(sequence-last.sequence) <= 0 {
		return
	}
	known, isReported := from.usage[row.Account]
	if !isKnown {
		// What a process counted before this one could hear it is old, but for the recent part.
		// Another reporter of the same failure domain may have reported that.
		charge := min(row.Recent, row.Count)
		if isLearning || isReported && scope != ScopeOwn && now.Sub(known.at) < silenceTimeout {
			charge = 0
		}
		last.offset = known.progress + charge - row.Count
		last.refundOffset = known.refunds - row.Refunds // Recent does not include them
	}
	last.sequence = sequence
	current.rows[row.Account] = last
	origin := originFar
	if scope == ScopeOwn {
		origin = originDirect
	}
	charge := uint32(max(int32(row.Count+last.offset-known.progress), 0))
	refunds := uint32(max(int32(row.Refunds+last.refundOffset-known.refunds), 0))
	known.progress += charge
	known.refunds += refunds
	// No more is given back than was charged: counts that were taken for old were not.
	credited := min(refunds, known.net+charge)
	known.net += charge - credited
	a.refunds[origin] += credited
	isReturned := !known.at.IsZero() && known.at.Before(from.returnedAt) || now.Sub(from.returnedAt) < backlogTime
	if isReturned && charge > credited {
		a.chargeReturned(origin, float64(charge-credited), from.silence, b)
	} else {
		a.charge(origin, float64(charge)-float64(credited))
	}
	if scope == ScopeTotal {
		a.demand[origin] = row.Demand
	} else {
		a.demand[origin] = max(a.demand[origin]+row.Demand-known.demand*a.decay(now.Sub(known.at)), 0)
	}
	a.active[origin] += row.Active - int(known.active)
	known.demand, known.at, known.active = row.Demand, now, int32(row.Active)
	from.usage[row.Account] = known
}

// withoutOwn subtracts this instance's own part of a row about all instances: what it last
// reported. The error is what crosses at that moment, and does not add up.
func (a *account) withoutOwn(row Row) Row {
	row.Active = max(row.Active-1, 0)
	row.Count -= a.reported
	row.Refunds -= a.reportedRefunds
	row.Recent -= min(row.Recent, uint32(max(int32(a.reported-a.reportedRefunds-a.marks[originOwn]), 0)))
	row.Demand = max(row.Demand-a.demand[originOwn], 0)
	return row
}

// Fleet is what the exchange knows of the instances.
type Fleet struct {
	// Listed is the number of instances for which credit is set aside, this one included, or
	// zero if it is not known.
	Listed int
	// Uptime is a clock that includes suspensions of the machine, or zero.
	Uptime time.Duration
	// IsCurrent is set if the list of instances is known to be current.
	IsCurrent bool
}

// exclusionTime is the time without touch to all instances and without a current list after
// which the others may no longer set aside credit for this one. It is shorter than the time for
// which they do.
const exclusionTime = RetentionTime * 3 / 4

// RetentionTime is how long credit is set aside for an instance that vanished from the list
// without notice. It may be running, without access to the store.
const RetentionTime = time.Minute

// Step updates which instances are in touch. The exchange calls it with each report that it
// sends.
func (l *Limiter) Step(now time.Time, fleet Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedAt.IsZero() {
		l.startedAt, l.inTouchAt = now, now
	}
	gap := max(now.Sub(l.steppedAt), fleet.Uptime-l.uptime)
	if !l.steppedAt.IsZero() && gap > silenceTimeout {
		// The process was suspended. Reports that wait in the socket's buffer are old.
		l.doubtedUntil = now.Add(silenceTimeout)
		l.Count("quota.suspensions")
	}
	l.steppedAt, l.uptime = now, fleet.Uptime
	l.countHeard(now)
	next := &standing{listed: fleet.Listed, heard: l.heard[ScopeTotal], isFresh: l.isFresh[ScopeTotal], at: now}
	if fleet.Listed == 0 {
		next.listed = unknownInstances
	}
	if now.Before(l.doubtedUntil) {
		next.heard = 1
	}
	next.heard = min(next.heard, next.listed)
	if next.heard == next.listed || fleet.IsCurrent {
		l.inTouchAt = now
	}
	next.isExcluded = now.Sub(l.inTouchAt) > exclusionTime
	previous := l.standing.Swap(next)
	if previous != nil && (previous.heard != next.heard || previous.listed != next.listed) && l.HasAccounts() {
		l.Count("quota.standingChanges")
		l.Log.Debug("instances in touch", "heard", next.heard, "listed", next.listed, "before", previous.heard, "isExcluded", next.isExcluded)
	}
}

// countHeard counts the instances whose reports arrive, and forgets sources without any.
func (l *Limiter) countHeard(now time.Time) {
	l.heard, l.isFresh = [scopes]int{1, 1, 1}, [scopes]bool{true, true, true}
	total := 0
	for key, from := range l.sources {
		heard, isFresh := from.heard(now)
		if heard > 0 && !isFresh {
			l.isFresh[ScopeTotal] = false
			l.isFresh[ScopeDomain] = l.isFresh[ScopeDomain] && key.scope != ScopeOwn
		}
		switch key.scope {
		case ScopeOwn:
			l.heard[ScopeDomain] += min(heard, 1)
			l.heard[ScopeTotal] += min(heard, 1)
		case ScopeDomain:
			l.heard[ScopeTotal] += heard
		case ScopeTotal:
			total = heard
		}
		if len(from.streams) == 0 {
			l.removeSource(key, from)
		}
	}
	l.heard[ScopeTotal] = max(l.heard[ScopeTotal], total)
}

func (l *Limiter) removeSource(key sourceKey, from *source) {
	delete(l.sources, key)
	d := l.directory.Load()
	if d == nil {
		return
	}
	origin := originFar
	if key.scope == ScopeOwn {
		origin = originDirect
	}
	for id, known := range from.usage {
		if a := d.byID[id]; a != nil {
			a.mu.Lock()
			a.active[origin] = max(a.active[origin]-int(known.active), 0)
			a.mu.Unlock()
		}
	}
}

// heard returns the number of instances that a source stands for now, and whether none of them is
// silent.
func (f *source) heard(now time.Time) (heard int, isFresh bool) {
	for sender, current := range f.streams {
		silence := now.Sub(current.heardAt)
		if silence < silenceTimeout {
			heard = max(heard, current.heard)
		}
		isFresh = isFresh || silence < freshTimeout && current.isFresh
		if silence > forgetTime {
			delete(f.streams, sender)
		}
	}
	return heard, isFresh
}
