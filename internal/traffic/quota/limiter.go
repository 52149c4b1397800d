// Package quota limits the requests of client accounts over all instances together. Each
// instance keeps a copy of each account's bucket, charges its own requests at once and those of
// other instances as their reports arrive, and paces its requests by its share of the recent
// demand. docs/design/quotas.md compares this with other designs.
package quota

import (
	"cmp"
	"hash/fnv"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingstall/redwingstall"
)

// Bounds are what the platform requires of the sum over all instances: in any window at most
// (rate x Window + burst) x (1 + Overrun) + Slack requests.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// The platform's usual bounds, for settings that name none.
const (
	defaultWindow  = 5 * time.Second
	defaultOverrun = 0.1
	defaultSlack   = 20
)

// WithDefaults returns the bounds with the usual value of each one that is missing.
func (b Bounds) WithDefaults() Bounds {
	if b == (Bounds{}) {
		return Bounds{Window: defaultWindow, Overrun: defaultOverrun, Slack: defaultSlack}
	}
	b.Window = cmp.Or(b.Window, defaultWindow)
	return b
}

// Limiter decides which requests are within the limits of their accounts. It is safe for
// concurrent use. Bounds, Count and Log must be set before the first use.
type Limiter struct {
	Bounds Bounds
	// Process identifies this process. It must differ from that of every other process.
	Process uint64
	Count   func(name string)
	Log     *slog.Logger

	// directory is replaced as a whole by Configure.
	directory atomic.Pointer[directory]
	standing  atomic.Pointer[standing]
	changes   [scopes]changeList

	// mu guards what the exchange uses, and serializes Configure.
	mu       sync.Mutex
	sources  map[sourceKey]*source
	sequence uint32
	removed  map[string]removedAccount
	// startedAt and steppedAt are the times of the first and the last Step. Until
	// doubtedUntil, reports may be older than their arrival.
	startedAt    time.Time
	steppedAt    time.Time
	uptime       time.Duration
	doubtedUntil time.Time
	// inTouchAt is when all instances were last in touch.
	inTouchAt time.Time
	// heard is the number of instances in touch, by scope.
	heard [scopes]int
	// isFresh is set, by scope, if none of them is silent.
	isFresh [scopes]bool
}

// directory holds the accounts that have a limit.
type directory struct {
	byName map[string]*account
	byID   map[uint32]*account
}

// standing is what this instance knows of the fleet.
type standing struct {
	// listed is the number of instances, and heard how many of them are in touch, this one
	// included.
	listed, heard int
	// isFresh is set if no instance is silent that is taken to be in touch.
	isFresh bool
	// isExcluded is set if the others may no longer set aside credit for this instance.
	isExcluded bool
	// at is when it was last confirmed.
	at time.Time
}

// share is the part of each limit that belongs to the instances in touch with this one.
func (s standing) share() float64 {
	if s.isExcluded {
		return 0
	}
	return float64(s.heard) / float64(s.listed)
}

const (
	// silenceTimeout is the time without a report after which an instance is out of touch.
	// Three reports fit in it.
	silenceTimeout = time.Second
	// freshTimeout is the time without a report after which an instance may be out of touch. Two
	// intervals between failure domains fit in it.
	freshTimeout = 700 * time.Millisecond
	// unknownInstances is the number of instances that a process assumes until it knows it.
	unknownInstances = 100
)

// Share makes the limiter one of several, which it knows by Step. It must be called before the
// first use.
func (l *Limiter) Share() { l.standing.Store(&standing{listed: unknownInstances, heard: 1}) }

// currentStanding returns what is known of the fleet. An instance whose exchange does not run
// is on its own.
func (l *Limiter) currentStanding(now time.Time) standing {
	s := l.standing.Load()
	if s == nil {
		return standing{listed: 1, heard: 1, isFresh: true, at: now}
	}
	if now.Sub(s.at) > silenceTimeout {
		return standing{listed: s.listed, heard: 1, isExcluded: s.isExcluded, at: s.at}
	}
	current := *s
	current.isFresh = s.isFresh && now.Sub(s.at) < freshTimeout
	return current
}

