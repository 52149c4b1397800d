package assignment

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Balance configures rebalancing, which moves entries to equalize the load. The
// cost of a move is the requests that wait while the entry has no owner. Its
// benefit is the load that it takes off the server for as long as the load is
// expected to last.
type Balance struct {
	// MaxMoves limits the rebalancing moves of one plan; zero disables
	// rebalancing.
	MaxMoves int
	// Start is the ratio of the busiest server's load to the mean above which
	// rebalancing starts; Stop is the ratio at which it ends. The difference is
	// hysteresis.
	Start float64
	Stop  float64
	// Unavailable is the time that an entry has no owner during a move.
	Unavailable time.Duration
	// Horizon is the time for which a load is expected to last.
	Horizon time.Duration
	// HotShare is the fraction of a server's mean load from which on a key is
	// hot and gets its own entry. Below a quarter of it, the key loses the entry.
	HotShare float64
	// MaxHot limits the number of keys with their own entry.
	MaxHot int
	// Active is set while rebalancing that has started has not ended.
	Active bool
}

// coldFraction is the fraction of the hot key threshold below which a key is cold.
const coldFraction = 0.25

// balance splits off hot keys and merges cold ones. If neither changes the plan,
// it moves entries whose benefit exceeds their cost.
func (p *planner) balance() {
	if p.view.Balance.MaxMoves == 0 || len(p.eligibleServers()) < 2 {
		return
	}
	mean := p.meanLoad()
	if mean <= 0 {
		return
	}
	p.mergeColdKeys(mean)
	p.splitHotKeys(mean)
	if p.plan.IsEmpty() {
		p.moveEntries()
	}
}

func (p *planner) meanLoad() float64 {
	total := 0.0
	for _, load := range p.view.Loads {
		total += load
	}
	return total / float64(len(p.eligibleServers()))
}

// splitHotKeys gives hot keys their own entries.
func (p *planner) splitHotKeys(mean float64) {
	record := &p.plan.Record
	for _, key := range slices.Sorted(maps.Keys(p.view.KeyLoads)) {
		_, isHot := record.Hot[key]
		isHotEnough := p.view.KeyLoads[key] >= p.view.Balance.HotShare*mean
		if isHot || !isHotEnough || len(record.Hot) >= p.view.Balance.MaxHot {
			continue
		}
		shard := ShardOf(key, len(record.Shards))
		parent := record.Shards[shard]
		if parent.State != ShardOwned {
			continue
		}
		p.raiseFence(shard)
		record.Hot[key] = HotKey{Entry: record.Shards[shard], Shard: shard}
		p.plan.Split++
	}
}

// mergeColdKeys merges the entries of cold keys into their shards. If the shard
// has the same owner, the key stays available during the merge; otherwise the
// key moves to that owner first.
func (p *planner) mergeColdKeys(mean float64) {
	record := &p.plan.Record
	for _, key := range slices.Sorted(maps.Keys(record.Hot)) {
		hot := record.Hot[key]
		name := KeyName(key)
		parent := record.Shards[hot.Shard]
		areBothOwned := hot.State == ShardOwned && parent.State == ShardOwned
		if !areBothOwned || !p.isCold(key, mean) || p.view.Unmovable[name] {
			continue
		}
		if hot.Owner != parent.Owner {
			p.startMove(name, hot.Owner, parent.Owner)
			continue
		}
		delete(record.Hot, key)
		p.raiseFence(hot.Shard)
		p.plan.Merged++
	}
}

func (p *planner) isCold(key string, mean float64) bool {
	return p.view.Loads[KeyName(key)] < coldFraction*p.view.Balance.HotShare*mean
}

// raiseFence raises a shard's fencing token, because its grants cover a different
// set of keys after a split or merge.
func (p *planner) raiseFence(shard int) {
	entry := &p.plan.Record.Shards[shard]
	entry.Fence = max(int64(p.view.Revision), entry.Fence) + 1
}

// moveEntries moves entries from the busiest to the idlest server while the
// benefit exceeds the cost.
func (p *planner) moveEntries() {
	limit := p.view.Balance.Start
	if p.view.Balance.Active {
		limit = p.view.Balance.Stop
	}
	for range p.view.Balance.MaxMoves {
		busiest, idlest := p.busiestAndIdlest()
		mean := p.meanLoadPerSlot()
		if p.loadPerSlot(busiest) <= limit*mean {
			return
		}
		name, found := p.bestMove(busiest, idlest)
		if !found {
			return
		}
		p.startMove(name, busiest, idlest)
		limit = p.view.Balance.Stop
	}
}

func (p *planner) busiestAndIdlest() (busiest, idlest string) {
	servers := p.eligibleServers()
	busiest, idlest = servers[0], servers[0]
	for _, server := range servers {
		if p.loadPerSlot(server) > p.loadPerSlot(busiest) {
			busiest = server
		}
		if p.loadPerSlot(server) < p.loadPerSlot(idlest) {
			idlest = server
		}
	}
	return busiest, idlest
}

func (p *planner) meanLoadPerSlot() float64 {
	load, slots := 0.0, 0
	for _, server := range p.eligibleServers() {
		load += p.ownedLoads[server]
		slots += p.view.Servers[server].Slots
	}
	return load / float64(max(slots, 1))
}

// bestMove returns the entry whose move has the highest positive net gain.
func (p *planner) bestMove(busiest, idlest string) (string, bool) {
	gap := p.loadPerSlot(busiest) - p.loadPerSlot(idlest)
	entries := p.plan.Record.Entries()
	best, bestGain := "", 0.0
	for _, name := range p.entryNames() {
		entry := entries[name]
		if entry.Owner != busiest || entry.State != ShardOwned || p.view.Unmovable[name] {
			continue
		}
		if gain := p.netGain(p.entryLoad(name), gap, busiest, idlest); gain > bestGain {
			best, bestGain = name, gain
		}
	}
	return best, best != ""
}

// netGain estimates the benefit of a move in requests: those taken off the
// busiest server over the horizon, minus those that wait during the move.
func (p *planner) netGain(load, gap float64, busiest, idlest string) float64 {
	slots := float64(max(p.view.Servers[busiest].Slots, 1))
	otherSlots := float64(max(p.view.Servers[idlest].Slots, 1))
	after := math.Abs(gap - load/slots - load/otherSlots)
	relieved := (gap - after) * slots / 2
	return relieved*p.view.Balance.Horizon.Seconds() - load*p.view.Balance.Unavailable.Seconds()
}

func (p *planner) startMove(name, from, to string) {
	entry := p.plan.Record.Entries()[name]
	next, err := entry.Revoke()
	if err != nil {
		return
	}
	p.plan.Record.set(name, next)
	p.ownedLoads[from] -= p.entryLoad(name)
	p.ownedLoads[to] += p.entryLoad(name)
	p.plan.Balanced++
}
