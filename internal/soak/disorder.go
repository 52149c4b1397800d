package soak

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// disturbOrders makes one server after the other answer orders in disorder, or partitions it
// with refused connections while it may still be at work. It has a random sequence of its own,
// so that the other faults of a seed stay as they were.
func (s *Soak) disturbOrders(duration time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 3))
	kinds := []platformtest.Disorder{platformtest.LateCopies, platformtest.LateCopies, platformtest.EndlessBodies, platformtest.EndlessHeads}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		b := s.pickBackend(random.IntN(1 << 20))
		pause := time.Duration(1000+random.IntN(3000)) * time.Millisecond
		if kind := random.IntN(len(kinds) + 1); kind < len(kinds) {
			s.printf("%s answers orders in disorder %d for %v", b.ID, kinds[kind], pause)
			b.DisturbOrders(kinds[kind])
			time.Sleep(pause)
			b.DisturbOrders(platformtest.NoDisorder)
			continue
		}
		s.printf("%s is partitioned with refused connections for %v", b.ID, pause)
		s.refuseServer(b, pause)
	}
}

// refuseServer partitions a server from the store and from all instances.
func (s *Soak) refuseServer(b *backend, pause time.Duration) {
	if !s.removeBackend(b) {
		time.Sleep(demandPause)
		return
	}
	s.store.Unregister(b.Server)
	b.proxy.refuse()
	time.Sleep(pause)
	if err := b.proxy.acceptAgain(); err != nil {
		s.ledger.RecordViolation("the proxy of %s cannot listen again: %v", b.ID, err)
		return
	}
	s.ledger.AllowLateGrants(delayedGrantWindow)
	s.store.Register(b.Server, b.proxy.address(), false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backends = append(s.backends, b)
}

// refuse resets all connections and refuses new ones.
func (p *proxy) refuse() {
	_ = p.currentListener().Close()
	p.reset()
}

// acceptAgain ends refuse.
func (p *proxy) acceptAgain() error {
	listener, err := net.Listen("tcp", p.address())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go p.accept(listener)
	return nil
}

func (p *proxy) currentListener() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener
}
