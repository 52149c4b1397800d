package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against overload of a server in warm-up to which all instances send at
// once. In any second all instances together stay within its limit.
func TestWarmupLimitHoldsOverAllInstances(t *testing.T) {
	for _, instances := range []int{1, 3, 8, 12, 77} {
		names := []string{}
		for i := range instances {
			names = append(names, fmt.Sprintf("front-%d", i))
		}
		const rate = 8.5
		random := rand.New(rand.NewPCG(uint64(instances), 1))
		limiters := make([]Limiter, instances)
		sent := []time.Time{}
		start := time.Unix(1000, 0)
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
			i := random.IntN(instances)
			if limiters[i].Allow(now, "cold", Share(names[i], "cold", names, rate)) {
				sent = append(sent, now)
			}
		}
		for _, at := range sent {
			n := 0
			for _, other := range sent {
				if d := other.Sub(at); d >= 0 && d < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), rate, "%d instances", instances)
		}
		require.GreaterOrEqual(t, len(sent), 5*5, "%d instances use most of the limit", instances)
	}
}

func TestSharesAddUp(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	sum := 0
	for _, n := range names {
		sum += Share(n, "server", names, 8.5)
	}
	require.Equal(t, 8, sum)
}
