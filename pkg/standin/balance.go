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

// A load of skewed keys whose hottest change, over the servers of one service.
const (
	balanceServers  = 13
	balanceShards   = 128
	balanceKeys     = 100_000
	balanceRate     = 5000
	balanceSeconds  = 600
	hotChangeEvery  = 120
	hotChanged      = 80
	balanceZipf     = 1.1
	balanceSeed     = 11
	rateGain        = 0.3
	moveUnavailable = 0.3
	reportedKeys    = 256
)

// balanceRun is one policy under the load.
type balanceRun struct {
	balance  assignment.Balance
	random   *rand.Rand
	zipf     *rand.Zipf
	names    []int
	record   assignment.Record
	revision int64
	loads    map[string]float64
	keyLoads map[string]float64
	// results
	imbalance   float64
	lowerBound  float64
	moves       int
	unavailable float64
}

// MeasureBalance compares policies of balancing under the same load.
func MeasureBalance(out io.Writer) {
	own := control.DefaultBalance(hotChanged, false)
	greedy := assignment.Balance{MaxMoves: balanceShards, Start: 1, Stop: 1, Horizon: time.Hour}
	fmt.Fprintln(out, "| policy | busiest server over the mean | the hottest key alone | moves a minute | requests that met a move, % |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, row := range []struct {
		name    string
		balance assignment.Balance
	}{
		{"static hashing", assignment.Balance{}},
		{"greedy, whole shards", greedy},
		{"moves that pay, hot keys apart", own},
	} {
		r := newBalanceRun(row.balance)
		for second := range balanceSeconds {
			r.second(second)
		}
		fmt.Fprintf(out, "| %s | %.2f | %.2f | %.1f | %.3f |\n", row.name, r.imbalance/balanceSeconds, r.lowerBound/balanceSeconds,
			float64(r.moves)/(balanceSeconds/60), 100*r.unavailable/(balanceSeconds*balanceRate))
	}
}

func newBalanceRun(balance assignment.Balance) *balanceRun {
	random := rand.New(rand.NewPCG(balanceSeed, 1))
	r := &balanceRun{
		balance:  balance,
		random:   random,
		zipf:     rand.NewZipf(random, balanceZipf, 1, balanceKeys-1),
		loads:    map[string]float64{},
		keyLoads: map[string]float64{},
		revision: 1,
	}
	for n := range balanceKeys {
		r.names = append(r.names, n)
	}
	r.record = assignment.MakePlan(assignment.Record{}, r.view()).Record
	return r
}

func (r *balanceRun) view() assignment.View {
	view := assignment.View{
		Revision: redwingstall.Revision(r.revision),
		Servers:  map[string]assignment.ServerView{},
		Shards:   balanceShards,
		Loads:    r.loads,
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

// second sends a second's requests, measures, and lets the mover act.
func (r *balanceRun) second(second int) {
	if second > 0 && second%hotChangeEvery == 0 {
		r.changeHot()
	}
	servers, entries, keys := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for range balanceRate {
		key := fmt.Sprint("voice-", r.names[r.zipf.Uint64()])
		name, entry, _ := r.record.Locate(key)
		servers[entry.Owner]++
		entries[name]++
		keys[key]++
		if entry.State == assignment.ShardRevoking {
			r.unavailable += moveUnavailable
		}
	}
	mean := float64(balanceRate) / balanceServers
	r.imbalance += largest(servers) / mean
	r.lowerBound += max(largest(keys)/mean, 1)
	r.learn(entries, keys)
	r.move()
}

// changeHot gives the hottest ranks to other keys.
func (r *balanceRun) changeHot() {
	for rank := range hotChanged {
		other := hotChanged + r.random.IntN(balanceKeys-hotChanged)
		r.names[rank], r.names[other] = r.names[other], r.names[rank]
	}
}

func largest(values map[string]float64) float64 {
	most := 0.0
	for _, value := range values {
		most = max(most, value)
	}
	return most
}

func (r *balanceRun) learn(entries, keys map[string]float64) {
	r.loads = smoothed(r.loads, entries)
	r.keyLoads = smoothed(r.keyLoads, keys)
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
	for _, name := range names[min(reportedKeys, len(names)):] {
		delete(r.keyLoads, name)
	}
}

func smoothed(rates, counts map[string]float64) map[string]float64 {
	next := map[string]float64{}
	for name, rate := range rates {
		next[name] = (1 - rateGain) * rate
	}
	for name, n := range counts {
		next[name] += rateGain * n
	}
	return next
}

// move lets the revoked entries of the second before go to their next owners,
// and starts the next moves.
func (r *balanceRun) move() {
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
