// Package grant holds both sides of a grant: the table of a backend server that
// takes grants, and the issuer of a home instance that gives them. Neither does
// any I/O.
package grant

import (
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// held is one grant in a table.
type held struct {
	fence      int64
	validUntil time.Duration
	except     []string
}

// Table is the grants of one process of a backend server, for servers to embed.
// Times are of the server's own monotonic clock, which must go on while the
// process is stopped and must not start anew with it. It is safe for
// concurrent use.
type Table struct {
	boot   string
	checks bool

	mu     sync.Mutex
	grants map[string]held
	floors map[string]int64
}

// NewTable returns an empty table of a process. One that does not check takes
// any order, whatever its fence and its boot.
func NewTable(boot string, checks bool) *Table {
	return &Table{boot: boot, checks: checks, grants: map[string]held{}, floors: map[string]int64{}}
}

// Boot returns the process that the table belongs to.
func (t *Table) Boot() string { return t.boot }

// Grant takes an order and returns the names of the shards that it refused.
func (t *Table) Grant(order redwingstall.GrantOrder) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := []string{}
	for _, grant := range order.Grants {
		if !t.take(order, grant) {
			refused = append(refused, grant.Shard)
		}
	}
	return refused
}

func (t *Table) take(order redwingstall.GrantOrder, grant redwingstall.Grant) bool {
	old := t.grants[grant.Shard]
	if t.checks && (order.Boot != t.boot || grant.Fence <= t.floors[grant.Shard] || grant.Fence < old.fence) {
		return false
	}
	validUntil := order.ValidUntil
	if old.fence == grant.Fence {
		validUntil = max(validUntil, old.validUntil)
	}
	t.grants[grant.Shard] = held{fence: grant.Fence, validUntil: validUntil, except: grant.Except}
	return true
}

// Release ends grants and returns the names of the shards that it refused.
func (t *Table) Release(order redwingstall.ReleaseOrder) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := []string{}
	for _, grant := range order.Grants {
		if t.checks && order.Boot != t.boot {
			refused = append(refused, grant.Shard)
			continue
		}
		t.floors[grant.Shard] = max(t.floors[grant.Shard], grant.Fence)
		if t.grants[grant.Shard].fence <= grant.Fence {
			delete(t.grants, grant.Shard)
		}
	}
	return refused
}

// Holds reports whether the server may serve a key of the shard at the time.
func (t *Table) Holds(now time.Duration, shard, key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	grant, found := t.grants[shard]
	return found && now < grant.validUntil && !slices.Contains(grant.except, key)
}

// Held returns the fences of the shards that the server holds at the time.
func (t *Table) Held(now time.Duration) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	fences := map[string]int64{}
	for shard, grant := range t.grants {
		if now < grant.validUntil {
			fences[shard] = grant.fence
		}
	}
	return fences
}
