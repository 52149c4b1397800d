package dispatch

import (
	"strings"
	"sync"
	"unicode"
)

const (
	// maxAccountLabels bounds the client accounts with counters of their own. The requests of
	// all others are counted under otherAccounts.
	maxAccountLabels = 100
	otherAccounts    = "other"
)

// accountCounters are the names of the counters of a client account.
type accountCounters struct{ served, overQuota, refused string }

// accountLabels are the names of the counters of the accounts that sent requests first. The zero
// value is ready to use.
type accountLabels struct {
	mu     sync.RWMutex
	byName map[string]accountCounters
}

// counters returns the names of an account's counters.
func (l *accountLabels) counters(account string) accountCounters {
	l.mu.RLock()
	known, isKnown := l.byName[account]
	isFull := len(l.byName) >= maxAccountLabels
	l.mu.RUnlock()
	switch {
	case isKnown:
		return known
	case isFull:
		return namedCounters(otherAccounts)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string]accountCounters{}
	}
	if len(l.byName) >= maxAccountLabels {
		return namedCounters(otherAccounts)
	}
	own := namedCounters(strings.Map(labelRune, account))
	l.byName[account] = own
	return own
}

func namedCounters(label string) accountCounters {
	return accountCounters{served: "accounts.served." + label, overQuota: "accounts.overQuota." + label, refused: "accounts.refused." + label}
}

// labelRune replaces what would split a line of the metrics.
func labelRune(r rune) rune {
	if unicode.IsSpace(r) || !unicode.IsPrint(r) {
		return '_'
	}
	return r
}

// countAccount counts a request by its client account and how it ended.
func (d *Dispatcher) countAccount(j *job, reason string) {
	if j.access.account == nil {
		return
	}
	counters := d.accountLabels.counters(j.access.name())
	switch reason {
	case ReasonServed:
		d.Counter.Count(counters.served)
	case ReasonQuota:
		d.Counter.Count(counters.overQuota)
	default:
		d.Counter.Count(counters.refused)
	}
}
