// Package grant implements both sides of a grant: the table in which a backend
// server stores the grants that it received, and the issuer with which a home
// instance creates them. Neither does any I/O.
package grant

import (
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// tableEntry is the stored grant of one shard.
type tableEntry struct {
	fence int64
	// validUntil is a reading of the server's monotonic clock.
	validUntil time.Duration
	// except lists the keys of the shard that the grant does not cover.
	except []string
}

// Table stores the grants of one backend server process. Backend servers embed
// it. Times are readings of the server's own monotonic clock, which must keep
// running while the process is stopped and must not reset when it restarts. A
// Table is safe for concurrent use.
type Table struct {
	boot            string
	isFencingActive bool

	mu     sync.Mutex
	grants map[string]tableEntry
	// releasedFences has the highest released fencing token of each shard.
	releasedFences map[string]int64
}

// NewTable returns an empty table for the process with the given boot id. With
// isFencingActive false, it accepts every order regardless of fencing token and
// boot id.
func NewTable(boot string, isFencingActive bool) *Table {
	return &Table{boot: boot, isFencingActive: isFencingActive, grants: map[string]tableEntry{}, releasedFences: map[string]int64{}}
}

// Boot returns the boot id of the process that the table belongs to.
func (t *Table) Boot() string { return t.boot }

// Grant applies an order and returns the names of the shards that it refused.
func (t *Table) Grant(order redwingstall.GrantOrder) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := []string{}
	for _, grant := range order.Grants {
		if !t.applyGrant(order, grant) {
			refused = append(refused, grant.Shard)
		}
	}
	return refused
}

// applyGrant stores one grant of an order and reports whether it was accepted. A
// renewal under the same fencing token never shortens the grant.
func (t *Table) applyGrant(order redwingstall.GrantOrder, grant redwingstall.Grant) bool {
	old := t.grants[grant.Shard]
	if t.isFencingActive && (order.Boot != t.boot || grant.Fence <= t.releasedFences[grant.Shard] || grant.Fence < old.fence) {
		return false
	}
	validUntil := order.ValidUntil
	if old.fence == grant.Fence {
		validUntil = max(validUntil, old.validUntil)
	}
	t.grants[grant.Shard] = tableEntry{fence: grant.Fence, validUntil: validUntil, except: grant.Except}
	return true
}

// Release removes grants up to and including the given fencing tokens, and
// returns the names of the shards whose release it refused.
func (t *Table) Release(order redwingstall.ReleaseOrder) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := []string{}
	for _, grant := range order.Grants {
		if t.isFencingActive && order.Boot != t.boot {
			refused = append(refused, grant.Shard)
			continue
		}
		t.releasedFences[grant.Shard] = max(t.releasedFences[grant.Shard], grant.Fence)
		if t.grants[grant.Shard].fence <= grant.Fence {
			delete(t.grants, grant.Shard)
		}
	}
	return refused
}

// Holds reports whether the server may serve a key of the shard at time now.
func (t *Table) Holds(now time.Duration, shard, key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	grant, found := t.grants[shard]
	return found && now < grant.validUntil && !slices.Contains(grant.except, key)
}

// Held returns the fencing token of each shard whose grant is valid at time now.
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
