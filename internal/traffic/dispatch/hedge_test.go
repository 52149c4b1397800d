package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/budget"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
	"github.com/redwingstall/redwingstall/platform"
)

// timedEnd is how an attempt ends, and when after its start.
type timedEnd struct {
	after  time.Duration
	answer backends.Response
	err    error
}

// timedBackends ends the nth attempt as ends[n], or earlier when it is canceled.
type timedBackends struct {
	*fakeBackends
	ends     []timedEnd
	onFirst  func()
	canceled []time.Duration
	began    time.Time
}

func (b *timedBackends) Do(ctx context.Context, id, _ string, _ backends.Limits, _ backends.Request) (backends.Response, error) {
	b.mu.Lock()
	end := b.ends[len(b.sent)]
	b.sent = append(b.sent, id)
	isFirst := len(b.sent) == 1
	b.mu.Unlock()
	if isFirst && b.onFirst != nil {
		b.onFirst()
	}
	timer := time.NewTimer(end.after)
	defer timer.Stop()
	select {
	case <-timer.C:
		end.answer.Meta = platform.Headers{}.ParseResponse(end.answer.Header)
		return end.answer, end.err
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.canceled = append(b.canceled, time.Since(b.began))
		return backends.Response{}, &backends.Error{IsSent: true, Reason: "answer", Cause: ctx.Err()}
	}
}

func newTimedFixture(ends ...timedEnd) (*fixture, *timedBackends) {
	w := newFixture(nil)
	b := &timedBackends{fakeBackends: w.backends, ends: ends, began: time.Now()}
	w.dispatcher.Backends = b
	return w, b
}

// answered is a response that names the attempt that it came from.
func answered(name string) backends.Response {
	answer := signed(200)
	answer.Body = []byte(name)
	return answer
}

// requireNoneInFlight checks that each attempt was counted once at its begin and end.
func requireNoneInFlight(t *testing.T, w *fixture) {
	for _, id := range []string{"s1", "s2", "s3", "k1"} {
		candidate := placement.Candidate{ID: id, Service: "s", Slots: 4}
		require.Zero(t, w.dispatcher.Estimator.Estimate(time.Now().Add(10*time.Second), "safe", candidate).QueueLength, id)
	}
}

// Guards against a router's 502 in place of the answer of a slow server that has the
// request, when no other server takes it.
func TestRunningAttemptIsNotGivenUpWithoutReplacement(t *testing.T) {
	late := timedEnd{after: 1100 * time.Millisecond, answer: answered("first")}
	for name, c := range map[string]struct {
		// prepare is called once the first attempt has begun.
		prepare func(w *fixture)
		budget  *budget.Budget
		second  []timedEnd
	}{
		"othersWithoutConnection": {prepare: func(w *fixture) { w.backends.exhaust("s1", "s2", "s3") }},
		"othersFull": {prepare: func(w *fixture) {
			reports := []placement.Report{}
			for _, id := range []string{"s1", "s2", "s3"} {
				if id != w.backends.sent[0] {
					reports = append(reports, placement.Report{Server: id, InFlight: 12, LatencyFactor: 1})
				}
			}
			w.dispatcher.Estimator.MergeReports(time.Now(), "peer", reports)
		}},
		"noRetryBudget":   {budget: budget.NewBudget(0, 0, 10*time.Second)},
		"otherSheds":      {second: []timedEnd{{answer: shed}}},
		"otherIsBusy":     {second: []timedEnd{{after: 50 * time.Millisecond, answer: shed}}},
		"otherResets":     {second: []timedEnd{{after: 50 * time.Millisecond, err: reset}}},
		"otherRefuses":    {second: []timedEnd{{err: refused}}},
		"otherFails":      {second: []timedEnd{{after: 50 * time.Millisecond, answer: signed(500)}}},
		"otherIsUnsigned": {second: []timedEnd{{after: 50 * time.Millisecond, answer: unsigned}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, b := newTimedFixture(append([]timedEnd{late}, c.second...)...)
				if c.budget != nil {
					w.dispatcher.Budget = c.budget
				}
				if c.prepare != nil {
					b.onFirst = func() { c.prepare(w) }
				}
				answer := w.get(t.Context(), "/safe/x")
				require.Equal(t, 200, answer.Status)
				require.Equal(t, "first", string(answer.Body))
				require.Len(t, w.backends.sent, 1+len(c.second))
				synctest.Wait()
				requireNoneInFlight(t, w)
			})
		})
	}
}

