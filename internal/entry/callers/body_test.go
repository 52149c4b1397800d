package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// upload is a handler that takes bodies as a server would.
type upload struct {
	// readBytes is how much of the rest of a body is read; -1 reads all of it.
	readBytes int64
	// pause is the time before each piece of the rest is read.
	pause    time.Duration
	received bytes.Buffer
	err      error
	taken    atomic.Int64
	calls    atomic.Int64
}

const pieceSize = 1 << 10

func (u *upload) Serve(_ context.Context, r dispatch.Request) backends.Response {
	u.calls.Add(1)
	if !r.HasBody {
		return backends.Response{Status: http.StatusOK, Header: http.Header{}}
	}
	u.received.Write(r.Body)
	u.taken.Add(int64(len(r.Body)))
	piece := make([]byte, pieceSize)
	for left := u.readBytes; r.BodyRest != nil && left != 0; left -= pieceSize {
		time.Sleep(u.pause)
		n, err := r.BodyRest.Read(piece)
		u.received.Write(piece[:n])
		u.taken.Add(int64(n))
		if err != nil {
			u.err = err
			break
		}
	}
	return backends.Response{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Append(nil, u.received.Len())}
}

// pattern returns bytes in which each position is recognizable.
func pattern(size int) string {
	var text strings.Builder
	for text.Len() < size {
		fmt.Fprintf(&text, "%08d", text.Len())
	}
	return text.String()[:size]
}

const largeBody = 3 * maxBufferedBody

// inChunks encodes a body with chunks of a size.
func inChunks(body string, size int) string {
	var text strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return text.String() + "0\r\n\r\n"
}

// Guards against an instance that holds large bodies in memory. The rest of a body is
// passed on as it is read, with and without a declared length, and the connection
// serves the next request behind it.
func TestLargeBodiesAreStreamed(t *testing.T) {
	body := pattern(largeBody)
	for name, text := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody, body),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body, 5000),
	} {
		t.Run(name, func(t *testing.T) {
			u := &upload{readBytes: -1}
			serveWith(t, defaultLimits, u, func(t *testing.T, f *fixture) {
				c, r := f.dial()
				go func() {
					_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\n"+text+"GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
				}()
				_, size, response := answer(t, r)
				require.Equal(t, fmt.Sprint(largeBody), size)
				require.False(t, response.Close)
				require.Equal(t, body, u.received.String())
				require.ErrorIs(t, u.err, io.EOF)
				status, _, _ := answer(t, r)
				require.Equal(t, 200, status)
				synctest.Wait() // the place in the pipeline is released behind the last byte
				require.Zero(t, f.server.buffered.Load())
			})
		})
	}
}

// Guards against a fast client and a slow server that fill the memory. The client sends
// no faster than the server takes.
func TestUploadHasBackPressure(t *testing.T) {
	u := &upload{readBytes: -1, pause: time.Millisecond}
	serveWith(t, defaultLimits, u, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		var sent atomic.Int64
		go func() {
			send(t, c, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", largeBody))
			for range largeBody / pieceSize {
				send(t, c, strings.Repeat("x", pieceSize))
				sent.Add(pieceSize)
			}
		}()
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			const buffers = connectionBuffer + 2*pieceSize + 4<<10
			require.LessOrEqual(t, sent.Load()-u.taken.Load(), int64(buffers))
			require.LessOrEqual(t, f.server.buffered.Load(), int64(maxBufferedBody+bodyReadSize))
		}
		status, _, _ := answer(t, r)
		require.Equal(t, 200, status)
	})
}

