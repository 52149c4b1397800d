package soak

import (
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// pickFault chooses a random fault and returns a function that injects it. The
// choice depends on the seed only.
func (s *Soak) pickFault() func() {
	faults := []namedFault{
		{"kill", s.kill},
		{"pause", s.pause},
		{"term", s.term},
		{"term", s.term},
		{"hangup", s.hangUp},
		{"cutFromStore", s.cutFromStore},
		{"resetStore", s.resetStore},
		{"slowStore", s.slowStore},
		{"storeBusy", s.storeBusy},
		{"storeLosesAnswers", s.storeLosesAnswers},
		{"storeExecutesLate", s.storeExecutesLate},
		{"compact", s.compact},
		{"revoke", s.revoke},
		{"crashServer", s.crashServer},
		{"silenceServer", s.silenceServer},
		{"oneWayServer", s.oneWayServer},
		{"drainServer", s.drainServer},
		{"loseAnswers", s.loseAnswers},
		{"configure", s.newVersion},
		{"configure", s.newVersion},
		{"evacuate", s.evacuate},
		{"loseEntry", s.loseEntry},
	}
	if s.config.RestoresStore {
		faults = append(faults, namedFault{"restoreStore", s.restoreStore}, namedFault{"restoreStore", s.restoreStore})
	}
	fault := faults[s.random.IntN(len(faults))]
	return s.drawFault(fault)
}

// namedFault is a fault that lasts for a pause and chooses what it affects by a draw.
type namedFault struct {
	name string
	run  func(pause time.Duration, draw int)
}

// drawFault returns a function that injects a fault with a random pause and draw.
func (s *Soak) drawFault(fault namedFault) func() {
	pause := time.Duration(300+s.random.IntN(3500)) * time.Millisecond
	draw := s.random.IntN(1 << 20)
	return func() {
		s.printf("%s for %v (%d)", fault.name, pause, draw)
		fault.run(pause, draw)
	}
}

func (s *Soak) pickInstance(draw int) *instance { return s.instances[draw%len(s.instances)] }

func (s *Soak) pickBackend(draw int) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backends[draw%len(s.backends)]
}

// removeBackend removes a server from the list that faults choose from, unless its
// service would be left with fewer than two. It reports whether the server was removed.
func (s *Soak) removeBackend(b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sameServiceCount := 0
	for _, other := range s.backends {
		if other.Service == b.Service {
			sameServiceCount++
		}
	}
	for i, other := range s.backends {
		if other == b && sameServiceCount > 2 {
			s.backends = append(s.backends[:i:i], s.backends[i+1:]...)
			return true
		}
	}
	return false
}

func (s *Soak) restart(i *instance) {
	if err := i.start(); err != nil {
		s.ledger.RecordViolation("%s failed to start: %v", i.name, err)
	}
}

func (s *Soak) kill(pause time.Duration, draw int) {
	i := s.pickInstance(draw)
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	i.wait(shutdownGrace)
	time.Sleep(pause / 3)
	s.restart(i)
}

func (s *Soak) pause(pause time.Duration, draw int) {
	i := s.pickInstance(draw)
	i.signal(syscall.SIGSTOP)
	time.Sleep(pause)
	s.ledger.AllowLateGrants(delayedGrantWindow)
	i.signal(syscall.SIGCONT)
}

// delayedGrantWindow is how long after a pause or a network cut delayed grants may
// still arrive, as the platform specifies.
const delayedGrantWindow = 300 * time.Millisecond

func (s *Soak) term(_ time.Duration, draw int) {
	i := s.pickInstance(draw)
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGTERM)
	calm := i.undisturbedFor()
	if i.wait(shutdownGrace) && calm > requiredCalm {
		s.ledger.RecordViolation("%s was still running after its shutdown grace period", i.name)
	}
	s.restart(i)
}

func (s *Soak) hangUp(_ time.Duration, draw int) { s.pickInstance(draw).signal(syscall.SIGHUP) }

func (s *Soak) cutFromStore(pause time.Duration, draw int) {
	i := s.pickInstance(draw)
	i.markDisturbed()
	i.store.set(true, false, 0)
	time.Sleep(pause)
	i.markDisturbed()
	i.store.reset()
	i.store.set(false, false, 0)
}

func (s *Soak) resetStore(_ time.Duration, draw int) {
	i := s.pickInstance(draw)
	i.markDisturbed()
	i.store.reset()
}

func (s *Soak) slowStore(pause time.Duration, draw int) {
	i := s.pickInstance(draw)
	i.store.set(false, false, 150*time.Millisecond)
	time.Sleep(pause)
	i.markDisturbed()
	i.store.set(false, false, 0)
}

func (s *Soak) withStoreFault(fault platformtest.StoreFault, pause time.Duration) {
	s.markStoreDisturbed()
	s.store.SetFault(fault)
	time.Sleep(pause)
	s.store.SetFault(platformtest.StoreHealthy)
	s.markStoreDisturbed()
}

func (s *Soak) storeBusy(pause time.Duration, _ int) { s.withStoreFault(platformtest.StoreBusy, pause) }

