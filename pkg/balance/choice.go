package balance

import "math/rand/v2"

// TwoChoices picks the cheaper of two random candidates. This spreads load almost
// as well as comparing all candidates, and with stale costs it does not send every
// request to the same candidate.
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.)
type TwoChoices struct {
	// Random returns a number in [0, n). If it is nil, math/rand/v2 is used.
	Random func(n int) int
}

// Pick returns the index of the chosen candidate. Candidates with a negative cost
// are unavailable; if no cost is zero or positive, Pick returns -1.
func (t TwoChoices) Pick(costs []float64) int {
	candidates := make([]int, 0, len(costs))
	for i, cost := range costs {
		if cost >= 0 {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	first := candidates[t.randomIndex(len(candidates))]
	if len(candidates) == 1 {
		return first
	}
	second := candidates[t.randomIndex(len(candidates))]
	if costs[second] < costs[first] {
		return second
	}
	return first
}

func (t TwoChoices) randomIndex(n int) int {
	if t.Random == nil {
		return rand.IntN(n)
	}
	return t.Random(n)
}
