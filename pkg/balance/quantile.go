package balance

import (
	"slices"
	"sync"
	"time"
)

// Quantile estimates a high quantile of recent latencies from a window of the
// last samples. It is safe for concurrent use.
type Quantile struct {
	rank float64

	mu      sync.Mutex
	samples []time.Duration
	next    int
	value   time.Duration
}

const (
	windowSamples = 512
	fewestSamples = 32
	refreshEvery  = 16
)

// NewQuantile returns an estimator of the rank given, between 0 and 1.
func NewQuantile(rank float64) *Quantile {
	return &Quantile{rank: rank}
}

// Add takes a latency in.
func (q *Quantile) Add(latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.samples) < windowSamples {
		q.samples = append(q.samples, latency)
	} else {
		q.samples[q.next%windowSamples] = latency
	}
	q.next++
	if q.next%refreshEvery == 0 && len(q.samples) >= fewestSamples {
		q.value = q.estimate()
	}
}

func (q *Quantile) estimate() time.Duration {
	sorted := slices.Clone(q.samples)
	slices.Sort(sorted)
	return sorted[int(q.rank*float64(len(sorted)-1))]
}

// Value returns the estimate, or false while there are too few samples.
func (q *Quantile) Value() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.value, q.value > 0
}
