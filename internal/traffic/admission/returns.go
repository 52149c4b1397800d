package admission

import "time"

const (
	// minReturn is the shortest time after which a refused client returns: about the age of
	// the reports, before which it would find the same state.
	minReturn = 80 * time.Millisecond
	// minSpare is the least share of the capacity that returning clients are assumed to find.
	// Bursts end, and what is known of them is from the last second.
	minSpare = 0.1
	// maxReturnRounds bounds the time over which returns are spread, in multiples of the time
	// that a client has left, and maxToldRounds the time that it is told.
	maxReturnRounds = 20.0
	maxToldRounds   = 2.0
)

// returnAfter returns when a refused client should return. The refused ones of all instances are
// spread over the time in which the capacity that first attempts leave suffices for them. If that
// is longer than they wait, only as many return in time as can be served; the others are told a
// time beyond, and need not be refused again.
func returnAfter(r Request, t Target, d demand, capacity float64, random func() float64) time.Duration {
	spare := max(capacity-d.first, minSpare*capacity)
	owed := max(d.total-capacity, 0)
	excess := max(t.Queue-targetRounds*capacity, 0) / capacity
	drain := time.Duration(excess * float64(t.Execution) * max(t.Pace, minPace))
	left := float64(max(r.ReturnLeft-minReturn-drain-r.Execution, 0))
	wait := max(left*min(owed/spare, maxReturnRounds), float64(minReturn)) * random()
	return minReturn + drain + time.Duration(min(wait, maxToldRounds*left))
}
