package assign

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// gapScenario is a loss of 40% of the servers of a service.
type gapScenario struct {
	servers int
	timing  Timing
	// losesLeader is set if the leader is lost with them, and changesAgain if its successor
	// is replaced after the release of the keys, in steps of a second.
	losesLeader  bool
	changesAgain int
	// isSilent is set if calls of the lost servers time out. Else they are refused.
	isSilent bool
	// isReborn is set if new processes have the same IDs two seconds later.
	isReborn bool
}

// gapRun is the state of a run of a scenario.
type gapRun struct {
	gapScenario
	cluster ClusterState
	lost    map[string]bool
	reborn  map[string]bool
	leader  *Assigner
	known   ReleaseHistory
	pending []pendingResult
	now     time.Duration
	// grants counts those sent while nothing was lost.
	grants int
}

type pendingResult struct {
	at      time.Duration
	command Command
	result  Result
}

const (
	gapStep     = 50 * time.Millisecond
	gapLossAt   = 10 * time.Second
	gapExpiry   = 2600 * time.Millisecond // three heartbeats
	gapTakeover = 300 * time.Millisecond  // from the end of the lease to the first step
	gapRebirth  = 2 * time.Second
	gapEnd      = 30 * time.Second
)

// run returns for how long each range had no owner that was up and held a grant, sorted.
func (g gapScenario) run() (gaps []time.Duration, renewalsPerSecond float64) {
	r := &gapRun{gapScenario: g, cluster: newClusterState(g.servers, nil), lost: map[string]bool{}, reborn: map[string]bool{}}
	r.leader = NewAssigner(0, g.timing, shardmap.Map{})
	deadUntil := time.Duration(0)
	changes := g.changesAgain
	gapOf := map[int]time.Duration{}
	for ; r.now < gapEnd; r.now += gapStep {
		switch {
		case r.now == gapLossAt:
			r.lose()
			if g.losesLeader {
				deadUntil = r.now + g.timing.LeaderLeaseTTL + gapTakeover
			}
		case r.now == gapLossAt+gapExpiry && !g.isReborn:
			for id := range r.lost {
				delete(r.cluster.Servers, id)
			}
		case r.now == gapLossAt+gapRebirth && g.isReborn:
			r.restart()
		}
		if r.now == deadUntil && r.now > 0 {
			r.replaceLeader()
		}
		if changes > 0 && r.now > gapLossAt+5*time.Second && r.now%time.Second == 0 {
			changes--
			r.replaceLeader()
		}
		if r.now >= deadUntil {
			r.step()
		}
		r.known.Observe(r.now, r.leader.Map())
		if r.now >= gapLossAt {
			for i := range g.servers { // the first key of each initial range
				if !r.isServed(i * redwingstall.KeyCount / g.servers) {
					gapOf[i] += gapStep
				}
			}
		}
	}
	for i := range g.servers {
		gaps = append(gaps, gapOf[i])
	}
	slices.Sort(gaps)
	return gaps, float64(r.grants) / (gapLossAt - 5*time.Second).Seconds()
}

func (r *gapRun) lose() {
	for i := range r.servers * 2 / 5 {
		r.lost[fmt.Sprintf("s%02d", i)] = true
	}
}

func (r *gapRun) restart() {
	for id := range r.lost {
		s := r.cluster.Servers[id]
		s.StartedAtMillis = 2
		r.cluster.Servers[id] = s
		r.reborn[id] = true
	}
}

func (r *gapRun) replaceLeader() {
	m, err := shardmap.Decode(r.leader.Map().Encode())
	if err != nil {
		panic(err)
	}
	r.leader, r.pending = NewAssigner(r.now, r.timing, m), nil
	r.leader.RecallReleases(r.known)
	r.leader.SetEnds(r.now, &m)
	r.leader.Adopt(m)
}

func (r *gapRun) isServed(key int) bool {
	found, _ := r.leader.Map().Find(key)
	isUp := !r.lost[found.Owner.ID] || r.reborn[found.Owner.ID] && found.Owner.StartedAtMillis == 2
	return found.State == shardmap.StateAssigned && isUp
}

func (r *gapRun) step() {
	pending := r.pending
	r.pending = nil
	for _, p := range pending {
		if p.at <= r.now {
			r.leader.RecordResult(r.now, p.command, p.result)
		} else {
			r.pending = append(r.pending, p)
		}
	}
	addresses := map[string]string{}
	for i := range r.servers {
		id := fmt.Sprintf("s%02d", i)
		addresses[id] = id
	}
	for _, c := range r.leader.DueCommands(r.now, r.cluster, addresses) {
		if !r.leader.BeginSend(r.now, c) {
			continue
		}
		if r.now >= 5*time.Second && r.now < gapLossAt {
			r.grants++
		}
		p := pendingResult{r.now + gapStep, c, Result{}}
		if r.lost[c.Owner.ID] && !r.reborn[c.Owner.ID] {
			p.result = Result{IsUnanswered: true, IsUnsent: !r.isSilent}
			if r.isSilent {
				p.at = r.now + r.timing.GrantTimeout
			}
		}
		r.pending = append(r.pending, p)
	}
	if draft, changed := r.leader.Plan(r.now, r.cluster); changed {
		r.leader.BeginWrite(draft)
		r.leader.Adopt(draft)
	}
}

// Guards against keys that wait longer than the proof takes when 40% of the servers are lost,
// also together with the leader. The log has the figures of docs/design/key-recovery.md.
func TestKeysHaveOwnersAgainAsSoonAsProofAllows(t *testing.T) {
	sizes := []int{234}
	if os.Getenv("EXPLORE") != "" {
		sizes = append(sizes, 810)
	}
	for _, servers := range sizes {
		for _, c := range []struct {
			name string
			gapScenario
		}{
			{"ended, refused", gapScenario{}},
			{"ended, silent", gapScenario{isSilent: true}},
			{"ended with the leader", gapScenario{isSilent: true, losesLeader: true}},
			{"ended, three more leaders", gapScenario{isSilent: true, losesLeader: true, changesAgain: 3}},
			{"new process, same ID", gapScenario{isReborn: true}},
			{"new process, with the leader", gapScenario{isReborn: true, losesLeader: true}},
		} {
			worst := []time.Duration{}
			for _, timing := range []Timing{simulationTiming, fastTiming} {
				g := c.gapScenario
				g.servers, g.timing = servers, timing
				gaps, renewals := g.run()
				median, last := gaps[len(gaps)/2], gaps[len(gaps)-1]
				t.Logf("%d servers, %s, lease %v: median %v, p80 %v, worst %v, %.0f grants/s", servers, c.name, timing.LeaderLeaseTTL, median, gaps[len(gaps)*4/5], last, renewals)
				require.LessOrEqual(t, median, time.Second)
				worst = append(worst, last)
				// The proof: unanswered grants before the loss is clear, the lease of a lost leader
				// and that of its successor's doubt, and the longest grant.
				proof := 3*timing.GrantTimeout + 2*timing.LeaderLeaseTTL + 2*timing.GrantTimeout + timing.maxGrantLifetime(timing.longestGrantTTL()) + time.Second
				require.LessOrEqual(t, last, proof)
			}
			require.LessOrEqual(t, worst[1], worst[0], "short leases and grants shorten the wait")
		}
	}
}
