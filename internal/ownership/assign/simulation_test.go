package assign

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// The simulation runs leaders and servers in simulated time, with these faults: leaders
// lose their lease early and go on until they notice, or restart; commands are lost,
// answered late or applied seconds later; servers crash, become unreachable, restart under
// their ID, have slow clocks, or lose only their entry; a partition separates servers from the
// leaders and the store, while they serve on, and their connections time out, are refused or
// reach another server; the store is away and comes back from an older copy; writes of the map
// take effect late, are answered later still, or seem to fail and take effect afterwards;
// commands are sent later than they were due. No key may have two holders.

const (
	sampleKeys     = 128
	simulationStep = 25 * time.Millisecond
	simulatedTime  = 60 * time.Second // unless a test sets another one
)

// Leaders use one of two timings in each term.
var (
	simulationTiming = Timing{
		GrantTTL: 5 * time.Second, OutageGrantTTL: 7 * time.Second, LeaderLeaseTTL: 3 * time.Second, GrantTimeout: 700 * time.Millisecond,
		MaxLeaderLeaseTTL: 3 * time.Second, MaxGrantTTL: 8 * time.Second,
	}
	fastTiming = Timing{
		GrantTTL: 3 * time.Second, OutageGrantTTL: 8 * time.Second, LeaderLeaseTTL: 1500 * time.Millisecond, GrantTimeout: 700 * time.Millisecond,
		MaxLeaderLeaseTTL: 3 * time.Second, MaxGrantTTL: 8 * time.Second, MaxRenewalsPerSecond: 500, LongCalmGrantTTL: 4500 * time.Millisecond,
	}
)

// fakeServer is one process of a backend server at a time.
type fakeServer struct {
	id            string
	born          int64
	isUp          bool
	isUnreachable bool
	// isReplaced is set if another server has the address of the process that has ended.
	isReplaced   bool
	isListed     bool
	listedStart  int64
	isLeaving    bool
	crashedAt    time.Duration
	partition    partitionKind
	clockDrift   float64
	grantedUntil [sampleKeys]time.Duration
	grantFence   [sampleKeys]int64
	highestFence [sampleKeys]int64
}

// partitionKind is how connections to a running server fail that a partition separates from
// the leaders and the store.
type partitionKind int

const (
	noPartition partitionKind = iota
	silentPartition
	refusingPartition
	misdirectingPartition
)

// storedMap is the map of an era in the store.
type storedMap struct {
	shardmap.Map
	revision int
}

type fakeLeader struct {
	name             string
	assigner         *Assigner
	recovery         *Recovery
	revision         int
	believedLeaseEnd time.Duration
	isLeading        bool
	// termEra is the era of the term, and suspended the assigner of one that ended with its
	// era.
	termEra      int
	suspended    *Assigner
	suspendedEra int
	// era is the known one, since eraBeganAt. known is the latest known map, of knownEra.
	era        int
	eraBeganAt time.Duration
	known      shardmap.Map
	knownEra   int
	startedAt  time.Duration
	listedAt   map[string]time.Duration
	// timing is that of the term.
	timing Timing
	// isWriting is set while a write of the map has no result.
	isWriting bool
	// releases are the releases in the maps that the instance has seen.
	releases ReleaseHistory
}

// storeCopy is a copy of the store's contents.
type storeCopy struct {
	stored   map[int]storedMap
	revision int
}

type scheduledEvent struct {
	at   time.Duration
	name string
	run  func()
}

