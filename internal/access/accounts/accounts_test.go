package accounts_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/access/accounts"
)

func manyAccounts(n int) []redwingstall.ClientAccount {
	list := make([]redwingstall.ClientAccount, n)
	for i := range list {
		list[i] = redwingstall.ClientAccount{Name: fmt.Sprint("account-", i), Keys: []string{keyOf(i)}, Rate: 10, Burst: 5}
	}
	return list
}

func keyOf(i int) string { return fmt.Sprintf("key-%032d", i) }

// Guards against a key that is found by a part of it, or that no account holds.
func TestFind(t *testing.T) {
	long := strings.Repeat("k", 8<<10)
	list := append(manyAccounts(100), redwingstall.ClientAccount{Name: "odd", Keys: []string{"a", long}, Priority: 2, HasPriority: true})
	d := accounts.NewDirectory(list)
	require.Equal(t, 102, d.Len())
	for i := range 100 {
		a, isKnown := d.Find(keyOf(i))
		require.True(t, isKnown)
		require.Equal(t, fmt.Sprint("account-", i), a.Name)
		require.Equal(t, 4, a.PriorityOr(4))
	}
	for _, key := range []string{"a", long} {
		a, isKnown := d.Find(key)
		require.True(t, isKnown)
		require.Equal(t, "odd", a.Name)
		require.Equal(t, 2, a.PriorityOr(4))
	}
	for _, key := range []string{"", "A", "aa", keyOf(100), keyOf(1)[1:], keyOf(1) + " ", long[1:], long + "k"} {
		_, isKnown := d.Find(key)
		require.False(t, isKnown, len(key))
	}
	for _, none := range []*accounts.Directory{nil, {}, accounts.NewDirectory(nil)} {
		_, isKnown := none.Find("")
		require.False(t, isKnown)
		require.Zero(t, none.Len())
	}
	require.Equal(t, 4, (*accounts.Account)(nil).PriorityOr(4))
}

// Guards against a bound that leaves no margin, or that refuses known keys while service is owed.
func TestMaxAge(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{
		5 * time.Second: 3800 * time.Millisecond, 20 * time.Second: 15200 * time.Millisecond, 3 * time.Second: 2 * time.Second, time.Second: 0, 0: 0,
	} {
		require.Equal(t, want, accounts.Policy{RevocationTimeout: timeout}.MaxAge())
	}
}

// Guards against a lookup that costs a request more than a microsecond, or an allocation.
func BenchmarkDecide(b *testing.B) {
	d := accounts.NewDirectory(manyAccounts(10_000))
	policy := accounts.Policy{StrictRevocation: true, RevocationTimeout: 5 * time.Second}
	keys := make([]string, 10_000)
	for i := range keys {
		keys[i] = keyOf(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if policy.Decide(d, accounts.Request{Key: keys[i%len(keys)], HasKey: true}).Account == nil {
			b.Fatal("unknown key")
		}
	}
}

// Guards against allocations on a hit, and against a directory that takes more than 4 MB.
func TestCostOfManyAccounts(t *testing.T) {
	list := manyAccounts(10_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := accounts.NewDirectory(list)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("10,000 accounts take %d KB", used>>10)
	require.Less(t, used, int64(4<<20))
	key := keyOf(77)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, isKnown := d.Find(key); !isKnown {
			t.Error("unknown key")
		}
	}))
	runtime.KeepAlive(list)
}
