package grant

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// Issuer makes the grant orders of one home instance for one backend server.
// An order's end is reckoned from the start of the voting round that confirmed
// the instance's rights, in the server's own clock: however long the instance
// is paused after that, and however late the order arrives, it extends nothing
// beyond the round's lifetime. It is not safe for concurrent use.
type Issuer struct {
	lifetime time.Duration
	boot     string
	bootSeen time.Time
	clock    time.Duration
	read     time.Time
}

// NewIssuer returns an issuer whose grants outlive a round by the lifetime.
func NewIssuer(lifetime time.Duration) *Issuer {
	return &Issuer{lifetime: lifetime}
}

// Boot returns the server's process as last seen, or nothing.
func (i *Issuer) Boot() string { return i.boot }

// Observe takes over the boot and the clock of an answer that arrived at the
// time given, and reports whether the server has started anew.
func (i *Issuer) Observe(arrived time.Time, answer redwingstall.OrderAnswer) bool {
	isNew := answer.Boot != i.boot
	if isNew {
		i.boot = answer.Boot
		i.bootSeen = arrived
	}
	// The clock was read before the answer arrived, so that reckoning from the
	// arrival ends a grant early rather than late.
	if isNew || arrived.After(i.read) {
		i.clock = answer.Clock
		i.read = arrived
	}
	return isNew
}

// Order returns the order that extends grants, or false where no order is
// justified: the server's clock is unknown, or the round that confirmed the
// rights began before the server's process was first seen. The latter could
// renew, at a process that has forgotten it, a grant that was released. So is
// the clock if it was read long before the round: the two clocks' difference in
// rate would add up meanwhile.
func (i *Issuer) Order(service string, confirmed time.Time, grants []redwingstall.Grant) (redwingstall.GrantOrder, bool) {
	if i.boot == "" || !confirmed.After(i.bootSeen) || len(grants) == 0 {
		return redwingstall.GrantOrder{}, false
	}
	if confirmed.Sub(i.read) > i.lifetime {
		return redwingstall.GrantOrder{}, false
	}
	left := confirmed.Add(i.lifetime).Sub(i.read)
	return redwingstall.GrantOrder{
		Service:    service,
		Boot:       i.boot,
		ValidUntil: i.clock + left,
		Grants:     grants,
	}, left > 0
}

// ClockAt returns what the server's clock will show at an instant, or a little
// less.
func (i *Issuer) ClockAt(instant time.Time) time.Duration {
	return i.clock + instant.Sub(i.read)
}