type simulation struct {
	random  *rand.Rand
	now     time.Duration
	servers []*fakeServer
	leaders []*fakeLeader
	// leaseHolder and leaseEnd are of the leader record of the era.
	leaseHolder string
	leaseEnd    time.Duration
	era         int
	lastLease   int64
	// stored are the maps by era.
	stored      map[int]storedMap
	revision    int
	copies      []storeCopy
	isStoreDown bool
	// recoveryRate and restartRate are how often the store comes back from a copy, and an
	// instance restarts, per second.
	recoveryRate float64
	restartRate  float64
	// leaderLossRate is how often the store ends the leader's lease early, and slowWriteShare
	// the share of the writes of maps that take seconds.
	leaderLossRate float64
	slowWriteShare float64
	// serverFaultRate scales how often servers leave or are partitioned. maxSendDelay is how
	// much later than due a command may be sent.
	serverFaultRate float64
	resignRate      float64
	duration        time.Duration
	maxSendDelay    time.Duration
	recoveries      int
	continued       int
	scheduled       []scheduledEvent
	// These disable one mechanism each, to prove that the simulation detects its loss.
	ignoresPredecessor  bool
	reusesFence         bool
	reusesFenceOfEra    bool
	believesEarlierEra  bool
	continuesUncertain  bool
	continuesUnstored   bool
	believesRefusals    bool
	believesOtherServer bool
	// believesUnlistedSuccessor takes another server's answer as proof without its entry.
	believesUnlistedSuccessor bool
	grantsDuringWrite         bool
	forgetsFailedWrite        bool
	sendsWithheldGrants       bool
	understatesEnds           bool
	violation                 string
	trace                     func(format string, args ...any)
	grantsApplied             int
	// replaced counts the releases that another server at the owner's address answered.
	replaced int
	// recalled counts the releases of earlier leaders that ended by what the map says.
	recalled int
	// afterResignation counts the terms that followed a resignation.
	afterResignation int
}

func newSimulation(seed uint64) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(seed, 7)), era: 1, stored: map[int]storedMap{}, recoveryRate: 0.04, restartRate: 0.02, leaderLossRate: 0.05, slowWriteShare: 0.2, serverFaultRate: 1, resignRate: 0.03, duration: simulatedTime, maxSendDelay: 1500 * time.Millisecond}
	for i := range 5 {
		m.servers = append(m.servers, &fakeServer{id: fmt.Sprintf("s%d", i), born: 1, isUp: true, isListed: true, listedStart: 1, clockDrift: m.random.Float64() * maxClockDrift})
	}
	for i := range 3 {
		m.leaders = append(m.leaders, &fakeLeader{name: fmt.Sprintf("l%d", i), era: 1, listedAt: map[string]time.Duration{}})
	}
	return m
}

func (m *simulation) chance(perSecond float64) bool {
	return m.random.Float64() < perSecond*simulationStep.Seconds()
}

func (m *simulation) schedule(delay time.Duration, name string, run func()) {
	m.scheduled = append(m.scheduled, scheduledEvent{m.now + delay, name, run})
}

func (m *simulation) run() {
	for ; m.now < m.duration && m.violation == ""; m.now += simulationStep {
		m.runScheduled()
		m.injectFaults()
		m.injectStoreFaults()
		for _, l := range m.leaders {
			m.stepLeader(l)
		}
		m.checkHolders()
	}
}

func (m *simulation) runScheduled() {
	due := m.scheduled
	m.scheduled = nil
	for _, d := range due {
		if d.at <= m.now {
			d.run()
		} else {
			m.scheduled = append(m.scheduled, d)
		}
	}
}

func (m *simulation) injectFaults() {
	for _, s := range m.servers {
		switch {
		case s.isUp && m.chance(0.02):
			s.isUp, s.isUnreachable, s.crashedAt = false, m.random.IntN(2) == 0, m.now
			s.isReplaced = s.born%3 == 0
		case !s.isUp && m.chance(0.4):
			*s = fakeServer{id: s.id, born: s.born + 1, isUp: true, isListed: s.isListed, listedStart: s.listedStart, clockDrift: s.clockDrift}
			m.schedule(time.Duration(m.random.IntN(900))*time.Millisecond, "listed", func() { s.isListed, s.listedStart = true, s.born })
		case s.isUp && s.isListed && m.chance(0.01):
			s.isListed = false // disconnected from the store, but serving
			m.schedule(time.Duration(1000+m.random.IntN(11000))*time.Millisecond, "listed", func() { s.isListed, s.listedStart = true, s.born })
		case s.isUp && s.partition == noPartition && m.chance(0.015*m.serverFaultRate):
			m.startPartition(s)
		case m.chance(0.02 * m.serverFaultRate):
			s.isLeaving = !s.isLeaving
		}
		if !s.isUp && m.now-s.crashedAt > 2600*time.Millisecond {
			s.isListed = false
		}
	}
	if m.leaseHolder != "" && (m.now >= m.leaseEnd || m.chance(m.leaderLossRate)) {
		m.leaseHolder = "" // expired, or ended early without notice to its holder
	}
}

