package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

// troubles are drawn from with equal chances.
var troubles = []platformtest.Trouble{
	platformtest.CopiedRefusals, platformtest.CopiedRefusals, platformtest.CopiedRefusals,
	platformtest.EndlessResponses, platformtest.EndlessResponseHeads, platformtest.StalledResponses, platformtest.StalledHeads,
}

// disturbRequests makes up to two servers at a time answer requests in trouble, and records
// instances that exceed their memory meanwhile. It has a random sequence of its own, so that the
// other faults of a seed stay as they were.
func (s *Soak) disturbRequests(duration time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 6))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		disturbed := []*backend{s.pickBackend(random.IntN(1 << 20)), s.pickBackend(random.IntN(1 << 20))}
		for _, b := range disturbed {
			trouble := troubles[random.IntN(len(troubles))]
			s.printf("%s answers requests in trouble %d", b.ID, trouble)
			b.DisturbRequests(trouble)
		}
		for until := time.Now().Add(time.Duration(1000+random.IntN(3000)) * time.Millisecond); time.Now().Before(until); {
			s.checkMemory()
			time.Sleep(memoryCheckInterval)
		}
		for _, b := range disturbed {
			b.DisturbRequests(platformtest.NoTrouble)
		}
	}
}

const memoryCheckInterval = 20 * time.Millisecond

// sendBookings makes a client of each instance send requests that may run once to the owners of
// keys.
func (s *Soak) sendBookings(ctx context.Context, n int) {
	c := s.client(3000 + n)
	c.instance = s.instances[n]
	for k := 0; ctx.Err() == nil; k++ {
		c.sendRequest(ctx, fmt.Sprintf("booking-%d-%d", n, k), http.MethodPost, "/book/x", c.random.IntN(redwingstall.KeyCount))
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
}
