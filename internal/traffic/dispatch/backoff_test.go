package dispatch_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
)

// overloaded answers 503 with a time to stay away, with and without the proof that the request
// did not run.
func overloaded(retryAfter string, isProven bool) backends.Response {
	if isProven {
		return answerOf(503, "Not-Executed", "1", "Retry-After", retryAfter)
	}
	return answerOf(503, "Response-Signature", "s", "Retry-After", retryAfter)
}

// Guards against requests, also retries, to a server that has turned one away for some time.
func TestServerGetsNoRequestsUntilItsRetryAfterEnds(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/keyed/x"} {
		for _, isProven := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				turnedAwayAt := map[string]time.Time{}
				w := newFixture(func(_ int, id string, _ backends.Request) (backends.Response, error) {
					at, wasTurnedAway := turnedAwayAt[id]
					if !wasTurnedAway {
						turnedAwayAt[id] = time.Now()
						return overloaded("1.5", isProven), nil
					}
					require.GreaterOrEqual(t, time.Since(at), 1500*time.Millisecond, path)
					return signed(200), nil
				})
				status := 0
				for range 100 {
					status = w.get(t.Context(), path, "Shard-Key", "5").Status
					time.Sleep(50 * time.Millisecond)
				}
				require.Equal(t, http.StatusOK, status, "the server is used again")
			})
		}
	}
}

// Guards against clients that come back before the owner of their key, or any server of a
// service, wants requests again, or long after.
func TestClientReturnsWhenTheServersWantRequestsAgain(t *testing.T) {
	for path, refusals := range map[string]int{"/keyed/x": 1, "/safe/x": 3} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
				return overloaded(fmt.Sprint(2+n), true), nil
			})
			for len(w.backends.sent) < refusals {
				w.get(t.Context(), path, "Shard-Key", "5")
			}
			for range 50 {
				began := time.Now()
				answer := w.get(t.Context(), path, "Shard-Key", "5")
				require.Zero(t, time.Since(began), path)
				require.Equal(t, http.StatusServiceUnavailable, answer.Status)
				seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, seconds, 3.0, path)
				require.LessOrEqual(t, seconds, 3.75, path)
			}
			require.Len(t, w.backends.sent, refusals)
		})
	}
}

// Guards against a server that is never used again, since it named a time without end.
func TestEndlessRetryAfterEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(func(n int, _ string, _ backends.Request) (backends.Response, error) {
			if n == 1 {
				return overloaded("1e300", true), nil
			}
			return signed(200), nil
		})
		require.Equal(t, http.StatusServiceUnavailable, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
		time.Sleep(time.Minute)
		require.Equal(t, http.StatusServiceUnavailable, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
		time.Sleep(4 * time.Minute)
		require.Equal(t, http.StatusOK, w.get(t.Context(), "/keyed/x", "Shard-Key", "5").Status)
	})
}

// Guards against requests above the warm-up rate to a server that says in its responses that it
// is cold again, before its entry does.
func TestServerThatAnnouncesItsWarmupGetsTheWarmupRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(func(int, string, backends.Request) (backends.Response, error) {
			return answerOf(200, "Response-Signature", "s", "Warmup-Remaining", "3000"), nil
		})
		w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
		for range 100 {
			w.get(t.Context(), "/keyed/x", "Shard-Key", "5")
			time.Sleep(9 * time.Millisecond)
		}
		require.LessOrEqual(t, len(w.backends.sent), 13, "5.7 per second, half more and 5")
	})
}