// startPartition separates a server from the leaders and the store. Its entry expires after
// three heartbeats, and is back soon after the partition if the process still runs.
func (m *simulation) startPartition(s *fakeServer) {
	born := s.born
	s.partition = partitionKind(1 + m.random.IntN(3))
	m.schedule(2600*time.Millisecond, "expired", func() {
		if s.born == born && s.partition != noPartition {
			s.isListed = false
		}
	})
	m.schedule(time.Duration(1000+m.random.IntN(9000))*time.Millisecond, "healed", func() {
		if s.born == born && s.isUp {
			s.partition = noPartition
			s.isListed, s.listedStart = true, s.born
		}
	})
}

// copyInterval is the time between two copies of the store, and maxCopies the number kept.
const (
	copyInterval = time.Second
	maxCopies    = 9
)

func (m *simulation) injectStoreFaults() {
	if m.now%copyInterval == 0 {
		m.copies = append(m.copies, storeCopy{maps.Clone(m.stored), m.revision})
		m.copies = m.copies[max(len(m.copies)-maxCopies, 0):]
	}
	if !m.isStoreDown && m.chance(m.recoveryRate) {
		m.isStoreDown = true
		m.schedule(time.Duration(m.random.IntN(5000))*time.Millisecond, "restored", m.restoreStore)
	}
}

// restoreStore brings the store back from a random copy.
func (m *simulation) restoreStore() {
	m.isStoreDown = false
	m.era++
	m.leaseHolder = ""
	chosen := m.copies[m.random.IntN(len(m.copies))]
	m.stored, m.revision = maps.Clone(chosen.stored), chosen.revision
	m.copies = []storeCopy{chosen}
}

// follow updates what an instance knows of the store.
func (m *simulation) follow(l *fakeLeader) {
	for _, s := range m.servers {
		if s.isListed {
			l.listedAt[s.id] = m.now
		}
	}
	if m.isStoreDown || !m.chance(6) {
		return
	}
	if l.era != m.era {
		l.era, l.eraBeganAt = m.era, m.now
	}
	for era, stored := range m.stored {
		if era > l.knownEra || era == l.knownEra && (era == m.era || len(l.known.Ranges) == 0) {
			l.known, l.knownEra = stored.Clone(), era
		}
	}
	l.releases.Observe(m.now, l.known)
}

// restart replaces an instance by a new process.
func (m *simulation) restart(l *fakeLeader) {
	*l = fakeLeader{name: l.name, startedAt: m.now, era: -1, listedAt: map[string]time.Duration{}}
}

// addresses returns the servers that an instance has seen listed recently.
func (m *simulation) addresses(l *fakeLeader) map[string]string {
	addresses := map[string]string{}
	for id, at := range l.listedAt {
		if m.now-at < simulationTiming.HolderMemory() {
			addresses[id] = id
		}
	}
	return addresses
}

// stepLeader lets one instance act as the leader, or become it.
func (m *simulation) stepLeader(l *fakeLeader) {
	if m.chance(m.restartRate) {
		m.restart(l)
	}
	m.follow(l)
	switch {
	case l.isLeading && l.era != l.termEra:
		m.endTerm(l, m.now < l.believedLeaseEnd)
	case l.isLeading && m.chance(m.resignRate):
		m.resign(l)
	case l.isLeading && (m.now >= l.believedLeaseEnd || m.chance(0.02)):
		m.endTerm(l, m.continuesUncertain)
	case !l.isLeading && l.era == m.era && !m.isStoreDown && m.leaseHolder == "" && m.chance(3):
		m.startTerm(l)
	}
	if !l.isLeading || m.random.IntN(4) == 0 {
		return
	}
	if m.leaseHolder == l.name && l.termEra == m.era && !m.isStoreDown && m.chance(4.5/l.timing.LeaderLeaseTTL.Seconds()) {
		m.leaseEnd = m.now + l.timing.LeaderLeaseTTL
		l.believedLeaseEnd = m.now + l.timing.LeaderLeaseTTL - 200*time.Millisecond
	}
	cluster := m.clusterState()
	if l.recovery != nil {
		for _, c := range l.recovery.DueCommands(m.now, cluster, m.addresses(l)) {
			m.send(l, l.recovery, c)
		}
		if !l.recovery.IsDone(m.now) {
			return
		}
		l.assigner, l.recovery = l.recovery.Assigner(m.now), nil
	}
	for _, c := range l.assigner.DueCommands(m.now, cluster, m.addresses(l)) {
		m.send(l, l.assigner, c)
	}
	if !l.isWriting {
		m.plan(l, cluster)
	}
}

