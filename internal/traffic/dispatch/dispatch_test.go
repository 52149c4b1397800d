package dispatch_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/budget"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
	"github.com/redwingstall/redwingstall/platform"
)

// fakeBackends answers each attempt with the result of script.
type fakeBackends struct {
	mu       sync.Mutex
	script   func(n int, id string, r backends.Request) (backends.Response, error)
	sent     []string
	timeouts []time.Duration
	// exhausted servers have no connection left.
	exhausted map[string]bool
	// ended servers refuse connections.
	ended map[string]bool
	// assessed counts how often the connections of a server were asked for.
	assessed int
}

func (f *fakeBackends) HasEnded(_ context.Context, id, _ string, _ backends.Limits) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended[id]
}

func (f *fakeBackends) Do(ctx context.Context, id, _ string, _ backends.Limits, r backends.Request) (backends.Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, id)
	millis, _ := strconv.Atoi(r.Header.Get("Request-Deadline"))
	f.timeouts = append(f.timeouts, time.Duration(millis)*time.Millisecond)
	n := len(f.sent)
	f.mu.Unlock()
	answer, err := f.script(n, id, r)
	if ctx.Err() != nil {
		return backends.Response{}, &backends.Error{IsSent: true, Reason: "answer", Cause: ctx.Err()}
	}
	answer.Meta = platform.Headers{}.ParseResponse(answer.Header)
	return answer, err
}

// exhaust leaves no connection to some servers.
func (f *fakeBackends) exhaust(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exhausted = map[string]bool{}
	for _, id := range ids {
		f.exhausted[id] = true
	}
}

func (f *fakeBackends) Connections(id, _ string) (open, idle int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assessed++
	if f.exhausted[id] {
		return 1000, 0
	}
	return 1, 1
}

type discardCounter struct{}

func (discardCounter) Add(string, int64)                   {}
func (discardCounter) Count(string)                        {}
func (discardCounter) RecordLatency(string, time.Duration) {}
func (discardCounter) CountKey(time.Time, string, int)     {}

func answerOf(status int, headers ...string) backends.Response {
	header := http.Header{}
	for i := 0; i+1 < len(headers); i += 2 {
		header.Set(headers[i], headers[i+1])
	}
	return backends.Response{Status: status, Header: header, Body: []byte("body")}
}

func signed(status int) backends.Response { return answerOf(status, "Response-Signature", "s") }

var (
	refused     = &backends.Error{IsRefused: true, Reason: "connect", Cause: errors.New("refused")}
	reset       = &backends.Error{IsSent: true, Reason: "answer", Cause: errors.New("reset")}
	shed        = answerOf(503, "Not-Executed", "1")
	misdirected = answerOf(421, "Not-Executed", "1")
	endless     = &backends.Error{IsSent: true, Reason: backends.ReasonEndless, Cause: errors.New("too long")}
	invalid     = &backends.Error{IsSent: true, Reason: backends.ReasonInvalid, Cause: errors.New("status 000")}
	revoked     = &backends.Error{IsSent: true, Reason: backends.ReasonMemoryRevoked, Cause: errors.New("full")}
	noMemory    = &backends.Error{IsSent: true, Reason: backends.ReasonNoMemory, Cause: errors.New("full")}
	encoded     = answerOf(200, "Response-Signature", "s", "Content-Encoding", "gzip")
	unsigned    = answerOf(200)
)

