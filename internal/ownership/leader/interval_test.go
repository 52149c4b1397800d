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