func (m *simulation) endTerm(l *fakeLeader, mayContinue bool) {
	l.isLeading, l.suspended = false, nil
	if mayContinue && l.recovery == nil && (l.revision != 0 || m.continuesUnstored) {
		l.suspended, l.suspendedEra = l.assigner, l.termEra
	}
	l.recovery = nil
}

// resign ends a term as a shutdown does. The mark is written only without commands in flight.
func (m *simulation) resign(l *fakeLeader) {
	l.isLeading, l.suspended = false, nil
	if m.leaseHolder == l.name && l.termEra == m.era {
		m.leaseHolder = ""
	}
	if l.recovery != nil || l.isWriting || l.assigner.HasWithheldGrants() || l.assigner.HasCommandInFlight() || m.isStoreDown || l.termEra != m.era || m.stored[m.era].revision != l.revision || l.revision == 0 {
		l.recovery = nil
		return
	}
	next := l.assigner.Map().Clone()
	next.IsResigned = true
	m.store(l, next)
}

// startTerm makes an instance the leader.
func (m *simulation) startTerm(l *fakeLeader) {
	l.timing = simulationTiming
	if m.random.IntN(2) == 0 {
		l.timing = fastTiming
	}
	m.leaseHolder, m.leaseEnd = l.name, m.now+l.timing.LeaderLeaseTTL
	m.lastLease++
	l.believedLeaseEnd = m.now + l.timing.LeaderLeaseTTL - 200*time.Millisecond
	l.isLeading, l.termEra, l.recovery, l.isWriting = true, m.era, nil, false
	stored, found := m.stored[m.era]
	switch {
	case found:
		l.assigner = NewAssigner(m.now, l.timing, stored.Clone())
		l.assigner.RecallReleases(l.releases)
		m.recalled += len(l.assigner.releaseEnds)
		if stored.IsResigned {
			m.afterResignation++
		}
		next := l.assigner.Map().Clone()
		next.StartTerm(m.lastLease)
		l.assigner.SetEnds(m.now, &next)
		if m.ignoresPredecessor {
			l.assigner.grantsExpireAt, l.assigner.predecessorDoneAt = map[string]time.Duration{}, 0
		}
		m.store(l, next)
		l.assigner.Adopt(next)
	case l.suspended != nil && l.suspendedEra+1 == m.era:
		m.continued++
		l.assigner = l.suspended
		next := l.assigner.Map().Clone()
		m.startEra(&next)
		next.LeaderLease = max(next.LeaderLease, l.timing.LeaderLeaseTTL)
		l.assigner.ContinueUnder(l.timing.LeaderLeaseTTL)
		l.assigner.Adopt(next)
		m.store(l, next)
	default:
		m.recoveries++
		last := l.known.Clone()
		m.startEra(&last)
		l.revision = 0
		knowsHolders := l.eraBeganAt-l.startedAt >= simulationTiming.HolderMemory()
		l.recovery = NewRecovery(l.eraBeganAt, l.timing, last, knowsHolders)
		if m.believesEarlierEra {
			l.assigner, l.recovery = NewAssigner(m.now, l.timing, last), nil
		}
	}
	l.suspended = nil
}

func (m *simulation) startEra(next *shardmap.Map) {
	before := next.LastFence
	next.StartEra(redwingstall.Era(m.era), m.lastLease)
	if m.reusesFenceOfEra {
		next.LastFence = before
	}
}

// store writes the map of the current era.
func (m *simulation) store(l *fakeLeader, next shardmap.Map) {
	m.revision++
	l.revision = m.revision
	m.stored[m.era] = storedMap{next.Clone(), m.revision}
}