func configuration() redwingstall.Configuration {
	route := func(name string, kind redwingstall.RouteKind, service string) redwingstall.Route {
		return redwingstall.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 1200 * time.Millisecond, Target: 600 * time.Millisecond,
			MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return redwingstall.Configuration{
		Version: 1,
		Routes: []redwingstall.Route{
			route("safe", redwingstall.KindSafe, "s"), route("unsafe", redwingstall.KindUnsafe, "s"), route("keyed", redwingstall.KindSafe, "k"),
			route("download", redwingstall.KindDownload, "s"), route("upload", redwingstall.KindUpload, "s"), route("unknown", "stream", "s"),
			route("book", redwingstall.KindUnsafe, "k"),
		},
		Services: map[string]redwingstall.ServiceSpec{
			"s": {Name: "s", MaxConnections: 100, WarmupRate: 5.7},
			"k": {Name: "k", MaxConnections: 100, WarmupRate: 5.7, Sharded: true},
		},
	}
}

type fixture struct {
	view       *view.View
	backends   *fakeBackends
	dispatcher *dispatch.Dispatcher
}

func newFixture(script func(n int, id string, r backends.Request) (backends.Response, error)) *fixture {
	log := slog.New(slog.DiscardHandler)
	w := &fixture{view: view.NewView(log, 2*time.Second), backends: &fakeBackends{script: script}}
	events := []redwingstall.Event{redwingstall.ConfigurationChanged{Configuration: configuration()}}
	for _, service := range []string{"s", "k"} {
		for _, n := range []string{"1", "2", "3"} {
			events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: service + n, Service: service, Slots: 4, StartedAtMillis: 1}})
		}
	}
	m := shardmap.Map{}
	m.Divide([]shardmap.Server{{ID: "k1", StartedAtMillis: 1}, {ID: "k2", StartedAtMillis: 1}})
	events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: redwingstall.Item{Key: view.MapPrefix + "k", Value: m.Encode(), Revision: 1}}})
	w.view.Apply(time.Now(), events, false)
	w.view.MarkCurrent(time.Now())
	random := rand.New(rand.NewPCG(1, 1))
	w.dispatcher = dispatch.NewDispatcher(dispatch.Config{
		InstanceName: "a", View: w.view, Backends: w.backends, Protocol: platform.Headers{}, Estimator: &placement.Estimator{},
		Budget: budget.NewBudget(0.2, 56, 10*time.Second), WarmupLimiter: &pace.Limiter{}, ServerLimiter: newLimiter(), Quarantine: &quarantine.Table{}, KeyCounter: discardCounter{}, Counter: discardCounter{}, Log: log,
		WarmupOverrun: 1.5, WarmupSlack: 5, DrainTimeout: time.Second, EvacuateTimeout: 2 * time.Second, Random: random.Float64, StopAt: func() time.Time { return time.Time{} },
	})
	return w
}

func (f *fixture) get(ctx context.Context, path string, headers ...string) backends.Response {
	header := answerOf(0, append([]string{"Request-Id", "id", "Request-Deadline", "1500"}, headers...)...).Header
	return f.dispatcher.Serve(ctx, dispatch.Request{Method: "GET", Target: path, Path: path, Host: "h", Header: header, Arrived: time.Now()})
}

