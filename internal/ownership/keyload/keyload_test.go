package keyload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

func sum(rates []float32, from, to int) float64 {
	total := 0.0
	for _, r := range rates[from:to] {
		total += float64(r)
	}
	return total
}

// Guards against rates that follow a sudden change so late that the load has changed again:
// from one moment on, 400 requests per second go to 60 adjacent keys, beside 1,200 to all.
func TestVolatileRatesFollowAChangeWithinHalfASecond(t *testing.T) {
	m, random := &Meter{}, rand.New(rand.NewPCG(1, 1))
	start := time.Unix(0, 0)
	for millis := range 4500 {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		if random.Float64() < 0.6 {
			m.Add(now, random.IntN(redwingstall.KeyCount))
			m.Add(now, random.IntN(redwingstall.KeyCount))
		}
		if millis >= 4000 && random.Float64() < 0.4 {
			m.Add(now, 20000+random.IntN(60))
		}
	}
	now := start.Add(4500 * time.Millisecond)
	require.Less(t, sum(m.Rates(now), 20000, 20060), 150.0)
	require.Greater(t, sum(m.VolatileRates(now), 20000, 20060), 200.0)
	// Blocks without a change keep their steady rates.
	require.InDelta(t, sum(m.Rates(now), 0, 19968), sum(m.VolatileRates(now), 0, 19968), 15)
}
