package dispatch

import (
	"math"
	"net/http"
	"time"

	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/node/boottime"
)

// Quota limits the requests of client accounts over all instances.
type Quota interface {
	// Admit charges a request to an account, or returns after which time there is credit.
	Admit(now time.Time, account string) (isAdmitted bool, retryAfter time.Duration)
	// Refund gives back the credit of a request that has not run.
	Refund(now time.Time, account string)
}

// QuotaPreview is a Quota that can tell what Admit would return without a charge.
type QuotaPreview interface {
	Preview(now time.Time, account string) (isAdmitted bool, retryAfter time.Duration)
}

// Reasons for refusals by client account.
const (
	ReasonUnauthorized = "unauthorized"
	// ReasonUnconfirmed is a refusal since the instance cannot know whether the key is valid.
	ReasonUnconfirmed = "unconfirmedKey"
	ReasonQuota       = "quota"
)

// unconfirmedRetryAfter is about the time in which an instance that has lost its watchers reads
// the store itself. Another instance may serve the request at once.
const unconfirmedRetryAfter = 400 * time.Millisecond

// access is what a job knows of the client account of its request. The zero value is of a
// deployment without client accounts.
type access struct {
	// isActive is set if the configuration has client accounts.
	isActive bool
	// account is nil if the request is anonymous.
	account *accounts.Account
	// isCharged is set if the quota has counted the request.
	isCharged bool
}

// name returns the name of the account, or an empty one.
func (a *access) name() string {
	if a.account == nil {
		return ""
	}
	return a.account.Name
}

// checkAccess finds the client account of a request, removes the credential from it, and decides
// whether the request may run. It returns false with the response if not.
func (d *Dispatcher) checkAccess(j *job) (answer backends.Response, reason string, isAdmitted bool) {
	j.priority = j.route.Priority
	confirmedAt := d.View.ConfirmedAt() // before the snapshot, which may only be newer
	s := d.View.Snapshot()
	if !s.Config.HasAccounts() {
		return answer, "", true
	}
	age := d.knowledgeAge(j.request.Arrived, confirmedAt)
	decision := d.Accounts.Decide(s.Accounts, accounts.Request{
		Key: j.meta.Credential, HasKey: j.meta.HasCredential, IsUnreadable: j.meta.IsCredentialUnreadable,
		AllowsAnonymous: j.route.AllowsAnonymous, Age: age, Account: j.namedAccount(),
	})
	j.access = access{isActive: true, account: decision.Account}
	j.priority = decision.Account.PriorityOr(j.route.Priority)
	j.meta.Credential = ""
	d.Protocol.SetAccount(j.request.Header, j.access.name())
	switch decision.Verdict {
	case accounts.Reject:
		d.logAccessRefusal(j, decision.Cause, age, s.Config.Version, 0)
		answer = d.routerAnswer(j, http.StatusUnauthorized, 0)
		answer.Header.Set("WWW-Authenticate", "Bearer")
		return answer, ReasonUnauthorized, false
	case accounts.Defer:
		retryAfter := d.jitter(j, unconfirmedRetryAfter)
		d.logAccessRefusal(j, decision.Cause, age, s.Config.Version, retryAfter)
		return d.routerAnswer(j, http.StatusServiceUnavailable, retryAfter), ReasonUnconfirmed, false
	}
	return d.checkQuota(j, age, s.Config.Version)
}

// checkQuota charges a request to its account. It returns false with the response if there is no
// credit.
func (d *Dispatcher) checkQuota(j *job, age time.Duration, version int64) (answer backends.Response, reason string, isAdmitted bool) {
	if d.Quota == nil || j.access.account == nil {
		return answer, "", true
	}
	isAdmitted, retryAfter := d.chargeQuota(j)
	if isAdmitted {
		j.access.isCharged = j.preview == nil
		return answer, "", true
	}
	retryAfter = d.spreadLater(j, max(retryAfter, minRetryAfter))
	d.logAccessRefusal(j, ReasonQuota, age, version, retryAfter)
	return d.routerAnswer(j, http.StatusTooManyRequests, retryAfter), ReasonQuota, false
}

// chargeQuota charges a request to its account. The preview of a request is not charged. Without a
// quota that can tell without a charge, it counts as admitted.
func (d *Dispatcher) chargeQuota(j *job) (isAdmitted bool, retryAfter time.Duration) {
	if j.preview == nil {
		return d.Quota.Admit(time.Now(), j.access.name())
	}
	quota, canPreview := d.Quota.(QuotaPreview)
	if !canPreview {
		return true, 0
	}
	j.preview.isQuotaKnown = true
	return quota.Preview(time.Now(), j.access.name())
}

// knowledgeAge returns how old the knowledge of the configuration was when a request arrived. The
// clock of arrivals is read first: a suspension between the two readings makes it older.
func (d *Dispatcher) knowledgeAge(arrived time.Time, confirmedAt time.Duration) time.Duration {
	if confirmedAt == 0 {
		return math.MaxInt64
	}
	sinceArrival := time.Since(arrived)
	return d.bootTime() - sinceArrival - confirmedAt
}

func (d *Dispatcher) bootTime() time.Duration {
	if d.Clock == nil {
		return boottime.Now()
	}
	return d.Clock()
}

// refundUnused gives the credit of a request back that no server may have run.
func (d *Dispatcher) refundUnused(j *job, reason string) {
	if j.access.isCharged && reason != ReasonServed && !j.mayHaveRun && j.lastFailure == nil {
		d.Quota.Refund(time.Now(), j.access.name())
	}
}

// logAccessRefusal logs and counts a refusal, with what it was based on.
func (d *Dispatcher) logAccessRefusal(j *job, cause string, age time.Duration, version int64, retryAfter time.Duration) {
	if j.preview != nil {
		j.preview.accessCause, j.preview.retryAfter = cause, retryAfter
		return
	}
	d.Counter.Count("access.refused." + cause)
	d.Log.Info("access refused", "id", j.meta.ID, "route", j.route.Name, "cause", cause, "account", j.access.name(), "configuration", version,
		"knowledgeAgeMillis", age.Milliseconds(), "maxKnowledgeAgeMillis", d.Accounts.MaxAge().Milliseconds(),
		"isRevocationStrict", d.Accounts.StrictRevocation, "retryAfterMillis", retryAfter.Milliseconds())
}