// Guards against a status that wrongly promises that a request was not executed.
// Such a status requires that a server said so or that nothing was sent. The cases
// cover each way in which attempts can end.
func TestStatusOfEachAttemptOutcome(t *testing.T) {
	type result struct {
		answer backends.Response
		err    error
	}
	ok := result{answer: signed(200)}
	for name, c := range map[string]struct {
		path   string
		ends   []result
		status int
		sent   int
	}{
		"served":               {"/safe/x", []result{ok}, 200, 1},
		"safeAfterReset":       {"/safe/x", []result{{err: reset}, ok}, 200, 2},
		"unsafeAfterReset":     {"/unsafe/x", []result{{err: reset}, ok}, 502, 1},
		"unsafeRefused":        {"/unsafe/x", []result{{err: refused}, ok}, 200, 2},
		"unsafeShed":           {"/unsafe/x", []result{{answer: shed}, ok}, 200, 2},
		"unsafeShedTwice":      {"/unsafe/x", []result{{answer: shed}, {answer: shed}}, 503, 2},
		"unsafeShedThenReset":  {"/unsafe/x", []result{{answer: shed}, {err: reset}}, 502, 2},
		"unsafeServerError":    {"/unsafe/x", []result{{answer: signed(500)}, ok}, 500, 1},
		"safeServerError":      {"/safe/x", []result{{answer: signed(500)}, ok}, 200, 2},
		"safeServerErrorTwice": {"/safe/x", []result{{answer: signed(500)}, {answer: signed(504)}}, 504, 2},
		"unsafeEncoded":        {"/unsafe/x", []result{{answer: encoded}}, 502, 1},
		"unsafeUnsigned":       {"/unsafe/x", []result{{answer: unsigned}}, 502, 1},
		"unsafeOtherServer":    {"/unsafe/x", []result{{answer: misdirected}, ok}, 200, 2},
		"safeResetTwice":       {"/safe/x", []result{{err: reset}, {err: reset}}, 502, 2},
		"clientError":          {"/safe/x", []result{{answer: signed(404)}}, 404, 1},
		"downloadAfterReset":   {"/download/x", []result{{err: reset}, ok}, 200, 2},
		"uploadAfterReset":     {"/upload/x", []result{{err: reset}, ok}, 502, 1},
		"uploadShed":           {"/upload/x", []result{{answer: shed}, ok}, 200, 2},
		"uploadServerError":    {"/upload/x", []result{{answer: signed(500)}, ok}, 500, 1},
		"unknownAfterReset":    {"/unknown/x", []result{{err: reset}, ok}, 502, 1},
		"unknownServerError":   {"/unknown/x", []result{{answer: signed(500)}, ok}, 500, 1},
		"safeEndless":          {"/safe/x", []result{{err: endless}, ok}, 200, 2},
		"safeEndlessTwice":     {"/safe/x", []result{{err: endless}, {err: endless}}, 502, 2},
		"unsafeEndless":        {"/unsafe/x", []result{{err: endless}, ok}, 502, 1},
		"safeInvalid":          {"/safe/x", []result{{err: invalid}, ok}, 200, 2},
		"safeInvalidTwice":     {"/safe/x", []result{{err: invalid}, {err: invalid}}, 502, 2},
		"unsafeInvalid":        {"/unsafe/x", []result{{err: invalid}, ok}, 502, 1},
		"uploadInvalid":        {"/upload/x", []result{{err: invalid}, ok}, 502, 1},
		"unknownInvalid":       {"/unknown/x", []result{{err: invalid}, ok}, 502, 1},
		"safeNoMemory":         {"/safe/x", []result{{err: noMemory}, ok}, 200, 2},
		"safeRevoked":          {"/safe/x", []result{{err: revoked}, ok}, 200, 2},
		"unsafeRevoked":        {"/unsafe/x", []result{{err: revoked}, ok}, 502, 1},
		"unsafeNoMemory":       {"/unsafe/x", []result{{err: noMemory}, ok}, 502, 1},
		// Without Not-Executed, a status that promises that the request did not run is
		// not passed on for a request that must not run twice.
		"unsafeUnproven503": {"/unsafe/x", []result{{answer: signed(503)}, ok}, 502, 1},
		"unsafeUnproven429": {"/unsafe/x", []result{{answer: signed(429)}, ok}, 502, 1},
		"unsafeUnproven408": {"/unsafe/x", []result{{answer: signed(408)}, ok}, 502, 1},
		"unsafeUnproven421": {"/unsafe/x", []result{{answer: signed(421)}, ok}, 502, 1},
		"safeUnproven503":   {"/safe/x", []result{{answer: signed(503)}, ok}, 200, 2},
		"safeUnproven429":   {"/safe/x", []result{{answer: signed(429)}}, 429, 1},
		"noRoute":           {"/none/x", nil, 404, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
				return c.ends[n-1].answer, c.ends[n-1].err
			})
			answer := w.get(t.Context(), c.path)
			require.Equal(t, c.status, answer.Status)
			require.Len(t, w.backends.sent, c.sent)
			if answer.Status == 503 {
				require.NotEmpty(t, answer.Header.Get("Retry-After"))
			}
		})
	}
}

func TestMissingConfigurationReturns503(t *testing.T) {
	w := newFixture(nil)
	w.dispatcher.View = view.NewView(slog.New(slog.DiscardHandler), 0)
	answer := w.get(t.Context(), "/safe/x")
	require.Equal(t, 503, answer.Status)
}

