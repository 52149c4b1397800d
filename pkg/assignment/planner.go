package assignment

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingstall/redwingstall"
)

// ServerView is what the mover knows of one backend server.
type ServerView struct {
	// Slots weigh the server's share.
	Slots int
	// Eligible is set if it may get new work.
	Eligible bool
	// Lost is set if it answers no more.
	Lost bool
}

// View is what a plan is made from.
type View struct {
	Revision redwingstall.Revision
	Servers  map[string]ServerView
	Shards   int
	// Lapsed names the revoking entries whose old grant is provably over.
	Lapsed map[string]bool
	// Loads are in requests a second by entry name.
	Loads map[string]float64
	// KeyLoads are in requests a second by key, for the hottest keys only.
	KeyLoads map[string]float64
	// Fixed names the entries that must not start to move.
	Fixed map[string]bool
	// MaxMoves bounds the entries that start to leave a living server at once.
	MaxMoves int
	// Balance asks for moves that pay for themselves.
	Balance Balance
}

// Plan is a change of a record, with the number of entries by reason.
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

// planner is the work on one plan.
type planner struct {
	view   View
	plan   Plan
	counts map[string]float64
	moving int
}

// MakePlan returns the next change of a record. Entries of lost servers are
// revoked at once; those of servers that leave in batches, so that the others
// bear them; balancing comes last, when nothing else moves.
func MakePlan(record Record, view View) Plan {
	p := &planner{view: view, plan: Plan{Record: record.Copy()}}
	p.grow()
	p.count()
	p.assign()
	p.revoke()
	if p.plan.IsEmpty() && p.moving == 0 {
		p.balance()
	}
	return p.plan
}

// grow makes the shards of a new record. A record keeps its number of shards
// for good, since a key must not change shard under its owner.
func (p *planner) grow() {
	if len(p.plan.Record.Shards) == 0 {
		p.plan.Record.Shards = make([]Entry, p.view.Shards)
	}
	if p.plan.Record.Hot == nil {
		p.plan.Record.Hot = map[string]HotKey{}
	}
}

// count weighs the servers by the entries and the load that they own.
func (p *planner) count() {
	p.counts = map[string]float64{}
	for name, entry := range p.plan.Record.Entries() {
		if entry.State == ShardOwned {
			p.counts[entry.Owner] += p.weigh(name)
		}
		if entry.State == ShardRevoking {
			p.moving++
		}
	}
}

// weigh returns an entry's share of the load; one of unknown load counts as a
// small share, so that the number of entries is spread evenly too.
func (p *planner) weigh(name string) float64 {
	const idleShare = 1.0
	return idleShare + p.view.Loads[name]
}

func (p *planner) names() []string {
	return slices.Sorted(maps.Keys(p.plan.Record.Entries()))
}

// assign gives new entries and those of lapsed grants to the least loaded
// eligible servers.
func (p *planner) assign() {
	entries := p.plan.Record.Entries()
	for _, name := range p.names() {
		entry := entries[name]
		isFree := entry.State == ShardUnowned || entry.State == ShardRevoking && p.view.Lapsed[name]
		if !isFree {
			continue
		}
		target, found := p.pick(name)
		if !found {
			continue
		}
		next, err := entry.Assign(target, max(int64(p.view.Revision), entry.Fence)+1)
		if err != nil {
			continue
		}
		p.plan.Record.set(name, next)
		p.counts[target] += p.weigh(name)
		p.plan.Assigned++
	}
}

// pick returns the eligible server with the least load per slot; equal ones
// are told apart by rendezvous hashing, so that a record made anew is alike.
func (p *planner) pick(name string) (string, bool) {
	eligible := p.eligible()
	if len(eligible) == 0 {
		return "", false
	}
	if parent, found := p.parentOfCold(name); found {
		return parent, true
	}
	best := slices.MinFunc(eligible, func(a, b string) int {
		if c := cmp.Compare(p.perSlot(a), p.perSlot(b)); c != 0 {
			return c
		}
		return cmp.Compare(xxhash.Sum64String(a+"\x00"+name), xxhash.Sum64String(b+"\x00"+name))
	})
	return best, true
}

// parentOfCold returns the owner of a cold key's shard, where the key may join
// the shard again.
func (p *planner) parentOfCold(name string) (string, bool) {
	key, isKey := strings.CutPrefix(name, keyPrefix)
	if !isKey || !p.isCold(key, p.meanLoad()) {
		return "", false
	}
	parent := p.plan.Record.Shards[p.plan.Record.Hot[key].Shard]
	server := p.view.Servers[parent.Owner]
	return parent.Owner, parent.State == ShardOwned && server.Eligible && !server.Lost
}

func (p *planner) eligible() []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(p.view.Servers)) {
		if server := p.view.Servers[name]; server.Eligible && !server.Lost {
			names = append(names, name)
		}
	}
	return names
}

func (p *planner) perSlot(server string) float64 {
	return p.counts[server] / float64(max(p.view.Servers[server].Slots, 1))
}

// revoke starts to take entries from servers that are lost or leave.
func (p *planner) revoke() {
	if len(p.eligible()) == 0 && !p.mustFallSilent() {
		return
	}
	left := p.view.MaxMoves - p.moving
	entries := p.plan.Record.Entries()
	for _, name := range p.names() {
		entry := entries[name]
		server, known := p.view.Servers[entry.Owner]
		if entry.State != ShardOwned || known && server.Eligible && !server.Lost {
			continue
		}
		isLost := known && server.Lost
		if !isLost && left <= 0 {
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
		left--
	}
}

// mustFallSilent reports whether a living server may get no new work although
// no other can take it: a promise to be silent goes before service.
func (p *planner) mustFallSilent() bool {
	for _, server := range p.view.Servers {
		if !server.Eligible && !server.Lost {
			return true
		}
	}
	return false
}
