package serverlimit

import (
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	// burstTime is how long an idle server's unused rate is kept.
	burstTime = 250 * time.Millisecond
	// maxReturnTime bounds the time after which a refused client is told to return.
	maxReturnTime = 5 * time.Second
)

// Permit is the answer to a request that wants to go to a limited server.
type Permit struct {
	IsGranted bool
	// Wait is how long the request must wait until it is sent. If it is not granted, Wait
	// is when a client that returns can expect a permit.
	Wait time.Duration
	// FreeIn is when the next permit that is not granted yet may be used.
	FreeIn time.Duration
}

// Coordinator grants permits for the servers that this instance coordinates, at the rate of
// their limits. It is safe for concurrent use. The zero value is ready to use.
type Coordinator struct {
	mu        sync.Mutex
	schedules map[string]*schedule
}

// schedule holds the permits for one server. (Generic cell rate algorithm, ITU-T I.371.)
type schedule struct {
	server shardmap.Server
	// nextAt is when the next permit is due at a steady rate.
	nextAt time.Time
	// returnAt is when the client that was refused last was told to return.
	returnAt time.Time
}

// Reserve grants a permit within maxWait, or refuses it. The coordinator grants the given
// share of the limit. It assumes that the permits of the first interval were granted by
// another coordinator.
func (c *Coordinator) Reserve(now time.Time, limit Limit, share float64, maxWait time.Duration) Permit {
	interval := time.Duration(float64(time.Second) / (limit.Rate * share))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.schedules == nil {
		c.schedules = map[string]*schedule{}
	}
	s := c.schedules[limit.Server.ID]
	if s == nil || s.server != limit.Server {
		s = &schedule{server: limit.Server, nextAt: now.Add(burstTime + interval)}
		c.schedules[limit.Server.ID] = s
	}
	startAt := later(now, s.nextAt.Add(-burstTime))
	wait := startAt.Sub(now)
	if wait > maxWait {
		s.returnAt = later(s.returnAt.Add(interval), startAt.Add(-maxWait))
		s.returnAt = earlier(s.returnAt, now.Add(maxReturnTime))
		return Permit{Wait: s.returnAt.Sub(now), FreeIn: wait}
	}
	s.nextAt = later(s.nextAt, startAt).Add(interval)
	return Permit{IsGranted: true, Wait: wait}
}

// RemoveUnlisted removes servers that are not listed.
func (c *Coordinator) RemoveUnlisted(isListed func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.schedules {
		if !isListed(id) {
			delete(c.schedules, id)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