// Guards against a server that works past the deadline. The timeout sent with an
// attempt is the rest of the shorter one of the client's timeout and the route's, so
// a second attempt gets less.
func TestAttemptCarriesRemainingTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
			time.Sleep(400 * time.Millisecond)
			if n == 1 {
				return backends.Response{}, reset
			}
			return signed(200), nil
		})
		require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
		require.Equal(t, []time.Duration{1200 * time.Millisecond, 800 * time.Millisecond}, w.backends.timeouts)
	})
}

func TestRouteTimeoutReturns504InTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) {
			time.Sleep(1300 * time.Millisecond) // the fake checks the context only after this
			return signed(200), nil
		})
		began := time.Now()
		require.Equal(t, 504, w.get(t.Context(), "/unsafe/x").Status)
		require.Less(t, time.Since(began), 1400*time.Millisecond)
	})
}

func TestKeyedRequestGoesToOwnerOnly(t *testing.T) {
	w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
	for _, key := range []string{"1", "70", "32767"} {
		require.Equal(t, 200, w.get(t.Context(), "/keyed/x", "Shard-Key", key).Status)
	}
	require.Equal(t, []string{"k1", "k1", "k1"}, w.backends.sent)
	w.get(t.Context(), "/keyed/x", "Shard-Key", "32768")
	require.Equal(t, "k2", w.backends.sent[3])
}

// Guards against rejected requests during a handover of keys. The request waits for
// the new owner.
func TestRequestWaitsForKeyHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
		m := w.view.Snapshot().Maps["k"].Clone()
		m.Ranges[0].Release(m.NextReleaseFence())
		publish := func(revision redwingstall.Revision) {
			w.view.Apply(time.Now(), []redwingstall.Event{redwingstall.RecordChanged{Change: redwingstall.Change{Item: redwingstall.Item{Key: view.MapPrefix + "k", Value: m.Encode(), Revision: revision}}}}, false)
		}
		publish(2)
		time.AfterFunc(200*time.Millisecond, func() {
			m = m.Clone()
			m.Ranges[0].AssignTo(shardmap.Server{ID: "k3", StartedAtMillis: 1})
			publish(3)
		})
		require.Equal(t, 200, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
		require.Equal(t, []string{"k3"}, w.backends.sent)
	})
}

func TestKeysOfLostServerAreRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(nil)
		w.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryRemoved{ID: "k1"}}, false)
		began := time.Now()
		answer := w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
		require.Equal(t, 503, answer.Status)
		require.NotEmpty(t, answer.Header.Get("Retry-After"))
		require.Less(t, time.Since(began), 10*time.Millisecond)
	})
}

// Guards against requests that are held, or told to return, before their key can have an owner:
// the map says when the grants of a lost owner end.
func TestRequestsForKeysOfLostOwnerAreToldWhenItsGrantsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		endsWithin time.Duration
		isFast     bool
		waits      bool
		retryAfter float64
	}{
		"in time for the objective": {200 * time.Millisecond, true, true, 0},
		"too late":                  {4 * time.Second, true, false, 4.3},
		"without the feature":       {200 * time.Millisecond, false, false, 0.18},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
				w.dispatcher.Features = func() features.Set { return features.Set{KeyRecovery: c.isFast} }
				m := w.view.Snapshot().Maps["k"].Clone()
				publish := func(revision redwingstall.Revision) {
					w.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryRemoved{ID: "k1"}, redwingstall.RecordChanged{Change: redwingstall.Change{Item: redwingstall.Item{Key: view.MapPrefix + "k", Value: m.Encode(), Revision: revision}}}}, false)
				}
				m.Ranges[0].Release(m.NextReleaseFence())
				m.Ranges[0].GrantsEndWithin = c.endsWithin
				publish(2)
				time.AfterFunc(c.endsWithin, func() {
					m = m.Clone()
					m.Ranges[0].AssignTo(shardmap.Server{ID: "k3", StartedAtMillis: 1})
					publish(3)
				})
				began := time.Now()
				answer := w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
				if c.waits {
					require.Equal(t, 200, answer.Status)
					return
				}
				require.Equal(t, 503, answer.Status)
				require.Less(t, time.Since(began), 10*time.Millisecond, "refused at once")
				seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, seconds, c.retryAfter)
				require.Less(t, seconds, c.retryAfter*1.3+0.2)
			})
		})
	}
}