func (m *simulation) plan(l *fakeLeader, cluster ClusterState) {
	draft, changed := l.assigner.Plan(m.now, cluster)
	if !changed && !l.assigner.HasWithheldGrants() || m.isStoreDown || l.termEra != m.era {
		return
	}
	if m.reusesFence {
		draft.LastFence = 1
	}
	if m.understatesEnds {
		for i := range draft.Ranges {
			draft.Ranges[i].GrantsEndWithin /= 2
		}
	}
	if !m.grantsDuringWrite {
		l.assigner.BeginWrite(draft)
	}
	l.isWriting = true
	assigner, expected, era := l.assigner, l.revision, m.era
	write := func() {
		if m.era == era && !m.isStoreDown && m.stored[era].revision == expected {
			m.revision++
			m.stored[era] = storedMap{draft.Clone(), m.revision}
		}
	}
	// settle reads the stored map. A write without an answer may take effect afterwards.
	settle := func() {
		if !l.isLeading || l.assigner != assigner {
			return
		}
		l.isWriting = false
		stored := m.stored[era]
		if m.era != era || m.isStoreDown || stored.Term != draft.Term || stored.revision == expected {
			if m.forgetsFailedWrite {
				assigner.Adopt(assigner.Map())
			}
			return
		}
		l.revision = stored.revision
		assigner.Adopt(stored.Clone())
	}
	if m.random.Float64() >= m.slowWriteShare {
		write()
		settle()
		return
	}
	const longest, timeout = 4000, 1700 * time.Millisecond
	takesEffect := time.Duration(m.random.IntN(longest)) * time.Millisecond
	m.schedule(takesEffect, "written", write)
	answered := takesEffect + time.Duration(m.random.IntN(longest))*time.Millisecond
	m.schedule(min(answered, timeout), "settled", settle)
}

func (m *simulation) clusterState() ClusterState {
	cluster := ClusterState{Servers: map[string]Server{}, IsStoreUnavailable: m.isStoreDown}
	for _, s := range m.servers {
		if s.isListed {
			cluster.Servers[s.id] = Server{Server: shardmap.Server{ID: s.id, StartedAtMillis: s.listedStart}, Address: s.id, IsUsable: !s.isLeaving, Capacity: 10}
		}
	}
	return cluster
}

// recorder takes the results of commands.
type recorder interface {
	BeginSend(now time.Duration, c Command) bool
	RecordResult(now time.Duration, c Command, result Result)
}

// send sends a command, sometimes later than it was due.
func (m *simulation) send(l *fakeLeader, r recorder, c Command) {
	delay := time.Duration(0)
	if m.random.IntN(8) == 0 {
		delay = time.Duration(m.random.Int64N(int64(m.maxSendDelay)))
	}
	assigner, termEra, leaseEnd := l.assigner, l.termEra, &l.believedLeaseEnd
	run := func() {
		if !r.BeginSend(m.now, c) && !m.sendsWithheldGrants {
			return
		}
		if l.assigner != assigner || l.termEra != termEra || !l.isLeading || m.now >= *leaseEnd {
			r.RecordResult(m.now, c, Result{IsUnanswered: true, IsUnsent: true})
			return
		}
		m.execute(r, c)
	}
	if delay == 0 {
		run()
		return
	}
	m.schedule(delay, "sent", run)
}

func (m *simulation) execute(r recorder, c Command) {
	s := m.serverOf(c.Owner.ID)
	done := func(delay time.Duration, result Result) {
		m.schedule(delay, "done", func() { r.RecordResult(m.now, c, result) })
	}
	unanswered := Result{IsUnanswered: true}
	timeout := simulationTiming.GrantTimeout
	refused := Result{IsUnanswered: true, IsUnsent: true}
	if m.believesRefusals && !s.isListed {
		refused = Result{}
	}
	misdirected := unanswered
	if m.believesOtherServer {
		misdirected = Result{}
	}
	misdirected.IsReplaced = m.believesUnlistedSuccessor && c.Kind == CommandRelease
	// The address of a server that has ended belongs to another one, which the store lists.
	isReplaced := c.Kind == CommandRelease && !s.isUp && s.isReplaced && !(s.isListed && s.listedStart == c.Owner.StartedAtMillis)
	switch {
	case isReplaced:
		m.replaced++
		done(simulationStep, Result{IsUnanswered: true, IsReplaced: true})
	case !s.isUp && s.isUnreachable, s.partition == silentPartition:
		done(timeout, unanswered)
	case !s.isUp, s.partition == refusingPartition:
		done(simulationStep, refused)
	case s.partition == misdirectingPartition:
		done(simulationStep, misdirected)
	case m.random.IntN(12) == 0: // applied late; the time to live counts from the arrival
		born, arrived := s.born, m.now
		m.schedule(time.Duration(2000+m.random.IntN(10000))*time.Millisecond, "late", func() {
			if s.isUp && s.born == born {
				m.apply(s, c, arrived)
			}
		})
		done(timeout, unanswered)
	default:
		result := m.apply(s, c, m.now)
		if m.random.IntN(12) == 0 {
			result = unanswered
			done(timeout, result)
			return
		}
		done(time.Duration(1+m.random.IntN(300))*time.Millisecond, result)
	}
}

