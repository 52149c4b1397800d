package callers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/test/bufconn"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// weakHandler keeps weak pointers to its last response and to the body of the request.
type weakHandler struct {
	request, response weak.Pointer[byte]
}

func (h *weakHandler) Serve(_ context.Context, r dispatch.Request) backends.Response {
	body := make([]byte, largeResponse)
	h.request, h.response = weak.Make(&r.Body[0]), weak.Make(&body[0])
	return backends.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
}

// Guards against idle connections that each hold their last request and response, whose memory
// counts as released.
func TestIdleConnectionHoldsNoBodies(t *testing.T) {
	h := &weakHandler{}
	f := &fixture{t: t, listener: bufconn.Listen(connectionBuffer)}
	f.server = NewServer(f.listener, Config{
		Handler: h, Limits: func() redwingstall.CallerLimits { return defaultLimits }, Count: func(string) {},
		MaxBuffered: testMaxBuffered, Log: slog.New(slog.DiscardHandler),
	})
	go f.server.Run()
	t.Cleanup(f.stop)
	c, r := f.dial()
	send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	status, body, _ := answer(t, r)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, largeResponse)
	require.Eventually(t, func() bool {
		runtime.GC()
		return h.request.Value() == nil && h.response.Value() == nil
	}, clientTimeout, 10*time.Millisecond)
	require.NoError(t, c.Close())
}

// serveLimited runs a test with a server that accepts a number of connections.
func serveLimited(t *testing.T, connections int, test func(*testing.T, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &echo{}
		f := &fixture{t: t, listener: bufconn.Listen(connectionBuffer), echo: e}
		f.server = NewServer(f.listener, Config{
			Handler: e, Limits: func() redwingstall.CallerLimits { return defaultLimits }, Count: func(string) {},
			MaxBuffered: testMaxBuffered, MaxConnections: connections, Log: slog.New(slog.DiscardHandler),
		})
		go f.server.Run()
		test(t, f)
		f.stop()
	})
}

// Guards against connections that are accepted without a bound. The one that waits for its client
// longest is closed for a new one, be it idle, within a request or within a response, and not the
// one whose request runs.
func TestStalledConnectionIsClosedForANewOne(t *testing.T) {
	serveLimited(t, 4, func(t *testing.T, f *fixture) {
		running, runningReader := f.dial()
		send(t, running, "GET /wait4000ms HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		var stalled []net.Conn
		for _, text := range []string{"", "GET /half", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"} {
			c, _ := f.dial()
			send(t, c, text)
			time.Sleep(100 * time.Millisecond)
			stalled = append(stalled, c)
		}
		for n, c := range stalled {
			f.dial()
			synctest.Wait()
			open, _, evicted := f.server.Counts()
			require.Equal(t, 4, open)
			require.EqualValues(t, n+1, evicted)
			_, err := io.Copy(io.Discard, c)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "closed")
			time.Sleep(100 * time.Millisecond)
		}
		status, _, _ := answer(t, runningReader)
		require.Equal(t, http.StatusOK, status)
	})
}

// Guards against a request that is cut while it runs for a client that has sent none yet.
func TestConnectionIsRefusedWhileAllRequestsRun(t *testing.T) {
	serveLimited(t, 1, func(t *testing.T, f *fixture) {
		c, r := f.dial()
		send(t, c, "GET /wait100ms HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		other, _ := f.dial()
		_, err := other.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		status, _, _ := answer(t, r)
		require.Equal(t, http.StatusOK, status)
	})
}

// Guards against pipelined requests that take memory without a bound. Without memory, each is read
// after the response to the one before, and none is refused.
func TestPipelineIsShortWithoutMemory(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		f.server.buffered.Store(testMaxBuffered - pipelinedMemory)
		c, r := f.dial()
		began := time.Now()
		send(t, c, strings.Repeat("GET /wait100ms HTTP/1.1\r\nHost: h\r\n\r\n", 6))
		synctest.Wait()
		seen, _ := f.echo.count()
		require.Equal(t, 2, seen, "one beside the first")
		for range 6 {
			status, _, _ := answer(t, r)
			require.Equal(t, http.StatusOK, status)
		}
		require.Greater(t, time.Since(began), 200*time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, testMaxBuffered-pipelinedMemory, f.server.buffered.Load())
	})
}

// Guards against bodies that are never finished and keep the memory from the requests of others:
// the connection that holds the most is closed when memory is short.
func TestStalledBodyIsCutForTheMemoryOfOthers(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		head := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testMaxBuffered)
		for range 8 {
			c, _ := f.dial()
			go func() { _, _ = io.WriteString(c, head+pattern(maxBufferedBody-1)) }()
		}
		time.Sleep(slowWriteTime + time.Millisecond)
		post := func() int {
			c, r := f.dial()
			send(t, c, fmt.Sprintf("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyReadSize, pattern(bodyReadSize)))
			status, _, _ := answer(t, r)
			return status
		}
		require.Equal(t, http.StatusServiceUnavailable, post())
		synctest.Wait()
		require.Equal(t, http.StatusOK, post())
	})
}

