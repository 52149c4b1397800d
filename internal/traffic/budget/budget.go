// Package budget limits the retries of all instances together.
package budget

import (
	"sync"
	"time"
)

// Budget limits an instance to its share of the retries that a service may receive
// in a sliding window: a ratio of the instance's own requests, and an equal part of
// a fixed number. The shares of all instances add up to the limit, however unevenly
// requests are distributed. It is safe for concurrent use.
type Budget struct {
	ratio  float64
	extra  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*history
	// instances holds the changes of the number of instances, the latest one before the
	// window first.
	instances []instanceCount
}

type instanceCount struct {
	from  time.Time
	count int
}

type history struct {
	requests []time.Time
	retries  []time.Time
}

// safetyFactor is the fraction of the share that is used. The rest covers requests
// that straddle two windows and instances that disagree on the number of members.
const safetyFactor = 0.8

// NewBudget returns a budget that allows ratio times the requests plus extra retries
// in any window.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, extra: extra, window: window, services: map[string]*history{}}
}

// CountRequest records a request to a service while the given number of instances is
// known.
func (b *Budget) CountRequest(now time.Time, service string, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordInstances(now, instances)
	h := b.currentHistory(now, service)
	h.requests = append(h.requests, now)
}

// Allow reports whether a retry may be sent, and counts it if so. The share is
// computed for the given number of instances, or a higher one of the current window: an
// instance that is not listed any more may have used its share, or may use it still. The
// fraction reserve of the share is kept for other retries.
func (b *Budget) Allow(now time.Time, service string, instances int, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordInstances(now, instances)
	h := b.currentHistory(now, service)
	share := b.ratio*float64(len(h.requests)) + b.extra/float64(b.mostInstances())
	if float64(len(h.retries)+1) > safetyFactor*share*(1-reserve) {
		return false
	}
	h.retries = append(h.retries, now)
	return true
}

// Left returns the number of retries that Allow would allow now, without counting one.
func (b *Budget) Left(now time.Time, service string, instances int, reserve float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := max(instances, 1)
	for i, known := range b.instances {
		if i+1 == len(b.instances) || b.instances[i+1].from.After(now.Add(-b.window)) {
			most = max(most, known.count)
		}
	}
	h := b.services[service]
	if h == nil {
		h = &history{}
	}
	requests, retries := dropUntil(h.requests, now.Add(-b.window)), dropUntil(h.retries, now.Add(-b.window))
	share := b.ratio*float64(len(requests)) + b.extra/float64(most)
	return max(int(safetyFactor*share*(1-reserve))-len(retries), 0)
}

func (b *Budget) currentHistory(now time.Time, service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	h.requests = dropUntil(h.requests, now.Add(-b.window))
	h.retries = dropUntil(h.retries, now.Add(-b.window))
	return h
}

func (b *Budget) recordInstances(now time.Time, count int) {
	if n := len(b.instances); n == 0 || b.instances[n-1].count != count {
		b.instances = append(b.instances, instanceCount{now, count})
	}
	for len(b.instances) > 1 && !b.instances[1].from.After(now.Add(-b.window)) {
		b.instances = b.instances[1:]
	}
}

// mostInstances returns the highest number of instances in the window, at least 1.
func (b *Budget) mostInstances() int {
	most := 1
	for _, i := range b.instances {
		most = max(most, i.count)
	}
	return most
}

func dropUntil(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(start) {
		i++
	}
	return times[i:]
}
