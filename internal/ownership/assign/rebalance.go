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
	// rebalanceInterval lets the measured rates settle after a move.
	rebalanceInterval = 600 * time.Millisecond
	// shortRebalanceInterval replaces it where moves under way count as load of their
	// targets.
	shortRebalanceInterval = 300 * time.Millisecond
	// targetMargin is how far above the mean utilization a move may load its target, and
	// minTargetUtilization how far in any case. Keys with several times the capacity of a
	// server then go to several targets at once, and no target is overloaded in turn.
	targetMargin         = 1.2
	minTargetUtilization = 0.6
	// minMoveLimit and serversPerMove limit concurrent moves: one for every
	// serversPerMove servers, and minMoveLimit in a small service. Moved keys are not
	// served for as long as the longest request that runs on them.
	minMoveLimit   = 4
	serversPerMove = 2
	// maxMoveLimit bounds how many changes the instances must receive at one time. In a
	// service of more than maxMoveLimit*serversPerLargeMove servers, the limit grows with
	// the servers: the hot keys of a large service need as many new owners.
	maxMoveLimit        = 16
	serversPerLargeMove = 8
	// maxSmallMoves replaces maxMoveLimit for moves that carry no more than their targets have
	// room for: the keys of one hot server need some thirty of them.
	maxSmallMoves = 64
	// minSourceUtilization is the utilization above which keys are moved away. Moves
	// below it cost more service than they gain: requests for the moved keys wait until
	// the running ones have ended.
	minSourceUtilization = 0.75
	// minUtilizationGap is the minimum difference in utilization between source and
	// target. Rates and speeds that are measured over a second vary by a fifth without a
	// cause.
	minUtilizationGap = 0.3
	// saturation is the utilization from which queues grow without bound in a burst.
	// From there on, the source must have minSaturationRatio times the utilization of
	// the target: where all servers are overloaded, moves between them help none.
	saturation         = 0.9
	minSaturationRatio = 1.25
	// minMoveRate is the minimum rate of a move, in requests per second. A smaller move
	// has no noticeable effect.
	minMoveRate = 0.4
)

