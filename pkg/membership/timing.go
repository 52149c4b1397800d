package membership

import "time"

// Timing has the timeouts of the voting rounds.
type Timing struct {
	// Lifetime is how long a right lasts from the start of its round.
	Lifetime time.Duration
	// ExcludeAfter is the time after which a voter excludes an unresponsive member.
	ExcludeAfter time.Duration
	// RateBound is the maximum relative drift between two clocks.
	RateBound float64
}

// Wait returns the time on one clock after which a lifetime has passed on every
// other clock. A server's clock may have been read one lifetime before the round,
// so its drift counts for two lifetimes. The drift of the local clock counts for
// another lifetime.
func (t Timing) Wait() time.Duration {
	const driftTerms = 4
	return t.Lifetime + time.Duration(driftTerms*t.RateBound*float64(t.Lifetime))
}