// Guards against 408 for a request that waited for its place in the pipeline longer than a client
// has for a header.
func TestWaitForAPlaceIsNotTheClientsTime(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		f.server.buffered.Store(testMaxBuffered)
		c, r := f.dial()
		send(t, c, "GET /wait4000ms HTTP/1.1\r\nHost: h\r\n\r\nGET /b")
		status, _, _ := answer(t, r)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(10 * time.Millisecond)
		send(t, c, " HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _, _ = answer(t, r)
		require.Equal(t, http.StatusOK, status)
	})
}

// Guards against a client that sends without end in place of reading its response, and so never
// counts as stalled.
func TestSendingIsNoProgressOfAResponse(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		c, _ := f.dial()
		send(t, c, "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		synctest.Wait()
		f.server.mu.Lock()
		for open := range f.server.connections {
			open.entry.Hold(1)
		}
		f.server.mu.Unlock()
		began := time.Now()
		for range 20 {
			send(t, c, strings.Repeat("x", eviction.StepBytes))
			time.Sleep(100 * time.Millisecond)
		}
		require.GreaterOrEqual(t, f.server.Largest(time.Now()).Stalled, time.Since(began))
	})
}

// steadyHandler answers with a large response, and reads the rest of the body of an upload.
type steadyHandler struct{ size int }

func (h steadyHandler) Serve(_ context.Context, r dispatch.Request) backends.Response {
	if r.BodyRest != nil {
		n, err := io.Copy(io.Discard, r.BodyRest)
		return backends.Response{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Append(nil, int(n)+len(r.Body), err)}
	}
	return backends.Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, h.size)}
}

// Guards against long bodies that are cut although their clients read or send steadily: those that
// take longer than the time limits, which bound the time without progress. In a shortage of memory,
// too.
func TestSteadyBodiesAreNotCut(t *testing.T) {
	const size, perSecond, pace = 4 << 20, 128 << 10, 10
	for name, c := range map[string]struct{ isUpload, isShort bool }{
		"download": {}, "downloadWhileShort": {isShort: true}, "upload": {isUpload: true},
	} {
		t.Run(name, func(t *testing.T) {
			serveWith(t, defaultLimits, steadyHandler{size}, func(t *testing.T, f *fixture) {
				f.server.config.IsShortOfMemory = func() bool { return c.isShort }
				client, r := f.dial()
				require.NoError(t, client.SetDeadline(time.Now().Add(time.Hour)))
				if !c.isUpload {
					send(t, client, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
					response, err := http.ReadResponse(r, nil)
					require.NoError(t, err)
					total := int64(0)
					for err == nil {
						var n int64
						n, err = io.CopyN(io.Discard, response.Body, perSecond/pace)
						total += n
						time.Sleep(time.Second / pace)
					}
					require.ErrorIs(t, err, io.EOF)
					require.EqualValues(t, size, total)
					return
				}
				send(t, client, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size))
				piece := strings.Repeat("x", perSecond/pace)
				for left := size; left > 0; left -= len(piece) {
					send(t, client, piece[:min(left, len(piece))])
					time.Sleep(time.Second / pace)
				}
				status, body, _ := answer(t, r)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, fmt.Sprint(size, error(nil)), body)
			})
		})
	}
}

// Guards against an upload without an end: single bytes do not extend the time for a step.
func TestUploadOfSingleBytesIsCut(t *testing.T) {
	serveWith(t, defaultLimits, steadyHandler{}, func(t *testing.T, f *fixture) {
		client, _ := f.dial()
		require.NoError(t, client.SetDeadline(time.Now().Add(time.Hour)))
		send(t, client, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 4<<20, pattern(maxBufferedBody+1)))
		began := time.Now()
		for time.Since(began) < 2*bodyTimeout {
			if _, err := client.Write([]byte("x")); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		require.Less(t, time.Since(began), bodyTimeout+2*time.Second+lingerTimeout)
	})
}

// pacedConnection is a connection whose client accepts bytes at a rate. As on TCP, a write that times
// out returns what was accepted.
type pacedConnection struct {
	net.Conn
	perSecond int
	deadline  time.Time
	// afterWrite is called after each write.
	afterWrite func()
}

func (c *pacedConnection) SetWriteDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *pacedConnection) Write(p []byte) (int, error) {
	defer c.afterWrite()
	left := time.Until(c.deadline)
	if took := time.Duration(len(p)) * time.Second / time.Duration(c.perSecond); took <= left {
		time.Sleep(took)
		return len(p), nil
	}
	time.Sleep(left)
	return int(left * time.Duration(c.perSecond) / time.Second), os.ErrDeadlineExceeded
}

// Guards against a steady reader that looks stalled because each of its writes times out within a
// step.
func TestReaderOfPartialStepsMakesProgress(t *testing.T) {
	const size, perSecond = 600 << 10, 15 << 10
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(nil, Config{})
		raw := &pacedConnection{perSecond: perSecond}
		c := newConnection(s, raw)
		c.entry = s.table.Add(time.Now(), "client", func() {})
		c.entry.Hold(1) // so that Largest returns it
		longest := time.Duration(0)
		raw.afterWrite = func() { longest = max(longest, s.Largest(time.Now()).Stalled) }
		began := time.Now()
		require.NoError(t, c.writeAnswer(&slot{answer: backends.Response{Status: http.StatusOK, Body: make([]byte, size)}}, false))
		require.Greater(t, time.Since(began), writeTimeout)
		require.Positive(t, longest)
		require.Less(t, longest, 3*time.Second)
	})
}
