package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
)

const (
	workTime     = 40 * time.Millisecond
	exchangeTime = 3 * time.Millisecond
	restartTime  = 3 * time.Second
)

// mortalServers are servers that end under some requests, together with all else that runs
// there. All instances of a test use the same ones.
type mortalServers struct {
	mu sync.Mutex
	// isDeadly reports whether a request ends the server that runs it.
	isDeadly func(target string) bool
	upFrom   map[string]time.Time
	// ending is closed when the server ends.
	ending map[string]chan struct{}
	// ends counts the ended servers, and sent the attempts by target.
	ends int
	sent map[string]int
	// firstEnd is when the first server ended. unknowing counts the deadly attempts that began
	// before all instances could know of it.
	firstEnd  time.Time
	unknowing int
}

func newMortalServers(isDeadly func(target string) bool) *mortalServers {
	return &mortalServers{isDeadly: isDeadly, upFrom: map[string]time.Time{}, ending: map[string]chan struct{}{}, sent: map[string]int{}}
}

// begin returns a channel that is closed when the server ends, or nil if it is not up.
func (s *mortalServers) begin(server, target string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.upFrom[server]) {
		return nil
	}
	s.sent[target]++
	if s.isDeadly(target) && (s.firstEnd.IsZero() || time.Since(s.firstEnd) <= exchangeTime) {
		s.unknowing++
	}
	if s.ending[server] == nil {
		s.ending[server] = make(chan struct{})
	}
	return s.ending[server]
}

// end ends a server, which is up again after a time.
func (s *mortalServers) end(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.upFrom[server]) {
		return
	}
	if s.ends++; s.ends == 1 {
		s.firstEnd = time.Now()
	}
	s.upFrom[server] = time.Now().Add(restartTime)
	if s.ending[server] != nil {
		close(s.ending[server])
		s.ending[server] = nil
	}
}

func (s *mortalServers) Do(ctx context.Context, id, _ string, _ backends.Limits, r backends.Request) (backends.Response, error) {
	ending := s.begin(id, r.Target)
	if ending == nil {
		return backends.Response{}, refused
	}
	timer := time.NewTimer(workTime)
	defer timer.Stop()
	select {
	case <-ending:
		return backends.Response{}, &backends.Error{IsSent: true, Reason: "answer", Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		return backends.Response{}, &backends.Error{IsSent: true, Reason: "answer", Cause: ctx.Err()}
	case <-timer.C:
	}
	if s.isDeadly(r.Target) {
		s.end(id)
		return backends.Response{}, &backends.Error{IsSent: true, Reason: "answer", Cause: io.ErrUnexpectedEOF}
	}
	answer := signed(http.StatusOK)
	answer.Meta.IsSigned = true
	return answer, nil
}

func (*mortalServers) Connections(string, string) (open, idle int) { return 1, 1 }

func (s *mortalServers) HasEnded(_ context.Context, id, _ string, _ backends.Limits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.upFrom[id])
}

// mortalFleet has several instances before the same servers.
type mortalFleet struct {
	servers   *mortalServers
	instances []*fixture
	tables    []*quarantine.Table
	random    *rand.Rand

	mu sync.Mutex
	// statuses counts the final statuses by target.
	statuses map[string]map[int]int
}

// runMortalFleet runs a test with instances that share what they know with a delay, or not at
// all.
func runMortalFleet(t *testing.T, instances int, isShared bool, isDeadly func(target string) bool, test func(*testing.T, *mortalFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &mortalFleet{servers: newMortalServers(isDeadly), random: rand.New(rand.NewPCG(7, 7)), statuses: map[string]map[int]int{}}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		for n := range instances {
			w := newFixture(nil)
			w.dispatcher.Quarantine = &quarantine.Table{Self: fmt.Sprint("i", n), Random: rand.New(rand.NewPCG(8, uint64(n))).Float64}
			w.dispatcher.Backends = f.servers
			w.dispatcher.Random = lockedRandom(uint64(n))
			for n := 4; n <= 12; n++ {
				entry := redwingstall.BackendEntry{ID: fmt.Sprint("s", n), Service: "s", Slots: 4, StartedAtMillis: 1}
				w.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryChanged{Entry: entry}}, false)
			}
			f.instances = append(f.instances, w)
			f.tables = append(f.tables, w.dispatcher.Quarantine)
		}
		if isShared {
			for n := range f.tables {
				go f.exchange(ctx, n)
			}
		}
		test(t, f)
	})
}

