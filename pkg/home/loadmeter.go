package home

import (
	"sync"
	"time"
)

// loadMeter measures the request rates of a server's shards and of its most
// frequent keys. It is safe for concurrent use.
type loadMeter struct {
	mu          sync.Mutex
	windowStart time.Time
	shardCounts map[string]float64
	keyCounts   *topKeys
	shardRates  map[string]float64
	keyRates    map[string]float64
}

const (
	loadWindow = time.Second
	// smoothingFactor is the weight of the last window in the moving average.
	smoothingFactor = 0.3
	// minRate is the rate in requests per second that an entry must reach in one
	// window to be added. Averages below smoothingFactor*minRate are dropped.
	minRate = 1.0
	// trackedKeys is the number of keys whose requests are counted at a time.
	trackedKeys = 256
)

func newLoadMeter(now time.Time) *loadMeter {
	return &loadMeter{
		windowStart: now,
		shardCounts: map[string]float64{},
		keyCounts:   newTopKeys(trackedKeys),
		shardRates:  map[string]float64{},
		keyRates:    map[string]float64{},
	}
}

// record counts one request.
func (m *loadMeter) record(shard, key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shardCounts[shard]++
	m.keyCounts.add(key)
}

// readRates returns the rates in requests per second. It closes the current window
// if that has lasted for loadWindow or longer.
func (m *loadMeter) readRates(now time.Time) (shardRates, keyRates map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if elapsed := now.Sub(m.windowStart); elapsed >= loadWindow {
		m.shardRates = smoothRates(m.shardRates, m.shardCounts, elapsed)
		m.keyRates = smoothRates(m.keyRates, m.keyCounts.minCounts(), elapsed)
		m.shardCounts = map[string]float64{}
		m.keyCounts = newTopKeys(trackedKeys)
		m.windowStart = now
	}
	return copyRates(m.shardRates), copyRates(m.keyRates)
}

// smoothRates returns the rates after one more window, as exponentially weighted
// moving averages. Entries that have become negligible are dropped.
func smoothRates(rates, counts map[string]float64, elapsed time.Duration) map[string]float64 {
	next := map[string]float64{}
	for name, rate := range rates {
		next[name] = (1 - smoothingFactor) * rate
	}
	for name, count := range counts {
		next[name] += smoothingFactor * count / elapsed.Seconds()
	}
	for name, rate := range next {
		if rate < smoothingFactor*minRate {
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
