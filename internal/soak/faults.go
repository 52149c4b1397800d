package soak

import (
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// pickFault draws a fault; the draw depends on the seed only.
func (s *Soak) pickFault() func() {
	faults := []struct {
		name string
		run  func(pause time.Duration, draw int)
	}{
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
	fault := faults[s.random.IntN(len(faults))]
	pause := time.Duration(300+s.random.IntN(3500)) * time.Millisecond
	draw := s.random.IntN(1 << 20)
	s.printf("%s for %v (%d)", fault.name, pause, draw)
	return func() { fault.run(pause, draw) }
}

func (s *Soak) instanceOf(draw int) *instance { return s.instances[draw%len(s.instances)] }

func (s *Soak) backendOf(draw int) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backends[draw%len(s.backends)]
}

// take takes a server out of the list of those that faults are drawn for.
func (s *Soak) take(b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := 0
	for _, other := range s.backends {
		if other.Service == b.Service {
			same++
		}
	}
	for i, other := range s.backends {
		if other == b && same > 2 {
			s.backends = append(s.backends[:i:i], s.backends[i+1:]...)
			return true
		}
	}
	return false
}

func (s *Soak) restart(i *instance) {
	if err := i.start(); err != nil {
		s.ledger.Violate("%s does not start: %v", i.name, err)
	}
}

func (s *Soak) kill(pause time.Duration, draw int) {
	i := s.instanceOf(draw)
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	i.wait(grace)
	time.Sleep(pause / 3)
	s.restart(i)
}

func (s *Soak) pause(pause time.Duration, draw int) {
	i := s.instanceOf(draw)
	i.signal(syscall.SIGSTOP)
	time.Sleep(pause)
	s.ledger.Excuse(thawSlack)
	i.signal(syscall.SIGCONT)
}

// thawSlack is how long after a pause or a cut grants that were held up may
// still arrive, by the platform's word.
const thawSlack = 300 * time.Millisecond

func (s *Soak) term(_ time.Duration, draw int) {
	i := s.instanceOf(draw)
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGTERM)
	calm := i.calmFor()
	if i.wait(grace) && calm > contact {
		s.ledger.Violate("%s was still there after its grace time", i.name)
	}
	s.restart(i)
}

func (s *Soak) hangUp(_ time.Duration, draw int) { s.instanceOf(draw).signal(syscall.SIGHUP) }

func (s *Soak) cutFromStore(pause time.Duration, draw int) {
	i := s.instanceOf(draw)
	i.disturb()
	i.store.set(true, false, 0)
	time.Sleep(pause)
	i.disturb()
	i.store.reset()
	i.store.set(false, false, 0)
}

func (s *Soak) resetStore(_ time.Duration, draw int) {
	i := s.instanceOf(draw)
	i.disturb()
	i.store.reset()
}

func (s *Soak) slowStore(pause time.Duration, draw int) {
	i := s.instanceOf(draw)
	i.store.set(false, false, 150*time.Millisecond)
	time.Sleep(pause)
	i.disturb()
	i.store.set(false, false, 0)
}

func (s *Soak) withStoreFault(fault platformtest.StoreFault, pause time.Duration) {
	s.disturbStore()
	s.store.SetFault(fault)
	time.Sleep(pause)
	s.store.SetFault(platformtest.StoreWorks)
	s.disturbStore()
}

func (s *Soak) storeBusy(pause time.Duration, _ int) { s.withStoreFault(platformtest.StoreBusy, pause) }

func (s *Soak) storeLosesAnswers(pause time.Duration, _ int) {
	s.withStoreFault(platformtest.StoreLosesAnswers, pause)
}

func (s *Soak) compact(time.Duration, int) {
	s.disturbStore()
	s.store.Compact()
}

// revoke ends the leader's lease without its knowing.
func (s *Soak) revoke(time.Duration, int) { s.store.EndLeaseOf(view.LeaderKey) }

func (s *Soak) crashServer(pause time.Duration, draw int) {
	b := s.backendOf(draw)
	if !s.take(b) {
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
		s.ledger.Violate("server not started: %v", err)
	}
}

func (s *Soak) silenceServer(pause time.Duration, draw int) {
	s.cutServer(pause, draw, false)
}

// cutServer holds back what goes to a server and comes from it, or answers only.
func (s *Soak) cutServer(pause time.Duration, draw int, answersOnly bool) {
	b := s.backendOf(draw)
	b.proxy.set(!answersOnly, answersOnly, 0)
	time.Sleep(pause)
	b.proxy.reset()
	s.ledger.Excuse(thawSlack)
	b.proxy.set(false, false, 0)
}

func (s *Soak) oneWayServer(pause time.Duration, draw int) {
	s.cutServer(pause, draw, true)
}

func (s *Soak) loseAnswers(pause time.Duration, draw int) {
	b := s.backendOf(draw)
	b.LoseAnswers(0.3)
	time.Sleep(pause)
	b.LoseAnswers(0)
}

// loseEntry removes a living server's entry for a while.
func (s *Soak) loseEntry(pause time.Duration, draw int) {
	b := s.backendOf(draw)
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

// drainServer lets a server leave; once the drain bound is over, calm instances
// must leave it alone.
func (s *Soak) drainServer(_ time.Duration, draw int) {
	b := s.backendOf(draw)
	if !s.take(b) {
		return
	}
	s.store.Register(b.Server, b.proxy.address(), true)
	time.Sleep(drainBound)
	if s.isCalm(drainBound + contact) {
		b.MustBeIdleFrom(time.Now())
	}
	time.Sleep(time.Second)
	b.MustBeIdleFrom(time.Time{})
	s.store.Unregister(b.Server)
	b.Crash()
	b.proxy.close()
	s.replace(b.Service)
}

func (s *Soak) isCalm(since time.Duration) bool {
	for _, i := range s.instances {
		if i.calmFor() < since {
			return false
		}
	}
	return s.storeCalmFor() >= since
}

func (s *Soak) newVersion(time.Duration, int) { s.configure() }

func (s *Soak) evacuate(pause time.Duration, draw int) {
	domain := domains[draw%len(domains)]
	s.store.Evacuate(domain, true)
	time.Sleep(pause)
	s.store.Evacuate(domain, false)
}