// lockedRandom returns a source of random numbers for concurrent use.
func lockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(9, seed))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// exchange delivers the changes of one instance to all others.
func (f *mortalFleet) exchange(ctx context.Context, from int) {
	for {
		select {
		case <-f.tables[from].Wake():
		case <-ctx.Done():
			return
		}
		changes := f.tables[from].TakeChanges()
		time.AfterFunc(exchangeTime, func() {
			for n, table := range f.tables {
				for _, r := range changes {
					if n != from {
						table.Merge(time.Now(), r)
					}
				}
			}
		})
	}
}

// play sends requests at a rate to random instances. A client repeats a request once after a
// failure, at another instance.
func (f *mortalFleet) play(t *testing.T, duration time.Duration, perSecond int, target func() string) {
	t.Helper()
	var clients sync.WaitGroup
	for range int(duration.Seconds() * float64(perSecond)) {
		path, key := target(), "5"
		first, second := f.random.IntN(len(f.instances)), f.random.IntN(len(f.instances))
		clients.Go(func() {
			status := f.instances[first].get(t.Context(), path, "Shard-Key", key).Status
			if status == http.StatusBadGateway || status == http.StatusServiceUnavailable {
				status = f.instances[second].get(t.Context(), path, "Shard-Key", key).Status
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.statuses[path] == nil {
				f.statuses[path] = map[int]int{}
			}
			f.statuses[path][status]++
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	clients.Wait()
}

func (f *mortalFleet) convictions() int {
	convictions := 0
	for _, r := range f.tables[0].All(time.Now()) {
		convictions += r.Convictions
	}
	return convictions
}

// Guards against a request that ends the servers of a service one after the other, since its
// clients repeat it at other instances: 21 servers in one play of the users' day. At most
// three may end, and those who ran beside it must be served.
func TestRequestThatEndsServersIsKeptFromThem(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/download/"} {
		for _, share := range []float64{0.03, 0.1, 0.5} {
			t.Run(fmt.Sprintf("%s%v", path[1:], share), func(t *testing.T) {
				deadly := path + "deadly"
				isDeadly := func(target string) bool { return target == deadly }
				runMortalFleet(t, 8, true, isDeadly, func(t *testing.T, f *mortalFleet) {
					n := 0
					f.play(t, 20*time.Second, 60, func() string {
						if f.random.Float64() < share {
							return deadly
						}
						n++
						return fmt.Sprint(path, n%500)
					})
					require.LessOrEqual(t, f.servers.ends, max(3, f.servers.unknowing+1), "one trial at most")
					require.Equal(t, 1, f.convictions())
					require.Zero(t, f.statuses[deadly][http.StatusOK])
					failed, served := 0, 0
					for target, statuses := range f.statuses {
						if target != deadly {
							served += statuses[http.StatusOK]
							failed += statuses[http.StatusBadGateway] + statuses[http.StatusServiceUnavailable]
						}
					}
					require.Less(t, failed, served/50, "the others are served")
				})
			})
		}
	}
}

// The test above must see what happens if each instance counts by itself.
func TestRequestThatEndsServersIsFoundByAllInstancesTogether(t *testing.T) {
	isDeadly := func(target string) bool { return target == "/safe/deadly" }
	runMortalFleet(t, 8, false, isDeadly, func(t *testing.T, f *mortalFleet) {
		f.play(t, 20*time.Second, 60, func() string {
			if f.random.Float64() < 0.05 {
				return "/safe/deadly"
			}
			return fmt.Sprint("/safe/", f.random.IntN(500))
		})
		require.Greater(t, f.servers.ends, 3)
	})
}

// Guards against convictions of requests that run wherever servers end for another cause: one
// that makes up a third of the traffic, while a server ends each 700 ms. Some of the others may
// be on trial where a server ends by chance.
func TestServersThatEndForAnotherCauseConvictNoRequest(t *testing.T) {
	runMortalFleet(t, 8, true, func(string) bool { return false }, func(t *testing.T, f *mortalFleet) {
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(700 * time.Millisecond)
				f.servers.end(fmt.Sprint("s", n%12+1))
			}
		}()
		f.play(t, 30*time.Second, 60, func() string {
			if f.random.Float64() < 0.35 {
				return "/safe/popular"
			}
			return fmt.Sprint("/safe/", f.random.IntN(200))
		})
		stop()
		<-done
		require.Greater(t, f.servers.ends, 10)
		require.LessOrEqual(t, f.convictions(), f.servers.ends/20, "one in twenty ends may fall into a trial")
		verdict, _ := f.tables[0].Judge(time.Now(), quarantine.NewFingerprint("GET", "h", "/safe/popular", -1, nil))
		require.NotEqual(t, quarantine.Reject, verdict)
		require.Greater(t, f.statuses["/safe/popular"][http.StatusOK], 500)
	})
}

// A request that has become harmless must be served again some time.
func TestConvictedRequestIsServedAgainOnceItIsHarmless(t *testing.T) {
	begin := time.Time{}
	isDeadly := func(target string) bool { return target == "/safe/deadly" && time.Since(begin) < 10*time.Second }
	runMortalFleet(t, 4, true, isDeadly, func(t *testing.T, f *mortalFleet) {
		begin = time.Now()
		target := func() string { return "/safe/deadly" }
		f.play(t, 10*time.Second, 5, target)
		require.Zero(t, f.statuses["/safe/deadly"][http.StatusOK])
		f.play(t, 30*time.Second, 5, target)
		f.statuses = map[string]map[int]int{}
		f.play(t, 10*time.Second, 5, target)
		require.Equal(t, map[int]int{http.StatusOK: 50}, f.statuses["/safe/deadly"])
	})
}

// Guards against a request that is rejected with a status that promises too much, or late. What
// may have run is never said not to have; a convicted request has not, and is told so at once.
func TestAnswersToRequestsThatEndServers(t *testing.T) {
	for path, first := range map[string]int{"/safe/deadly": http.StatusBadGateway, "/unsafe/deadly": http.StatusBadGateway} {
		runMortalFleet(t, 2, true, func(string) bool { return true }, func(t *testing.T, f *mortalFleet) {
			require.Equal(t, first, f.instances[0].get(t.Context(), path).Status, path)
			time.Sleep(time.Second)
			f.instances[1].get(t.Context(), path)
			time.Sleep(time.Second)
			for _, instance := range f.instances {
				began := time.Now()
				answer := instance.get(t.Context(), path)
				require.Zero(t, time.Since(began))
				require.Equal(t, http.StatusServiceUnavailable, answer.Status)
				require.NotEmpty(t, answer.Header.Get("Retry-After"))
			}
			require.Equal(t, 2, f.servers.sent[path])
		})
	}
}

// Guards against connections that break off for another cause than the end of their server.
func TestBrokenConnectionsOfLivingServersSuspectNobody(t *testing.T) {
	w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
		if n%2 == 1 {
			return backends.Response{}, reset
		}
		return signed(http.StatusOK), nil
	})
	for range 20 {
		require.Equal(t, http.StatusOK, w.get(t.Context(), "/safe/x").Status)
	}
	require.True(t, w.dispatcher.Quarantine.IsEmpty())
}

