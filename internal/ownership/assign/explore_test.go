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

// The search plays leaders and servers in computed time: leaders that lose their
// lease early and go on until they notice, orders that are lost, answered late
// or applied seconds later, servers that crash, freeze, start again under their
// id, run slow clocks, or lose only their entry. No key may have two holders.

const (
	sampleKeys = 128
	step       = 25 * time.Millisecond
	playFor    = 60 * time.Second
)

var exploreTiming = Timing{GrantTTL: 5 * time.Second, LeaderLeaseTTL: 3 * time.Second, GrantTimeout: 700 * time.Millisecond}

// fakeServer is one process of a backend server at a time.
type fakeServer struct {
	id         string
	born       int64
	isUp       bool
	isDark     bool
	isListed   bool
	listedBorn int64
	isLeaving  bool
	downAt     time.Duration
	slow       float64
	until      [sampleKeys]time.Duration
	fence      [sampleKeys]int64
	seen       [sampleKeys]int64
}

type fakeLeader struct {
	name     string
	assigner *Assigner
	revision int
	believes time.Duration
	isActing bool
}

type delivery struct {
	at   time.Duration
	name string
	run  func()
}

type explored struct {
	random    *rand.Rand
	now       time.Duration
	servers   []*fakeServer
	leaders   []*fakeLeader
	record    string
	recordEnd time.Duration
	stored    shardmap.Map
	revision  int
	pending   []delivery
	// switches of mechanisms, to show that the search notices their loss.
	forgetsFormerLeader bool
	reusesFence         bool
	violation           string
	trace               func(format string, args ...any)
	handed              int
}

