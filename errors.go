package redwingstall

import "github.com/cockroachdb/errors"

// Errors that every implementation of an interface marks its own with.
var (
	// ErrConflict is a compare-and-swap that found another revision.
	ErrConflict = errors.New("redwingstall: another revision won")
	// ErrUnavailable is an outside system that gave no answer. What was asked
	// of it may have taken effect.
	ErrUnavailable = errors.New("redwingstall: no answer")
)
