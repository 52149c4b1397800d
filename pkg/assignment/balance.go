package assignment

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Balance weighs the moves that even the load out. A move costs the requests
// that wait while the entry has no owner, and brings the load that its server
// is relieved of for as long as the load stays as it is.
type Balance struct {
	// MaxMoves is the number of balancing moves of one plan; zero turns
	// balancing off.
	MaxMoves int
	// Start is the load of the busiest server over the mean at which balancing
	// starts; Stop is where it ends. The gap between the two is hysteresis.
	Start float64
	Stop  float64
	// Unavailable is the time without owner that one move costs.
	Unavailable time.Duration
	// Horizon is the time for which a load is expected to stay.
	Horizon time.Duration
	// HotShare of the mean load of a server makes a key hot; below a quarter of
	// it the key loses its own entry.
	HotShare float64
	// MaxHot bounds the keys with an entry of their own.
	MaxHot int
	// Active is set while a balancing that has started has not ended.
	Active bool
}

const coldShare = 0.25

// balance splits hot keys off, joins cold ones and moves entries that pay.
func (p *planner) balance() {
	if p.view.Balance.MaxMoves == 0 || len(p.eligible()) < 2 {
		return
	}
	mean := p.meanLoad()
	if mean <= 0 {
		return
	}
	p.join(mean)
	p.split(mean)
	if p.plan.IsEmpty() {
		p.even()
	}
}

func (p *planner) meanLoad() float64 {
	total := 0.0
	for _, load := range p.view.Loads {
		total += load
	}
	return total / float64(len(p.eligible()))
}

// split gives keys that carry a large part of a server's load an entry.
func (p *planner) split(mean float64) {
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
		p.refence(shard)
		record.Hot[key] = HotKey{Entry: record.Shards[shard], Shard: shard}
		p.plan.Split++
	}
}

// join ends the entries of keys that have gone cold, which is possible without
// a gap where the shard has the same owner; else the key moves there first.
func (p *planner) join(mean float64) {
	record := &p.plan.Record
	for _, key := range slices.Sorted(maps.Keys(record.Hot)) {
		hot := record.Hot[key]
		name := KeyName(key)
		parent := record.Shards[hot.Shard]
		areOwned := hot.State == ShardOwned && parent.State == ShardOwned
		if !areOwned || !p.isCold(key, mean) || p.view.Fixed[name] {
			continue
		}
		if hot.Owner != parent.Owner {
			p.startMove(name, hot.Owner, parent.Owner)
			continue
		}
		delete(record.Hot, key)
		p.refence(hot.Shard)
		p.plan.Merged++
	}
}

func (p *planner) isCold(key string, mean float64) bool {
	return p.view.Loads[KeyName(key)] < coldShare*p.view.Balance.HotShare*mean
}

// refence raises a shard's fence, since its grants now cover other keys.
func (p *planner) refence(shard int) {
	entry := &p.plan.Record.Shards[shard]
	entry.Fence = max(int64(p.view.Revision), entry.Fence) + 1
}

// even moves entries from the busiest to the idlest server while that pays.
func (p *planner) even() {
	limit := p.view.Balance.Start
	if p.view.Balance.Active {
		limit = p.view.Balance.Stop
	}
	for range p.view.Balance.MaxMoves {
		busiest, idlest := p.extremes()
		mean := p.meanPerSlot()
		if p.perSlot(busiest) <= limit*mean {
			return
		}
		name, found := p.payingMove(busiest, idlest)
		if !found {
			return
		}
		p.startMove(name, busiest, idlest)
		limit = p.view.Balance.Stop
	}
}

func (p *planner) extremes() (busiest, idlest string) {
	servers := p.eligible()
	busiest, idlest = servers[0], servers[0]
	for _, server := range servers {
		if p.perSlot(server) > p.perSlot(busiest) {
			busiest = server
		}
		if p.perSlot(server) < p.perSlot(idlest) {
			idlest = server
		}
	}
	return busiest, idlest
}

func (p *planner) meanPerSlot() float64 {
	load, slots := 0.0, 0
	for _, server := range p.eligible() {
		load += p.counts[server]
		slots += p.view.Servers[server].Slots
	}
	return load / float64(max(slots, 1))
}

// payingMove returns the entry whose move brings the most above its cost.
func (p *planner) payingMove(busiest, idlest string) (string, bool) {
	gap := p.perSlot(busiest) - p.perSlot(idlest)
	entries := p.plan.Record.Entries()
	best, bestGain := "", 0.0
	for _, name := range p.names() {
		entry := entries[name]
		if entry.Owner != busiest || entry.State != ShardOwned || p.view.Fixed[name] {
			continue
		}
		if gain := p.gain(p.weigh(name), gap, busiest, idlest); gain > bestGain {
			best, bestGain = name, gain
		}
	}
	return best, best != ""
}

// gain is in requests: those relieved over the horizon less those that wait.
func (p *planner) gain(load, gap float64, busiest, idlest string) float64 {
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
	p.counts[from] -= p.weigh(name)
	p.counts[to] += p.weigh(name)
	p.plan.Balanced++
}