// Guards against a client that waits for the slower one of two attempts, and against a
// server that goes on with work whose answer nobody needs.
func TestFirstAnswerOfTwoAttemptsIsReturned(t *testing.T) {
	for name, c := range map[string]struct {
		first, second time.Duration
		want          string
		took          time.Duration
	}{
		"second": {first: 1100 * time.Millisecond, second: 100 * time.Millisecond, want: "second", took: 700 * time.Millisecond},
		"first":  {first: 800 * time.Millisecond, second: 500 * time.Millisecond, want: "first", took: 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, b := newTimedFixture(timedEnd{after: c.first, answer: answered("first")}, timedEnd{after: c.second, answer: answered("second")})
				answer := w.get(t.Context(), "/safe/x")
				require.Equal(t, c.want, string(answer.Body))
				require.Equal(t, c.took, time.Since(b.began))
				synctest.Wait()
				require.Equal(t, []time.Duration{c.took}, b.canceled)
				requireNoneInFlight(t, w)
				for _, id := range w.backends.sent {
					estimate := w.dispatcher.Estimator.Estimate(time.Now(), "safe", placement.Candidate{ID: id, Service: "s", Slots: 4})
					require.Zero(t, estimate.FailureRate, "a canceled attempt is no failure of its server")
				}
			})
		})
	}
}

// Guards against a server's error that is returned while another server still runs the
// request.
func TestServerErrorWaitsForOtherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newTimedFixture(timedEnd{after: 700 * time.Millisecond, answer: signed(500)}, timedEnd{after: 400 * time.Millisecond, answer: answered("second")})
		answer := w.get(t.Context(), "/safe/x")
		require.Equal(t, 200, answer.Status)
		require.Equal(t, "second", string(answer.Body))
	})
}

// Guards against work for a client that has left, or whose deadline has passed, at either
// of two servers.
func TestBothAttemptsAreCanceledTogether(t *testing.T) {
	silence := timedEnd{after: time.Hour}
	for name, c := range map[string]struct {
		clientLeaves time.Duration
		status       int
		canceled     time.Duration
	}{
		"clientLeaves": {clientLeaves: 650 * time.Millisecond, status: 502, canceled: 650 * time.Millisecond},
		"deadline":     {clientLeaves: time.Hour, status: 504, canceled: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, b := newTimedFixture(silence, silence)
				ctx, cancel := context.WithTimeout(t.Context(), c.clientLeaves)
				defer cancel()
				require.Equal(t, c.status, w.get(ctx, "/safe/x").Status)
				require.Equal(t, []time.Duration{c.canceled, c.canceled}, b.canceled)
				require.Len(t, w.backends.sent, 2, "no more than max_attempts")
				require.NotEqual(t, w.backends.sent[0], w.backends.sent[1])
				requireNoneInFlight(t, w)
			})
		})
	}
}

// refusalCounter counts the checks of the retry budget that refused a hedge.
type refusalCounter struct {
	discardCounter
	refused int
}

func (c *refusalCounter) Count(name string) {
	if name == "hedges.refused.budget" {
		c.refused++
	}
}

// Guards against a request without retry budget that uses up the rates of servers in warm-up,
// one with each check.
func TestHedgingEndsWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newTimedFixture(timedEnd{after: 1100 * time.Millisecond, answer: answered("first")})
		counter := &refusalCounter{}
		w.dispatcher.Counter, w.dispatcher.Budget = counter, budget.NewBudget(0, 0, 10*time.Second)
		require.Equal(t, 200, w.get(t.Context(), "/safe/x").Status)
		require.Equal(t, 1, counter.refused)
	})
}

// Guards against a second run of a request that may run once, whose server alone owns its
// key, or whose body can be read once.
func TestOnlyRepeatablePooledRequestsAreHedged(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/keyed/x", "/upload/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, _ := newTimedFixture(timedEnd{after: 1100 * time.Millisecond, answer: answered("first")})
				request := dispatch.Request{
					Method: "POST", Target: path, Path: path, Host: "h", Arrived: time.Now(),
					Header: http.Header{"Request-Id": {"id"}, "Request-Deadline": {"1500"}, "Shard-Key": {"5"}},
				}
				if path == "/safe/x" {
					request.HasBody, request.BodyRest, request.BodyLength = true, &startedBody{}, 1<<20
				}
				require.Equal(t, "first", string(w.dispatcher.Serve(t.Context(), request).Body))
				require.Len(t, w.backends.sent, 1)
			})
		})
	}
}

// Guards against an answer that waits until a hedge has a permit for a server with a limit.
func TestAnswerDoesNotWaitForThePermitOfAHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, b := newTimedFixture(timedEnd{after: 650 * time.Millisecond, answer: answered("first")}, timedEnd{after: time.Second, answer: answered("second")})
		config := configuration()
		config.Version, config.Routes[0].Target = 2, 1100*time.Millisecond
		w.view.Apply(time.Now(), []redwingstall.Event{redwingstall.ConfigurationChanged{Configuration: config}}, false)
		b.onFirst = func() {
			for _, s := range w.view.Snapshot().Servers["s"] {
				w.dispatcher.ServerLimiter.Table.Observe(s.Process(), redwingstall.RateLimit{Rate: 8, IsNamed: true}, time.Now(), time.Now())
			}
		}
		began := time.Now()
		require.Equal(t, "first", string(w.get(t.Context(), "/safe/x").Body))
		require.Equal(t, 650*time.Millisecond, time.Since(began))
	})
}
