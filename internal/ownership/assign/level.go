package assign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	// levelEvery lets the rates settle after a move.
	levelEvery = 600 * time.Millisecond
	// leastMoves at one time, or a share of the servers where that is more; each
	// keeps its keys from being served for as long as the longest request that
	// runs on them.
	leastMoves   = 4
	serversAMove = 2
	// mostMoves bounds what the instances must be told at one time.
	mostMoves = 16
	// levelAbove is the utilization above which keys are moved away. Moves below
	// it cost more service than they gain: their keys wait for the work under way.
	levelAbove = 0.75
	// levelGap is how much more than the target the source must be used. Rates and
	// speeds that are measured over a second differ by a fifth without a cause.
	levelGap = 0.3
	// nearlyFull is the utilization from which queues grow without bound in a
	// burst, and nearlyFullRatio what is enough of a difference then. Where all
	// servers are overloaded, moves between them help nobody.
	nearlyFull      = 0.9
	nearlyFullRatio = 1.25
	// leastRate of a move, in requests a second; moving less is not noticed.
	leastRate = 0.4
)

// candidates are the servers that may take keys: warm ones if there are any.
func candidates(world ClusterState) []shardmap.Server {
	warm, cold := []shardmap.Server{}, []shardmap.Server{}
	for _, s := range world.Servers {
		switch {
		case !s.IsUsable:
		case s.IsCold:
			cold = append(cold, s.Server)
		default:
			warm = append(warm, s.Server)
		}
	}
	if len(warm) == 0 {
		warm = cold
	}
	slices.SortFunc(warm, func(a, b shardmap.Server) int { return cmp.Compare(a.ID, b.ID) })
	return warm
}

// idleRate of a key without requests: five a second for the whole service, so
// that an idle one is divided evenly.
const idleRate = 5.0 / redwingstall.Keys

func keyRate(rates []float32, key int) float64 {
	if len(rates) != redwingstall.Keys {
		return idleRate
	}
	return idleRate + float64(rates[key])
}

// rangeRate sums the rates of a range.
func rangeRate(rates []float32, r redwingstall.KeyRange) float64 {
	sum := 0.0
	for key := r.From; key <= r.To; key++ {
		sum += keyRate(rates, key)
	}
	return sum
}

// chooser spreads ranges over the servers with the most free capacity.
type chooser struct {
	world ClusterState
	load  map[string]float64
	open  []shardmap.Server
}

func newChooser(m shardmap.Map, world ClusterState) *chooser {
	c := &chooser{world: world, load: map[string]float64{}, open: candidates(world)}
	for _, r := range m.Ranges {
		if r.State == shardmap.StateAssigned {
			c.load[r.Owner.ID] += rangeRate(world.KeyRates, r.KeyRange)
		}
	}
	return c
}

// utilization of a server if its load were higher by a rate.
func (c *chooser) utilization(id string, more float64) float64 {
	capacity := c.world.Servers[id].Capacity
	if capacity <= 0 {
		return math.Inf(1)
	}
	return (c.load[id] + more) / capacity
}

// take chooses the new owner of a range; a target that was planned goes first.
func (c *chooser) take(r shardmap.Range, planned string) (shardmap.Server, bool) {
	rate := rangeRate(c.world.KeyRates, r.KeyRange)
	best := -1
	for i, s := range c.open {
		if s.ID == planned {
			best = i
			break
		}
		if best < 0 || c.utilization(s.ID, rate) < c.utilization(c.open[best].ID, rate) {
			best = i
		}
	}
	if best < 0 {
		return shardmap.Server{}, false
	}
	c.load[c.open[best].ID] += rate
	return c.open[best], true
}

// level moves keys from the most used server to the least used one.
func (a *Assigner) level(now time.Duration, draft *shardmap.Map, world ClusterState) bool {
	if now-a.planned < levelEvery {
		return false
	}
	a.planned = now
	moving := 0
	for _, r := range draft.Ranges {
		if r.State != shardmap.StateAssigned {
			moving++
		}
	}
	c := newChooser(*draft, world)
	changed := false
	for most := min(max(leastMoves, len(c.open)/serversAMove), mostMoves); moving < most; moving++ {
		if !a.levelOnce(draft, c) {
			break
		}
		changed = true
	}
	return changed
}

// levelOnce moves keys away from the most used server that can be helped: one
// whose load is a single key cannot.
func (a *Assigner) levelOnce(draft *shardmap.Map, c *chooser) bool {
	if len(c.open) < 2 {
		return false
	}
	byUse := slices.Clone(c.open)
	slices.SortStableFunc(byUse, func(x, y shardmap.Server) int {
		return cmp.Compare(c.utilization(y.ID, 0), c.utilization(x.ID, 0))
	})
	least := byUse[len(byUse)-1]
	isIdle := c.load[least.ID] == 0 // a server that has just joined
	for _, most := range byUse[:len(byUse)-1] {
		from, to := c.utilization(most.ID, 0), c.utilization(least.ID, 0)
		if !isIdle && !isWorthLeveling(from, to) {
			return false
		}
		if a.move(draft, c, most, least, isIdle) {
			return true
		}
	}
	return false
}

