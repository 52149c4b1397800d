package membership

import "time"

// Timing has the periods of the voting rounds.
type Timing struct {
	// Lifetime is how long a right outlives the start of its round.
	Lifetime time.Duration
	// ExcludeAfter is the silence after which a voter excludes a member.
	ExcludeAfter time.Duration
	// RateBound is the largest difference in rate between two clocks.
	RateBound float64
}

// Wait is the time on one clock in which a lifetime has passed on every other.
// A server's clock may have been read a lifetime before the round, so that its
// difference in rate counts for two lifetimes, and the own one's for another.
func (t Timing) Wait() time.Duration {
	const differences = 4
	return t.Lifetime + time.Duration(differences*t.RateBound*float64(t.Lifetime))
}
