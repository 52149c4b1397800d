package grant_test

import (
	"fmt"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/grant"
)

// A home instance renews a grant. A duplicate of the order does not extend it.
func Example() {
	table := grant.NewTable("boot-1", true)
	issuer := grant.NewIssuer(1500 * time.Millisecond)
	now := time.Unix(0, 0)

	issuer.Observe(now, redwingstall.OrderResponse{Boot: table.Boot(), Clock: time.Hour})
	confirmed := now.Add(100 * time.Millisecond)
	order, _ := issuer.BuildOrder("catalogue", confirmed, []redwingstall.Grant{{Shard: "s7", Fence: 3}})
	table.Grant(order)

	fmt.Println(table.Holds(time.Hour+time.Second, "s7", "voice"))
	table.Grant(order) // duplicated by the network
	fmt.Println(table.Holds(time.Hour+1600*time.Millisecond, "s7", "voice"))
	// Output:
	// true
	// false
}
