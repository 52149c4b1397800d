package soak

import (
	"math/rand/v2"
	"time"
)

// demandPause is the time until another demand if one is not possible.
const demandPause = 300 * time.Millisecond

// makeDemands makes servers ask something of the instances in their responses, one after the
// other: a limit for all instances together, a time without requests, or to be left. It has
// a random sequence of its own, so that the other faults of a seed stay as they were.
func (s *Soak) makeDemands(duration time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 2))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		b := s.pickBackend(random.IntN(1 << 20))
		switch random.IntN(4) {
		case 0:
			pause := time.Duration(500+random.IntN(2500)) * time.Millisecond
			s.printf("%s refuses requests for %v", b.ID, pause)
			b.Refuse(pause, len(s.instances))
			time.Sleep(pause)
		case 1:
			s.announceLeaving(b)
		default:
			rate, pause := 0.5+4*random.Float64(), time.Duration(4000+random.IntN(6000))*time.Millisecond
			s.printf("%s names a limit of %.1f per second for %v", b.ID, rate, pause)
			b.SetLimit(rate)
			time.Sleep(pause)
			b.SetLimit(0)
		}
	}
}

// announceLeaving makes a server announce only in its responses that it leaves. It goes on
// for longer than the instances may send it requests, and is replaced.
func (s *Soak) announceLeaving(b *backend) {
	if !s.removeBackend(b) {
		time.Sleep(demandPause)
		return
	}
	s.printf("%s announces that it leaves", b.ID)
	b.AnnounceLeaving()
	time.Sleep(2 * drainBound)
	s.store.Unregister(b.Server)
	time.Sleep(drainBound)
	b.Crash()
	b.proxy.close()
	s.replace(b.Service)
}