// Guards against a response that waits for the rest of a body. The server's early
// answer is passed on at once, and nothing that follows is taken for a request.
func TestEarlyAnswerDuringUpload(t *testing.T) {
	u := &upload{readBytes: 10 * pieceSize}
	serveWith(t, defaultLimits, u, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		began := time.Now()
		go func() {
			_, _ = io.WriteString(c, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", largeBody))
			_, _ = io.WriteString(c, strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", largeBody/32))
		}()
		status, _, response := answer(t, r)
		require.Equal(t, 200, status)
		require.True(t, response.Close)
		require.Zero(t, time.Since(began))
		synctest.Wait()
		require.EqualValues(t, 1, u.calls.Load())
	})
}

// Guards against a truncated body that a server takes for a whole one. The read of the
// rest fails if the client disconnects, stops sending or sends a malformed chunk.
func TestIncompleteUploads(t *testing.T) {
	start := pattern(maxBufferedBody + 10*pieceSize)
	for name, c := range map[string]struct {
		text      string
		status    int
		closes    bool
		wantError error
	}{
		"disconnect":       {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody, start), 0, true, io.ErrUnexpectedEOF},
		"disconnectChunks": {"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", largeBody, start), 0, true, io.ErrUnexpectedEOF},
		"malformedChunk":   {"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\nzz\r\n", len(start), start), 400, false, nil},
		"overLimit":        {"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n%x\r\n", len(start), start, defaultLimits.BodyBytes), 413, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			u := &upload{readBytes: -1}
			serveWith(t, defaultLimits, u, func(t *testing.T, f *fixture) {
				conn, r := f.dial()
				send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\n"+c.text[:len(c.text)-pieceSize])
				go func() {
					_, _ = io.WriteString(conn, c.text[len(c.text)-pieceSize:])
					if c.closes {
						_ = conn.Close()
					}
				}()
				if c.status != 0 {
					status, _, response := answer(t, r)
					require.Equal(t, c.status, status)
					require.True(t, response.Close)
				}
				synctest.Wait()
				require.Error(t, u.err)
				require.NotErrorIs(t, u.err, io.EOF)
				if c.wantError != nil {
					require.ErrorIs(t, u.err, c.wantError)
				}
				require.Zero(t, f.server.buffered.Load())
			})
		})
	}
}

// Guards against memory exhaustion by many large bodies. A body beyond the limit is
// rejected as not executed, and only memory that is used counts towards the limit.
func TestBodiesBeyondMemoryLimitAreRejected(t *testing.T) {
	u := &upload{readBytes: -1}
	serveWith(t, defaultLimits, u, func(t *testing.T, f *fixture) {
		for range 100 { // these announce far more than the limit, and send nothing
			c, _ := f.dial()
			send(t, c, fmt.Sprintf("POST /idle HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", largeBody))
		}
		synctest.Wait()
		f.server.buffered.Store(testMaxBuffered - maxBufferedBody)
		c, r := f.dial()
		send(t, c, "POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
		status, _, _ := answer(t, r)
		require.Equal(t, 200, status)
		go func() {
			_, _ = io.WriteString(c, fmt.Sprintf("POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", largeBody, pattern(largeBody)))
		}()
		status, _, response := answer(t, r)
		require.Equal(t, 503, status)
		require.True(t, response.Close)
		require.EqualValues(t, 1, u.calls.Load(), "only the small one")
		require.EqualValues(t, testMaxBuffered-maxBufferedBody, f.server.buffered.Load())
		f.server.buffered.Store(0)
	})
}

// shedding is a handler whose server sheds the request while its body is still read.
type shedding struct{ isStarted bool }

func (h *shedding) Serve(_ context.Context, r dispatch.Request) backends.Response {
	go func() { _, _ = r.BodyRest.Read(make([]byte, pieceSize)) }()
	time.Sleep(10 * time.Millisecond) // the read waits for the client
	h.isStarted = r.BodyRest.IsStarted()
	return backends.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
}

// Guards against a client that stalls in the middle of its body and thereby delays the
// decision about its request beyond any deadline.
func TestStalledUploadDoesNotDelayItsAnswer(t *testing.T) {
	h := &shedding{}
	serveWith(t, defaultLimits, h, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		go func() {
			_, _ = io.WriteString(c, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", largeBody, pattern(maxBufferedBody)))
		}()
		began := time.Now()
		status, _, response := answer(t, r)
		require.Equal(t, 503, status)
		require.True(t, response.Close)
		require.Equal(t, 10*time.Millisecond, time.Since(began))
		require.True(t, h.isStarted)
	})
}
