package caller

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
)

// slowReader is a caller that accepts bytes at a rate, until its deadline.
type slowReader struct {
	*httptest.ResponseRecorder
	perSecond int
	cut       chan struct{}
}

// Write takes the time in which the bytes are accepted.
func (r *slowReader) Write(p []byte) (int, error) {
	select {
	case <-time.After(time.Duration(len(p)) * time.Second / time.Duration(r.perSecond)):
		return len(p), nil
	case <-r.cut:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetWriteDeadline ends a write in progress.
func (r *slowReader) SetWriteDeadline(time.Time) error {
	close(r.cut)
	return nil
}

// Guards against callers that do not read their responses and so hold the slots of the servers. One
// is cut off while others wait, or if it stalls for long, also if it accepts small pieces. One that
// accepts a step in time never is.
func TestSlowCallersAreCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond, piece int
		waitedFrom       time.Duration
		cutAfter         time.Duration
	}{
		"stalledWhileOthersWait": {1, copyBufferBytes, 0, slowCallerTime},
		"othersWaitLater":        {1, copyBufferBytes, 3*time.Second - time.Millisecond, 3 * time.Second},
		"nobodyWaits":            {1, copyBufferBytes, time.Hour, maxCallerStall},
		"smallPieces":            {eviction.StepBytes / 4, 1 << 10, 0, slowCallerTime + slowCallerInterval},
		"fastEnough":             {eviction.StepBytes * 2, 1 << 10, 0, 0},
		"slowWithoutOthers":      {eviction.StepBytes / 4, 1 << 10, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, cuts := time.Now(), 0
				reader := &slowReader{httptest.NewRecorder(), c.perSecond, make(chan struct{})}
				w := newStallWriter(http.ResponseWriter(reader), func() bool { return time.Since(began) >= c.waitedFrom }, func(string) { cuts++ })
				var err error
				for sent := 0; err == nil && sent < 16*eviction.StepBytes; sent += c.piece {
					_, err = w.Write(make([]byte, c.piece))
				}
				if c.cutAfter == 0 {
					require.NoError(t, err)
					require.Zero(t, cuts)
					return
				}
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				require.Equal(t, 1, cuts)
				require.LessOrEqual(t, time.Since(began), c.cutAfter+slowCallerInterval)
				require.GreaterOrEqual(t, time.Since(began), c.cutAfter-slowCallerInterval)
			})
		})
	}
}
