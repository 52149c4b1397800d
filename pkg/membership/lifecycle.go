package membership

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// MemberState is the state of one member as seen by one voter.
type MemberState string

// The states of a member at a voter.
const (
	// MemberVotable means that the voter grants the member its vote.
	MemberVotable MemberState = "votable"
	// MemberExcluded means that the member is unresponsive. Other members may take
	// over its jobs.
	MemberExcluded MemberState = "excluded"
	// MemberReturning means that the member is responsive again, but that other
	// members may still have the right to its jobs for one lifetime.
	MemberReturning MemberState = "returning"
)

type memberTrigger string

const (
	triggerUnresponsive memberTrigger = "silence"
	triggerResponsive   memberTrigger = "heard"
	triggerExpired      memberTrigger = "lapse"
)

// memberView is one voter's view of one member.
type memberView struct {
	machine     *stateless.StateMachine
	state       MemberState
	since       time.Time
	lastHealthy time.Time
	applied     int64
}

func newMemberView(now time.Time) *memberView {
	view := &memberView{state: MemberVotable, since: now, lastHealthy: now}
	view.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return view.state, nil },
		func(_ context.Context, state stateless.State) error {
			view.state = state.(MemberState)
			return nil
		},
		stateless.FiringImmediate,
	)
	view.machine.Configure(MemberVotable).Permit(triggerUnresponsive, MemberExcluded)
	view.machine.Configure(MemberExcluded).Permit(triggerResponsive, MemberReturning).Ignore(triggerUnresponsive)
	view.machine.Configure(MemberReturning).
		Permit(triggerExpired, MemberVotable).
		Permit(triggerUnresponsive, MemberExcluded).
		Ignore(triggerResponsive)
	return view
}

// fire applies a trigger to the member's state machine. It panics if the state
// does not allow the trigger, which is a bug in this package.
func (v *memberView) fire(trigger memberTrigger, now time.Time) {
	before := v.state
	if err := v.machine.Fire(trigger); err != nil {
		panic("membership: " + err.Error())
	}
	if v.state != before {
		v.since = now
	}
}
