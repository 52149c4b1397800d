// Package keyload measures the request rate of the keys of a service.
package keyload

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// halfLife of the measured rates. A key that becomes hot shows within a second,
// and a few requests at one moment do not move keys.
const halfLife = 1500 * time.Millisecond

// decayEvery is how often the rates are aged.
const decayEvery = halfLife / 10

// decayFactor is the tenth root of one half.
const decayFactor = 0.9330329915

// Meter holds a decaying count for each key. It is not safe for concurrent use.
type Meter struct {
	counts []float32
	aged   time.Time
	// span is the decayed time, in seconds, that the counts stand for.
	span float64
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
		m.span = (m.span + decayEvery.Seconds()) * decayFactor
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
	scale := float32(1 / (m.span + now.Sub(m.aged).Seconds() + decayEvery.Seconds()/2))
	for i, c := range m.counts {
		rates[i] = c * scale
	}
	return rates
}