// Configure sets the accounts and their limits. Usage of accounts that stay is kept.
func (l *Limiter) Configure(now time.Time, accounts []redwingstall.ClientAccount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.directory.Load()
	next := &directory{byName: map[string]*account{}, byID: map[uint32]*account{}}
	limited := slices.DeleteFunc(slices.Clone(accounts), func(a redwingstall.ClientAccount) bool { return !hasLimit(a) })
	// All instances must derive the same ids, also of names with the same hash.
	slices.SortStableFunc(limited, func(a, b redwingstall.ClientAccount) int { return cmp.Compare(a.Name, b.Name) })
	s := l.currentStanding(now)
	var returned []*account
	for _, configured := range limited {
		if next.byName[configured.Name] != nil {
			continue // the decoder refuses two accounts of one name
		}
		id := hash(configured.Name)
		for next.byID[id] != nil {
			id++
		}
		var a *account
		if previous != nil {
			a = previous.byName[configured.Name]
		}
		if a == nil {
			if a = l.removed[configured.Name].account; a != nil {
				returned = append(returned, a)
			}
		}
		if a == nil || a.id != id {
			a = &account{id: id, name: configured.Name, rank: l.rank(id)}
		}
		a.configure(now, s, configured, l.bounds())
		next.byName[a.name], next.byID[id] = a, a
	}
	l.keepRemoved(now, previous, next)
	l.directory.Store(next)
	for scope := range l.changes {
		l.changes[scope].configure(next, Scope(scope), returned)
	}
}

// maxRemoved bounds the removed accounts that are kept.
const maxRemoved = 10_000

// removedAccount is an account that lost its limit at a time.
type removedAccount struct {
	*account
	at time.Time
}

// keepRemoved keeps the accounts that lost their limit. Their counts go on when it returns, as
// other instances expect of the same process. If there are too many, those removed first are
// evicted.
func (l *Limiter) keepRemoved(now time.Time, previous, next *directory) {
	if previous == nil {
		return
	}
	if l.removed == nil {
		l.removed = map[string]removedAccount{}
	}
	for name, a := range previous.byName {
		if next.byName[name] == nil {
			l.removed[name] = removedAccount{a, now}
		}
	}
	for name := range next.byName {
		delete(l.removed, name)
	}
	if len(l.removed) <= maxRemoved {
		return
	}
	byAge := slices.SortedFunc(maps.Values(l.removed), func(a, b removedAccount) int { return a.at.Compare(b.at) })
	for _, a := range byAge[:len(byAge)-maxRemoved] {
		delete(l.removed, a.name)
	}
}

func hasLimit(a redwingstall.ClientAccount) bool { return a.Rate > 0 && !math.IsInf(a.Rate, 1) }

func (l *Limiter) bounds() Bounds { return l.Bounds.WithDefaults() }

func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// rank returns a number from 0 to 1 that depends on the process and the account.
func (l *Limiter) rank(id uint32) float64 {
	return rand.New(rand.NewPCG(l.Process, uint64(id))).Float64()
}

// Admit reports whether a request of an account is within the limit, and charges it. A refused
// request may return after retryAfter. Accounts without a limit are always admitted.
func (l *Limiter) Admit(now time.Time, name string) (isAdmitted bool, retryAfter time.Duration) {
	a := l.find(name)
	if a == nil {
		return true, 0
	}
	s := l.currentStanding(now)
	decision := a.admit(now, s, l.bounds())
	l.markChanged(a, ScopeOwn)
	if decision.isAdmitted {
		return true, 0
	}
	l.Count("quota.refused")
	if decision.isOnset {
		l.Log.Info("account over its limit", "account", a.name, "level", decision.level, "share", s.share(), "heard", s.heard,
			"listed", s.listed, "weight", decision.weight, "knowledgeAge", now.Sub(s.at).String(), "retryAfter", decision.retryAfter.String())
	}
	return false, decision.retryAfter
}

// Refund returns the credit of a request that was refused for another reason.
func (l *Limiter) Refund(now time.Time, name string) {
	if a := l.find(name); a != nil {
		a.refund(now, l.currentStanding(now), l.bounds())
		l.markChanged(a, ScopeOwn)
		l.Count("quota.refunded")
	}
}

func (l *Limiter) find(name string) *account {
	d := l.directory.Load()
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// HasAccounts reports whether there are accounts with a limit.
func (l *Limiter) HasAccounts() bool {
	d := l.directory.Load()
	return d != nil && len(d.byName) > 0
}
