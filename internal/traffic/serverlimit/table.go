// Package serverlimit keeps the limits that backend servers name for the requests of all
// instances together.
package serverlimit

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	// MaxRate is the rate in requests per second from which a limit has no effect.
	MaxRate = 10_000.0
	// minRate lets a request through every five seconds in spite of a lower limit, since
	// only a response can say that the limit has ended.
	minRate = 0.2
	// significantChange is the ratio of two limits from which the other instances are
	// notified of a change. Those who need the exact limit ask the coordinator.
	significantChange = 1.1
)

// Limit is what is known of the limit of one server process.
type Limit struct {
	Server shardmap.Server
	// Rate is in requests per second. It is 0 if the server has named no limit, or has
	// ended it.
	Rate float64
	// SentAt and AnsweredAt are the start and the end of the request whose response said so.
	SentAt     time.Time
	AnsweredAt time.Time
}

// IsActive reports whether there is a limit.
func (l Limit) IsActive() bool { return l.Rate > 0 }

// replaces reports whether a limit replaces a known one. Responses may be delayed: of two
// requests that ran at the same time, the one with the lower limit counts.
func (l Limit) replaces(known Limit) bool {
	switch {
	case l.Server.StartedAtMillis != known.Server.StartedAtMillis:
		return l.Server.StartedAtMillis > known.Server.StartedAtMillis
	case !l.SentAt.Before(known.AnsweredAt):
		return true
	case !known.SentAt.Before(l.AnsweredAt):
		return false
	case l.Rate == known.Rate:
		return l.AnsweredAt.After(known.AnsweredAt)
	}
	return l.IsActive() && (!known.IsActive() || l.Rate < known.Rate)
}

// isSignificant reports whether the other instances should be notified of the change.
func (l Limit) isSignificant(notified Limit) bool {
	if l.Server != notified.Server || l.IsActive() != notified.IsActive() {
		return l.IsActive() || notified.IsActive()
	}
	return l.IsActive() && max(l.Rate/notified.Rate, notified.Rate/l.Rate) >= significantChange
}

// Table holds the known limits. It is safe for concurrent use. The zero value is ready to
// use.
type Table struct {
	mu     sync.Mutex
	limits map[string]*entry
	// changed holds the servers with changes that the other instances do not know.
	changed map[string]bool
}

type entry struct {
	Limit
	// notified is the last limit that the other instances were notified of, or sent.
	notified Limit
}

// Observe records what a response says about the limit of a server. It returns the limit
// that is known then, and whether that is an essential change.
func (t *Table) Observe(server shardmap.Server, named redwingstall.RateLimit, sentAt, answeredAt time.Time) (known Limit, hasChanged bool) {
	if named.IsUnreadable {
		return t.Find(server), false
	}
	observed := Limit{Server: server, SentAt: sentAt, AnsweredAt: answeredAt}
	if named.IsNamed && named.Rate < MaxRate {
		observed.Rate = max(named.Rate, minRate)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limits[server.ID]
	if e == nil && !observed.IsActive() {
		return observed, false
	}
	if hasChanged = t.replace(observed); hasChanged {
		t.changed[server.ID] = true
	}
	return t.limits[server.ID].Limit, hasChanged
}

// Merge records a limit that another instance has observed. It reports whether that is an
// essential change.
func (t *Table) Merge(observed Limit) (hasChanged bool) {
	if math.IsNaN(observed.Rate) || observed.Rate < 0 || observed.Rate >= MaxRate {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replace(observed)
}

// replace stores a limit that replaces the known one. It reports whether the change is
// significant.
func (t *Table) replace(observed Limit) (isSignificant bool) {
	if t.limits == nil {
		t.limits, t.changed = map[string]*entry{}, map[string]bool{}
	}
	e := t.limits[observed.Server.ID]
	if e == nil {
		e = &entry{}
		t.limits[observed.Server.ID] = e
	} else if !observed.replaces(e.Limit) {
		return false
	}
	e.Limit = observed
	if !observed.isSignificant(e.notified) {
		return false
	}
	e.notified = observed
	return true
}

// Find returns the limit of a server process. One that an earlier process named has ended.
func (t *Table) Find(server shardmap.Server) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limits[server.ID]
	if e == nil || e.Server.StartedAtMillis < server.StartedAtMillis {
		return Limit{Server: server}
	}
	return e.Limit
}

// TakeChanges returns the limits that this instance has observed and not yet returned, for
// the other instances.
func (t *Table) TakeChanges() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := make([]Limit, 0, len(t.changed))
	for id := range t.changed {
		if e := t.limits[id]; e != nil {
			changes = append(changes, e.Limit)
		}
	}
	clear(t.changed)
	return changes
}

// All returns all that is known, also which limits have ended.
func (t *Table) All() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Limit, 0, len(t.limits))
	for _, e := range t.limits {
		all = append(all, e.Limit)
	}
	return all
}

// Digest returns a hash of the servers with a limit. It is 0 if there is none.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest := uint64(0)
	for _, e := range t.limits {
		if e.IsActive() {
			digest ^= Hash(e.Server)
		}
	}
	return digest
}

// Hash returns a hash of a server process.
func Hash(server shardmap.Server) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", server.ID, server.StartedAtMillis)
	return h.Sum64()
}

// RemoveUnlisted removes servers that are not listed.
func (t *Table) RemoveUnlisted(isListed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.limits, func(id string, _ *entry) bool { return !isListed(id) })
	maps.DeleteFunc(t.changed, func(id string, _ bool) bool { return !isListed(id) })
}
