package balance

import "math/rand/v2"

// TwoChoices picks the cheaper of two random candidates, which spreads load
// almost as well as knowing all of it and does not herd where costs are stale.
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.)
type TwoChoices struct {
	// Random returns a number in [0, n); nil takes the process's source.
	Random func(n int) int
}

// Pick returns the index of the choice, or -1 where no cost is finite and
// positive or zero. A negative cost marks a candidate that is out.
func (t TwoChoices) Pick(costs []float64) int {
	usable := make([]int, 0, len(costs))
	for i, cost := range costs {
		if cost >= 0 {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	first := usable[t.random(len(usable))]
	if len(usable) == 1 {
		return first
	}
	second := usable[t.random(len(usable))]
	if costs[second] < costs[first] {
		return second
	}
	return first
}

func (t TwoChoices) random(n int) int {
	if t.Random == nil {
		return rand.IntN(n)
	}
	return t.Random(n)
}
