package accounts

import "time"

const (
	// revocationShare is the part of the revocation timeout up to which knowledge is young
	// enough for a known key, and revocationMargin the least time that is left. An instance
	// that has lost the store owes service for 0.6 of the timeout; its knowledge may have been
	// 0.75 s old then, which is 0.15 of the usual 5 s.
	revocationShare  = 0.76
	revocationMargin = time.Second
	// MaxUnknownAge is the age of the knowledge up to which an unknown key is rejected. A
	// client does not come back after that, and the key may be newer than the knowledge.
	MaxUnknownAge = time.Second
)

// Policy decides which requests may run. The zero value does not bound the age of the knowledge.
type Policy struct {
	// StrictRevocation requires that a removed key is not accepted RevocationTimeout after
	// its removal.
	StrictRevocation  bool
	RevocationTimeout time.Duration
}

// MaxAge returns the age of the knowledge up to which a known key is accepted.
func (p Policy) MaxAge() time.Duration {
	share := time.Duration(revocationShare * float64(p.RevocationTimeout))
	return max(min(share, p.RevocationTimeout-revocationMargin), 0)
}

// IsTooOld reports whether knowledge of an age says nothing about known keys any more.
func (p Policy) IsTooOld(age time.Duration) bool { return p.StrictRevocation && age > p.MaxAge() }

// Request is what the decision about a request depends on.
type Request struct {
	Key    string
	HasKey bool
	// Account is the account of a request that names it instead of a key, or nil.
	Account *Account
	// IsUnreadable is set if there is a credential that is no key.
	IsUnreadable bool
	// AllowsAnonymous is set if the route needs no key.
	AllowsAnonymous bool
	// Age is how old the knowledge of the configuration was when the request arrived.
	Age time.Duration
}

// Verdict is a decision about a request.
type Verdict int

// The verdicts.
const (
	// Admit lets the request run.
	Admit Verdict = iota
	// Reject means that the request has no valid key.
	Reject
	// Defer means that the instance cannot know whether the key is valid.
	Defer
)

// Causes of verdicts, for metrics and logs.
const (
	CauseKnownKey      = "knownKey"
	CauseAnonymous     = "anonymous"
	CauseNoKey         = "noKey"
	CauseUnreadableKey = "unreadableKey"
	CauseUnknownKey    = "unknownKey"
	CauseNewKey        = "unknownKeyAndOldKnowledge"
	CauseOldKnowledge  = "oldKnowledge"
)

// Decision is a verdict with its cause. The account is nil if the request has no known key.
type Decision struct {
	Verdict Verdict
	Cause   string
	Account *Account
}

// Decide decides whether a request may run. On a route that allows anonymous requests every
// request may; with knowledge that is too old it counts as anonymous, since nobody knows whether
// the account still holds the key.
func (p Policy) Decide(directory *Directory, r Request) Decision {
	account, isKnown := r.Account, r.Account != nil
	if r.HasKey {
		account, isKnown = directory.Find(r.Key)
	}
	isTooOld := p.IsTooOld(r.Age)
	switch {
	case isKnown && !isTooOld:
		return Decision{Admit, CauseKnownKey, account}
	case r.AllowsAnonymous:
		return Decision{Admit, CauseAnonymous, nil}
	case isKnown:
		return Decision{Defer, CauseOldKnowledge, nil}
	case r.IsUnreadable:
		return Decision{Reject, CauseUnreadableKey, nil}
	case !r.HasKey:
		return Decision{Reject, CauseNoKey, nil}
	case r.Age > MaxUnknownAge:
		return Decision{Defer, CauseNewKey, nil}
	}
	return Decision{Reject, CauseUnknownKey, nil}
}