// Guards against a key whose owner a suspect has ended: requests for other things on it are
// served by the next owner, and the suspect runs there once.
func TestKeyOfADeadlyRequestIsServedByTheNextOwner(t *testing.T) {
	isDeadly := func(target string) bool { return target == "/keyed/deadly" }
	runMortalFleet(t, 4, true, isDeadly, func(t *testing.T, f *mortalFleet) {
		require.Equal(t, http.StatusBadGateway, f.instances[0].get(t.Context(), "/keyed/deadly", "Shard-Key", "5").Status)
		require.Equal(t, 1, f.servers.ends)
		for _, instance := range f.instances {
			m := shardmap.Map{Term: 2}
			m.Divide([]shardmap.Server{{ID: "k2", StartedAtMillis: 1}})
			instance.view.Apply(time.Now(), []redwingstall.Event{redwingstall.RecordChanged{Change: redwingstall.Change{Item: redwingstall.Item{Key: view.MapPrefix + "k", Value: m.Encode(), Revision: 2}}}}, false)
		}
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, http.StatusOK, f.instances[1].get(t.Context(), "/keyed/other", "Shard-Key", "5").Status)
		f.play(t, 10*time.Second, 10, func() string { return "/keyed/deadly" })
		require.LessOrEqual(t, f.servers.ends, 2)
		require.Equal(t, 2, f.servers.sent["/keyed/deadly"])
	})
}

var _ dispatch.Backends = (*mortalServers)(nil)
