// Package pace limits the rate of requests to backend servers in warm-up.
package pace

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// window is the sliding window of the limit. Its margin over one second allows for
// requests that arrive closer together than they were sent.
const window = time.Second + 60*time.Millisecond

// Limiter limits an instance to its share of the requests per second that a server
// in warm-up may receive. If there are fewer requests than instances, rendezvous
// hashing selects the instances that send one request per window each. It is safe
// for concurrent use.
type Limiter struct {
	mu   sync.Mutex
	sent map[string][]time.Time
}

// Share returns how many requests per window this instance may send to a server. All
// instances together may send rate requests per second.
func Share(self, server string, instances []string, rate float64) int {
	whole := int(rate)
	if len(instances) == 0 {
		return whole
	}
	share := whole / len(instances)
	remainder := whole - share*len(instances)
	if remainder > 0 && rank(self, server, instances) < remainder {
		share++
	}
	return share
}

// rank returns the position of this instance in an order that differs for each
// server. (Rendezvous hashing, Thaler and Ravishankar, 1998.)
func rank(self, server string, instances []string) int {
	selfWeight := weight(self, server)
	return len(slices.DeleteFunc(slices.Clone(instances), func(name string) bool {
		return name == self || weight(name, server) <= selfWeight
	}))
}

// HighestRanked returns the first n instances in the order of a server.
func HighestRanked(server string, instances []string, n int) []string {
	sorted := slices.SortedFunc(slices.Values(instances), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b, server), weight(a, server)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}

func weight(instance, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(server + "/" + instance))
	x := h.Sum64()
	// The finalizer of MurmurHash3 spreads inputs that differ in one character.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Allow reports whether a request may be sent to a server in warm-up, and counts it
// if so.
func (l *Limiter) Allow(now time.Time, server string, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(now, server)
	if len(recent) >= share {
		return false
	}
	l.sent[server] = append(recent, now)
	return true
}

// HasCapacity reports whether Allow would allow a request, without counting one.
func (l *Limiter) HasCapacity(now time.Time, server string, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.recent(now, server)) < share
}

func (l *Limiter) recent(now time.Time, server string) []time.Time {
	if l.sent == nil {
		l.sent = map[string][]time.Time{}
	}
	recent := slices.DeleteFunc(l.sent[server], func(t time.Time) bool { return now.Sub(t) >= window })
	l.sent[server] = recent
	return recent
}
