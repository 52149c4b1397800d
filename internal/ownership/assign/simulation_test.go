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
	e := &simulation{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range 5 {
		e.servers = append(e.servers, &fakeServer{id: fmt.Sprintf("s%d", i), born: 1, isUp: true, isListed: true, listedStart: 1, clockDrift: e.random.Float64() * maxClockDrift})
	}
	for i := range 3 {
		e.leaders = append(e.leaders, &fakeLeader{name: fmt.Sprintf("l%d", i)})
	}
	return e
}

func (e *simulation) chance(perSecond float64) bool {
	return e.random.Float64() < perSecond*simulationStep.Seconds()
}

func (e *simulation) schedule(delay time.Duration, name string, run func()) {
	e.scheduled = append(e.scheduled, scheduledEvent{e.now + delay, name, run})
}

func (e *simulation) run() {
	for ; e.now < simulatedTime && e.violation == ""; e.now += simulationStep {
		e.runScheduled()
		e.injectFaults()
		for _, l := range e.leaders {
			e.stepLeader(l)
		}
		e.checkHolders()
	}
}

func (e *simulation) runScheduled() {
	due := e.scheduled
	e.scheduled = nil
	for _, d := range due {
		if d.at <= e.now {
			d.run()
		} else {
			e.scheduled = append(e.scheduled, d)
		}
	}
}

func (e *simulation) injectFaults() {
	for _, s := range e.servers {
		switch {
		case s.isUp && e.chance(0.02):
			s.isUp, s.isUnreachable, s.crashedAt = false, e.random.IntN(2) == 0, e.now
		case !s.isUp && e.chance(0.4):
			*s = fakeServer{id: s.id, born: s.born + 1, isUp: true, isListed: s.isListed, listedStart: s.listedStart, clockDrift: s.clockDrift}
			e.schedule(time.Duration(e.random.IntN(900))*time.Millisecond, "listed", func() { s.isListed, s.listedStart = true, s.born })
		case s.isUp && s.isListed && e.chance(0.01):
			s.isListed = false // disconnected from the store, but serving
			e.schedule(3*time.Second, "listed", func() { s.isListed, s.listedStart = true, s.born })
		case e.chance(0.02):
			s.isLeaving = !s.isLeaving
		}
		if !s.isUp && e.now-s.crashedAt > 2600*time.Millisecond {
			s.isListed = false
		}
	}
	if e.leaseHolder != "" && (e.now >= e.leaseEnd || e.chance(0.05)) {
		e.leaseHolder = "" // expired, or ended early without notice to its holder
	}
}

// stepLeader lets one instance act as the leader, or become it.
func (e *simulation) stepLeader(l *fakeLeader) {
	switch {
	case l.isLeading && (e.now >= l.believedLeaseEnd || e.chance(0.02)):
		l.isLeading = false
	case !l.isLeading && e.leaseHolder == "" && e.chance(3):
		e.leaseHolder, e.leaseEnd = l.name, e.now+simulationTiming.LeaderLeaseTTL
		l.believedLeaseEnd = e.now + simulationTiming.LeaderLeaseTTL - 200*time.Millisecond
		e.stored.Term++
		e.revision++
		l.revision, l.isLeading = e.revision, true
		l.assigner = NewAssigner(e.now, simulationTiming, e.stored.Clone())
		if e.ignoresPredecessor {
			l.assigner.grantsExpireAt, l.assigner.predecessorDoneAt = map[string]time.Duration{}, 0
		}
	}
	if !l.isLeading || e.random.IntN(4) == 0 {
		return
	}
	if e.leaseHolder == l.name && e.chance(1.5) {
		e.leaseEnd = e.now + simulationTiming.LeaderLeaseTTL
		l.believedLeaseEnd = e.now + simulationTiming.LeaderLeaseTTL - 200*time.Millisecond
	}
	cluster, addresses := e.clusterState()
	for _, o := range l.assigner.DueCommands(e.now, cluster, addresses) {
		e.execute(l, o)
	}
	draft, changed := l.assigner.Plan(e.now, cluster)
	if !changed || e.revision != l.revision {
		return
	}
	if e.reusesFence {
		draft.LastFence = 1
	}
	e.stored = draft.Clone()
	e.revision++
	l.revision = e.revision
	if e.random.IntN(10) > 0 { // otherwise the leader reads the stored map later
		l.assigner.Adopt(draft)
		return
	}
	assigner, term := l.assigner, draft.Term
	e.schedule(300*time.Millisecond, "settled", func() {
		if l.assigner == assigner && e.stored.Term == term {
			l.assigner.Adopt(e.stored.Clone())
		}
	})
}

