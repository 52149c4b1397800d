// Package metrics counts events and serves the counters and latency quantiles as text.
package metrics

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall/internal/ownership/keyload"
)

// Latencies are recorded in milliseconds, up to a minute.
const (
	maxLatencyMillis  = 60_000
	significantDigits = 2
)

// Registry holds counters, histograms, and the load of keys. It is safe for concurrent
// use.
type Registry struct {
	counters metrics.Registry

	mu         sync.Mutex
	latencies  map[string]*hdrhistogram.Histogram
	meters     map[string]*keyload.Meter
	unsentKeys map[string][]int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		counters:   metrics.NewRegistry(),
		latencies:  map[string]*hdrhistogram.Histogram{},
		meters:     map[string]*keyload.Meter{},
		unsentKeys: map[string][]int{},
	}
}

// Count increments a counter by one.
func (r *Registry) Count(name string) { r.Add(name, 1) }

// Add increments a counter by n.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.counters).Inc(n)
}

// Set sets a gauge.
func (r *Registry) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, r.counters).Update(value)
}

// RecordLatency adds a duration to a histogram.
func (r *Registry) RecordLatency(name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.latencies[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMillis, significantDigits)
		r.latencies[name] = h
	}
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMillis))
}

// CountKey counts a request of this instance for a key.
func (r *Registry) CountKey(now time.Time, service string, key int) {
	r.AddKeys(now, service, []int{key})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsentKeys[service] = append(r.unsentKeys[service], key)
}

// AddKeys counts requests of other instances.
func (r *Registry) AddKeys(now time.Time, service string, keys []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.meters[service]
	if m == nil {
		m = &keyload.Meter{}
		r.meters[service] = m
	}
	for _, key := range keys {
		m.Add(now, key)
	}
}

// TakeKeys returns the keys of this instance's requests since the last call.
func (r *Registry) TakeKeys() map[string][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := r.unsentKeys
	r.unsentKeys = map[string][]int{}
	return keys
}

// KeyRates returns the request rate of each key of a service.
func (r *Registry) KeyRates(service string) []float32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.meters[service]
	if m == nil {
		return nil
	}
	return m.Rates(time.Now())
}

// VolatileKeyRates returns the request rate of each key of a service, by the last half second
// where the load has changed.
func (r *Registry) VolatileKeyRates(service string) []float32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.meters[service]
	if m == nil {
		return nil
	}
	return m.VolatileRates(time.Now())
}

// Counters returns the value of each counter.
func (r *Registry) Counters() map[string]int64 {
	values := map[string]int64{}
	r.counters.Each(func(name string, value any) {
		if c, isCounter := value.(metrics.Counter); isCounter {
			values[name] = c.Count()
		}
	})
	return values
}

// ServeHTTP writes all counters, gauges and quantiles, one per line.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	lines := []string{}
	r.counters.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		}
	})
	r.mu.Lock()
	for name, h := range r.latencies {
		for _, quantile := range []float64{50, 90, 99, 100} {
			lines = append(lines, fmt.Sprintf("%s.millis.p%g %d", name, quantile, h.ValueAtQuantile(quantile)))
		}
	}
	r.mu.Unlock()
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, line)
	}
}
