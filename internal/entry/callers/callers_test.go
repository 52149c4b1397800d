package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/test/bufconn"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// echo answers with the target and body of the request, after the delay in the path.
type echo struct {
	mu       sync.Mutex
	seen     []string
	canceled int
}

func (e *echo) Serve(ctx context.Context, r dispatch.Request) backends.Response {
	e.mu.Lock()
	e.seen = append(e.seen, r.Method+" "+r.Target+" "+string(r.Body))
	e.mu.Unlock()
	wait := time.Duration(0)
	_, _ = fmt.Sscanf(r.Path, "/wait%dms", (*int64)(&wait))
	select {
	case <-time.After(wait * time.Millisecond):
	case <-ctx.Done():
		e.mu.Lock()
		e.canceled++
		e.mu.Unlock()
	}
	answer := backends.Response{Status: http.StatusOK, Header: http.Header{"Seen": {r.Target}}, Body: []byte(r.Target + "|" + string(r.Body))}
	if r.Path == "/large" {
		answer.Body = make([]byte, largeResponse)
	}
	return answer
}

func (e *echo) count() (seen, canceled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen), e.canceled
}

const (
	// connectionBuffer is the size in bytes of the buffers of a connection.
	connectionBuffer = 64 << 10
	testMaxBuffered  = 1 << 20
	// largeResponse is the size in bytes of the response to /large.
	largeResponse = 4 * connectionBuffer
	// clientTimeout bounds the reads and writes of a client.
	clientTimeout = 5 * time.Second
)

// fixture is a server with a client. Both run in the fake time of a synctest bubble,
// over connections in memory.
type fixture struct {
	t        *testing.T
	listener *bufconn.Listener
	server   *Server
	// echo is the handler, unless the test sets another one.
	echo *echo
}

// serve runs a test with a server in fake time.
func serve(t *testing.T, limits redwingstall.CallerLimits, test func(*testing.T, *fixture)) {
	t.Helper()
	e := &echo{}
	serveWith(t, limits, e, func(t *testing.T, f *fixture) {
		f.echo = e
		test(t, f)
	})
}

func serveWith(t *testing.T, limits redwingstall.CallerLimits, handler Handler, test func(*testing.T, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, listener: bufconn.Listen(connectionBuffer)}
		f.server = NewServer(f.listener, Config{
			Handler:     handler,
			Limits:      func() redwingstall.CallerLimits { return limits },
			Count:       func(string) {},
			MaxBuffered: testMaxBuffered,
			Log:         slog.New(slog.DiscardHandler),
		})
		go f.server.Run()
		test(t, f)
		f.stop()
	})
}

// stop closes the server, and the connections that are still open after a while.
func (f *fixture) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.server.Close(ctx)
}

func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	f.t.Helper()
	c, err := f.listener.Dial()
	require.NoError(f.t, err)
	require.NoError(f.t, c.SetDeadline(time.Now().Add(clientTimeout)))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func answer(t *testing.T, r *bufio.Reader) (int, string, *http.Response) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body), response
}

func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		began := time.Now()
		for _, wait := range []int{300, 200, 100} {
			send(t, c, fmt.Sprintf("GET /wait%dms HTTP/1.1\r\nHost: h\r\n\r\n", wait))
		}
		for _, wait := range []int{300, 200, 100} {
			_, body, _ := answer(t, r)
			require.Equal(t, fmt.Sprintf("/wait%dms|", wait), body)
		}
		require.Equal(t, 300*time.Millisecond, time.Since(began))
	})
}

// Guards against an unsafe request that runs twice. A client sends the requests
// behind a closing response again, so an unsafe request must not start before the
// responses ahead of it are sent.
func TestUnsafeRequestWaitsForEarlierResponses(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		send(t, c, "GET /wait150ms HTTP/1.1\r\nHost: h\r\n\r\nPOST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(149 * time.Millisecond)
		seen, _ := f.echo.count()
		require.Equal(t, 1, seen)
		answer(t, r)
		_, body, _ := answer(t, r)
		require.Equal(t, "/pay|ok", body)
	})
}

func TestBodies(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: x\r\n\r\n"+
			"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzGET /c HTTP/1.1\r\nHost: h\r\n\r\n")
		for _, want := range []string{"/a|abcde", "/b|xyz", "/c|"} {
			_, body, _ := answer(t, r)
			require.Equal(t, want, body)
		}
	})
}

func TestExpectContinue(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "100")
		_, err = r.ReadString('\n')
		require.NoError(t, err)
		send(t, c, "hi")
		_, body, _ := answer(t, r)
		require.Equal(t, "/a|hi", body)
	})
}

// Guards against request smuggling. A request with an ambiguous end is rejected, and
// nothing behind it is read.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"twoLengths":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400},
		"lengthAndChunks":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"otherCoding":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		"spaceBeforeColon": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nab", 400},
		"badChunkSize":     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"longChunk":        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400},
		"bareLineFeed":     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", 400},
		"endlessChunkLine": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 20<<10) + "\r\na\r\n0\r\n\r\n", 400},
		"endlessTrailer":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a: b\r\n", 1000) + "\r\n", 400},
		"noHost":           {"GET / HTTP/1.1\r\n\r\n", 400},
		"hugeHeader":       {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431},
		"hugeBody":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", 413},
		"hugeChunk":        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", 413},
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, defaultLimits, func(t *testing.T, f *fixture) {
				conn, r := f.dial()
				send(t, conn, c.text+"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
				status, _, response := answer(t, r)
				require.Equal(t, c.status, status)
				require.True(t, response.Close)
				synctest.Wait()
				seen, _ := f.echo.count()
				require.Zero(t, seen)
			})
		})
	}
}

func TestSlowHeaderReturns408(t *testing.T) {
	limits := defaultLimits
	limits.HeaderTimeout = 50 * time.Millisecond
	serve(t, limits, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		send(t, c, "GET / HTTP/1.1\r\nHos")
		status, _, _ := answer(t, r)
		require.Equal(t, 408, status)
	})
}

func TestRequestsAreCanceledWhenClientDisconnects(t *testing.T) {
	for _, closing := range []string{"", "Connection: close\r\n"} {
		serve(t, defaultLimits, func(t *testing.T, f *fixture) {
			c, _ := f.dial()
			send(t, c, fmt.Sprintf("GET /wait3000ms HTTP/1.1\r\nHost: h\r\n%s\r\n", closing))
			synctest.Wait()
			seen, canceled := f.echo.count()
			require.Equal(t, 1, seen)
			require.Zero(t, canceled)
			require.NoError(t, c.Close())
			synctest.Wait()
			_, canceled = f.echo.count()
			require.Equal(t, 1, canceled)
		})
	}
}

// Guards against requests lost at shutdown. A request that was read is answered
// before the process ends, and its connection is closed after the response.
func TestCloseAnswersReceivedRequests(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		idle, idleReader := f.dial()
		send(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		answer(t, idleReader)
		send(t, c, "GET /wait200ms HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		f.stop()
		status, _, response := answer(t, r)
		require.Equal(t, 200, status)
		require.True(t, response.Close)
		_, err := idleReader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}
