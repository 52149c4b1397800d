// Package memory divides the memory of a process among those for whom it holds bytes, such as
// the backend servers whose responses it reads.
package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that a reservation exceeds the whole budget.
var ErrTooLarge = errors.New("memory: larger than the budget")

// Budget is a number of bytes that holders reserve parts of. It is safe for concurrent use.
//
// A reservation that does not fit waits. The holder with the fewest bytes comes first, so that
// one that needs much does not keep the others waiting (max-min fairness), and nobody overtakes
// it, so that a large reservation is granted, too. Reservations of holders that have more are
// revoked for it, the latest of the one with the most first (push-out, as in longest queue drop).
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// revoked is the part of used that will be released soon.
	revoked int64
	holders map[string]*holder
	// waiting are the reservations that wait, in order of arrival.
	waiting []*Reservation
}

type holder struct {
	used int64
	// revoked is the part of used that will be released soon.
	revoked int64
	// revocable are the reservations that may be revoked, the oldest first.
	revocable    []*Reservation
	suspectUntil time.Time
}

// holderShare divides the budget into the parts of which a holder may reserve one. A single
// reservation may be larger.
const holderShare = 2

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[string]*holder{}}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Reservation is a number of bytes that a holder has reserved, or waits for.
type Reservation struct {
	budget  *Budget
	holder  string
	bytes   int64
	granted chan struct{}
	revoke  func()
	// isSet is set while the bytes are reserved, and isRevoked once revoke was called.
	isSet, isRevoked bool
}

// Reserve reserves bytes for a holder. It waits until there is enough, at most until the context
// ends, whose error it returns then. It returns [ErrTooLarge] if there will never be enough, and
// nil for no bytes.
//
// The budget calls revoke, at most once and until Keep, when others need the bytes. Their holder
// must release them soon after. The function must not block or use the budget. Nil makes them
// irrevocable.
func (b *Budget) Reserve(ctx context.Context, name string, bytes int64, revoke func()) (*Reservation, error) {
	if bytes <= 0 {
		return nil, nil
	}
	if bytes > b.limit {
		return nil, errors.Wrapf(ErrTooLarge, "%d of %d bytes", bytes, b.limit)
	}
	r := &Reservation{budget: b, holder: name, bytes: bytes, revoke: revoke}
	if b.enqueue(r) {
		return r, nil
	}
	select {
	case <-r.granted:
		return r, nil
	case <-ctx.Done():
		r.Release()
		return nil, ctx.Err()
	}
}

// TryReserve reserves bytes for a holder if there is enough at once, and returns nil otherwise.
func (b *Budget) TryReserve(name string, bytes int64) *Reservation {
	r := &Reservation{budget: b, holder: name, bytes: bytes}
	if bytes > b.limit {
		return nil
	}
	if !b.enqueue(r) {
		r.Release()
		return nil
	}
	r.Keep(bytes)
	return r
}

// enqueue reports whether the reservation is granted at once.
func (b *Budget) enqueue(r *Reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holders[r.holder] == nil {
		b.holders[r.holder] = &holder{}
	}
	b.waiting = append(b.waiting, r)
	b.grant(time.Now())
	if !r.isSet {
		r.granted = make(chan struct{})
	}
	return r.isSet
}

// grant grants the reservations that fit. The caller holds the lock.
func (b *Budget) grant(now time.Time) {
	for {
		i := b.next(now)
		if i < 0 {
			return
		}
		r := b.waiting[i]
		if b.used+r.bytes > b.limit {
			b.revokeFor(r, now)
			return
		}
		b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
		h := b.holders[r.holder]
		b.used += r.bytes
		h.used += r.bytes
		if r.revoke != nil {
			h.revocable = append(h.revocable, r)
		}
		r.isSet = true
		if r.granted != nil {
			close(r.granted)
		}
	}
}