func (m *simulation) serverOf(id string) *fakeServer {
	for _, s := range m.servers {
		if s.id == id {
			return s
		}
	}
	panic(id)
}

func sampleKey(i int) int { return i*(redwingstall.KeyCount/sampleKeys) + 17 }

// apply is what a server does with a command that arrived at an instant.
func (m *simulation) apply(s *fakeServer, c Command, arrived time.Duration) Result {
	if m.trace != nil {
		m.trace("%v %s %s born %d keys %d-%d fence %d arrived %v", m.now, c.Kind, s.id, s.born, c.Keys.From, c.Keys.To, c.Fence, arrived)
	}
	for i := range sampleKeys {
		if key := sampleKey(i); key >= c.Keys.From && key <= c.Keys.To && c.Kind == CommandGrant && s.highestFence[i] > c.Fence {
			return Result{IsFenced: true}
		}
	}
	for i := range sampleKeys {
		if key := sampleKey(i); key < c.Keys.From || key > c.Keys.To {
			continue
		}
		s.highestFence[i] = max(s.highestFence[i], c.Fence)
		if c.Kind == CommandRelease {
			s.grantedUntil[i] = 0
			continue
		}
		hold := time.Duration(float64(c.GrantTTL) * (1 + s.clockDrift))
		if arrived+hold <= m.now {
			continue // applied late, when its time is over: the server takes no key
		}
		if s.grantFence[i] != c.Fence {
			m.checkFence(s, i, c.Fence)
			m.grantsApplied++
		}
		s.grantFence[i] = c.Fence
		s.grantedUntil[i] = max(s.grantedUntil[i], arrived+hold)
	}
	return Result{Handover: "h"}
}

func (m *simulation) checkFence(s *fakeServer, i int, fence int64) {
	for _, other := range m.servers {
		if other != s && other.grantFence[i] >= fence {
			m.violation = fmt.Sprintf("%v: key %d: %s got fence %d, %s had %d", m.now, sampleKey(i), s.id, fence, other.id, other.grantFence[i])
		}
	}
}

func (m *simulation) checkHolders() {
	for i := range sampleKeys {
		holder := ""
		for _, s := range m.servers {
			if !s.isUp || s.grantedUntil[i] <= m.now {
				continue
			}
			if holder != "" {
				m.violation = fmt.Sprintf("%v: key %d: held by %s and %s", m.now, sampleKey(i), holder, s.id)
			}
			holder = s.id
		}
	}
}

func simulationSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("EXPLORE"), 10, 64); err == nil {
		return n
	}
	return 150
}

// Whatever the faults, no key may ever have two holders, and the fencing tokens of a
// key's successive owners must rise.
func TestNoKeyHasTwoOwners(t *testing.T) {
	grantsApplied, recoveries, continued, recalled, replaced, resigned := 0, 0, 0, 0, 0, 0
	for seed := range simulationSeeds() {
		m := newSimulation(seed)
		m.run()
		require.Empty(t, m.violation, "seed %d", seed)
		grantsApplied += m.grantsApplied
		recoveries += m.recoveries
		continued += m.continued
		recalled += m.recalled
		replaced += m.replaced
		resigned += m.afterResignation
	}
	require.Positive(t, recoveries)
	require.Positive(t, continued)
	require.Positive(t, recalled)
	require.Positive(t, replaced)
	require.Positive(t, resigned)
	require.Greater(t, grantsApplied, 10*sampleKeys, "the simulation must apply grants")
}

