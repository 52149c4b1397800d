package affinity

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// The fleet is 143 instances that share 45 servers with 6 slots and speeds of 0.5 to 1.5,
// three times as slow for 20% of the time. The requests of 250 ms come to random instances.
// What an instance knows of the others' requests is up to one and a half intervals old.
// Times are in seconds.
const (
	fleetInstances = 143
	fleetServers   = 45
	fleetSlots     = 6
	meanWork       = 0.25
	workDeviation  = 0.7
	slowShare      = 0.2
	slowFactor     = 3
	slowTime       = 0.4
	objective      = 1.0
	measuredTime   = 40.0
)

type fleet struct {
	random  *rand.Rand
	now     float64
	events  events
	servers []*fleetServer
	// reports are the requests of each instance at each server as last reported.
	reports  [][]int
	prefers  []Slots
	usesSlot bool
	took     []float64
	spread   fleetSpread
}

// fleetSpread holds sums over the samples that are taken every 100 ms.
type fleetSpread struct {
	samples, peak, variation, unevenly float64
}

type fleetServer struct {
	id      string
	speed   float64
	slowTo  float64
	running int
	queue   []fleetRequest
	// own are the requests of each instance.
	own []int
}

type fleetRequest struct {
	instance int
	began    float64
	work     float64
}

type event struct {
	at  float64
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, k int) bool { return e[i].at < e[k].at }
func (e events) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) after(delay float64, run func()) { heap.Push(&f.events, event{f.now + delay, run}) }

// every runs an action again and again; the first time after a random part of the interval.
func (f *fleet) every(interval float64, run func()) {
	var again func()
	again = func() {
		run()
		f.after(interval, again)
	}
	f.after(f.random.Float64()*interval, again)
}

func newFleet(load, reportInterval float64, usesSlots bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 1)), usesSlot: usesSlots}
	speeds := []float64{0.5, 1, 1, 1.5}
	all, capacity := []Server{}, 0.0
	for i, id := range names("server", fleetServers) {
		s := &fleetServer{id: id, speed: speeds[i%len(speeds)], own: make([]int, fleetInstances)}
		f.servers, f.reports, all = append(f.servers, s), append(f.reports, make([]int, fleetInstances)), append(all, Server{id, fleetSlots})
		capacity += fleetSlots * s.speed / meanWork / (1 + slowShare*(slowFactor-1))
		f.every(slowTime, func() {
			if f.random.Float64() < slowShare {
				s.slowTo = f.now + slowTime
			}
		})
	}
	instances := names("entry", fleetInstances)
	for _, instance := range instances {
		f.prefers = append(f.prefers, Divide(instance, instances, all))
	}
	f.every(reportInterval, func() {
		for i, s := range f.servers {
			counts := slices.Clone(s.own)
			f.after(reportInterval/2, func() { f.reports[i] = counts })
		}
	})
	f.every(0.1, f.measure)
	var arrivals func()
	arrivals = func() {
		f.arrive()
		f.after(f.random.ExpFloat64()/(load*capacity), arrivals)
	}
	f.after(0, arrivals)
	return f
}

func (f *fleet) run() {
	for f.now < measuredTime {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	slices.Sort(f.took)
}

func (f *fleet) arrive() {
	r := fleetRequest{f.random.IntN(fleetInstances), f.now, meanWork * f.workFactor()}
	s := f.servers[f.choose(r.instance)]
	s.own[r.instance]++
	if s.running < fleetSlots {
		f.start(s, r)
		return
	}
	s.queue = append(s.queue, r)
}

func (f *fleet) workFactor() float64 {
	sigma := math.Sqrt(math.Log(1 + workDeviation*workDeviation))
	return math.Exp(sigma*f.random.NormFloat64() - sigma*sigma/2)
}

func (f *fleet) start(s *fleetServer, r fleetRequest) {
	s.running++
	time := r.work / s.speed
	if f.now < s.slowTo {
		time *= slowFactor
	}
	f.after(time, func() {
		s.running--
		s.own[r.instance]--
		f.took = append(f.took, f.now-r.began)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			f.start(s, next)
		}
	})
}

// cost is the expected completion at a server as an instance knows it.
func (f *fleet) cost(server, instance int) float64 {
	s, queue := f.servers[server], 0
	for _, n := range f.reports[server] {
		queue += n
	}
	queue += s.own[instance] - f.reports[server][instance]
	return max(1, float64(max(queue, 0)+1)/fleetSlots) / s.speed
}

// choose returns the best of three random servers, or one with a free preferred slot.
func (f *fleet) choose(instance int) int {
	best, bestCost := -1, 0.0
	for range 3 {
		i := f.random.IntN(fleetServers)
		if c := f.cost(i, instance) * (1 + 0.12*f.random.Float64()); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if !f.usesSlot {
		return best
	}
	preferred, preferredCost := -1, 0.0
	for i, s := range f.servers {
		if s.own[instance] < f.prefers[instance][s.id] {
			if c := f.cost(i, instance); preferred < 0 || c < preferredCost {
				preferred, preferredCost = i, c
			}
		}
	}
	if preferred >= 0 && Prefers(preferredCost, bestCost) {
		return preferred
	}
	return best
}

// measure samples how uneven the servers' use is.
func (f *fleet) measure() {
	sum, squares, most := 0.0, 0.0, 0.0
	isFull, isFree := false, false
	for _, s := range f.servers {
		use := float64(s.running+len(s.queue)) / fleetSlots
		sum, squares, most = sum+use, squares+use*use, max(most, use)
		isFull = isFull || len(s.queue) >= fleetSlots/2
		isFree = isFree || s.running <= fleetSlots/2
	}
	mean := sum / fleetServers
	f.spread.samples++
	f.spread.peak += most / mean
	f.spread.variation += math.Sqrt(max(squares/fleetServers-mean*mean, 0)) / mean
	if isFull && isFree {
		f.spread.unevenly++
	}
}

func (f *fleet) late() float64 {
	first, _ := slices.BinarySearch(f.took, objective)
	return 1 - float64(first)/float64(len(f.took))
}

// Guards against servers that are overloaded in turns while others idle, since many
// instances choose at the same moment by the same old reports.
func TestPreferredSlotsEvenOutTheLoad(t *testing.T) {
	for _, reportInterval := range []float64{0.3, 0.6} {
		for _, load := range []float64{0.5, 0.7, 0.85} {
			sampled, divided := newFleet(load, reportInterval, false), newFleet(load, reportInterval, true)
			sampled.run()
			divided.run()
			for name, f := range map[string]*fleet{"sample of three": sampled, "preferred slots": divided} {
				n := f.spread.samples
				t.Log(fmt.Sprintf("reports each %.1f s, load %.2f, %s: p50 %.3f s, p99 %.3f s, late %.4f, largest use over mean %.2f, variation %.2f, full beside free %.2f",
					reportInterval, load, name, f.took[len(f.took)/2], f.took[len(f.took)*99/100], f.late(), f.spread.peak/n, f.spread.variation/n, f.spread.unevenly/n))
			}
			require.Less(t, divided.late(), sampled.late())
			require.Less(t, divided.spread.peak, sampled.spread.peak)
			require.LessOrEqual(t, divided.spread.unevenly, sampled.spread.unevenly)
		}
	}
}
