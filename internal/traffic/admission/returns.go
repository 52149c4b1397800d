package admission

import "time"

const (
	// minReturn is the shortest time after which a refused client returns: about the age of
	// the reports, before which it would find the same state.
	minReturn = 80 * time.Millisecond
	// minSpare is the least share of the capacity that returning clients are assumed to find.
	// Bursts end, and what is known of them is from the last second.
	minSpare = 0.2
	// maxReturnRounds bounds the time that a client is told, in multiples of the time that it
	// has left.
	maxReturnRounds = 4.0
)

// returnAfter returns when a refused client should return. The refused ones of all instances are
// spread over the time in which the capacity that first attempts leave suffices for them. If that
// is longer than they wait, only as many return in time as can be served; the others are told a
// time beyond, and need not be refused again.
func returnAfter(r Request, t Target, d demand, capacity float64, random func() float64) time.Duration {
	spare := max(capacity-d.first, minSpare*capacity)
	owed := max(d.total-capacity, 0)
	excess := max(t.Queue-targetRounds*capacity, 0) / capacity
	drain := time.Duration(excess * float64(r.Execution) * max(t.Pace, minPace))
	left := float64(max(r.DeadlineLeft-minReturn-drain-r.Execution, 0))
	spread := left * min(owed/spare, maxReturnRounds)
	return minReturn + drain + time.Duration(max(spread, float64(minReturn))*random())
}
