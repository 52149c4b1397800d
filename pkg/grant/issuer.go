package grant

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// Issuer creates the grant orders of one home instance for one backend server.
// An order expires one lifetime after the start of the voting round that
// confirmed the instance's rights, expressed in the server's own clock. A pause
// of the instance after that round, or a delay of the order on the network,
// therefore never extends a grant beyond the lifetime. An Issuer is not safe for
// concurrent use.
type Issuer struct {
	lifetime time.Duration
	boot     string
	// bootSeenAt is when the server's current process was first seen.
	bootSeenAt time.Time
	// clock is the last known reading of the server's clock, received at
	// clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
}

// NewIssuer returns an issuer whose grants expire one lifetime after the start
// of the voting round that confirmed them.
func NewIssuer(lifetime time.Duration) *Issuer {
	return &Issuer{lifetime: lifetime}
}

// Boot returns the last seen boot id of the server, or an empty string.
func (i *Issuer) Boot() string { return i.boot }

// Observe records the boot id and the clock reading of a response that arrived at
// arrivedAt. It reports whether the boot id changed, that is, whether the server
// restarted or was seen for the first time.
func (i *Issuer) Observe(arrivedAt time.Time, answer redwingstall.OrderResponse) bool {
	isNewBoot := answer.Boot != i.boot
	if isNewBoot {
		i.boot = answer.Boot
		i.bootSeenAt = arrivedAt
	}
	// The server read its clock before the response arrived. Counting from the
	// arrival makes a grant expire early rather than late.
	if isNewBoot || arrivedAt.After(i.clockReadAt) {
		i.clock = answer.Clock
		i.clockReadAt = arrivedAt
	}
	return isNewBoot
}

// IsCopy reports whether a response is no later than the last one of the server's process. The
// server has sent it once more; it shows neither that the server is up nor what runs there.
func (i *Issuer) IsCopy(answer redwingstall.OrderResponse) bool {
	return i.boot != "" && answer.Boot == i.boot && answer.Clock <= i.clock
}

// BuildOrder returns the order that extends grants confirmed by a voting round that
// started at confirmedAt. It returns false if no safe order exists:
//   - The server's clock is unknown, or there are no grants.
//   - The round started before the server's current process was first seen. The
//     order could renew a released grant, because a restarted process has lost
//     its record of the release.
//   - The server's clock was read more than one lifetime before the round. The
//     drift between the two clocks could make the grant too long.
func (i *Issuer) BuildOrder(service string, confirmedAt time.Time, grants []redwingstall.Grant) (redwingstall.GrantOrder, bool) {
	if i.boot == "" || !confirmedAt.After(i.bootSeenAt) || len(grants) == 0 {
		return redwingstall.GrantOrder{}, false
	}
	if confirmedAt.Sub(i.clockReadAt) > i.lifetime {
		return redwingstall.GrantOrder{}, false
	}
	left := confirmedAt.Add(i.lifetime).Sub(i.clockReadAt)
	return redwingstall.GrantOrder{
		Service:    service,
		Boot:       i.boot,
		ValidUntil: i.clock + left,
		Grants:     grants,
	}, left > 0
}

// ClockAt estimates the reading of the server's clock at a local time. The
// estimate is at most the true reading, apart from clock drift.
func (i *Issuer) ClockAt(localTime time.Time) time.Duration {
	return i.clock + localTime.Sub(i.clockReadAt)
}
