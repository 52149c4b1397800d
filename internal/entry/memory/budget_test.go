package memory_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/memory"
)

func reserve(t *testing.T, b *memory.Budget, holder string, bytes int64) *memory.Reservation {
	t.Helper()
	r, err := b.Reserve(t.Context(), holder, bytes, func() {})
	require.NoError(t, err)
	return r
}

// reserveLater reserves in the background and reports the grant by its label.
func reserveLater(t *testing.T, b *memory.Budget, holder string, bytes int64, granted chan<- string, label string) {
	t.Helper()
	go func() {
		r, err := b.Reserve(t.Context(), holder, bytes, func() {})
		if err == nil {
			granted <- label
			time.Sleep(time.Second)
			r.Release()
		}
	}()
	synctest.Wait()
}

func TestReservationsNeverExceedTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(100)
		var clients sync.WaitGroup
		for n := range 20 {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(uint64(n), 1))
				for range 50 {
					r, err := b.Reserve(t.Context(), fmt.Sprint("s", n%6), 1+random.Int64N(60), func() {})
					require.NoError(t, err)
					require.LessOrEqual(t, b.Used(), int64(100))
					time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
					r.Keep(random.Int64N(30))
					time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
					r.Release()
					r.Release()
				}
			})
		}
		clients.Wait()
		require.Zero(t, b.Used())
		require.False(t, b.IsShort())
	})
}

// Guards against a server that takes the memory for the responses of the others.
func TestHolderKeepsNoOtherFromTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // all reservations end
		b := memory.NewBudget(100)
		granted := make(chan string, 20)
		for n := range 10 {
			reserveLater(t, b, "greedy", 20, granted, fmt.Sprint("greedy", n))
		}
		require.Len(t, granted, 2, "half of the budget")
		reserveLater(t, b, "sound", 20, granted, "sound")
		require.Len(t, granted, 3, "the other is not kept waiting")
	})
}

// Guards against small reservations that overtake a large one again and again.
func TestLargeReservationIsNotOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // all reservations end
		b := memory.NewBudget(100)
		granted := make(chan string, 20)
		first := reserve(t, b, "a", 60)
		reserveLater(t, b, "b", 80, granted, "large")
		reserveLater(t, b, "c", 30, granted, "small")
		require.Empty(t, granted, "the small one would fit")
		first.Release()
		synctest.Wait()
		require.Equal(t, "large", <-granted)
		require.Empty(t, granted)
		require.Equal(t, "small", <-granted)
	})
}

func TestHolderWithLeastComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // all reservations end
		b := memory.NewBudget(100)
		granted := make(chan string, 20)
		_ = reserve(t, b, "a", 15)
		_ = reserve(t, b, "b", 75)
		last := reserve(t, b, "c", 10)
		reserveLater(t, b, "a", 10, granted, "more")
		reserveLater(t, b, "d", 10, granted, "first")
		last.Release()
		synctest.Wait()
		require.Equal(t, "first", <-granted)
		require.Empty(t, granted)
		require.Equal(t, "more", <-granted)
	})
}

// A server that answered without end waits behind the others, but not for ever.
func TestSuspectComesLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // all reservations end
		b := memory.NewBudget(100)
		granted := make(chan string, 20)
		b.Suspect("endless", time.Now().Add(3*time.Second))
		full := reserve(t, b, "a", 100)
		reserveLater(t, b, "endless", 10, granted, "endless1")
		reserveLater(t, b, "endless", 10, granted, "endless2")
		reserveLater(t, b, "b", 100, granted, "sound")
		full.Release()
		synctest.Wait()
		require.Equal(t, "sound", <-granted)
		require.Empty(t, granted)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, "endless1", <-granted)
		require.Empty(t, granted, "one at a time")
		time.Sleep(time.Second)
		require.Equal(t, "endless2", <-granted)
	})
}

// Guards against a wait without an end, and against one that blocks others after its end.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(100)
		first := reserve(t, b, "a", 100)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := b.Reserve(ctx, "b", 100, func() {})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(began))
		first.Release()
		reserve(t, b, "c", 100).Release()
		_, err = b.Reserve(t.Context(), "a", 101, func() {})
		require.ErrorIs(t, err, memory.ErrTooLarge)
		require.Zero(t, b.Used())
	})
}

// Guards against servers in trouble that hold the memory which the others need: it is revoked from
// those that hold most, the latest reservation first, but not from responses that are complete.
func TestMemoryIsRevokedFromTheHolderWithTheMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(100)
		revoked := make(chan string, 20)
		held := map[string]*memory.Reservation{}
		for _, label := range []string{"a1", "b1", "c1", "a2", "b2", "d1", "d2"} {
			bytes := map[byte]int64{'a': 12, 'b': 10, 'c': 20, 'd': 18}[label[0]]
			if label == "d2" {
				bytes = 6
			}
			r, err := b.Reserve(t.Context(), label[:1], bytes, func() { revoked <- label })
			require.NoError(t, err)
			held[label] = r
		}
		require.EqualValues(t, 88, b.Used())
		held["d1"].Keep(18)
		held["d2"].Keep(6)
		granted := make(chan string, 20)
		reserveLater(t, b, "new", 16, granted, "new")
		require.Equal(t, "a2", <-revoked, "of the revocable ones, a has most")
		require.Empty(t, revoked, "that is enough")
		require.Empty(t, granted)
		held["a2"].Release()
		synctest.Wait()
		require.Equal(t, "new", <-granted)
		reserveLater(t, b, "c", 10, granted, "c")
		require.Empty(t, revoked, "nobody else has more than c")
		time.Sleep(time.Minute)
	})
}

// Memory that was revoked counts until it is released, but is not revoked for twice.
func TestMemoryIsRevokedOnceForEachReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		b := memory.NewBudget(100)
		revoked := make(chan string, 20)
		held := map[string]*memory.Reservation{}
		for _, name := range []string{"a", "b"} {
			r, err := b.Reserve(t.Context(), name, 50, func() { revoked <- name })
			require.NoError(t, err)
			held[name] = r
		}
		granted := make(chan string, 20)
		reserveLater(t, b, "c", 10, granted, "c")
		reserveLater(t, b, "d", 10, granted, "d")
		require.Len(t, revoked, 1)
		require.Empty(t, granted)
		held[<-revoked].Release()
		synctest.Wait()
		require.Len(t, granted, 2)
	})
}

// Guards against a holder without bytes that is forgotten while its reservation is kept.
func TestNoBytesNeedNoReservation(t *testing.T) {
	b := memory.NewBudget(100)
	empty := reserve(t, b, "a", 0)
	reserve(t, b, "a", 10).Release()
	empty.Keep(0)
	empty.Release()
	require.Zero(t, b.Used())
}