// isWorthLeveling reports whether keys should move from a server that is used so
// much to one that is used so little.
func isWorthLeveling(from, to float64) bool {
	if from >= nearlyFull {
		return from >= nearlyFullRatio*to
	}
	return from >= levelAbove && from-to >= levelGap
}

// move takes keys from one server for another, so that both are used evenly.
func (a *Assigner) move(draft *shardmap.Map, c *chooser, most, least shardmap.Server, isIdle bool) bool {
	from, to := c.utilization(most.ID, 0), c.utilization(least.ID, 0)
	capacityFrom, capacityTo := c.world.Servers[most.ID].Capacity, c.world.Servers[least.ID].Capacity
	wanted := (from - to) / (1/capacityFrom + 1/capacityTo)
	keys, rate, found := densest(*draft, c.world.KeyRates, most, wanted)
	if !found || rate < leastRate && !isIdle || c.utilization(least.ID, rate) >= from {
		return false
	}
	for _, part := range pieces(keys, c.world.KeyRates, rate) {
		draft.Split(part)
	}
	fence := draft.NextReleaseFence()
	a.targets[fence] = least.ID
	for i := range draft.Ranges {
		if r := &draft.Ranges[i]; r.From >= keys.From && r.To <= keys.To {
			r.Release(fence)
		}
	}
	c.load[most.ID] -= rate
	c.load[least.ID] += rate
	return true
}

// densest finds the narrowest keys of a server that carry close to the wanted
// rate, since keys that change hands are not served meanwhile. Where no range of
// the server carries that much, it takes the most that one does.
func densest(m shardmap.Map, rates []float32, owner shardmap.Server, wanted float64) (keys redwingstall.KeyRange, rate float64, found bool) {
	const leastPart, mostPart = 0.6, 1.15 // of the wanted rate
	var most redwingstall.KeyRange
	mostRate := 0.0
	for _, r := range m.Ranges {
		if r.State != shardmap.StateAssigned || r.Owner != owner {
			continue
		}
		from := r.From
		sum := 0.0
		for to := r.From; to <= r.To; to++ {
			sum += keyRate(rates, to)
			for sum > mostPart*wanted && from <= to {
				sum -= keyRate(rates, from)
				from++
			}
			window := redwingstall.KeyRange{From: from, To: to}
			if from <= to && sum >= leastPart*wanted && (!found || window.Len() < keys.Len()) {
				keys, rate, found = window, sum, true
			}
			if from <= to && sum > mostRate {
				most, mostRate = window, sum
			}
		}
	}
	if !found && mostRate > 0 {
		return most, mostRate, true
	}
	return keys, rate, found
}

const (
	// pieceRate is the request rate of the pieces that keys are released in. A
	// piece without work under way changes hands at once.
	pieceRate  = 2.0
	mostPieces = 6
)

// pieces cuts keys into parts of about the same rate.
func pieces(keys redwingstall.KeyRange, rates []float32, rate float64) []redwingstall.KeyRange {
	return cutKeys(keys, rates, rate, min(int(rate/pieceRate), mostPieces))
}

// cutKeys cuts keys into so many parts, at least one.
func cutKeys(keys redwingstall.KeyRange, rates []float32, rate float64, n int) []redwingstall.KeyRange {
	n = min(max(n, 1), keys.Len())
	parts := []redwingstall.KeyRange{}
	from, sum := keys.From, 0.0
	for key := keys.From; key <= keys.To; key++ {
		sum += keyRate(rates, key)
		if sum >= rate/float64(n) || key == keys.To {
			parts = append(parts, redwingstall.KeyRange{From: from, To: key})
			from, sum = key+1, 0
		}
	}
	return parts
}

// spreadParts is how many parts the load of a server that leaves is cut into, at
// least, so that no other server has to take all of it.
const spreadParts = 4

// splitLeaving cuts the ranges whose owner must not have them any more.
func splitLeaving(draft *shardmap.Map, world ClusterState, mustLeave func(shardmap.Range) bool) {
	total := rangeRate(world.KeyRates, redwingstall.KeyRange{From: 0, To: redwingstall.Keys - 1})
	share := total / float64(max(len(world.Servers), 1)) / spreadParts
	for _, r := range draft.Clone().Ranges {
		if !mustLeave(r) {
			continue
		}
		rate := rangeRate(world.KeyRates, r.KeyRange)
		for _, part := range cutKeys(r.KeyRange, world.KeyRates, rate, int(rate/share)) {
			draft.Split(part)
		}
	}
}

// ServerUsage is how much of its capacity a server uses, for logs.
type ServerUsage struct {
	Server   string
	Rate     float64
	Capacity float64
	Keys     int
}

// Utilization is the used part of the capacity.
func (l ServerUsage) Utilization() float64 {
	if l.Capacity <= 0 {
		return 0
	}
	return l.Rate / l.Capacity
}

// ServerUsages tells the load of each server that may take keys.
func (a *Assigner) ServerUsages(world ClusterState) []ServerUsage {
	c := newChooser(a.stored, world)
	levels := make([]ServerUsage, 0, len(c.open))
	for _, s := range c.open {
		level := ServerUsage{Server: s.ID, Rate: c.load[s.ID], Capacity: world.Servers[s.ID].Capacity}
		for _, r := range a.stored.Ranges {
			if r.Owner == s {
				level.Keys += r.Len()
			}
		}
		levels = append(levels, level)
	}
	return levels
}
