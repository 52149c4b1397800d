package callers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/test/bufconn"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// longHead returns a request whose header has many short fields, which take far more memory than
// their text.
func longHead(path string, fields int) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", fields) + "\r\n"
}

// Guards against clients that fill the memory with pipelined headers: each is bounded, but not
// the sum of those that wait for their responses.
func TestLongHeadersBeyondMemoryLimitAreRejected(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		const connections, fields = 30, 2000
		for range connections {
			c, _ := f.dial()
			go func() { _, _ = io.WriteString(c, strings.Repeat(longHead("/wait1000ms", fields), pipelineDepth)) }()
		}
		synctest.Wait()
		require.LessOrEqual(t, f.server.buffered.Load(), int64(testMaxBuffered))
		seen, _ := f.echo.count()
		require.Less(t, seen, connections)
		c, r := f.dial()
		send(t, c, "GET /short HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _, _ := answer(t, r)
		require.Equal(t, 200, status, "short ones need no reservation")
		c, r = f.dial()
		send(t, c, longHead("/x", fields))
		status, _, response := answer(t, r)
		require.Equal(t, 503, status)
		require.True(t, response.Close)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Zero(t, f.server.buffered.Load())
		c, r = f.dial()
		send(t, c, longHead("/x", fields))
		status, _, _ = answer(t, r)
		require.Equal(t, 200, status)
	})
}

// Open connections take memory that requests cannot have. Short requests are served all the same.
func TestConnectionsCountAsMemory(t *testing.T) {
	serve(t, defaultLimits, func(t *testing.T, f *fixture) {
		f.server.config.ConnectionMemory = testMaxBuffered / 10
		for range 10 {
			f.dial()
		}
		synctest.Wait()
		c, r := f.dial()
		send(t, c, "GET /short HTTP/1.1\r\nHost: h\r\n\r\nPOST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
		status, _, _ := answer(t, r)
		require.Equal(t, 200, status)
		status, _, _ = answer(t, r)
		require.Equal(t, 503, status)
	})
}

// Guards against clients that do not read their responses, and so hold the memory that others
// wait for. While there is enough, they have more time.
func TestSlowReadersAreCutOffWhileMemoryIsShort(t *testing.T) {
	for _, isShort := range []bool{false, true} {
		t.Run(fmt.Sprint(isShort), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cuts atomic.Int32
				f := &fixture{t: t, listener: bufconn.Listen(connectionBuffer)}
				f.server = NewServer(f.listener, Config{
					Handler: &echo{}, Limits: func() redwingstall.CallerLimits { return defaultLimits }, MaxBuffered: testMaxBuffered, Log: slog.New(slog.DiscardHandler),
					Count:           func(name string) { cuts.Add(int32(strings.Count(name, "slowReader"))) },
					IsShortOfMemory: func() bool { return isShort },
				})
				go f.server.Run()
				c, r := f.dial()
				require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
				send(t, c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
				time.Sleep(10 * time.Second)
				response, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				if isShort {
					require.Error(t, err)
					require.EqualValues(t, 1, cuts.Load())
				} else {
					require.NoError(t, err)
					require.Len(t, body, largeResponse)
				}
				_ = c.Close()
				f.stop()
			})
		})
	}
}

// idProtocol reads the id of a response only.
type idProtocol struct{ redwingstall.GatewayProtocol }

func (idProtocol) ParseResponse(header http.Header) redwingstall.ResponseMeta {
	return redwingstall.ResponseMeta{ID: header.Get("Request-Id")}
}

// poolHandler passes requests to a server.
type poolHandler struct {
	pool    *backends.Pool
	address string
	sent    atomic.Int64
}

func (h *poolHandler) Serve(ctx context.Context, r dispatch.Request) backends.Response {
	id := fmt.Sprint(h.sent.Add(1))
	response, err := h.pool.Do(ctx, "s", h.address, backends.Limits{Open: 10}, backends.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: http.Header{"Request-Id": {id}}, ID: id,
	})
	if err != nil {
		return backends.Response{Status: http.StatusBadGateway, Header: http.Header{}}
	}
	return response
}

// Guards against the memory of responses that stays reserved after they were written, or after
// their client has gone.
func TestMemoryOfResponsesIsReleased(t *testing.T) {
	const size = 4 << 20 // far more than sockets buffer
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size))
	}))
	t.Cleanup(origin.Close)
	pool := backends.NewPool(idProtocol{}, 256<<20, func(string) {})
	server, err := Listen("127.0.0.1:0", Config{
		Handler: &poolHandler{pool: pool, address: origin.Listener.Addr().String()}, MaxBuffered: testMaxBuffered, Log: slog.New(slog.DiscardHandler),
		Limits: func() redwingstall.CallerLimits { return defaultLimits }, Count: func(string) {},
	})
	require.NoError(t, err)
	go server.Run()
	t.Cleanup(func() { server.Close(context.Background()) })
	awaitHeld := func(isHeld bool) {
		t.Helper()
		require.Eventually(t, func() bool { return (pool.HeldBytes() > 0) == isHeld }, clientTimeout, time.Millisecond)
	}
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, isRead := range map[string]bool{"written": true, "clientGone": false} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			defer c.Close()
			send(t, c, strings.Repeat(request, 3))
			awaitHeld(true)
			if isRead {
				_, err := io.CopyN(io.Discard, c, 3*size)
				require.NoError(t, err)
			} else {
				require.NoError(t, c.Close())
			}
			awaitHeld(false)
		})
	}
}
