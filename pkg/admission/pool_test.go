package admission_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/admission"
)

func openPool(names ...string) *admission.Pool {
	pool := admission.NewPool(redwingstall.SystemClock{})
	configs := []admission.ServerConfig{}
	for _, name := range names {
		configs = append(configs, admission.ServerConfig{Name: name, Slots: 4, ColdLimit: 1})
	}
	pool.Configure(configs)
	pool.Open()
	for _, name := range names {
		pool.Observe(name, admission.Observation{Boot: "b1", Open: true})
	}
	return pool
}

func within(duration time.Duration) admission.Request {
	return admission.Request{Deadline: time.Now().Add(duration)}
}

func reasonOf(t *testing.T, err error) string {
	refusal := &admission.RefusalError{}
	require.True(t, errors.As(err, &refusal), "%v", err)
	return refusal.Reason
}

// warm completes enough requests to raise a server's limit from cold to its slots.
func warm(t *testing.T, pool *admission.Pool, server string) {
	for range 30 {
		request := within(time.Minute)
		request.Server = server
		lease, err := pool.Acquire(t.Context(), request)
		require.NoError(t, err)
		lease.EndWithLatency(admission.AttemptSucceeded, time.Millisecond)
	}
}

func TestColdServerWarmsUpFromOneRequestToItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := openPool("a")
		first, err := pool.Acquire(t.Context(), within(time.Second))
		require.NoError(t, err)
		_, err = pool.Acquire(t.Context(), within(10*time.Millisecond))
		require.Equal(t, admission.ReasonQueueTimeout, reasonOf(t, err))
		first.End(admission.AttemptSucceeded)
		warm(t, pool, "a")
		for range 4 {
			_, err := pool.Acquire(t.Context(), within(time.Second))
			require.NoError(t, err)
		}
		_, err = pool.Acquire(t.Context(), within(time.Microsecond))
		require.Error(t, err, "all four slots are taken")
	})
}

func TestNewBootAndShedResetTheLimit(t *testing.T) {
	for name, resetLimit := range map[string]func(*admission.Pool, *admission.Lease){
		"boot": func(p *admission.Pool, l *admission.Lease) {
			l.End(admission.AttemptSucceeded)
			p.Observe("a", admission.Observation{Boot: "b2", Open: true})
		},
		"shed": func(_ *admission.Pool, l *admission.Lease) { l.End(admission.AttemptShed) },
	} {
		t.Run(name, func(t *testing.T) {
			pool := openPool("a")
			warm(t, pool, "a")
			lease, err := pool.Acquire(t.Context(), within(time.Second))
			require.NoError(t, err)
			resetLimit(pool, lease)
			require.InDelta(t, 1, pool.Limits()[0].Limit, 0.001)
		})
	}
}

func TestRequestWithTooShortDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := openPool("a")
		lease, err := pool.Acquire(t.Context(), within(time.Second))
		require.NoError(t, err)
		lease.EndWithLatency(admission.AttemptFailed, 500*time.Millisecond)
		pool.Observe("a", admission.Observation{Boot: "b1", Open: true})
		_, err = pool.Acquire(t.Context(), within(time.Minute))
		require.NoError(t, err)
		began := time.Now()
		_, err = pool.Acquire(t.Context(), within(100*time.Millisecond))
		require.Equal(t, admission.ReasonDeadline, reasonOf(t, err))
		require.Zero(t, time.Since(began))
	})
}

func TestForegroundHasPriorityAndOneReservedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := openPool("a")
		warm(t, pool, "a")
		background := within(time.Hour)
		background.Background = true
		leases := []*admission.Lease{}
		for range 3 {
			lease, err := pool.Acquire(t.Context(), background)
			require.NoError(t, err)
			leases = append(leases, lease)
		}
		order := make(chan string, 2)
		go func() {
			_, err := pool.Acquire(t.Context(), background)
			require.NoError(t, err)
			order <- "background"
		}()
		synctest.Wait()
		foreground, err := pool.Acquire(t.Context(), within(time.Hour))
		require.NoError(t, err, "one slot is left for the foreground")
		go func() {
			_, err := pool.Acquire(t.Context(), within(time.Hour))
			require.NoError(t, err)
			order <- "foreground"
		}()
		synctest.Wait()
		foreground.End(admission.AttemptSucceeded)
		require.Equal(t, "foreground", <-order)
		leases[0].End(admission.AttemptSucceeded)
		require.Equal(t, "background", <-order)
	})
}

func TestClosingPoolOrServerRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := openPool("a")
		_, err := pool.Acquire(t.Context(), within(time.Hour))
		require.NoError(t, err)
		refusals := make(chan error, 1)
		keyed := within(time.Hour)
		keyed.Server = "a"
		wait := func(request admission.Request) {
			go func() {
				_, err := pool.Acquire(t.Context(), request)
				refusals <- err
			}()
			synctest.Wait()
		}
		wait(keyed)
		pool.Observe("a", admission.Observation{})
		require.Equal(t, admission.ReasonServerClosed, reasonOf(t, <-refusals))
		pool.Observe("a", admission.Observation{Boot: "b1", Open: true})
		wait(within(time.Hour))
		pool.Close(true)
		require.Equal(t, admission.ReasonPoolClosed, reasonOf(t, <-refusals))
	})
}

func TestRequestsOfOtherHomeInstancesTakeSlots(t *testing.T) {
	pool := openPool("a")
	warm(t, pool, "a")
	pool.Observe("a", admission.Observation{Boot: "b1", OthersInFlight: 4, Open: true})
	_, err := pool.Acquire(t.Context(), within(time.Microsecond))
	require.Error(t, err)
}

