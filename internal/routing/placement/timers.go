package placement

import (
	"maps"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// MaxTimer bounds what a server may announce, such as a time without requests, since without
// requests it could not end a longer one itself.
const MaxTimer = 5 * time.Minute

// Timers holds until when a state lasts that server processes have announced to this
// instance. It is safe for concurrent use. The zero value is ready to use.
type Timers struct {
	mu    sync.Mutex
	until map[shardmap.Server]time.Time
}

// Extend records that the state of a server lasts for a duration. A shorter one does not
// replace a longer one, since responses may arrive in another order than they were sent. It
// reports whether the state is new.
func (t *Timers) Extend(now time.Time, server shardmap.Server, duration time.Duration) (isNew bool) {
	until := now.Add(min(duration, MaxTimer))
	if !until.After(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.until == nil {
		t.until = map[shardmap.Server]time.Time{}
	}
	maps.DeleteFunc(t.until, func(_ shardmap.Server, end time.Time) bool { return !end.After(now) })
	known, isKnown := t.until[server]
	if !isKnown || until.After(known) {
		t.until[server] = until
	}
	return !isKnown
}

// Left returns how much longer the state of a server lasts, or zero.
func (t *Timers) Left(now time.Time, server shardmap.Server) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.until[server].Sub(now), 0)
}

// IsEmpty reports whether no server has the state, as of the last change.
func (t *Timers) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.until) == 0
}
