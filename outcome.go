package redwingstall

// Outcome says whether a backend server ran a request.
type Outcome string

// The outcomes of an attempt. NotRun is claimed only if nothing was written to
// a backend server, or the server itself said so on that request.
const (
	OutcomeRun     Outcome = "run"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Names of the headers on the request path.
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

// PriorityBackground is the value of HeaderPriority for work that may wait.
const PriorityBackground = "background"

// Refusal is the reason for which a backend server did not run a request.
type Refusal string

// The refusals that a backend server states on a request that it did not run.
const (
	RefusalShed     Refusal = "shed"
	RefusalDraining Refusal = "draining"
	RefusalNotOwner Refusal = "notOwner"
	// RefusalLate is a request after its own HeaderNotAfter.
	RefusalLate Refusal = "late"
)

// Known reports whether the refusal is one of the protocol's.
func (r Refusal) Known() bool {
	switch r {
	case RefusalShed, RefusalDraining, RefusalNotOwner, RefusalLate:
		return true
	}
	return false
}
