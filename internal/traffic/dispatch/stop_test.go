package dispatch_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
)

// Guards against a request that is sent on late in a planned stop and cut off at its end,
// although it may not be repeated.
func TestRequestThatCannotEndBeforeTheStopIsNotSent(t *testing.T) {
	const work = 100 * time.Millisecond
	for name, c := range map[string]struct {
		path   string
		left   time.Duration
		status int
	}{
		"unsafe, early":        {"/unsafe/x", time.Second, http.StatusOK},
		"unsafe, late":         {"/unsafe/x", 300 * time.Millisecond, http.StatusServiceUnavailable},
		"safe, early":          {"/safe/x", 300 * time.Millisecond, http.StatusOK},
		"safe, late":           {"/safe/x", 50 * time.Millisecond, http.StatusServiceUnavailable},
		"keyed, late":          {"/keyed/x", 50 * time.Millisecond, http.StatusServiceUnavailable},
		"unsafe, at the end":   {"/unsafe/x", time.Millisecond, http.StatusServiceUnavailable},
		"download, at the end": {"/download/x", time.Millisecond, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(func(int, string, backends.Request) (backends.Response, error) {
				time.Sleep(work)
				return signed(200), nil
			})
			for range 30 { // the estimates settle
				w.get(t.Context(), c.path, "Shard-Key", "5")
			}
			sent, stopAt := len(w.backends.sent), time.Now().Add(c.left)
			w.dispatcher.StopAt = func() time.Time { return stopAt }
			answer := w.get(t.Context(), c.path, "Shard-Key", "5")
			require.Equal(t, c.status, answer.Status, name)
			isRejected := c.status != http.StatusOK
			require.Equal(t, isRejected, len(w.backends.sent) == sent, name)
			require.Equal(t, isRejected, answer.Header.Get("Retry-After") != "", name)
		})
	}
}
