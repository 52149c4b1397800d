package redwingstall

import "github.com/cockroachdb/errors"

// Errors that every implementation of an interface marks its own with.
var (
	// ErrConflict is a compare-and-swap that found another revision.
	ErrConflict = errors.New("redwingstall: another revision won")
	// ErrUnavailable is an outside system that gave no answer. What was asked
	// of it may have taken effect.
	ErrUnavailable = errors.New("redwingstall: no answer")
	// ErrCompacted is a watch from a revision that the store has dropped.
	ErrCompacted = errors.New("redwingstall: history compacted")
	// ErrLeaseEnded is a lease that the store does not know any more.
	ErrLeaseEnded = errors.New("redwingstall: lease ended")
	// ErrFenced is an order with a fencing token below one already seen.
	ErrFenced = errors.New("redwingstall: fenced off")
	// ErrConnectionRefused is a connection that was refused: nothing listens there.
	ErrConnectionRefused = errors.New("redwingstall: connection refused")
	// ErrOtherServer is an address at which another server answers now.
	ErrOtherServer = errors.New("redwingstall: another server has the address")
)
