// Package pace keeps cold backend servers within the rate that they bear.
package pace

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// window of the bound, with a margin for sends that arrive closer together.
const window = time.Second + 60*time.Millisecond

// Limiter shares the requests that a cold server bears in a second among the
// instances: at most so many instances, chosen by rendezvous hashing, send one
// request a window each. It is safe for concurrent use.
type Limiter struct {
	mu   sync.Mutex
	last map[string][]time.Time
}

// Share returns how many requests a window this instance may send to a server
// that bears a number of requests a second, among the instances named.
func Share(self, server string, instances []string, bears float64) int {
	whole := int(bears)
	if len(instances) == 0 {
		return whole
	}
	share := whole / len(instances)
	rest := whole - share*len(instances)
	if rest > 0 && rank(self, server, instances) < rest {
		share++
	}
	return share
}

// rank orders the instances anew for each server. (Rendezvous hashing, Thaler
// and Ravishankar, 1998.)
func rank(self, server string, instances []string) int {
	own := weight(self, server)
	return len(slices.DeleteFunc(slices.Clone(instances), func(name string) bool {
		return name == self || weight(name, server) <= own
	}))
}

func weight(instance, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(server + "/" + instance))
	x := h.Sum64()
	// The finalizer of MurmurHash3 spreads inputs that differ in one letter.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Take reports whether a request may go to a cold server now, and counts it.
func (l *Limiter) Take(now time.Time, server string, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(now, server)
	if len(recent) >= share {
		return false
	}
	l.last[server] = append(recent, now)
	return true
}

// IsOpen reports whether Take would allow a request.
func (l *Limiter) IsOpen(now time.Time, server string, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.recent(now, server)) < share
}

func (l *Limiter) recent(now time.Time, server string) []time.Time {
	if l.last == nil {
		l.last = map[string][]time.Time{}
	}
	recent := slices.DeleteFunc(l.last[server], func(t time.Time) bool { return now.Sub(t) >= window })
	l.last[server] = recent
	return recent
}
