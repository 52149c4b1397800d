// Package keyload measures the request rate of the keys of a service.
package keyload

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// halfLife of the measured rates. A key that becomes hot shows within two
// seconds, and a burst of a few requests does not move keys.
const halfLife = 2500 * time.Millisecond

// decayEvery is how often the rates are aged.
const decayEvery = halfLife / 10

// decayFactor is the tenth root of one half.
const decayFactor = 0.9330329915

// rateScale turns the decayed sum into requests a second: ln 2 / halfLife.
const rateScale = 0.69314718 / 2.5

// Meter holds a decaying count for each key. It is not safe for concurrent use.
type Meter struct {
	counts []float32
	aged   time.Time
}

// Add counts one request for a key.
func (m *Meter) Add(now time.Time, key int) {
	m.age(now)
	if key >= 0 && key < redwingstall.Keys {
		m.counts[key]++
	}
}

func (m *Meter) age(now time.Time) {
	if m.counts == nil {
		m.counts = make([]float32, redwingstall.Keys)
		m.aged = now
	}
	factor := float32(1)
	for now.Sub(m.aged) >= decayEvery && factor > 0.001 {
		factor *= decayFactor
		m.aged = m.aged.Add(decayEvery)
	}
	if now.Sub(m.aged) >= decayEvery {
		m.aged = now
	}
	if factor == 1 {
		return
	}
	for i := range m.counts {
		m.counts[i] *= factor
	}
}

// Rates returns the request rate of each key in requests a second.
func (m *Meter) Rates(now time.Time) []float32 {
	m.age(now)
	rates := make([]float32, len(m.counts))
	for i, c := range m.counts {
		rates[i] = c * rateScale
	}
	return rates
}
