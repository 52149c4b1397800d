package assignment

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// ShardState is where a shard stands between two owners.
type ShardState string

// The states of a shard.
const (
	// ShardUnowned has never had an owner.
	ShardUnowned ShardState = ""
	// ShardOwned has one owner, which may be granted it.
	ShardOwned ShardState = "owned"
	// ShardRevoking has an owner that is granted it no more, but whose grant
	// may not have lapsed.
	ShardRevoking ShardState = "revoking"
)

type shardTrigger string

const (
	triggerAssign shardTrigger = "assign"
	triggerRevoke shardTrigger = "revoke"
)

// ErrTransition is a change that a shard's life cycle does not have.
var ErrTransition = errors.New("assignment: no such transition")

// shardLives is the life cycle of every shard; the state stands in its entry.
func shardLife(entry *Entry) *stateless.StateMachine {
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

// Revoke starts to take a shard from its owner.
func (e Entry) Revoke() (Entry, error) {
	next := e
	err := shardLife(&next).Fire(triggerRevoke)
	return next, turn(err)
}

// Assign gives a shard to a new owner. The fence must be above every earlier
// one, as the revision of the record that the decision was read from plus one is.
func (e Entry) Assign(owner string, fence int64) (Entry, error) {
	if fence <= e.Fence {
		return e, errors.Wrapf(ErrTransition, "fence %d is not above %d", fence, e.Fence)
	}
	next := e
	err := shardLife(&next).Fire(triggerAssign)
	next.Owner = owner
	next.Fence = fence
	return next, turn(err)
}

func turn(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "assignment"), ErrTransition)
}
