package assignment

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// ShardState is the ownership state of a shard.
type ShardState string

// The states of a shard.
const (
	// ShardUnowned has never had an owner.
	ShardUnowned ShardState = ""
	// ShardOwned has one owner, whose grant may be issued and renewed.
	ShardOwned ShardState = "owned"
	// ShardRevoking has an owner whose grant is not renewed but may not have
	// expired yet.
	ShardRevoking ShardState = "revoking"
)

type shardTrigger string

const (
	triggerAssign shardTrigger = "assign"
	triggerRevoke shardTrigger = "revoke"
)

// ErrTransition marks a state change that a shard's state machine does not allow.
var ErrTransition = errors.New("assignment: no such transition")

// newStateMachine returns the state machine of a shard. It reads and writes the
// state of the entry.
func newStateMachine(entry *Entry) *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return entry.State, nil },
		func(_ context.Context, state stateless.State) error {
			entry.State = state.(ShardState)
			return nil
		},
		stateless.FiringImmediate,
	)
	machine.Configure(ShardUnowned).Permit(triggerAssign, ShardOwned)
	machine.Configure(ShardOwned).Permit(triggerRevoke, ShardRevoking)
	machine.Configure(ShardRevoking).Permit(triggerAssign, ShardOwned)
	return machine
}

// Revoke returns the entry after its owner's grant stops being renewed. Errors
// are marked with [ErrTransition].
func (e Entry) Revoke() (Entry, error) {
	next := e
	err := newStateMachine(&next).Fire(triggerRevoke)
	return next, wrapTransition(err)
}

// Assign returns the entry with a new owner. The fencing token must exceed every
// earlier one; the revision of the record that the decision is based on, plus
// one, does. Errors are marked with [ErrTransition].
func (e Entry) Assign(owner string, fence int64) (Entry, error) {
	if fence <= e.Fence {
		return e, errors.Wrapf(ErrTransition, "fence %d is not above %d", fence, e.Fence)
	}
	next := e
	err := newStateMachine(&next).Fire(triggerAssign)
	next.Owner = owner
	next.Fence = fence
	return next, wrapTransition(err)
}

func wrapTransition(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "assignment"), ErrTransition)
}
