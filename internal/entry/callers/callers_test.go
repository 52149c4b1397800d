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
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// echo answers with the target and body of the request, after the delay in the path.
type echo struct {
	mu       sync.Mutex
	seen     []string
	canceled int
	holding  chan struct{}
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
	return backends.Response{Status: http.StatusOK, Header: http.Header{"Seen": {r.Target}}, Body: []byte(r.Target + "|" + string(r.Body))}
}

func (e *echo) count() (seen, canceled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen), e.canceled
}

func start(t *testing.T, limits redwingstall.CallerLimits) (*Server, *echo) {
	t.Helper()
	e := &echo{}
	s, err := NewServer("127.0.0.1:0", Config{
		Handler:     e,
		Limits:      func() redwingstall.CallerLimits { return limits },
		Count:       func(string) {},
		MaxBuffered: 1 << 20,
		Log:         slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	go s.Run()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Close(ctx)
	})
	return s, e
}

func dial(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
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
	s, _ := start(t, defaultLimits)
	c, r := dial(t, s)
	began := time.Now()
	for _, wait := range []int{300, 200, 100} {
		_, err := fmt.Fprintf(c, "GET /wait%dms HTTP/1.1\r\nHost: h\r\n\r\n", wait)
		require.NoError(t, err)
	}
	for _, wait := range []int{300, 200, 100} {
		_, body, _ := answer(t, r)
		require.Equal(t, fmt.Sprintf("/wait%dms|", wait), body)
	}
	require.Less(t, time.Since(began), 550*time.Millisecond)
}

// Guards against an unsafe request that runs twice. A client sends the requests
// behind a closing response again, so an unsafe request must not start before the
// responses ahead of it are sent.
func TestUnsafeRequestWaitsForEarlierResponses(t *testing.T) {
	s, e := start(t, defaultLimits)
	c, r := dial(t, s)
	_, err := io.WriteString(c, "GET /wait150ms HTTP/1.1\r\nHost: h\r\n\r\nPOST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	require.NoError(t, err)
	time.Sleep(60 * time.Millisecond)
	seen, _ := e.count()
	require.Equal(t, 1, seen)
	answer(t, r)
	_, body, _ := answer(t, r)
	require.Equal(t, "/pay|ok", body)
}

func TestBodies(t *testing.T) {
	s, _ := start(t, defaultLimits)
	c, r := dial(t, s)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: x\r\n\r\n"+
		"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzGET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	for _, want := range []string{"/a|abcde", "/b|xyz", "/c|"} {
		_, body, _ := answer(t, r)
		require.Equal(t, want, body)
	}
}

func TestExpectContinue(t *testing.T) {
	s, _ := start(t, defaultLimits)
	c, r := dial(t, s)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	require.NoError(t, err)
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100")
	_, err = r.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(c, "hi")
	require.NoError(t, err)
	_, body, _ := answer(t, r)
	require.Equal(t, "/a|hi", body)
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
		"noHost":           {"GET / HTTP/1.1\r\n\r\n", 400},
		"hugeHeader":       {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431},
		"hugeBody":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", 413},
	} {
		t.Run(name, func(t *testing.T) {
			s, e := start(t, defaultLimits)
			conn, r := dial(t, s)
			_, err := io.WriteString(conn, c.text+"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			status, _, response := answer(t, r)
			require.Equal(t, c.status, status)
			require.True(t, response.Close)
			seen, _ := e.count()
			require.Zero(t, seen)
		})
	}
}

// Guards against memory exhaustion by many large bodies. A body beyond the limit is
// rejected as not executed before it is read.
func TestBodiesBeyondMemoryLimitAreRejected(t *testing.T) {
	s, e := start(t, defaultLimits)
	c, r := dial(t, s)
	_, err := io.WriteString(c, "POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n")
	require.NoError(t, err)
	status, _, _ := answer(t, r)
	require.Equal(t, 503, status)
	seen, _ := e.count()
	require.Zero(t, seen)
	require.Zero(t, s.buffered.Load())
}

func TestSlowHeaderReturns408(t *testing.T) {
	limits := defaultLimits
	limits.HeaderTimeout = 50 * time.Millisecond
	s, _ := start(t, limits)
	c, r := dial(t, s)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHos")
	require.NoError(t, err)
	status, _, _ := answer(t, r)
	require.Equal(t, 408, status)
}

func TestRequestsAreCanceledWhenClientDisconnects(t *testing.T) {
	for _, closing := range []string{"", "Connection: close\r\n"} {
		s, e := start(t, defaultLimits)
		c, _ := dial(t, s)
		_, err := fmt.Fprintf(c, "GET /wait3000ms HTTP/1.1\r\nHost: h\r\n%s\r\n", closing)
		require.NoError(t, err)
		require.Eventually(t, func() bool { seen, _ := e.count(); return seen == 1 }, time.Second, time.Millisecond)
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool { _, left := e.count(); return left == 1 }, time.Second, time.Millisecond)
	}
}

// Guards against requests lost at shutdown. A request that was read is answered
// before the process ends, and its connection is closed after the response.
func TestCloseAnswersReceivedRequests(t *testing.T) {
	s, e := start(t, defaultLimits)
	c, r := dial(t, s)
	idle, idleReader := dial(t, s)
	_, err := io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	answer(t, idleReader)
	_, err = io.WriteString(c, "GET /wait200ms HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { seen, _ := e.count(); return seen == 2 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.Close(ctx)
	status, _, response := answer(t, r)
	require.Equal(t, 200, status)
	require.True(t, response.Close)
	_, err = idleReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
