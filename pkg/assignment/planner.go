package assignment

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingstall/redwingstall"
)

// ServerView is the state of one backend server as the mover knows it.
type ServerView struct {
	// Slots is the server's weight in the distribution of the load.
	Slots int
	// Eligible is set if the server may be assigned entries.
	Eligible bool
	// Lost is set if the server does not answer.
	Lost bool
}

// View is the input of a plan besides the record.
type View struct {
	Revision redwingstall.Revision
	Servers  map[string]ServerView
	Shards   int
	// Lapsed has the names of the revoking entries whose old grant has certainly
	// ended.
	Lapsed map[string]bool
	// Loads are in requests a second by entry name.
	Loads map[string]float64
	// KeyLoads are in requests a second by key, for the hottest keys only.
	KeyLoads map[string]float64
	// Unmovable has the names of the entries that rebalancing must not move.
	Unmovable map[string]bool
	// MaxMoves limits the entries that move at one time away from servers that
	// still answer.
	MaxMoves int
	// Balance configures rebalancing.
	Balance Balance
}

// Plan is the next version of a record, with the number of changed entries by
// reason.
type Plan struct {
	Record   Record
	Assigned int
	Lost     int
	Leaving  int
	Balanced int
	Split    int
	Merged   int
}

// IsEmpty reports whether the plan changes nothing.
func (p Plan) IsEmpty() bool {
	return p.Assigned+p.Lost+p.Leaving+p.Balanced+p.Split+p.Merged == 0
}

// planner computes one plan.
type planner struct {
	view View
	plan Plan
	// ownedLoads has the load of the entries that each server owns.
	ownedLoads map[string]float64
	revoking   int
}

// MakePlan returns the next version of a record. Entries of lost servers are
// revoked at once. Entries of leaving servers are revoked in batches, so that the
// other servers are not overloaded. Rebalancing runs only while nothing else moves.
func MakePlan(record Record, view View) Plan {
	p := &planner{view: view, plan: Plan{Record: record.Copy()}}
	p.initShards()
	p.countLoads()
	p.assign()
	p.revoke()
	if p.plan.IsEmpty() && p.revoking == 0 {
		p.balance()
	}
	return p.plan
}

// initShards creates the shards of a new record. The number of shards of a record
// never changes, because a key must not move to another shard while it is owned.
func (p *planner) initShards() {
	if len(p.plan.Record.Shards) == 0 {
		p.plan.Record.Shards = make([]Entry, p.view.Shards)
	}
	if p.plan.Record.Hot == nil {
		p.plan.Record.Hot = map[string]HotKey{}
	}
}

// countLoads sums up the load of the entries that each server owns, and counts
// the revoking entries.
func (p *planner) countLoads() {
	p.ownedLoads = map[string]float64{}
	for name, entry := range p.plan.Record.Entries() {
		if entry.State == ShardOwned {
			p.ownedLoads[entry.Owner] += p.entryLoad(name)
		}
		if entry.State == ShardRevoking {
			p.revoking++
		}
	}
}

// entryLoad returns the load of an entry plus a small base load, so that entries
// of unknown load are distributed evenly by number.
func (p *planner) entryLoad(name string) float64 {
	const baseLoad = 1.0
	return baseLoad + p.view.Loads[name]
}

func (p *planner) entryNames() []string {
	return slices.Sorted(maps.Keys(p.plan.Record.Entries()))
}

// assign assigns unowned entries, and those whose old grant has ended, to the
// least loaded eligible servers.
func (p *planner) assign() {
	entries := p.plan.Record.Entries()
	for _, name := range p.entryNames() {
		entry := entries[name]
		isFree := entry.State == ShardUnowned || entry.State == ShardRevoking && p.view.Lapsed[name]
		if !isFree {
			continue
		}
		target, found := p.leastLoaded(name)
		if !found {
			continue
		}
		next, err := entry.Assign(target, max(int64(p.view.Revision), entry.Fence)+1)
		if err != nil {
			continue
		}
		p.plan.Record.set(name, next)
		p.ownedLoads[target] += p.entryLoad(name)
		p.plan.Assigned++
	}
}

// leastLoaded returns the eligible server with the least load per slot. Ties are
// broken by rendezvous hashing, so that a record built from scratch comes out
// similar. A cold key goes to the owner of its shard instead.
func (p *planner) leastLoaded(name string) (string, bool) {
	eligible := p.eligibleServers()
	if len(eligible) == 0 {
		return "", false
	}
	if parent, found := p.parentOwner(name); found {
		return parent, true
	}
	best := slices.MinFunc(eligible, func(a, b string) int {
		if c := cmp.Compare(p.loadPerSlot(a), p.loadPerSlot(b)); c != 0 {
			return c
		}
		return cmp.Compare(xxhash.Sum64String(a+"\x00"+name), xxhash.Sum64String(b+"\x00"+name))
	})
	return best, true
}

// parentOwner returns the owner of a cold key's shard, if it is eligible. At that
// server the key can be merged into the shard.
func (p *planner) parentOwner(name string) (string, bool) {
	key, isKey := strings.CutPrefix(name, keyPrefix)
	if !isKey || !p.isCold(key, p.meanLoad()) {
		return "", false
	}
	parent := p.plan.Record.Shards[p.plan.Record.Hot[key].Shard]
	server := p.view.Servers[parent.Owner]
	return parent.Owner, parent.State == ShardOwned && server.Eligible && !server.Lost
}

func (p *planner) eligibleServers() []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(p.view.Servers)) {
		if server := p.view.Servers[name]; server.Eligible && !server.Lost {
			names = append(names, name)
		}
	}
	return names
}

func (p *planner) loadPerSlot(server string) float64 {
	return p.ownedLoads[server] / float64(max(p.view.Servers[server].Slots, 1))
}

// revoke revokes the entries of servers that are lost or leaving.
func (p *planner) revoke() {
	if len(p.eligibleServers()) == 0 && !p.hasLeavingServer() {
		return
	}
	movesLeft := p.view.MaxMoves - p.revoking
	entries := p.plan.Record.Entries()
	for _, name := range p.entryNames() {
		entry := entries[name]
		server, known := p.view.Servers[entry.Owner]
		if entry.State != ShardOwned || known && server.Eligible && !server.Lost {
			continue
		}
		isLost := known && server.Lost
		if !isLost && movesLeft <= 0 {
			continue
		}
		next, err := entry.Revoke()
		if err != nil {
			continue
		}
		p.plan.Record.set(name, next)
		if isLost {
			p.plan.Lost++
			continue
		}
		p.plan.Leaving++
		movesLeft--
	}
}

// hasLeavingServer reports whether a server that still answers may not own
// entries. Its entries are revoked even if no other server can take them, because
// the guarantee that it receives no requests takes precedence over availability.
func (p *planner) hasLeavingServer() bool {
	for _, server := range p.view.Servers {
		if !server.Eligible && !server.Lost {
			return true
		}
	}
	return false
}
