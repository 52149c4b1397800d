// Package keyload measures the request rate of the keys of a service.
package keyload

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// halfLife is the half-life of the measured rates. A key that becomes hot shows within a
// second, and a few requests at one moment move no keys.
const halfLife = 1500 * time.Millisecond

// decayInterval is how often the counts are decayed.
const decayInterval = halfLife / 10

// decayFactor is the tenth root of one half: ten decay intervals make a half-life.
const decayFactor = 0.9330329915

// Meter measures request rates with an exponentially decaying count for each key. It is
// not safe for concurrent use.
type Meter struct {
	counts    []float32
	decayedAt time.Time
	// decayedSeconds is the time that the counts cover, decayed like the counts.
	decayedSeconds float64
}

// Add counts one request for a key. A key out of bounds is ignored.
func (m *Meter) Add(now time.Time, key int) {
	m.decay(now)
	if key >= 0 && key < redwingstall.KeyCount {
		m.counts[key]++
	}
}

func (m *Meter) decay(now time.Time) {
	if m.counts == nil {
		m.counts = make([]float32, redwingstall.KeyCount)
		m.decayedAt = now
	}
	factor := float32(1)
	for now.Sub(m.decayedAt) >= decayInterval && factor > 0.001 {
		factor *= decayFactor
		m.decayedSeconds = (m.decayedSeconds + decayInterval.Seconds()) * decayFactor
		m.decayedAt = m.decayedAt.Add(decayInterval)
	}
	if now.Sub(m.decayedAt) >= decayInterval {
		m.decayedAt = now
	}
	if factor == 1 {
		return
	}
	for i := range m.counts {
		m.counts[i] *= factor
	}
}

// Rates returns the request rate of each key in requests per second.
func (m *Meter) Rates(now time.Time) []float32 {
	m.decay(now)
	rates := make([]float32, len(m.counts))
	scale := float32(1 / (m.decayedSeconds + now.Sub(m.decayedAt).Seconds() + decayInterval.Seconds()/2))
	for i, c := range m.counts {
		rates[i] = c * scale
	}
	return rates
}
