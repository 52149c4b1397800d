package redwingstall

// Outcome says whether a backend server ran a request.
type Outcome string

// The outcomes of an attempt. OutcomeNotRun is reported only if nothing was
// written to a backend server, or if the server itself said that it did not run
// the request.
const (
	OutcomeRun     Outcome = "run"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// The names of the HTTP headers on the request path.
const (
	HeaderOutcome        = "Redwing-Outcome"
	HeaderReason         = "Redwing-Reason"
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Redwing-Timeout"
	HeaderPriority       = "Redwing-Priority"
	HeaderHome           = "Redwing-Home"
	HeaderShard          = "Redwing-Shard"
	HeaderFence          = "Redwing-Fence"
	HeaderBoot           = "Redwing-Boot"
	HeaderRefusal        = "Redwing-Refusal"
	HeaderLoad           = "Redwing-Load"
	HeaderReplayed       = "Redwing-Replayed"
	HeaderServer         = "Redwing-Server"
	HeaderNotAfter       = "Redwing-Not-After"
	HeaderCost           = "Redwing-Cost"
	HeaderPool           = "Redwing-Pool"
	HeaderDeadline       = "Redwing-Deadline"
	HeaderRole           = "Redwing-Role"
)

// PriorityBackground is the value of HeaderPriority for requests that may wait
// behind all others.
const PriorityBackground = "background"

// Refusal is the reason why a backend server did not run a request.
type Refusal string

// The reasons that a backend server gives for a request that it did not run.
const (
	RefusalShed     Refusal = "shed"
	RefusalDraining Refusal = "draining"
	RefusalNotOwner Refusal = "notOwner"
	// RefusalExpired means that the request arrived after its HeaderNotAfter time.
	RefusalExpired Refusal = "late"
)

// IsKnown reports whether the protocol defines the refusal.
func (r Refusal) IsKnown() bool {
	switch r {
	case RefusalShed, RefusalDraining, RefusalNotOwner, RefusalExpired:
		return true
	}
	return false
}