// A new leader that does not wait for its predecessor's grants causes two owners. The
// simulation must detect that.
func TestSimulationDetectsLeaderThatIgnoresPredecessor(t *testing.T) {
	require.True(t, findsViolation(func(m *simulation) { m.ignoresPredecessor = true }))
}

// Fencing tokens that are issued twice must be detected too.
func TestSimulationDetectsReusedFences(t *testing.T) {
	require.True(t, findsViolation(func(m *simulation) { m.reusesFence = true }))
}

// Each decision about a new era of the store must be needed.
func TestSimulationDetectsDecisionsByAnEarlierEra(t *testing.T) {
	for name, injectBug := range map[string]func(m *simulation){
		"fencing tokens of an earlier era are issued again": func(m *simulation) {
			m.reusesFenceOfEra, m.recoveryRate, m.restartRate, m.leaderLossRate, m.resignRate = true, 0.05, 0.1, 0.03, 0
			m.slowWriteShare, m.serverFaultRate, m.duration = 0, 5, 4*simulatedTime
		},
		"the owners of an earlier era are believed":              func(m *simulation) { m.believesEarlierEra = true },
		"a leader continues although its lease may have expired": func(m *simulation) { m.continuesUncertain = true },
		"a leader continues with a map that it never stored": func(m *simulation) {
			m.continuesUnstored, m.recoveryRate, m.leaderLossRate, m.restartRate, m.resignRate = true, 0.12, 1, 0, 0
			m.slowWriteShare, m.serverFaultRate, m.duration = 0.1, 0.2, 4*simulatedTime
		},
	} {
		require.True(t, findsViolation(injectBug), name)
	}
}

// Guards against review/1: a partition refused the connections to owners, which served on
// for others, and ended their entries. Each kind of evidence that was taken for the end of an
// owner must be found out.
func TestSimulationDetectsEvidenceThatAPartitionGivesToo(t *testing.T) {
	for name, injectBug := range map[string]func(m *simulation){
		"a refused connection and a missing entry are believed":   func(m *simulation) { m.believesRefusals = true },
		"the answer of another server at the address is believed": func(m *simulation) { m.believesOtherServer = true },
		"that answer is believed without an entry of its sender":  func(m *simulation) { m.believesUnlistedSuccessor = true },
	} {
		require.True(t, findsViolation(injectBug), name)
	}
}

// Guards against two owners since a leader trusts what the map says about the grants of a
// released range. Each decision that makes it true must be needed.
func TestSimulationDetectsUntrueEndsOfGrants(t *testing.T) {
	slowWrites := func(m *simulation) {
		m.slowWriteShare, m.leaderLossRate, m.serverFaultRate, m.recoveryRate = 1, 0.15, 4, 0
		m.maxSendDelay = 6 * time.Second
	}
	frequentLosses := func(m *simulation) {
		m.leaderLossRate, m.serverFaultRate, m.recoveryRate, m.maxSendDelay = 0.1, 4, 0, 6*time.Second
	}
	for name, injectBug := range map[string]func(m *simulation){
		"the map says less than what the grants last": func(m *simulation) {
			frequentLosses(m)
			m.understatesEnds = true
		},
		"a grant that was due before the write began is sent later": func(m *simulation) {
			frequentLosses(m)
			m.sendsWithheldGrants = true
		},
		"a leader grants keys while it writes their release": func(m *simulation) {
			slowWrites(m)
			m.grantsDuringWrite = true
		},
		"a leader grants keys again when their release seems lost": func(m *simulation) {
			slowWrites(m)
			m.forgetsFailedWrite = true
		},
	} {
		require.True(t, findsViolation(injectBug), name)
	}
	for _, scenario := range []func(*simulation){slowWrites, frequentLosses} {
		for seed := range simulationSeeds() * 2 / 5 {
			m := newSimulation(seed)
			scenario(m)
			m.run()
			require.Empty(t, m.violation, "without a fault, seed %d", seed)
		}
	}
}

func findsViolation(injectBug func(*simulation)) bool {
	for seed := range uint64(200) {
		m := newSimulation(seed)
		injectBug(m)
		m.run()
		if m.violation != "" {
			return true
		}
	}
	return false
}
