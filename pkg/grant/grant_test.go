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

func TestTableRefusesOlderFencesAndOtherBoots(t *testing.T) {
	table := grant.NewTable("b1", true)
	require.Empty(t, table.Grant(orderFor("b1", 5, time.Second)))
	require.NotEmpty(t, table.Grant(orderFor("b1", 4, time.Hour)), "an older fence")
	require.NotEmpty(t, table.Grant(orderFor("b0", 6, time.Hour)), "a former process")
	require.Empty(t, table.Release(redwingstall.ReleaseOrder{Boot: "b1", Grants: []redwingstall.Grant{{Shard: "s1", Fence: 5}}}))
	require.False(t, table.Holds(0, "s1", "k"))
	require.NotEmpty(t, table.Grant(orderFor("b1", 5, time.Hour)), "released, so not renewed")
	require.Empty(t, table.Grant(orderFor("b1", 6, time.Hour)))
}

func TestHotKeyIsNotServedWithItsShard(t *testing.T) {
	table := grant.NewTable("b1", true)
	order := redwingstall.GrantOrder{Boot: "b1", ValidUntil: time.Hour, Grants: []redwingstall.Grant{{Shard: "s1", Fence: 2, Except: []string{"hot"}}}}
	table.Grant(order)
	require.True(t, table.Holds(0, "s1", "cold"))
	require.False(t, table.Holds(0, "s1", "hot"))
}

// A server that started anew has forgotten what it released: only a round that
// began after the start was seen may grant it anything.
func TestIssuerWaitsForARoundAfterTheServersStart(t *testing.T) {
	issuer := grant.NewIssuer(time.Second)
	seen := time.Unix(100, 0)
	require.True(t, issuer.Observe(seen, redwingstall.OrderAnswer{Boot: "b1", Clock: time.Hour}))
	grants := []redwingstall.Grant{{Shard: "s1", Fence: 1}}
	_, justified := issuer.Order("s", seen.Add(-time.Millisecond), grants)
	require.False(t, justified)
	order, justified := issuer.Order("s", seen.Add(time.Millisecond), grants)
	require.True(t, justified)
	require.Equal(t, time.Hour+time.Second+time.Millisecond, order.ValidUntil)
}

// Found by the search with other seeds: while a server's answers are lost and
// orders still arrive, the clock last read grows old, and the clocks' difference
// in rate makes each grant a little longer than the mover waits for.
func TestOldClockReadingJustifiesNothing(t *testing.T) {
	issuer := grant.NewIssuer(time.Second)
	read := time.Unix(100, 0)
	issuer.Observe(read, redwingstall.OrderAnswer{Boot: "b1", Clock: time.Hour})
	grants := []redwingstall.Grant{{Shard: "s1", Fence: 1}}
	_, justified := issuer.Order("s", read.Add(time.Second), grants)
	require.True(t, justified)
	_, justified = issuer.Order("s", read.Add(time.Second+time.Millisecond), grants)
	require.False(t, justified)
}
