package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Guards against hot keys that stay with one owner for seconds in a large fleet, since its
// leader writes the map rarely. A quarter of the load of 454 servers goes to 200 adjacent
// keys, of one owner. Within four seconds no server may be overloaded, at any fleet size.
func TestHotKeysOfLargeFleetAreSpreadWithinFourSeconds(t *testing.T) {
	const servers, capacity = 454, 12.0
	const total = servers * capacity / 2
	even := make([]float32, redwingstall.KeyCount)
	hot := make([]float32, redwingstall.KeyCount)
	for key := range even {
		even[key] = total / redwingstall.KeyCount
		hot[key] = total * 0.75 / redwingstall.KeyCount
		if key >= 10_000 && key < 10_200 {
			hot[key] += total * 0.25 / 200
		}
	}
	for _, instances := range []int{77, 295, 2900} {
		cluster := assign.ClusterState{Servers: map[string]assign.Server{}, KeyRates: even}
		addresses := map[string]string{}
		for i := range servers {
			id := fmt.Sprintf("s%03d", i)
			cluster.Servers[id] = assign.Server{Server: shardmap.Server{ID: id, StartedAtMillis: 1}, Address: id, IsUsable: true, Capacity: capacity}
			addresses[id] = id
		}
		a := assign.NewAssigner(0, assign.Timing{GrantTTL: maxGrantTTL, LeaderLeaseTTL: LeaseTTL, GrantTimeout: GrantTimeout}, shardmap.Map{})
		const changesAt, endsAt = 5 * time.Second, 9 * time.Second
		writtenAt := -time.Minute
		for now := time.Duration(0); now < endsAt; now += stepInterval {
			if now >= changesAt {
				cluster.KeyRates = hot
			}
			for _, c := range a.DueCommands(now, cluster, addresses) {
				a.RecordResult(now, c, assign.Result{Handover: "h"})
			}
			if now-writtenAt < writeInterval(instances) {
				continue
			}
			if draft, changed := a.Plan(now, cluster); changed {
				writtenAt = now
				a.Adopt(draft)
			}
		}
		busiest := 0.0
		for _, u := range a.ServerUsages(cluster) {
			busiest = max(busiest, u.Rate/u.Capacity)
		}
		require.Less(t, busiest, 1.0, "%d instances", instances)
	}
}

// Guards against keys that lose their owners in an outage of the store of 8 s. The last grants
// before the lease ends must bridge it and 0.7 s until the next leader sends grants, with a lease
// that was renewed just before the next renewal failed.
func TestGrantsBridgeAnOutageOfTheStore(t *testing.T) {
	const outage, takeover = 8 * time.Second, 700 * time.Millisecond
	for _, l := range []*Leader{{leaseTTL: LeaseTTL}, {leaseTTL: shortLeaseTTL, isRecoveryFast: true}} {
		l.MaxGrantTTL = 10 * time.Second
		left := map[bool]time.Duration{false: unavailableLeft, true: shortUnavailableLeft}[l.isRecoveryFast]
		certain := l.leaseTTL - l.leaseTTL/50 - 150*time.Millisecond // as presence reckons
		cluster := assign.ClusterState{Servers: map[string]assign.Server{}}
		addresses := map[string]string{}
		for i := range 234 {
			id := fmt.Sprintf("s%03d", i)
			cluster.Servers[id] = assign.Server{Server: shardmap.Server{ID: id, StartedAtMillis: 1}, Address: id, IsUsable: true, Capacity: 10}
			addresses[id] = id
		}
		a := assign.NewAssigner(0, l.grantTiming(), shardmap.Map{})
		const renewedAt = 5 * time.Second
		ends := map[string]time.Duration{}
		for now := time.Duration(0); now < renewedAt+certain; now += stepInterval {
			cluster.IsStoreUnavailable = now > renewedAt && renewedAt+certain-now < left
			for _, c := range a.DueCommands(now, cluster, addresses) {
				a.RecordResult(now, c, assign.Result{})
				ends[c.Owner.ID] = now + c.GrantTTL
			}
			if draft, changed := a.Plan(now, cluster); changed && now < renewedAt {
				a.Adopt(draft)
			}
		}
		require.Len(t, ends, 234)
		outageBegan := renewedAt + l.leaseTTL/leaseRenewals
		for id, end := range ends {
			require.Greater(t, end, outageBegan+outage+takeover, "%s, lease of %v", id, l.leaseTTL)
		}
	}
}
