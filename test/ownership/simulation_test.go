// Package ownership_test simulates the system and searches for interleavings of pauses, message
// losses, delays and outages in which two servers own one shard, or two instances act for one
// pool. The decision logic is the real one; the store, the network and the clocks are simulated.
package ownership_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/grant"
	"github.com/redwingstall/redwingstall/pkg/membership"
)

const (
	lifetime  = 1500 * time.Millisecond // of a grant
	rateBound = 0.001                   // on the deviation of a clock's rate
	shards    = 4
	service   = "catalogue"
	pool      = "pool/z/catalogue/a"
)

var recordName = assignment.RecordName("z", service)

// disabledMechanisms switches single safety mechanisms off, to show that the search finds the
// violations that they prevent.
type disabledMechanisms struct {
	skipLeaseWait       bool
	skipAcknowledgement bool
	relativeExpiry      bool
	skipTransitionWait  bool
}

// chooser makes the random choices of one run. choose returns a number below n; the name only
// labels the choice.
type chooser interface {
	choose(name string, n int) int
}

// message is in flight and may be delivered late, twice or never.
type message struct {
	description string
	deliver     func()
}

// localClock is a clock with its own offset that may run slightly fast or slow.
type localClock struct {
	offset time.Duration
	rate   float64
}

// read returns the clock's time after the simulated time t.
func (c localClock) read(t time.Duration) time.Duration {
	return c.offset + t + time.Duration(c.rate*float64(t))
}

// instance is a simulated entry instance. It acts as the home of the pool before actsUntil.
type instance struct {
	sim       *simulation
	member    membership.Member
	clock     localClock
	voter     *membership.Voter
	candidate *membership.Candidate
	mover     *assignment.Mover
	issuers   map[string]*grant.Issuer
	round     *membership.Round
	actsUntil time.Time
	isCrashed bool
}

func (i *instance) now() time.Time {
	return time.Unix(0, 0).Add(i.clock.read(i.sim.elapsed))
}

// server is a simulated backend server.
type server struct {
	name         string
	checksFences bool
	clock        localClock
	table        *grant.Table
	bootCount    int
}

// simulation is the state of one run. The last three fields count what the run did.
type simulation struct {
	chooser          chooser
	disabled         disabledMechanisms
	elapsed          time.Duration
	store            map[string]redwingstall.Record
	revision         redwingstall.Revision
	storeAvailable   bool
	instances        []*instance
	servers          []*server
	inFlight         []message
	eligibleServers  map[string]bool
	lostServers      map[string]bool
	blockedLinks     map[[2]string]bool
	storeUnreachable map[string]bool
	processCount     int
	trace            []string
	violation        string
	assignmentWrites int
	homeUpdates      int
	grantOrders      int
}

func newSimulation(c chooser, disabled disabledMechanisms, checksFences bool) *simulation {
	sm := &simulation{
		chooser: c, disabled: disabled, store: map[string]redwingstall.Record{}, storeAvailable: true,
		eligibleServers: map[string]bool{}, lostServers: map[string]bool{}, blockedLinks: map[[2]string]bool{}, storeUnreachable: map[string]bool{},
	}
	for n := range 3 {
		s := &server{name: fmt.Sprintf("server%d", n), checksFences: checksFences, clock: sm.newClock()}
		s.restart()
		sm.servers = append(sm.servers, s)
		sm.eligibleServers[s.name] = true
	}
	for range 3 {
		sm.startInstance()
	}
	return sm
}

func (s *server) restart() {
	s.bootCount++
	s.table = grant.NewTable(fmt.Sprintf("%s#%d", s.name, s.bootCount), s.checksFences)
}

func (sm *simulation) newClock() localClock {
	offset := time.Duration(1+sm.chooser.choose("offset", 50)) * time.Hour
	rate := float64(sm.chooser.choose("rate", 3)-1) * rateBound / 2
	return localClock{offset, rate}
}

func (sm *simulation) logf(format string, args ...any) {
	sm.trace = append(sm.trace, fmt.Sprintf("%8v ", sm.elapsed)+fmt.Sprintf(format, args...))
}

