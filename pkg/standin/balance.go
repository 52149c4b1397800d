package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/control"
)

// The simulated load has skewed keys, of which the hottest change every hotKeySeconds, and goes to
// the servers of one service.
const (
	balanceServers           = 13
	balanceShards            = 128
	balanceKeys              = 100_000
	balanceRequestsPerSecond = 5000
	balanceSeconds           = 600
	hotKeySeconds            = 120
	hotKeyCount              = 80
	balanceZipf              = 1.1
	balanceSeed              = 11
	rateSmoothing            = 0.3
	// unavailableFraction is the part of a second in which the keys of a moving shard have no owner.
	unavailableFraction = 0.3
	maxReportedKeys     = 256
)

// balanceRun simulates one balancing policy under the load.
type balanceRun struct {
	balance    assignment.Balance
	random     *rand.Rand
	zipf       *rand.Zipf
	keysByRank []int
	record     assignment.Record
	revision   int64
	shardLoads map[string]float64
	keyLoads   map[string]float64
	// The results are sums over the seconds of the run. imbalance is the load of the busiest
	// server over the mean; minImbalance is the lowest that any policy can reach, since a key
	// cannot be split.
	imbalance    float64
	minImbalance float64
	moves        int
	unavailable  float64
}

// MeasureBalance compares balancing policies under the same simulated load and prints the results
// as a Markdown table.
func MeasureBalance(out io.Writer) {
	production := control.DefaultBalance(hotKeyCount, false)
	greedy := assignment.Balance{MaxMoves: balanceShards, Start: 1, Stop: 1, Horizon: time.Hour}
	fmt.Fprintln(out, "| policy | busiest server over the mean | the hottest key alone | moves a minute | requests that met a move, % |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, row := range []struct {
		name    string
		balance assignment.Balance
	}{
		{"static hashing", assignment.Balance{}},
		{"greedy, whole shards", greedy},
		{"moves that pay, hot keys apart", production},
	} {
		r := newBalanceRun(row.balance)
		for second := range balanceSeconds {
			r.runSecond(second)
		}
		fmt.Fprintf(out, "| %s | %.2f | %.2f | %.1f | %.3f |\n", row.name, r.imbalance/balanceSeconds, r.minImbalance/balanceSeconds,
			float64(r.moves)/(balanceSeconds/60), 100*r.unavailable/(balanceSeconds*balanceRequestsPerSecond))
	}
}

func newBalanceRun(balance assignment.Balance) *balanceRun {
	random := rand.New(rand.NewPCG(balanceSeed, 1))
	r := &balanceRun{
		balance:    balance,
		random:     random,
		zipf:       rand.NewZipf(random, balanceZipf, 1, balanceKeys-1),
		shardLoads: map[string]float64{},
		keyLoads:   map[string]float64{},
		revision:   1,
	}
	for n := range balanceKeys {
		r.keysByRank = append(r.keysByRank, n)
	}
	r.record = assignment.MakePlan(assignment.Record{}, r.view()).Record
	return r
}

// view returns the state of the service that the mover plans with.
func (r *balanceRun) view() assignment.View {
	view := assignment.View{
		Revision: redwingstall.Revision(r.revision),
		Servers:  map[string]assignment.ServerView{},
		Shards:   balanceShards,
		Loads:    r.shardLoads,
		KeyLoads: r.keyLoads,
		Lapsed:   map[string]bool{},
		MaxMoves: balanceShards,
		Balance:  r.balance,
	}
	for n := range balanceServers {
		view.Servers[fmt.Sprintf("catalogue-%d", n)] = assignment.ServerView{Slots: 4, Eligible: true}
	}
	return view
}

// runSecond simulates the requests of one second, adds up the results and runs the mover.
func (r *balanceRun) runSecond(second int) {
	if second > 0 && second%hotKeySeconds == 0 {
		r.replaceHotKeys()
	}
	servers, entries, keys := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for range balanceRequestsPerSecond {
		key := fmt.Sprint("voice-", r.keysByRank[r.zipf.Uint64()])
		name, entry, _ := r.record.Locate(key)
		servers[entry.Owner]++
		entries[name]++
		keys[key]++
		if entry.State == assignment.ShardRevoking {
			r.unavailable += unavailableFraction
		}
	}
	mean := float64(balanceRequestsPerSecond) / balanceServers
	r.imbalance += maxValue(servers) / mean
	r.minImbalance += max(maxValue(keys)/mean, 1)
	r.updateRates(entries, keys)
	r.runMover()
}

// replaceHotKeys swaps the hottest keys with random other keys.
func (r *balanceRun) replaceHotKeys() {
	for rank := range hotKeyCount {
		other := hotKeyCount + r.random.IntN(balanceKeys-hotKeyCount)
		r.keysByRank[rank], r.keysByRank[other] = r.keysByRank[other], r.keysByRank[rank]
	}
}

func maxValue(values map[string]float64) float64 {
	maximum := 0.0
	for _, value := range values {
		maximum = max(maximum, value)
	}
	return maximum
}

// updateRates smooths the rates of shards and keys. Of the keys only the hottest maxReportedKeys
// are kept.
func (r *balanceRun) updateRates(entries, keys map[string]float64) {
	r.shardLoads = smoothRates(r.shardLoads, entries)
	r.keyLoads = smoothRates(r.keyLoads, keys)
	names := make([]string, 0, len(r.keyLoads))
	for name := range r.keyLoads {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if r.keyLoads[a] != r.keyLoads[b] {
			return int(r.keyLoads[b]*1000) - int(r.keyLoads[a]*1000)
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	for _, name := range names[min(maxReportedKeys, len(names)):] {
		delete(r.keyLoads, name)
	}
}

// smoothRates returns the exponentially weighted moving average of the counts.
func smoothRates(rates, counts map[string]float64) map[string]float64 {
	next := map[string]float64{}
	for name, rate := range rates {
		next[name] = (1 - rateSmoothing) * rate
	}
	for name, n := range counts {
		next[name] += rateSmoothing * n
	}
	return next
}

// runMover assigns the shards that were revoked in the previous second to their next owners and
// starts the next moves.
func (r *balanceRun) runMover() {
	view := r.view()
	for name, entry := range r.record.Entries() {
		if entry.State == assignment.ShardRevoking {
			view.Lapsed[name] = true
		}
	}
	for range 2 {
		r.revision++
		view.Revision = redwingstall.Revision(r.revision)
		plan := assignment.MakePlan(r.record, view)
		r.moves += plan.Balanced
		r.record = plan.Record
		view.Lapsed = map[string]bool{}
	}
}
