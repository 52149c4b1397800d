package membership

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// MemberState is how one voter treats one other member.
type MemberState string

// The states of a member at a voter.
const (
	// MemberVotable is a member that gets the voter's vote.
	MemberVotable MemberState = "votable"
	// MemberExcluded is a silent member; others may take its work over.
	MemberExcluded MemberState = "excluded"
	// MemberReturning is heard again, but others may hold its work for a
	// lifetime yet.
	MemberReturning MemberState = "returning"
)

type memberTrigger string

const (
	triggerSilence memberTrigger = "silence"
	triggerHeard   memberTrigger = "heard"
	triggerLapse   memberTrigger = "lapse"
)

// memberLife is one voter's view of one member.
type memberLife struct {
	machine     *stateless.StateMachine
	state       MemberState
	since       time.Time
	lastHealthy time.Time
	applied     int64
}

func newMemberLife(now time.Time) *memberLife {
	life := &memberLife{state: MemberVotable, since: now, lastHealthy: now}
	life.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return life.state, nil },
		func(_ context.Context, state stateless.State) error {
			life.state = state.(MemberState)
			return nil
		},
		stateless.FiringImmediate,
	)
	life.machine.Configure(MemberVotable).Permit(triggerSilence, MemberExcluded)
	life.machine.Configure(MemberExcluded).Permit(triggerHeard, MemberReturning).Ignore(triggerSilence)
	life.machine.Configure(MemberReturning).
		Permit(triggerLapse, MemberVotable).
		Permit(triggerSilence, MemberExcluded).
		Ignore(triggerHeard)
	return life
}

// fire moves the member on; a trigger that the state does not know is a fault
// of this package.
func (l *memberLife) fire(trigger memberTrigger, now time.Time) {
	before := l.state
	if err := l.machine.Fire(trigger); err != nil {
		panic("membership: " + err.Error())
	}
	if l.state != before {
		l.since = now
	}
}