func (sm *simulation) timing() membership.Timing {
	return membership.Timing{Lifetime: lifetime, ExcludeAfter: time.Second, RateBound: rateBound}
}

func (sm *simulation) startInstance() {
	sm.processCount++
	name := fmt.Sprintf("entry%d", sm.processCount)
	i := &instance{
		sim:    sm,
		member: membership.Member{ID: name + "@1", Name: name, FailureDomain: "a", Peer: name},
		clock:  sm.newClock(),
	}
	i.boot()
	sm.instances = append(sm.instances, i)
}

// boot starts a process of the instance with empty memory.
func (i *instance) boot() {
	wait := i.sim.timing().Wait()
	if i.sim.disabled.skipLeaseWait {
		wait = 0
	}
	i.voter = membership.NewVoter(i.member.ID, i.sim.timing())
	i.candidate = membership.NewCandidate(i.voter, i.sim.timing())
	i.mover = assignment.NewMover(wait)
	i.issuers = map[string]*grant.Issuer{}
	i.round = nil
	i.actsUntil = time.Time{}
}

// instance returns the running process with this id, or nil.
func (sm *simulation) instance(id string) *instance {
	for _, i := range sm.instances {
		if i.member.ID == id && !i.isCrashed {
			return i
		}
	}
	return nil
}

func (sm *simulation) isBlocked(from, to string) bool { return sm.blockedLinks[[2]string{from, to}] }

// send puts a message in flight, unless the chooser drops it.
func (sm *simulation) send(description string, deliver func()) {
	if sm.chooser.choose("drop", 8) == 0 {
		return
	}
	sm.inFlight = append(sm.inFlight, message{description, deliver})
}

// deliver delivers one message, possibly out of order, and may leave a duplicate in flight.
func (sm *simulation) deliver() {
	if len(sm.inFlight) == 0 {
		return
	}
	index := 0
	if sm.chooser.choose("reorder", 4) == 0 {
		index = sm.chooser.choose("message", len(sm.inFlight))
	}
	m := sm.inFlight[index]
	if sm.chooser.choose("duplicate", 8) != 0 {
		sm.inFlight = slices.Delete(sm.inFlight, index, index+1)
	}
	sm.logf("deliver %s", m.description)
	m.deliver()
}

// canReachStore reports whether the store responds to the instance.
func (i *instance) canReachStore() bool {
	return i.sim.storeAvailable && !i.sim.storeUnreachable[i.member.Name]
}

func (i *instance) compareAndSwap(name string, old redwingstall.Revision, value []byte) (redwingstall.Revision, bool) {
	sm := i.sim
	if !i.canReachStore() || sm.store[name].Revision != old {
		return 0, false
	}
	sm.revision++
	sm.store[name] = redwingstall.Record{Name: name, Revision: sm.revision, Value: value}
	sm.logf("store %s revision %d", name, sm.revision)
	return sm.revision, true
}

func (sm *simulation) listStore() []redwingstall.Record {
	records := []redwingstall.Record{}
	for _, record := range sm.store {
		records = append(records, record)
	}
	return records
}

// checkInvariants records a violation if two servers hold a valid grant of one shard, by their
// own clocks, or if two instances act for the pool.
func (sm *simulation) checkInvariants() {
	if sm.violation != "" {
		return
	}
	holders := map[string][]string{}
	for _, s := range sm.servers {
		for shard := range s.table.Held(s.clock.read(sm.elapsed)) {
			holders[shard] = append(holders[shard], s.name)
		}
	}
	for shard, names := range holders {
		if len(names) > 1 {
			sm.violation = fmt.Sprintf("%v: shard %s has owners %v", sm.elapsed, shard, names)
		}
	}
	acting := []string{}
	for _, i := range sm.instances {
		if !i.isCrashed && i.now().Before(i.actsUntil) {
			acting = append(acting, i.member.ID)
		}
	}
	if len(acting) > 1 {
		sm.violation = fmt.Sprintf("%v: pool has home instances %v", sm.elapsed, acting)
	}
}
