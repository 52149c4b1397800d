// Package budget bounds repeated sends over all instances.
package budget

import (
	"sync"
	"time"
)

// Budget allows an instance its share of the repeats that a service may get in
// a sliding window: a ratio of the instance's own requests, and an equal part of
// a fixed number. The shares add up to the bound over all instances, however
// unevenly requests fall on them. It is safe for concurrent use.
type Budget struct {
	ratio  float64
	extra  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*history
}

type history struct {
	requests []time.Time
	repeats  []time.Time
}

// safety is the part of the share that is used: arrivals that straddle windows
// and instances that differ on their number stay within the rest.
const safety = 0.8

// NewBudget returns a budget that allows, in any window, ratio times the
// requests plus extra.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, extra: extra, window: window, services: map[string]*history{}}
}

// Count notes a request for a service.
func (b *Budget) Count(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	h.requests = append(h.requests, now)
}

// Take reports whether a repeat may be sent, among so many instances, and
// counts it. The reserve is a part of the share that is left for others.
func (b *Budget) Take(now time.Time, service string, instances int, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(now, service)
	share := b.ratio*float64(len(h.requests)) + b.extra/float64(max(instances, 1))
	if float64(len(h.repeats)+1) > safety*share*(1-reserve) {
		return false
	}
	h.repeats = append(h.repeats, now)
	return true
}

func (b *Budget) history(now time.Time, service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	h.requests = after(h.requests, now.Add(-b.window))
	h.repeats = after(h.repeats, now.Add(-b.window))
	return h
}

func after(instants []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(instants) && !instants[i].After(start) {
		i++
	}
	return instants[i:]
}
