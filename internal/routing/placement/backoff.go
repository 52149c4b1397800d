package placement

import (
	"maps"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// MaxBackoff bounds the time for which a server may keep requests away, since it could not
// end a longer one itself.
const MaxBackoff = 5 * time.Minute

// Backoffs holds the servers that want no requests from this instance for some time. It is
// safe for concurrent use. The zero value is ready to use.
type Backoffs struct {
	mu    sync.Mutex
	until map[shardmap.Server]time.Time
}

// Set records that a server wants no requests for a duration. A shorter one does not replace
// a longer one, since responses may arrive in another order than they were sent. It reports
// whether the server wanted requests before.
func (b *Backoffs) Set(now time.Time, server shardmap.Server, duration time.Duration) (isNew bool) {
	until := now.Add(min(duration, MaxBackoff))
	if !until.After(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = map[shardmap.Server]time.Time{}
	}
	maps.DeleteFunc(b.until, func(_ shardmap.Server, end time.Time) bool { return !end.After(now) })
	known, isKnown := b.until[server]
	if !isKnown || until.After(known) {
		b.until[server] = until
	}
	return !isKnown
}

// Left returns how much longer a server wants no requests, or zero.
func (b *Backoffs) Left(now time.Time, server shardmap.Server) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until[server].Sub(now), 0)
}

// IsEmpty reports whether no server wants to be left alone.
func (b *Backoffs) IsEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.until) == 0
}