func TestDrainingAndEvacuatedServersGetNoRequests(t *testing.T) {
	w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
	w.view.Apply(time.Now(), []redwingstall.Event{
		redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: "s1", Service: "s", Slots: 4, StartedAtMillis: 1, Draining: true}},
		redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: "s2", Service: "s", Slots: 4, StartedAtMillis: 1, FailureDomain: "z"}},
		redwingstall.EvacuationChanged{FailureDomain: "z", IsActive: true},
	}, false)
	for range 20 {
		require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
	}
	require.NotContains(t, w.backends.sent, "s1")
	require.NotContains(t, w.backends.sent, "s2")
}

// Guards against an ever growing queue at an overloaded owner. When its queue is
// already longer than the latency objective, a client's first attempt is rejected at
// once, so that admitted requests are answered in time.
func TestOverloadedOwnerRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := make(chan struct{})
		w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
			if n <= 9 {
				<-busy
			}
			return signed(200), nil
		})
		for range 9 {
			go w.get(context.Background(), "/keyed/x", "Shard-Key", "5")
			synctest.Wait()
		}
		w.dispatcher.Estimator.MergeReports(time.Now(), "peer", []placement.Report{{Server: "k1", InFlight: 8, LatencyFactor: 2}})
		began := time.Now()
		answer := w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
		require.Equal(t, 503, answer.Status)
		require.Less(t, time.Since(began), 10*time.Millisecond)
		close(busy)
		synctest.Wait()
		time.Sleep(2 * time.Second)
	})
}

// Guards against rejections by a server that is briefly slow but has a free slot. No
// other request needs the slot, and the server may recover, so the request is
// served.
func TestRequestIsNotShedWhileSlotIsFree(t *testing.T) {
	w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
	slow := redwingstall.ServerLoad{Running: 1, Slots: 4, Slowdown: 8}
	w.dispatcher.Estimator.MergeReports(time.Now(), "peer", []placement.Report{{Server: "k1", InFlight: 1, LatencyFactor: 2, Load: slow, HasLoad: true}})
	require.Equal(t, 200, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
}

// Guards against failed attempts when there are far more instances than a server
// accepts connections from. A server without an available connection is skipped,
// which does not count as an attempt.
func TestServersWithoutConnectionAreSkipped(t *testing.T) {
	w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
	w.backends.exhausted = map[string]bool{"s1": true, "s2": true, "k1": true}
	for range 10 {
		require.Equal(t, 200, w.get(t.Context(), "/unsafe/x").Status)
	}
	require.NotContains(t, w.backends.sent, "s1")
	require.NotContains(t, w.backends.sent, "s2")
	answer := w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
	require.Equal(t, 503, answer.Status)
	require.Len(t, w.backends.sent, 10)
}

// Guards against timeouts when a server stops answering. A request that may be
// retried is sent to a second server in time for its answer. One that must run once
// waits for its server.
func TestUnresponsiveServerIsAbandonedInTime(t *testing.T) {
	for path, want := range map[string]int{"/safe/x": 200, "/unsafe/x": 504} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
			w.dispatcher.Backends = unresponsiveFirst{w.backends}
			began := time.Now()
			require.Equal(t, want, w.get(t.Context(), path).Status)
			if want == 200 {
				// Two requests of 150 ms fit before the deadline of 1.2 s.
				require.LessOrEqual(t, time.Since(began), 900*time.Millisecond)
			}
		})
	}
}

// unresponsiveFirst never answers the first attempt.
type unresponsiveFirst struct{ *fakeBackends }

func (f unresponsiveFirst) Do(ctx context.Context, id, address string, limits backends.Limits, r backends.Request) (backends.Response, error) {
	f.mu.Lock()
	isFirst := len(f.sent) == 0
	if isFirst {
		f.sent = append(f.sent, id)
	}
	f.mu.Unlock()
	if isFirst {
		<-ctx.Done()
		return backends.Response{}, &backends.Error{IsSent: true, Reason: "answer", Cause: ctx.Err()}
	}
	return f.fakeBackends.Do(ctx, id, address, limits, r)
}

