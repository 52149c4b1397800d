package balance

import (
	"slices"
	"sync"
	"time"
)

// Quantile estimates a quantile of recent latencies from a sliding window of
// the last windowSize samples. It is safe for concurrent use.
type Quantile struct {
	rank float64

	mu          sync.Mutex
	samples     []time.Duration
	sampleCount int
	estimate    time.Duration
}

const (
	windowSize = 512
	// minSamples is the number of samples that the first estimate needs.
	minSamples = 32
	// samplesPerUpdate limits the cost of sorting the window.
	samplesPerUpdate = 16
)

// NewQuantile returns an estimator of the quantile with the given rank, between 0
// and 1.
func NewQuantile(rank float64) *Quantile {
	return &Quantile{rank: rank}
}

// Add adds a latency to the window. The estimate is updated after every
// samplesPerUpdate samples.
func (q *Quantile) Add(latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.samples) < windowSize {
		q.samples = append(q.samples, latency)
	} else {
		q.samples[q.sampleCount%windowSize] = latency
	}
	q.sampleCount++
	if q.sampleCount%samplesPerUpdate == 0 && len(q.samples) >= minSamples {
		q.estimate = q.computeEstimate()
	}
}

func (q *Quantile) computeEstimate() time.Duration {
	sorted := slices.Clone(q.samples)
	slices.Sort(sorted)
	return sorted[int(q.rank*float64(len(sorted)-1))]
}

// Value returns the current estimate, or false if there are too few samples yet.
func (q *Quantile) Value() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.estimate, q.estimate > 0
}
