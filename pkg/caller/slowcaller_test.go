package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/entry/sockets"
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

// Guards against a caller that does not read a stream and holds its slot without end: small pieces
// of a response of unknown length block when they are flushed, not when they are written.
func TestCallerThatDoesNotReadAStreamIsCutOff(t *testing.T) {
	const piece, longest = 1 << 10, 10 * time.Second
	ended := make(chan error, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// Ends the handler if the caller is not cut off.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(longest))
		s := newStallWriter(w, func() bool { return true }, func(string) {})
		for {
			_, err := s.Write(make([]byte, piece))
			if err == nil {
				err = http.NewResponseController(s).Flush()
			}
			if err != nil {
				ended <- err
				return
			}
		}
	}))
	limited, err := sockets.Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, server.Listener.Close())
	server.Listener = limited
	server.Start()
	defer server.Close()
	client, err := net.Dial("tcp", limited.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.(*net.TCPConn).SetReadBuffer(piece))
	began := time.Now()
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	require.Less(t, time.Since(began), longest/2)
}