// Guards against a burst in which eighty instances with the same information all
// choose the only idle server, while 39 others are half used. Its queue would
// overflow before the instances learn of each other's requests.
func TestManyInstancesDoNotAllChooseTheSameServer(t *testing.T) {
	const instances, servers = 80, 40
	chosen := map[string]int{}
	for i := range instances {
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
		random := rand.New(rand.NewPCG(uint64(i), 1))
		w.dispatcher.Random = random.Float64
		events := []redwingstall.Event{}
		reports := []placement.Report{}
		for n := range servers {
			id := "s" + strconv.Itoa(n+1)
			events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: id, Service: "s", Slots: 4, StartedAtMillis: 1}})
			reports = append(reports, placement.Report{Server: id, InFlight: min(n, 1) * 2, LatencyFactor: 1 + float64(min(n, 1))})
		}
		for n := range instances {
			record, err := view.PeerRecord(view.Peer{Name: "p" + strconv.Itoa(n)})
			require.NoError(t, err)
			events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
		}
		w.view.Apply(time.Now(), events, false)
		w.dispatcher.Estimator.MergeReports(time.Now(), "others", reports)
		require.Equal(t, 200, w.get(t.Context(), "/unsafe/x").Status)
		chosen[w.backends.sent[0]]++
	}
	require.Positive(t, chosen["s1"])
	// The server has four slots and room for as many in its queue, of which two are
	// used by others.
	require.Less(t, chosen["s1"], 16)
	for id, n := range chosen {
		if id != "s1" {
			require.Less(t, n, 8, id)
		}
	}
}

// Guards against servers that answer each request without end and are asked again and again, since
// no other is left. Found by the soak: 45 requests in a second, each answered 502.
func TestServersThatAnswerWithoutEndAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return backends.Response{}, endless })
		answer := backends.Response{}
		for range 40 {
			answer = w.get(t.Context(), "/unsafe/x")
			time.Sleep(5 * time.Millisecond)
		}
		require.LessOrEqual(t, len(w.backends.sent), 6, "two for each server")
		require.Equal(t, 503, answer.Status, "it is not sent, so that it may be sent again")
		require.NotEmpty(t, answer.Header.Get("Retry-After"))
		time.Sleep(3 * time.Second)
		require.Equal(t, 502, w.get(t.Context(), "/unsafe/x").Status, "a request probes one of them")
	})
}

// Guards against a server that fails without being seen to: each of its responses has the status
// 000, and it answers sooner than the others.
func TestServerWithInvalidResponsesIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invalidSent := 0
		w := newFixture(func(_ int, id string, _ backends.Request) (backends.Response, error) {
			if id == "s1" {
				invalidSent++
				return backends.Response{}, invalid
			}
			time.Sleep(10 * time.Millisecond)
			return signed(200), nil
		})
		for range 100 {
			require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status, "another server answers")
			time.Sleep(5 * time.Millisecond)
		}
		require.LessOrEqual(t, invalidSent, 10)
		require.Positive(t, invalidSent)
	})
}

// Guards against requests to ejected servers under overload. At twice the capacity
// few servers have room in their queues. The request is rejected at once as not
// executed, instead of being sent to an ejected server.
func TestEjectedServersDoNotReplaceFullOnes(t *testing.T) {
	w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
	now := time.Now()
	w.dispatcher.Estimator.MergeReports(now, "peer", []placement.Report{
		{Server: "s1", InFlight: 9, LatencyFactor: 1},
		{Server: "s2", InFlight: 9, LatencyFactor: 1},
		{Server: "s3", LatencyFactor: 1, Attempts: 9, Failures: 9},
	})
	answer := w.get(t.Context(), "/unsafe/x")
	require.Equal(t, 503, answer.Status)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
	require.Empty(t, w.backends.sent)
}

// Guards against lost requests when queues overflow before the instances learn of
// it. A request that can be retried is admitted behind seven requests on four slots.
// A request that a reset would lose is rejected, and its client retries.
func TestQueueLimitIsLowerForUnsafeRequests(t *testing.T) {
	w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
	reports := []placement.Report{}
	for _, id := range []string{"s1", "s2", "s3"} {
		reports = append(reports, placement.Report{Server: id, InFlight: 7, LatencyFactor: 1})
	}
	w.dispatcher.Estimator.MergeReports(time.Now(), "peer", reports)
	require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
	require.Equal(t, 503, w.get(t.Context(), "/unsafe/x").Status)
}