func newExplored(seed uint64) *explored {
	e := &explored{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range 5 {
		e.servers = append(e.servers, &fakeServer{id: fmt.Sprintf("s%d", i), born: 1, isUp: true, isListed: true, listedBorn: 1, slow: e.random.Float64() * slowClock})
	}
	for i := range 3 {
		e.leaders = append(e.leaders, &fakeLeader{name: fmt.Sprintf("l%d", i)})
	}
	return e
}

func (e *explored) chance(perSecond float64) bool {
	return e.random.Float64() < perSecond*step.Seconds()
}

func (e *explored) after(delay time.Duration, name string, run func()) {
	e.pending = append(e.pending, delivery{e.now + delay, name, run})
}

func (e *explored) play() {
	for ; e.now < playFor && e.violation == ""; e.now += step {
		e.deliver()
		e.disturb()
		for _, l := range e.leaders {
			e.lead(l)
		}
		e.check()
	}
}

func (e *explored) deliver() {
	due := e.pending
	e.pending = nil
	for _, d := range due {
		if d.at <= e.now {
			d.run()
		} else {
			e.pending = append(e.pending, d)
		}
	}
}

func (e *explored) disturb() {
	for _, s := range e.servers {
		switch {
		case s.isUp && e.chance(0.02):
			s.isUp, s.isDark, s.downAt = false, e.random.IntN(2) == 0, e.now
		case !s.isUp && e.chance(0.4):
			*s = fakeServer{id: s.id, born: s.born + 1, isUp: true, isListed: s.isListed, listedBorn: s.listedBorn, slow: s.slow}
			e.after(time.Duration(e.random.IntN(900))*time.Millisecond, "listed", func() { s.isListed, s.listedBorn = true, s.born })
		case s.isUp && s.isListed && e.chance(0.01):
			s.isListed = false // cut from the store, serving on
			e.after(3*time.Second, "listed", func() { s.isListed, s.listedBorn = true, s.born })
		case e.chance(0.02):
			s.isLeaving = !s.isLeaving
		}
		if !s.isUp && e.now-s.downAt > 2600*time.Millisecond {
			s.isListed = false
		}
	}
	if e.record != "" && (e.now >= e.recordEnd || e.chance(0.05)) {
		e.record = "" // ended, or taken away early without a word
	}
}

// lead lets one process act as leader, or become it.
func (e *explored) lead(l *fakeLeader) {
	switch {
	case l.isActing && (e.now >= l.believes || e.chance(0.02)):
		l.isActing = false
	case !l.isActing && e.record == "" && e.chance(3):
		e.record, e.recordEnd = l.name, e.now+exploreTiming.LeaderLeaseTTL
		l.believes = e.now + exploreTiming.LeaderLeaseTTL - 200*time.Millisecond
		e.stored.Term++
		e.revision++
		l.revision, l.isActing = e.revision, true
		l.assigner = NewAssigner(e.now, exploreTiming, e.stored.Clone())
		if e.forgetsFormerLeader {
			l.assigner.holdUntil, l.assigner.settledAt = map[string]time.Duration{}, 0
		}
	}
	if !l.isActing || e.random.IntN(4) == 0 {
		return
	}
	if e.record == l.name && e.chance(1.5) {
		e.recordEnd = e.now + exploreTiming.LeaderLeaseTTL
		l.believes = e.now + exploreTiming.LeaderLeaseTTL - 200*time.Millisecond
	}
	world, addresses := e.world()
	for _, o := range l.assigner.DueCommands(e.now, world, addresses) {
		e.send(l, o)
	}
	draft, changed := l.assigner.Plan(e.now, world)
	if !changed || e.revision != l.revision {
		return
	}
	if e.reusesFence {
		draft.LastFence = 1
	}
	e.stored = draft.Clone()
	e.revision++
	l.revision = e.revision
	if e.random.IntN(10) > 0 { // else the leader settles it by reading, later
		l.assigner.Adopt(draft)
		return
	}
	assigner, term := l.assigner, draft.Term
	e.after(300*time.Millisecond, "settled", func() {
		if l.assigner == assigner && e.stored.Term == term {
			l.assigner.Adopt(e.stored.Clone())
		}
	})
}

func (e *explored) world() (ClusterState, map[string]string) {
	world := ClusterState{Servers: map[string]Server{}}
	addresses := map[string]string{}
	for _, s := range e.servers {
		addresses[s.id] = s.id
		if s.isListed {
			world.Servers[s.id] = Server{Server: shardmap.Server{ID: s.id, StartedAtMillis: s.listedBorn}, IsUsable: !s.isLeaving, Capacity: 10}
		}
	}
	return world, addresses
}

func (e *explored) send(l *fakeLeader, o Command) {
	s := e.serverOf(o.Owner.ID)
	assigner := l.assigner
	done := func(delay time.Duration, r Result) {
		e.after(delay, "done", func() { assigner.RecordResult(e.now, o, r) })
	}
	lost := Result{IsUnanswered: true}
	timeout := exploreTiming.GrantTimeout
	switch {
	case !s.isUp && s.isDark:
		done(timeout, lost)
	case !s.isUp:
		done(step, Result{IsUnanswered: true, IsConnectionRefused: true})
	case e.random.IntN(12) == 0: // applied late; its time counts from the arrival
		born, arrived := s.born, e.now
		e.after(time.Duration(2000+e.random.IntN(10000))*time.Millisecond, "late", func() {
			if s.isUp && s.born == born {
				e.apply(s, o, arrived)
			}
		})
		done(timeout, lost)
	default:
		result := e.apply(s, o, e.now)
		if e.random.IntN(12) == 0 {
			result = lost
			done(timeout, result)
			return
		}
		done(time.Duration(1+e.random.IntN(300))*time.Millisecond, result)
	}
}

func (e *explored) serverOf(id string) *fakeServer {
	for _, s := range e.servers {
		if s.id == id {
			return s
		}
	}
	panic(id)
}

func sampled(i int) int { return i*(redwingstall.Keys/sampleKeys) + 17 }

// apply is what a server does with an order that arrived at an instant.
func (e *explored) apply(s *fakeServer, o Command, arrived time.Duration) Result {
	if e.trace != nil {
		e.trace("%v %s %s born %d keys %d-%d fence %d arrived %v", e.now, o.Kind, s.id, s.born, o.Keys.From, o.Keys.To, o.Fence, arrived)
	}
	for i := range sampleKeys {
		if key := sampled(i); key >= o.Keys.From && key <= o.Keys.To && o.Kind == CommandGrant && s.seen[i] > o.Fence {
			return Result{IsFenced: true}
		}
	}
	for i := range sampleKeys {
		if key := sampled(i); key < o.Keys.From || key > o.Keys.To {
			continue
		}
		s.seen[i] = max(s.seen[i], o.Fence)
		if o.Kind == CommandRelease {
			s.until[i] = 0
			continue
		}
		if s.fence[i] != o.Fence {
			e.checkFence(s, i, o.Fence)
			e.handed++
		}
		s.fence[i] = o.Fence
		hold := time.Duration(float64(o.GrantTTL) * (1 + s.slow))
		s.until[i] = max(s.until[i], arrived+hold)
	}
	return Result{Handover: "h"}
}

func (e *explored) checkFence(s *fakeServer, i int, fence int64) {
	for _, other := range e.servers {
		if other != s && other.fence[i] >= fence {
			e.violation = fmt.Sprintf("%v: key %d: %s got fence %d, %s had %d", e.now, sampled(i), s.id, fence, other.id, other.fence[i])
		}
	}
}

func (e *explored) check() {
	for i := range sampleKeys {
		holder := ""
		for _, s := range e.servers {
			if !s.isUp || s.until[i] <= e.now {
				continue
			}
			if holder != "" {
				e.violation = fmt.Sprintf("%v: key %d: held by %s and %s", e.now, sampled(i), holder, s.id)
			}
			holder = s.id
		}
	}
}

func exploreSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("EXPLORE"), 10, 64); err == nil {
		return n
	}
	return 150
}

func TestNoKeyHasTwoOwners(t *testing.T) {
	handed := 0
	for seed := range exploreSeeds() {
		e := newExplored(seed)
		e.play()
		require.Empty(t, e.violation, "seed %d", seed)
		handed += e.handed
	}
	require.Greater(t, handed, 10*sampleKeys, "keys were handed over at all")
}

// The search would notice if a new leader did not wait for its predecessor.
func TestSearchNoticesAForgottenLeader(t *testing.T) {
	require.True(t, finds(func(e *explored) { e.forgetsFormerLeader = true }))
}

func TestSearchNoticesReusedFences(t *testing.T) {
	require.True(t, finds(func(e *explored) { e.reusesFence = true }))
}

func finds(breakIt func(*explored)) bool {
	for seed := range uint64(200) {
		e := newExplored(seed)
		breakIt(e)
		e.play()
		if e.violation != "" {
			return true
		}
	}
	return false
}