// revokeFor revokes reservations until one that waits will fit, as far as there are holders that
// have more than its own would. The caller holds the lock.
func (b *Budget) revokeFor(r *Reservation, now time.Time) {
	missing := b.used + r.bytes - b.limit - b.revoked
	for missing > 0 {
		victim := b.victimFor(r, now)
		if victim == nil {
			return
		}
		last := victim.revocable[len(victim.revocable)-1]
		victim.revocable = victim.revocable[:len(victim.revocable)-1]
		last.isRevoked = true
		last.revoke()
		b.revoked += last.bytes
		victim.revoked += last.bytes
		missing -= last.bytes
	}
}

// victimFor returns the holder that a reservation is revoked from for another one, or nil.
func (b *Budget) victimFor(r *Reservation, now time.Time) *holder {
	own, victim := b.holders[r.holder], (*holder)(nil)
	for _, h := range b.holders {
		isBehind := h.used-h.revoked > own.used+r.bytes || h.isSuspect(now) && !own.isSuspect(now)
		if h != own && isBehind && len(h.revocable) > 0 && (victim == nil || h.used-h.revoked > victim.used-victim.revoked) {
			victim = h
		}
	}
	return victim
}

// next returns the index of the reservation that is granted next, or -1 if the holders of all
// have their part.
func (b *Budget) next(now time.Time) int {
	best, bestHolder := -1, (*holder)(nil)
	for i, r := range b.waiting {
		h := b.holders[r.holder]
		if h.used > 0 && (h.isSuspect(now) || h.used+r.bytes > b.limit/holderShare) {
			continue
		}
		if best < 0 || h.precedes(bestHolder, now) {
			best, bestHolder = i, h
		}
	}
	return best
}

func (h *holder) isSuspect(now time.Time) bool { return now.Before(h.suspectUntil) }

// precedes reports whether a holder comes before another one that has waited longer.
func (h *holder) precedes(other *holder, now time.Time) bool {
	if h.isSuspect(now) != other.isSuspect(now) {
		return other.isSuspect(now)
	}
	return h.used < other.used
}

// Suspect lets a holder have one reservation at a time, behind those of others, for a time.
func (b *Budget) Suspect(name string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for other := range b.holders {
		b.forget(other, now)
	}
	if b.holders[name] == nil {
		b.holders[name] = &holder{}
	}
	b.holders[name].suspectUntil = until
}

// IsShort reports whether reservations wait.
func (b *Budget) IsShort() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) > 0
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Keep reduces a reservation to a number of bytes, which are not revoked any more. It does nothing
// to nil.
func (r *Reservation) Keep(bytes int64) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.isSet {
		return
	}
	h := b.holders[r.holder]
	h.revocable = slices.DeleteFunc(h.revocable, func(other *Reservation) bool { return other == r })
	freed := max(r.bytes-bytes, 0)
	b.used -= freed
	h.used -= freed
	if r.isRevoked {
		b.revoked -= r.bytes
		h.revoked -= r.bytes
		r.isRevoked = false
	}
	r.bytes -= freed
	r.isSet = r.bytes > 0
	now := time.Now()
	b.forget(r.holder, now)
	b.grant(now)
}

// forget removes a holder of which nothing is known. The caller holds the lock.
func (b *Budget) forget(name string, now time.Time) {
	if h := b.holders[name]; h != nil && h.used == 0 && !h.isSuspect(now) && !b.isWaiting(name) {
		delete(b.holders, name)
	}
}

// Bytes returns the reserved bytes, 0 for nil.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.bytes
}

// Release ends a reservation. It may be called again, and does nothing to nil.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.leaveQueue()
	r.Keep(0)
}

func (r *Reservation) leaveQueue() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == r {
			now := time.Now()
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.forget(r.holder, now)
			b.grant(now)
			return
		}
	}
}

func (b *Budget) isWaiting(name string) bool {
	for _, r := range b.waiting {
		if r.holder == name {
			return true
		}
	}
	return false
}