// candidates returns the servers that may take keys, sorted by ID: the warm ones, or the
// cold ones if none is warm.
func candidates(cluster ClusterState) []shardmap.Server {
	warm, cold := []shardmap.Server{}, []shardmap.Server{}
	for _, s := range cluster.Servers {
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

// baseKeyRate is added to the rate of each key: five requests per second for the whole
// service, so that an idle one is divided evenly.
const baseKeyRate = 5.0 / redwingstall.KeyCount

func keyRate(rates []float32, key int) float64 {
	if len(rates) != redwingstall.KeyCount {
		return baseKeyRate
	}
	return baseKeyRate + float64(rates[key])
}

// rangeRate returns the sum of the rates of a range's keys.
func rangeRate(rates []float32, r redwingstall.KeyRange) float64 {
	sum := 0.0
	for key := r.From; key <= r.To; key++ {
		sum += keyRate(rates, key)
	}
	return sum
}

// targetChooser assigns ranges to the servers with the lowest utilization.
type targetChooser struct {
	cluster    ClusterState
	load       map[string]float64
	candidates []shardmap.Server
}

func newTargetChooser(m shardmap.Map, cluster ClusterState) *targetChooser {
	c := &targetChooser{cluster: cluster, load: map[string]float64{}, candidates: candidates(cluster)}
	for _, r := range m.Ranges {
		if r.State == shardmap.StateAssigned {
			c.load[r.Owner.ID] += rangeRate(cluster.KeyRates, r.KeyRange)
		}
	}
	return c
}

// addMoves adds the load that is on its way to its targets. Without it, the next
// rebalancing gives the same servers as much again.
func (c *targetChooser) addMoves(m shardmap.Map, targets map[int64]string) {
	for _, r := range m.Ranges {
		if target, isPlanned := targets[r.Fence]; isPlanned && r.State != shardmap.StateAssigned {
			c.load[target] += rangeRate(c.cluster.KeyRates, r.KeyRange)
		}
	}
}

// meanUtilization returns the utilization of all candidates together.
func (c *targetChooser) meanUtilization() float64 {
	load, capacity := 0.0, 0.0
	for _, s := range c.candidates {
		load += c.load[s.ID]
		capacity += c.cluster.Servers[s.ID].Capacity
	}
	if capacity <= 0 {
		return 0
	}
	return load / capacity
}

// utilization returns the utilization that a server would have with extraRate added to
// its load.
func (c *targetChooser) utilization(id string, extraRate float64) float64 {
	capacity := c.cluster.Servers[id].Capacity
	if capacity <= 0 {
		return math.Inf(1)
	}
	return (c.load[id] + extraRate) / capacity
}

// assign chooses the new owner of a range and adds the rate of the range to its load.
// The planned target takes precedence while it is a candidate.
func (c *targetChooser) assign(r shardmap.Range, planned string) (shardmap.Server, bool) {
	rate := rangeRate(c.cluster.KeyRates, r.KeyRange)
	best := -1
	for i, s := range c.candidates {
		if s.ID == planned {
			best = i
			break
		}
		if best < 0 || c.utilization(s.ID, rate) < c.utilization(c.candidates[best].ID, rate) {
			best = i
		}
	}
	if best < 0 {
		return shardmap.Server{}, false
	}
	c.load[c.candidates[best].ID] += rate
	return c.candidates[best], true
}

// rebalance moves keys from the most utilized servers to the least utilized ones.
func (a *Assigner) rebalance(now time.Duration, draft *shardmap.Map, cluster ClusterState) bool {
	interval := rebalanceInterval
	if cluster.EvenLoad {
		interval = shortRebalanceInterval
	}
	if now-a.rebalancedAt < interval {
		return false
	}
	a.rebalancedAt = now
	moving := 0
	for _, r := range draft.Ranges {
		if r.State != shardmap.StateAssigned {
			moving++
		}
	}
	c := newTargetChooser(*draft, cluster)
	if cluster.EvenLoad {
		c.addMoves(*draft, a.moveTargets)
	}
	changed := false
	maxMoves := moveLimit(len(c.candidates))
	if cluster.EvenLoad {
		maxMoves = smallMoveLimit(len(c.candidates))
	}
	for ; moving < maxMoves; moving++ {
		if !a.rebalanceOnce(draft, c) {
			break
		}
		changed = true
	}
	return changed
}

// moveLimit returns how many ranges of a service may move at the same time.
func moveLimit(servers int) int {
	return min(max(minMoveLimit, servers/serversPerMove), max(maxMoveLimit, servers/serversPerLargeMove))
}

// smallMoveLimit is the same where each move carries no more than its target has room for.
func smallMoveLimit(servers int) int {
	return min(max(minMoveLimit, servers/serversPerMove), maxSmallMoves)
}

// rebalanceOnce moves keys away from the most utilized server whose load can be reduced.
// A server whose load is a single key is passed over.
func (a *Assigner) rebalanceOnce(draft *shardmap.Map, c *targetChooser) bool {
	if len(c.candidates) < 2 {
		return false
	}
	byUtilization := slices.Clone(c.candidates)
	slices.SortStableFunc(byUtilization, func(x, y shardmap.Server) int {
		return cmp.Compare(c.utilization(y.ID, 0), c.utilization(x.ID, 0))
	})
	target := byUtilization[len(byUtilization)-1]
	isTargetIdle := c.load[target.ID] == 0 // a server that has just joined
	for _, source := range byUtilization[:len(byUtilization)-1] {
		from, to := c.utilization(source.ID, 0), c.utilization(target.ID, 0)
		if !isTargetIdle && !isWorthMoving(from, to) {
			return false
		}
		if a.startMove(draft, c, source, target, isTargetIdle) {
			return true
		}
	}
	return false
}

// isWorthMoving reports whether keys should move between servers with these
// utilizations.
func isWorthMoving(from, to float64) bool {
	if from >= saturation {
		return from >= minSaturationRatio*to
	}
	return from >= minSourceUtilization && from-to >= minUtilizationGap
}

// startMove releases keys of the source for the target, so that both become equally
// utilized. It returns false if no part of the source's keys is worth moving.
func (a *Assigner) startMove(draft *shardmap.Map, c *targetChooser, source, target shardmap.Server, isTargetIdle bool) bool {
	from, to := c.utilization(source.ID, 0), c.utilization(target.ID, 0)
	capacityFrom, capacityTo := c.cluster.Servers[source.ID].Capacity, c.cluster.Servers[target.ID].Capacity
	wanted := (from - to) / (1/capacityFrom + 1/capacityTo)
	if c.cluster.EvenLoad {
		level := max(targetMargin*c.meanUtilization(), minTargetUtilization)
		wanted = min(wanted, max(level-to, 0)*capacityTo)
	}
	keys, rate, found := densestKeys(*draft, c.cluster.KeyRates, source, wanted)
	if !found || rate < minMoveRate && !isTargetIdle || c.utilization(target.ID, rate) >= from {
		return false
	}
	for _, part := range splitIntoPieces(keys, c.cluster.KeyRates, rate) {
		draft.Split(part)
	}
	fence := draft.NextReleaseFence()
	a.moveTargets[fence] = target.ID
	for i := range draft.Ranges {
		if r := &draft.Ranges[i]; r.From >= keys.From && r.To <= keys.To {
			r.Release(fence)
		}
	}
	c.load[source.ID] -= rate
	c.load[target.ID] += rate
	return true
}

// densestKeys returns the narrowest window of the owner's keys that carries close to the
// wanted rate, since keys are not served while they move. If no range carries that much,
// it returns the window with the highest rate.
func densestKeys(m shardmap.Map, rates []float32, owner shardmap.Server, wanted float64) (keys redwingstall.KeyRange, rate float64, found bool) {
	const minShare, maxShare = 0.6, 1.15 // shares of the wanted rate
	var highest redwingstall.KeyRange
	highestRate := 0.0
	for _, r := range m.Ranges {
		if r.State != shardmap.StateAssigned || r.Owner != owner {
			continue
		}
		from := r.From
		sum := 0.0
		for to := r.From; to <= r.To; to++ {
			sum += keyRate(rates, to)
			for sum > maxShare*wanted && from <= to {
				sum -= keyRate(rates, from)
				from++
			}
			window := redwingstall.KeyRange{From: from, To: to}
			if from <= to && sum >= minShare*wanted && (!found || window.Len() < keys.Len()) {
				keys, rate, found = window, sum, true
			}
			if from <= to && sum > highestRate {
				highest, highestRate = window, sum
			}
		}
	}
	if !found && highestRate > 0 {
		return highest, highestRate, true
	}
	return keys, rate, found
}

const (
	// pieceRate is the request rate of the pieces that moved keys are released in. A
	// piece without running requests moves at once.
	pieceRate = 2.0
	maxPieces = 6
)

// splitIntoPieces splits keys into pieces of about the same rate.
func splitIntoPieces(keys redwingstall.KeyRange, rates []float32, rate float64) []redwingstall.KeyRange {
	return splitByRate(keys, rates, rate, min(int(rate/pieceRate), maxPieces))
}

// splitByRate splits keys into n parts of about the same rate. There is at least one
// part, and no part is empty.
func splitByRate(keys redwingstall.KeyRange, rates []float32, rate float64, n int) []redwingstall.KeyRange {
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

// partsPerServer is the minimum number of parts that the load of a leaving server is
// split into, so that no other server has to take all of it.
const partsPerServer = 4

// splitReleased splits the ranges that their owners must release.
func splitReleased(draft *shardmap.Map, cluster ClusterState, mustRelease func(shardmap.Range) bool) {
	total := rangeRate(cluster.KeyRates, redwingstall.KeyRange{From: 0, To: redwingstall.KeyCount - 1})
	share := total / float64(max(len(cluster.Servers), 1)) / partsPerServer
	for _, r := range draft.Clone().Ranges {
		if !mustRelease(r) {
			continue
		}
		rate := rangeRate(cluster.KeyRates, r.KeyRange)
		for _, part := range splitByRate(r.KeyRange, cluster.KeyRates, rate, int(rate/share)) {
			draft.Split(part)
		}
	}
}

// ServerUsage is how much of its capacity a server uses. It is logged with its field
// names.
type ServerUsage struct {
	Server   string
	Rate     float64
	Capacity float64
	Keys     int
}

// Utilization returns the used share of the capacity, or 0 for a server without
// capacity.
func (u ServerUsage) Utilization() float64 {
	if u.Capacity <= 0 {
		return 0
	}
	return u.Rate / u.Capacity
}

// ServerUsages returns the usage of each server that may take keys.
func (a *Assigner) ServerUsages(cluster ClusterState) []ServerUsage {
	c := newTargetChooser(a.stored, cluster)
	usages := make([]ServerUsage, 0, len(c.candidates))
	for _, s := range c.candidates {
		usage := ServerUsage{Server: s.ID, Rate: c.load[s.ID], Capacity: cluster.Servers[s.ID].Capacity}
		for _, r := range a.stored.Ranges {
			if r.Owner == s {
				usage.Keys += r.Len()
			}
		}
		usages = append(usages, usage)
	}
	return usages
}