func (s *Soak) storeLosesAnswers(pause time.Duration, _ int) {
	s.withStoreFault(platformtest.StoreDropsResponses, pause)
}

func (s *Soak) storeExecutesLate(pause time.Duration, _ int) {
	s.withStoreFault(platformtest.StoreExecutesLate, pause)
}

func (s *Soak) compact(time.Duration, int) {
	s.markStoreDisturbed()
	s.store.Compact()
}

// revoke ends the leader's lease without notifying the leader.
func (s *Soak) revoke(time.Duration, int) { s.store.EndLeaseOf(view.LeaderKey(s.store.Era())) }

func (s *Soak) crashServer(pause time.Duration, draw int) {
	b := s.pickBackend(draw)
	if !s.removeBackend(b) {
		return
	}
	b.Crash()
	b.proxy.close()
	time.Sleep(pause)
	s.store.Unregister(b.Server)
	s.replace(b.Service)
}

func (s *Soak) replace(service string) {
	if err := s.addServer(service); err != nil {
		s.ledger.RecordViolation("backend server failed to start: %v", err)
	}
}

// silenceServer blocks all traffic to and from a server.
func (s *Soak) silenceServer(pause time.Duration, draw int) {
	s.blockServerTraffic(pause, draw, false)
}

// blockServerTraffic blocks the traffic to and from a server, or only its responses.
func (s *Soak) blockServerTraffic(pause time.Duration, draw int, responsesOnly bool) {
	b := s.pickBackend(draw)
	b.proxy.set(!responsesOnly, responsesOnly, 0)
	time.Sleep(pause)
	b.proxy.reset()
	s.ledger.AllowLateGrants(delayedGrantWindow)
	b.proxy.set(false, false, 0)
}

func (s *Soak) oneWayServer(pause time.Duration, draw int) {
	s.blockServerTraffic(pause, draw, true)
}

func (s *Soak) loseAnswers(pause time.Duration, draw int) {
	b := s.pickBackend(draw)
	b.DropResponses(0.3)
	time.Sleep(pause)
	b.DropResponses(0)
}

// loseEntry removes the service discovery entry of a running server for a while.
func (s *Soak) loseEntry(pause time.Duration, draw int) {
	b := s.pickBackend(draw)
	s.store.Unregister(b.Server)
	time.Sleep(pause)
	s.mu.Lock()
	isListed := false
	for _, other := range s.backends {
		isListed = isListed || other == b
	}
	s.mu.Unlock()
	if isListed {
		s.store.Register(b.Server, b.proxy.address(), false)
	}
}

// drainServer drains a server. After drainBound it must receive no more requests,
// which is checked if the instances and the store were undisturbed.
func (s *Soak) drainServer(_ time.Duration, draw int) {
	b := s.pickBackend(draw)
	if !s.removeBackend(b) {
		return
	}
	s.store.Register(b.Server, b.proxy.address(), true)
	s.checkIdle([]*backend{b}, drainBound)
	s.store.Unregister(b.Server)
	b.Crash()
	b.proxy.close()
	s.replace(b.Service)
}

func (s *Soak) isUndisturbed(duration time.Duration) bool {
	for _, i := range s.instances {
		if i.undisturbedFor() < duration {
			return false
		}
	}
	return s.storeUndisturbedFor() >= duration
}

func (s *Soak) startCount() int {
	count := 0
	for _, i := range s.instances {
		count += i.startCount()
	}
	return count
}

func (s *Soak) newVersion(_ time.Duration, draw int) { s.configure(draw) }

// evacuate evacuates a failure domain. After evacuationBound its servers must receive no
// more requests, which is checked if the instances and the store were undisturbed.
func (s *Soak) evacuate(pause time.Duration, draw int) {
	if !s.evacuation.TryLock() {
		return
	}
	defer s.evacuation.Unlock()
	domain := domains[draw%len(domains)]
	s.store.Evacuate(domain, true)
	s.mu.Lock()
	evacuated := []*backend{}
	for _, b := range s.backends {
		if b.FailureDomain == domain {
			evacuated = append(evacuated, b)
		}
	}
	s.mu.Unlock()
	s.checkIdle(evacuated, evacuationBound)
	time.Sleep(pause / 4)
	s.store.Evacuate(domain, false)
}

// checkIdle checks for a second, from a bound on, that servers receive no requests, if
// the instances and the store were undisturbed until then. The check ends early if an
// instance starts while the store lacks the latest writes of the operator.
func (s *Soak) checkIdle(servers []*backend, bound time.Duration) {
	const duration, pollInterval = time.Second, 10 * time.Millisecond
	time.Sleep(bound)
	setFrom := func(instant time.Time) {
		for _, b := range servers {
			b.MustBeIdleFrom(instant)
		}
	}
	defer setFrom(time.Time{})
	if !s.isUndisturbed(bound + requiredCalm) {
		time.Sleep(duration)
		return
	}
	start, starts := time.Now(), s.startCount()
	setFrom(start)
	for time.Since(start) < duration {
		time.Sleep(pollInterval)
		if s.isRewritePending() && s.startCount() != starts {
			setFrom(time.Time{})
		}
	}
}
