package redwingstall

import "github.com/cockroachdb/errors"

// The errors with which implementations of the interfaces mark their own errors.
// Test for them with errors.Is.
var (
	// ErrConflict means that a compare-and-swap found another revision.
	ErrConflict = errors.New("redwingstall: revision conflict")
	// ErrUnavailable means that an external system did not answer. The operation
	// may have taken effect.
	ErrUnavailable = errors.New("redwingstall: no answer")
	// ErrCompacted means that a watch starts at a revision that the store has
	// compacted.
	ErrCompacted = errors.New("redwingstall: history compacted")
	// ErrEraChanged means that the store was recovered from an older copy since the
	// revision or lease of the call was assigned. The call may have taken effect.
	ErrEraChanged = errors.New("redwingstall: the store was recovered from an older copy")
	// ErrLeaseEnded means that a lease has expired or was revoked at the store.
	ErrLeaseEnded = errors.New("redwingstall: lease ended")
	// ErrFenced means that the receiver has already seen a higher fencing token.
	ErrFenced = errors.New("redwingstall: fencing token too low")
	// ErrNotSent means that no connection to the receiver was established. The operation
	// has no effect, now or later.
	ErrNotSent = errors.New("redwingstall: not sent")
	// ErrAddressReassigned means that another server answers at the address. It does not
	// show that the expected one has ended.
	ErrAddressReassigned = errors.New("redwingstall: another server has the address")
)
