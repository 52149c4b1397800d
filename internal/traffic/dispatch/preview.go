package dispatch

import (
	"time"

	"github.com/redwingstall/redwingstall/internal/access/accounts"
)

// preview is what a job records whose request is only explained. The functions that decide are
// those of real requests; where these count, charge, wait or log, a job with a preview does not.
type preview struct {
	random  func() float64
	account *accounts.Account
	// evaluated are the servers that the choice was made from.
	evaluated map[string]*choice
	// absence is why the key has no owner, and ownerWait how long a request would wait for one.
	absence   string
	ownerWait time.Duration
	// accessCause and retryAfter are those of a refusal by client account.
	accessCause  string
	retryAfter   time.Duration
	isQuotaKnown bool
}

// random returns a number in [0, 1).
func (d *Dispatcher) random(j *job) float64 {
	if j.preview != nil {
		return j.preview.random()
	}
	return d.Random()
}

// count counts an event of a real request.
func (d *Dispatcher) count(j *job, name string) {
	if j.preview == nil {
		d.Counter.Count(name)
	}
}

func (j *job) noteNoOwner(reason string) {
	if j.preview != nil {
		j.preview.absence = reason
	}
}

// namedAccount returns the account that an explained request names instead of a key, or nil.
func (j *job) namedAccount() *accounts.Account {
	if j.preview == nil {
		return nil
	}
	return j.preview.account
}