// Guards against rejected requests while the keys of an owner move that drains or
// whose failure domain is evacuated. It keeps its keys until they have moved, and
// receives no more requests after half of the platform's bound.
func TestLeavingOwnerGetsRequestsForLimitedTime(t *testing.T) {
	leaving := redwingstall.BackendEntry{ID: "k1", Service: "k", Slots: 4, StartedAtMillis: 1, FailureDomain: "z"}
	draining := leaving
	draining.Draining = true
	for name, c := range map[string]struct {
		event redwingstall.Event
		limit time.Duration
	}{
		"drains":    {redwingstall.EntryChanged{Entry: draining}, time.Second},
		"evacuated": {redwingstall.EvacuationChanged{FailureDomain: "z", IsActive: true}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil })
				w.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryChanged{Entry: leaving}}, false)
				w.view.Apply(time.Now(), []redwingstall.Event{c.event}, false)
				w.view.MarkCurrent(time.Now())
				time.Sleep(c.limit - time.Millisecond)
				require.Equal(t, 200, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
				// A heartbeat that repeats the state does not prolong the limit.
				w.view.Apply(time.Now(), []redwingstall.Event{c.event}, false)
				time.Sleep(2 * time.Millisecond)
				require.Equal(t, 503, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
				require.Len(t, w.backends.sent, 1)
			})
		})
	}
}

// startedBody is the rest of a body of which a part was sent.
type startedBody struct{ isStarted bool }

func (b *startedBody) Read([]byte) (int, error) { return 0, io.EOF }
func (b *startedBody) IsStarted() bool          { return b.isStarted }

// Guards against a body that reaches the second server without its start. A request is
// sent again only while all of its body is there, and its status says whether it ran.
func TestStreamedBodyIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		isStarted bool
		answer    backends.Response
		err       error
		status    int
		sent      int
	}{
		"shedAtOnce":         {"/upload/x", false, shed, nil, 200, 2},
		"shedMidway":         {"/upload/x", true, shed, nil, 503, 1},
		"resetMidway":        {"/upload/x", true, backends.Response{}, reset, 502, 1},
		"refusedConnection":  {"/upload/x", false, backends.Response{}, refused, 200, 2},
		"safeResetMidway":    {"/safe/x", true, backends.Response{}, reset, 502, 1},
		"safeFailedMidway":   {"/safe/x", true, signed(500), nil, 500, 1},
		"unknownResetMidway": {"/unknown/x", true, backends.Response{}, reset, 502, 1},
	} {
		t.Run(name, func(t *testing.T) {
			body := &startedBody{}
			w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
				body.isStarted = c.isStarted
				if n == 1 {
					return c.answer, c.err
				}
				return signed(200), nil
			})
			answer := w.dispatcher.Serve(t.Context(), dispatch.Request{
				Method: "POST", Target: c.path, Path: c.path, Host: "h", Header: http.Header{"Request-Id": {"id"}, "Request-Deadline": {"1500"}},
				HasBody: true, BodyRest: body, BodyLength: 1 << 20, Arrived: time.Now(),
			})
			require.Equal(t, c.status, answer.Status)
			require.Len(t, w.backends.sent, c.sent)
		})
	}
}

// Guards against an owner of keys that is taken out of use for each pair of lost answers,
// though no other server can serve its keys. The owner loses two of five answers and
// serves 20 requests a second. A lookup is sent again, so that at most one in four
// requests (two lost answers in a row, and some luck) may end without an answer.
func TestOwnerThatLosesAnswersStaysInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 7))
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) {
			time.Sleep(60 * time.Millisecond)
			if random.Float64() < 0.4 {
				return backends.Response{}, reset
			}
			return signed(200), nil
		})
		const requests = 200
		served := 0
		for range requests {
			if w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status == 200 {
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.GreaterOrEqual(t, served, requests*3/4)
	})
}

