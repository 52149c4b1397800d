package home

import (
	"sync"
	"time"
)

// loads measures the rates of requests by shard and of the hottest keys. It is
// safe for concurrent use.
type loads struct {
	mu     sync.Mutex
	since  time.Time
	shards map[string]float64
	keys   *topKeys
	rates  map[string]float64
	hot    map[string]float64
}

const (
	loadWindow = time.Second
	// rateGain is the weight of the last window in a rate.
	rateGain    = 0.3
	smallestHot = 1.0
	trackedKeys = 256
)

func newLoads(now time.Time) *loads {
	return &loads{
		since:  now,
		shards: map[string]float64{},
		keys:   newTopKeys(trackedKeys),
		rates:  map[string]float64{},
		hot:    map[string]float64{},
	}
}

// add counts a request.
func (l *loads) add(shard, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards[shard]++
	l.keys.add(key)
}

// read returns the rates in requests a second.
func (l *loads) read(now time.Time) (shards, keys map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elapsed := now.Sub(l.since); elapsed >= loadWindow {
		l.rates = smooth(l.rates, l.shards, elapsed)
		l.hot = smooth(l.hot, l.keys.counts(), elapsed)
		l.shards = map[string]float64{}
		l.keys = newTopKeys(trackedKeys)
		l.since = now
	}
	return copyRates(l.rates), copyRates(l.hot)
}

func smooth(rates, counts map[string]float64, elapsed time.Duration) map[string]float64 {
	next := map[string]float64{}
	for name, rate := range rates {
		next[name] = (1 - rateGain) * rate
	}
	for name, n := range counts {
		next[name] += rateGain * n / elapsed.Seconds()
	}
	for name, rate := range next {
		if rate < rateGain*smallestHot {
			delete(next, name)
		}
	}
	return next
}

func copyRates(rates map[string]float64) map[string]float64 {
	next := make(map[string]float64, len(rates))
	for name, rate := range rates {
		next[name] = rate
	}
	return next
}
