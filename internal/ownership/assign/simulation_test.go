package assign

import (
	"fmt"
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
// lose their lease early and go on until they notice; commands are lost, answered late
// or applied seconds later; servers crash, become unreachable, restart under their
// ID, have slow clocks, or lose only their entry. No key may have two holders.

const (
	sampleKeys     = 128
	simulationStep = 25 * time.Millisecond
	simulatedTime  = 60 * time.Second
)

var simulationTiming = Timing{GrantTTL: 5 * time.Second, LeaderLeaseTTL: 3 * time.Second, GrantTimeout: 700 * time.Millisecond}

// fakeServer is one process of a backend server at a time.
type fakeServer struct {
	id            string
	born          int64
	isUp          bool
	isUnreachable bool
	isListed      bool
	listedStart   int64
	isLeaving     bool
	crashedAt     time.Duration
	clockDrift    float64
	grantedUntil  [sampleKeys]time.Duration
	grantFence    [sampleKeys]int64
	highestFence  [sampleKeys]int64
}

type fakeLeader struct {
	name             string
	assigner         *Assigner
	revision         int
	believedLeaseEnd time.Duration
	isLeading        bool
}

type scheduledEvent struct {
	at   time.Duration
	name string
	run  func()
}

type simulation struct {
	random      *rand.Rand
	now         time.Duration
	servers     []*fakeServer
	leaders     []*fakeLeader
	leaseHolder string
	leaseEnd    time.Duration
	stored      shardmap.Map
	revision    int
	scheduled   []scheduledEvent
	// ignoresPredecessor and reusesFence disable one mechanism each, to prove that the
	// simulation detects its loss.
	ignoresPredecessor bool
	reusesFence        bool
	violation          string
	trace              func(format string, args ...any)
	grantsApplied      int
}

func newSimulation(seed uint64) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range 5 {
		m.servers = append(m.servers, &fakeServer{id: fmt.Sprintf("s%d", i), born: 1, isUp: true, isListed: true, listedStart: 1, clockDrift: m.random.Float64() * maxClockDrift})
	}
	for i := range 3 {
		m.leaders = append(m.leaders, &fakeLeader{name: fmt.Sprintf("l%d", i)})
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
	for ; m.now < simulatedTime && m.violation == ""; m.now += simulationStep {
		m.runScheduled()
		m.injectFaults()
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
		case !s.isUp && m.chance(0.4):
			*s = fakeServer{id: s.id, born: s.born + 1, isUp: true, isListed: s.isListed, listedStart: s.listedStart, clockDrift: s.clockDrift}
			m.schedule(time.Duration(m.random.IntN(900))*time.Millisecond, "listed", func() { s.isListed, s.listedStart = true, s.born })
		case s.isUp && s.isListed && m.chance(0.01):
			s.isListed = false // disconnected from the store, but serving
			m.schedule(3*time.Second, "listed", func() { s.isListed, s.listedStart = true, s.born })
		case m.chance(0.02):
			s.isLeaving = !s.isLeaving
		}
		if !s.isUp && m.now-s.crashedAt > 2600*time.Millisecond {
			s.isListed = false
		}
	}
	if m.leaseHolder != "" && (m.now >= m.leaseEnd || m.chance(0.05)) {
		m.leaseHolder = "" // expired, or ended early without notice to its holder
	}
}

// stepLeader lets one instance act as the leader, or become it.
func (m *simulation) stepLeader(l *fakeLeader) {
	switch {
	case l.isLeading && (m.now >= l.believedLeaseEnd || m.chance(0.02)):
		l.isLeading = false
	case !l.isLeading && m.leaseHolder == "" && m.chance(3):
		m.leaseHolder, m.leaseEnd = l.name, m.now+simulationTiming.LeaderLeaseTTL
		l.believedLeaseEnd = m.now + simulationTiming.LeaderLeaseTTL - 200*time.Millisecond
		m.stored.Term++
		m.revision++
		l.revision, l.isLeading = m.revision, true
		l.assigner = NewAssigner(m.now, simulationTiming, m.stored.Clone())
		if m.ignoresPredecessor {
			l.assigner.grantsExpireAt, l.assigner.predecessorDoneAt = map[string]time.Duration{}, 0
		}
	}
	if !l.isLeading || m.random.IntN(4) == 0 {
		return
	}
	if m.leaseHolder == l.name && m.chance(1.5) {
		m.leaseEnd = m.now + simulationTiming.LeaderLeaseTTL
		l.believedLeaseEnd = m.now + simulationTiming.LeaderLeaseTTL - 200*time.Millisecond
	}
	cluster, addresses := m.clusterState()
	for _, c := range l.assigner.DueCommands(m.now, cluster, addresses) {
		m.execute(l, c)
	}
	draft, changed := l.assigner.Plan(m.now, cluster)
	if !changed || m.revision != l.revision {
		return
	}
	if m.reusesFence {
		draft.LastFence = 1
	}
	m.stored = draft.Clone()
	m.revision++
	l.revision = m.revision
	if m.random.IntN(10) > 0 { // otherwise the leader reads the stored map later
		l.assigner.Adopt(draft)
		return
	}
	assigner, term := l.assigner, draft.Term
	m.schedule(300*time.Millisecond, "settled", func() {
		if l.assigner == assigner && m.stored.Term == term {
			l.assigner.Adopt(m.stored.Clone())
		}
	})
}

func (m *simulation) clusterState() (ClusterState, map[string]string) {
	cluster := ClusterState{Servers: map[string]Server{}}
	addresses := map[string]string{}
	for _, s := range m.servers {
		addresses[s.id] = s.id
		if s.isListed {
			cluster.Servers[s.id] = Server{Server: shardmap.Server{ID: s.id, StartedAtMillis: s.listedStart}, IsUsable: !s.isLeaving, Capacity: 10}
		}
	}
	return cluster, addresses
}

func (m *simulation) execute(l *fakeLeader, c Command) {
	s := m.serverOf(c.Owner.ID)
	assigner := l.assigner
	done := func(delay time.Duration, r Result) {
		m.schedule(delay, "done", func() { assigner.RecordResult(m.now, c, r) })
	}
	unanswered := Result{IsUnanswered: true}
	timeout := simulationTiming.GrantTimeout
	switch {
	case !s.isUp && s.isUnreachable:
		done(timeout, unanswered)
	case !s.isUp:
		done(simulationStep, Result{IsUnanswered: true, IsConnectionRefused: true})
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
		if s.grantFence[i] != c.Fence {
			m.checkFence(s, i, c.Fence)
			m.grantsApplied++
		}
		s.grantFence[i] = c.Fence
		hold := time.Duration(float64(c.GrantTTL) * (1 + s.clockDrift))
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
	grantsApplied := 0
	for seed := range simulationSeeds() {
		m := newSimulation(seed)
		m.run()
		require.Empty(t, m.violation, "seed %d", seed)
		grantsApplied += m.grantsApplied
	}
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
