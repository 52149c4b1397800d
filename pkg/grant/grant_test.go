package grant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/grant"
)

func orderFor(boot string, fence int64, until time.Duration) redwingstall.GrantOrder {
	return redwingstall.GrantOrder{Boot: boot, ValidUntil: until, Grants: []redwingstall.Grant{{Shard: "s1", Fence: fence}}}
}

func TestTableRefusesLowerFencesAndOtherBoots(t *testing.T) {
	table := grant.NewTable("b1", true)
	require.Empty(t, table.Grant(orderFor("b1", 5, time.Second)))
	require.NotEmpty(t, table.Grant(orderFor("b1", 4, time.Hour)), "a lower fencing token")
	require.NotEmpty(t, table.Grant(orderFor("b0", 6, time.Hour)), "an order for an earlier process of the server")
	require.Empty(t, table.Release(redwingstall.ReleaseOrder{Boot: "b1", Grants: []redwingstall.Grant{{Shard: "s1", Fence: 5}}}))
	require.False(t, table.Holds(0, "s1", "k"))
	require.NotEmpty(t, table.Grant(orderFor("b1", 5, time.Hour)), "a released grant is not renewed")
	require.Empty(t, table.Grant(orderFor("b1", 6, time.Hour)))
}

func TestGrantOfShardExcludesItsHotKeys(t *testing.T) {
	table := grant.NewTable("b1", true)
	order := redwingstall.GrantOrder{Boot: "b1", ValidUntil: time.Hour, Grants: []redwingstall.Grant{{Shard: "s1", Fence: 2, Except: []string{"hot"}}}}
	table.Grant(order)
	require.True(t, table.Holds(0, "s1", "cold"))
	require.False(t, table.Holds(0, "s1", "hot"))
}

// A restarted server has lost its record of released grants, and would accept
// one of them again. Only a voting round that started after the restart was seen
// may issue grants to it.
func TestIssuerRequiresRoundStartedAfterServerRestart(t *testing.T) {
	issuer := grant.NewIssuer(time.Second)
	seen := time.Unix(100, 0)
	require.True(t, issuer.Observe(seen, redwingstall.OrderResponse{Boot: "b1", Clock: time.Hour}))
	grants := []redwingstall.Grant{{Shard: "s1", Fence: 1}}
	_, isIssued := issuer.BuildOrder("s", seen.Add(-time.Millisecond), grants)
	require.False(t, isIssued)
	order, isIssued := issuer.BuildOrder("s", seen.Add(time.Millisecond), grants)
	require.True(t, isIssued)
	require.Equal(t, time.Hour+time.Second+time.Millisecond, order.ValidUntil)
}

// The issuer must not extrapolate from an old clock reading. If a server's
// responses are lost while orders still arrive, the last reading ages, and clock
// drift makes each grant slightly longer than the time that the mover waits for
// it to expire. Found by a randomized search over further seeds.
func TestIssuerRejectsOldClockReading(t *testing.T) {
	issuer := grant.NewIssuer(time.Second)
	read := time.Unix(100, 0)
	issuer.Observe(read, redwingstall.OrderResponse{Boot: "b1", Clock: time.Hour})
	grants := []redwingstall.Grant{{Shard: "s1", Fence: 1}}
	_, isIssued := issuer.BuildOrder("s", read.Add(time.Second), grants)
	require.True(t, isIssued)
	_, isIssued = issuer.BuildOrder("s", read.Add(time.Second+time.Millisecond), grants)
	require.False(t, isIssued)
}

// Guards against the response to an earlier order, sent once more, that shows a server as up and
// frees slots of requests which still run there.
func TestIssuerRecognizesCopiesOfResponses(t *testing.T) {
	issuer := grant.NewIssuer(time.Second)
	first := redwingstall.OrderResponse{Boot: "b1", Clock: time.Hour}
	require.False(t, issuer.IsCopy(first))
	issuer.Observe(time.Unix(100, 0), first)
	require.True(t, issuer.IsCopy(first))
	require.True(t, issuer.IsCopy(redwingstall.OrderResponse{Boot: "b1", Clock: time.Hour - 1}))
	require.False(t, issuer.IsCopy(redwingstall.OrderResponse{Boot: "b1", Clock: time.Hour + 1}))
	require.False(t, issuer.IsCopy(redwingstall.OrderResponse{Boot: "b2", Clock: time.Minute}), "another process")
}