// Guards against a process that starts, or regains contact, and sends requests to a server
// that was to get none for long: it cannot know how long ago the server announced that it
// drains, or its failure domain was evacuated. Found on a deployment (EVAC): instances that
// were restarted five seconds after an evacuation used the domain's servers again.
func TestLeavingOwnerOfUnknownAgeGetsNoRequests(t *testing.T) {
	leaving := redwingstall.BackendEntry{ID: "k1", Service: "k", Slots: 4, StartedAtMillis: 1, FailureDomain: "z"}
	draining := leaving
	draining.Draining = true
	for name, event := range map[string]redwingstall.Event{
		"drains":    redwingstall.EntryChanged{Entry: draining},
		"evacuated": redwingstall.EvacuationChanged{FailureDomain: "z", IsActive: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ok := func(int, string, backends.Request) (backends.Response, error) { return signed(200), nil }
				// A process that starts reads the store for the first time.
				w := newFixture(ok)
				restarted := view.NewView(slog.New(slog.DiscardHandler), 0)
				w.dispatcher.View = restarted
				snapshot := w.view.Snapshot()
				events := []redwingstall.Event{
					redwingstall.ConfigurationChanged{Configuration: configuration()},
					redwingstall.EntryChanged{Entry: leaving},
					redwingstall.RecordChanged{Change: redwingstall.Change{Item: redwingstall.Item{Key: view.MapPrefix + "k", Value: snapshot.Maps["k"].Encode(), Revision: 1}}},
				}
				restarted.Apply(time.Now(), append(events, event), true)
				require.Equal(t, 503, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)

				// One that was cut off for five seconds may learn of it that late.
				cut := newFixture(ok)
				cut.view.Apply(time.Now(), []redwingstall.Event{redwingstall.EntryChanged{Entry: leaving}}, false)
				time.Sleep(5 * time.Second)
				cut.view.Apply(time.Now(), []redwingstall.Event{event}, false)
				require.Equal(t, 503, cut.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
				require.Empty(t, cut.backends.sent)
			})
		})
	}
}

// Guards against requests to a server that announced in a response that it leaves, of which
// the store says nothing.
func TestServerThatAnnouncesToLeaveGetsNoFurtherRequests(t *testing.T) {
	for path, c := range map[string]struct {
		headers []string
		grace   time.Duration
		status  int
	}{
		"/safe/x":   {status: http.StatusOK},
		"/unsafe/x": {status: http.StatusOK},
		"/keyed/x":  {headers: []string{"Shard-Key", "5"}, grace: time.Second, status: http.StatusServiceUnavailable},
	} {
		for _, answer := range []backends.Response{
			answerOf(200, "Response-Signature", "s", "Server-Leaving", "1"), answerOf(503, "Not-Executed", "1", "Server-Leaving", "1"),
		} {
			synctest.Test(t, func(t *testing.T) {
				leaving := ""
				w := newFixture(func(_ int, id string, _ backends.Request) (backends.Response, error) {
					if leaving == "" || leaving == id {
						leaving = id
						return answer, nil
					}
					return signed(200), nil
				})
				w.get(t.Context(), path, c.headers...)
				first := w.backends.sent[0]
				time.Sleep(c.grace + time.Millisecond)
				w.view.MarkCurrent(time.Now())
				before := len(w.backends.sent)
				for range 20 {
					require.Equal(t, c.status, w.get(t.Context(), path, c.headers...).Status, path)
				}
				require.NotContains(t, w.backends.sent[before:], first, path)
			})
		}
	}
}

// Guards against a request that waits for a permit of a server that then announces to leave.
func TestRequestThatWaitsForAPermitDoesNotGoToAServerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) {
			return answerOf(200, "Response-Signature", "s", "Server-Limit", "5"), nil
		})
		w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
		server := w.view.Snapshot().ByID["k1"]
		w.view.MarkLeaving(time.Now().Add(-950*time.Millisecond), server.Process())
		answer := w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
		require.Equal(t, http.StatusServiceUnavailable, answer.Status)
		require.Len(t, w.backends.sent, 1)
	})
}