// Concurrent requests at a server must never exceed its slots. Random callers
// wait, time out, and are shed, which resets the server's limit; the test counts
// the requests in flight at each server.
func TestInFlightNeverExceedsTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := openPool("a", "b")
		mu := sync.Mutex{}
		inFlight := map[string]int{}
		served := 0
		running := sync.WaitGroup{}
		for caller := range 50 {
			running.Go(func() {
				random := rand.New(rand.NewPCG(uint64(caller), 1))
				for range 100 {
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(200))*time.Millisecond)
					lease, err := pool.Acquire(ctx, within(time.Second))
					cancel()
					if err != nil {
						continue
					}
					mu.Lock()
					inFlight[lease.Server()]++
					served++
					require.LessOrEqual(t, inFlight[lease.Server()], 4)
					mu.Unlock()
					time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
					mu.Lock()
					inFlight[lease.Server()]--
					mu.Unlock()
					lease.End(admission.AttemptResult(random.IntN(40) / 39))
					pool.Observe(lease.Server(), admission.Observation{Boot: "b1", Open: true})
				}
			})
		}
		running.Wait()
		require.Greater(t, served, 1000)
		rows, queued := pool.Status()
		require.Zero(t, queued)
		for _, row := range rows {
			require.Zero(t, row.InFlight, "every slot is free again")
		}
	})
}

// A slow server whose requests are all canceled, because hedges win at other
// servers, never reports a full latency. It must not be preferred for that.
func TestCanceledAttemptsRaiseTheLatencyEstimate(t *testing.T) {
	pool := openPool("fast", "slow")
	for range 8 {
		for _, name := range []string{"fast", "slow"} {
			request := within(time.Minute)
			request.Server = name
			lease, err := pool.Acquire(t.Context(), request)
			require.NoError(t, err)
			lease.EndWithLatency(admission.AttemptSucceeded, 5*time.Millisecond)
		}
	}
	request := within(time.Minute)
	request.Server = "slow"
	lease, err := pool.Acquire(t.Context(), request)
	require.NoError(t, err)
	lease.EndWithLatency(admission.AttemptCanceled, 50*time.Millisecond)
	for range 20 {
		lease, err := pool.Acquire(t.Context(), within(time.Minute))
		require.NoError(t, err)
		require.Equal(t, "fast", lease.Server())
		lease.EndWithLatency(admission.AttemptSucceeded, 5*time.Millisecond)
	}
}

// A shedding server answers at once. It must not attract the requests of the
// other servers by its low latency.
func TestSheddingServerIsBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := openPool("shedding", "good")
		warm(t, pool, "good")
		sheds := 0
		for range 100 {
			lease, err := pool.Acquire(t.Context(), within(time.Minute))
			require.NoError(t, err)
			if lease.Server() == "shedding" {
				sheds++
				lease.End(admission.AttemptShed)
				continue
			}
			time.Sleep(10 * time.Millisecond)
			lease.End(admission.AttemptSucceeded)
		}
		require.LessOrEqual(t, sheds, 6, "one second covers backoffs of 50, 100, 200, 400 ms and 1 s")
		keyed := within(time.Minute)
		keyed.Server = "shedding"
		lease, err := pool.Acquire(t.Context(), keyed)
		require.NoError(t, err, "a request that waits for the server is sent after the backoff")
		lease.End(admission.AttemptSucceeded)
	})
}

// A canceled attempt may still run at the server. It must hold its slot until an
// observation shows that the server has ended it.
func TestCanceledAttemptHoldsItsSlotUntilObserved(t *testing.T) {
	pool := openPool("a")
	warm(t, pool, "a")
	leases := []*admission.Lease{}
	for range 4 {
		lease, err := pool.Acquire(t.Context(), within(time.Minute))
		require.NoError(t, err)
		leases = append(leases, lease)
	}
	leases[0].End(admission.AttemptCanceled)
	_, err := pool.Acquire(t.Context(), within(time.Microsecond))
	require.Error(t, err, "the server may still run it")
	pool.Observe("a", admission.Observation{Boot: "b1", OwnInFlight: 4, OwnOutstanding: 3, Open: true})
	_, err = pool.Acquire(t.Context(), within(time.Microsecond))
	require.Error(t, err, "the server still runs it")
	pool.Observe("a", admission.Observation{Boot: "b1", OwnInFlight: 3, OwnOutstanding: 3, Open: true})
	_, err = pool.Acquire(t.Context(), within(time.Minute))
	require.NoError(t, err)
}

// Guards against requests to a server that turned one away for some time, and against requests
// that wait for it although they cannot be served before their deadline.
func TestServerGetsNothingUntilItsRetryAfterEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := openPool("a", "b")
		lease, err := pool.Acquire(t.Context(), admission.Request{Server: "a", Deadline: time.Now().Add(time.Minute)})
		require.NoError(t, err)
		lease.EndShed(time.Millisecond, 3*time.Second)
		for range 20 {
			other, err := pool.Acquire(t.Context(), within(time.Second))
			require.NoError(t, err)
			require.Equal(t, "b", other.Server())
			other.End(admission.AttemptSucceeded)
			time.Sleep(50 * time.Millisecond)
		}
		began := time.Now()
		_, err = pool.Acquire(t.Context(), admission.Request{Server: "a", Deadline: began.Add(time.Second)})
		require.Equal(t, admission.ReasonBackoff, reasonOf(t, err))
		require.Zero(t, time.Since(began))
		lease, err = pool.Acquire(t.Context(), admission.Request{Server: "a", Deadline: began.Add(time.Minute)})
		require.NoError(t, err)
		require.Equal(t, 2*time.Second, time.Since(began))
		lease.End(admission.AttemptSucceeded)
	})
}