func (e *simulation) clusterState() (ClusterState, map[string]string) {
	cluster := ClusterState{Servers: map[string]Server{}}
	addresses := map[string]string{}
	for _, s := range e.servers {
		addresses[s.id] = s.id
		if s.isListed {
			cluster.Servers[s.id] = Server{Server: shardmap.Server{ID: s.id, Born: s.listedStart}, IsUsable: !s.isLeaving, Capacity: 10}
		}
	}
	return cluster, addresses
}

func (e *simulation) execute(l *fakeLeader, c Command) {
	s := e.serverOf(c.Owner.ID)
	assigner := l.assigner
	done := func(delay time.Duration, r Result) {
		e.schedule(delay, "done", func() { assigner.RecordResult(e.now, c, r) })
	}
	unanswered := Result{IsUnanswered: true}
	timeout := simulationTiming.GrantTimeout
	switch {
	case !s.isUp && s.isUnreachable:
		done(timeout, unanswered)
	case !s.isUp:
		done(simulationStep, Result{IsUnanswered: true, IsConnectionRefused: true})
	case e.random.IntN(12) == 0: // applied late; the time to live counts from the arrival
		born, arrived := s.born, e.now
		e.schedule(time.Duration(2000+e.random.IntN(10000))*time.Millisecond, "late", func() {
			if s.isUp && s.born == born {
				e.apply(s, c, arrived)
			}
		})
		done(timeout, unanswered)
	default:
		result := e.apply(s, c, e.now)
		if e.random.IntN(12) == 0 {
			result = unanswered
			done(timeout, result)
			return
		}
		done(time.Duration(1+e.random.IntN(300))*time.Millisecond, result)
	}
}

func (e *simulation) serverOf(id string) *fakeServer {
	for _, s := range e.servers {
		if s.id == id {
			return s
		}
	}
	panic(id)
}

func sampleKey(i int) int { return i*(redwingstall.Keys/sampleKeys) + 17 }

// apply is what a server does with a command that arrived at an instant.
func (e *simulation) apply(s *fakeServer, c Command, arrived time.Duration) Result {
	if e.trace != nil {
		e.trace("%v %s %s born %d keys %d-%d fence %d arrived %v", e.now, c.Kind, s.id, s.born, c.Keys.From, c.Keys.To, c.Fence, arrived)
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
			e.checkFence(s, i, c.Fence)
			e.grantsApplied++
		}
		s.grantFence[i] = c.Fence
		hold := time.Duration(float64(c.GrantTTL) * (1 + s.clockDrift))
		s.grantedUntil[i] = max(s.grantedUntil[i], arrived+hold)
	}
	return Result{Handover: "h"}
}

func (e *simulation) checkFence(s *fakeServer, i int, fence int64) {
	for _, other := range e.servers {
		if other != s && other.grantFence[i] >= fence {
			e.violation = fmt.Sprintf("%v: key %d: %s got fence %d, %s had %d", e.now, sampleKey(i), s.id, fence, other.id, other.grantFence[i])
		}
	}
}

func (e *simulation) checkHolders() {
	for i := range sampleKeys {
		holder := ""
		for _, s := range e.servers {
			if !s.isUp || s.grantedUntil[i] <= e.now {
				continue
			}
			if holder != "" {
				e.violation = fmt.Sprintf("%v: key %d: held by %s and %s", e.now, sampleKey(i), holder, s.id)
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
		e := newSimulation(seed)
		e.run()
		require.Empty(t, e.violation, "seed %d", seed)
		grantsApplied += e.grantsApplied
	}
	require.Greater(t, grantsApplied, 10*sampleKeys, "the simulation must apply grants")
}

// A new leader that does not wait for its predecessor's grants causes two owners. The
// simulation must detect that.
func TestSimulationDetectsLeaderThatIgnoresPredecessor(t *testing.T) {
	require.True(t, findsViolation(func(e *simulation) { e.ignoresPredecessor = true }))
}

// Fencing tokens that are issued twice must be detected too.
func TestSimulationDetectsReusedFences(t *testing.T) {
	require.True(t, findsViolation(func(e *simulation) { e.reusesFence = true }))
}

func findsViolation(injectBug func(*simulation)) bool {
	for seed := range uint64(200) {
		e := newSimulation(seed)
		injectBug(e)
		e.run()
		if e.violation != "" {
			return true
		}
	}
	return false
}
