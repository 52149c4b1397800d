// Package keyload measures the request rate of the keys of a service.
package keyload

import (
	"math"
	"time"

	"github.com/redwingstall/redwingstall"
)

// halfLife is the half-life of the measured rates. A key that becomes hot shows within a
// second, and a few requests at one moment move no keys.
const halfLife = 1500 * time.Millisecond

// shortHalfLife is the half-life of the rates that show a change of the load. It counts
// within half a second, but for a few requests it is mostly noise.
const shortHalfLife = 300 * time.Millisecond

// shortDecayFactor is the decay of these rates in one decay interval.
var shortDecayFactor = float32(math.Exp2(-float64(decayInterval) / float64(shortHalfLife)))

// decayInterval is how often the counts are decayed.
const decayInterval = halfLife / 10

// decayFactor is the tenth root of one half: ten decay intervals make a half-life.
const decayFactor = 0.9330329915

// Meter measures request rates with an exponentially decaying count for each key. It is
// not safe for concurrent use.
type Meter struct {
	counts []float32
	// recent are the same counts, decayed with the short half-life, for recentSeconds.
	recent        []float32
	recentSeconds float64
	decayedAt     time.Time
	// decayedSeconds is the time that the counts cover, decayed like the counts.
	decayedSeconds float64
}

// Add counts one request for a key. A key out of bounds is ignored.
func (m *Meter) Add(now time.Time, key int) {
	m.decay(now)
	if key >= 0 && key < redwingstall.KeyCount {
		m.counts[key]++
		m.recent[key]++
	}
}

func (m *Meter) decay(now time.Time) {
	if m.counts == nil {
		m.counts = make([]float32, redwingstall.KeyCount)
		m.recent = make([]float32, redwingstall.KeyCount)
		m.decayedAt = now
	}
	factor, recentFactor := float32(1), float32(1)
	for now.Sub(m.decayedAt) >= decayInterval && factor > 0.001 {
		factor *= decayFactor
		recentFactor *= shortDecayFactor
		m.recentSeconds = (m.recentSeconds + decayInterval.Seconds()) * float64(shortDecayFactor)
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
		m.recent[i] *= recentFactor
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

const (
	// blockSize is the number of adjacent keys whose load is compared over the two half-lives.
	blockSize = 64
	// significance is by how many standard deviations the recent requests of a block must
	// differ from those expected by its rate. By chance, one of 16,000 blocks does.
	significance = 4
)

// VolatileRates returns the request rates as Rates does, but those of the last half second
// for blocks of keys whose load has clearly changed.
func (m *Meter) VolatileRates(now time.Time) []float32 {
	rates := m.Rates(now)
	since := now.Sub(m.decayedAt).Seconds() + decayInterval.Seconds()/2
	seconds := m.recentSeconds + since
	for from := 0; from < len(rates); from += blockSize {
		to := min(from+blockSize, len(rates))
		recent, expected := float64(0), float64(0)
		for key := from; key < to; key++ {
			recent += float64(m.recent[key])
			expected += float64(rates[key]) * seconds
		}
		if math.Abs(recent-expected) < significance*math.Sqrt(expected+1) {
			continue
		}
		for key := from; key < to; key++ {
			rates[key] = m.recent[key] / float32(seconds)
		}
	}
	return rates
}
