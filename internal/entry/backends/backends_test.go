package backends_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/platform"
)

// server calls script for each request that it receives.
type server struct {
	listener net.Listener
	accepted atomic.Int32
}

func serve(t *testing.T, script func(n int, request *http.Request, c net.Conn)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		var n atomic.Int32
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				reader := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					script(int(n.Add(1)), request, c)
				}
			}()
		}
	}()
	return s
}

func pool() *backends.Pool { return backends.NewPool(platform.Headers{}, 64<<20, func(string) {}) }

func request(id string) backends.Request {
	return backends.Request{Method: "GET", Target: "/x?y=%20", Host: "h", Header: http.Header{"Request-Id": {id}}, ID: id}
}

func do(p *backends.Pool, s *server, id string) (backends.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, "s", s.listener.Addr().String(), backends.Limits{Open: 4}, request(id))
}

func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionsAreReused(t *testing.T) {
	s := serve(t, func(_ int, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("Request-Id"), r.RequestURI)
	})
	p := pool()
	for i := range 5 {
		answer, err := do(p, s, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "/x?y=%20", string(answer.Body))
	}
	require.EqualValues(t, 1, s.accepted.Load())
}

// Guards against a response that is passed to the wrong request. A server that
// answers an earlier request twice leaves a response on the connection that belongs
// to no open request.
func TestStrayAnswersAreSkipped(t *testing.T) {
	s := serve(t, func(n int, r *http.Request, c net.Conn) {
		id := r.Header.Get("Request-Id")
		if n == 2 {
			reply(c, "first", "late")
		}
		reply(c, id, id)
	})
	p := pool()
	for _, id := range []string{"first", "second", "third"} {
		answer, err := do(p, s, id)
		require.NoError(t, err)
		require.Equal(t, id, string(answer.Body))
	}
	require.EqualValues(t, 2, s.accepted.Load(), "the connection with the stray answer is closed")
}

func TestStrayBytesCloseIdleConnection(t *testing.T) {
	s := serve(t, func(n int, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("Request-Id"), "x")
		if n == 1 {
			time.Sleep(10 * time.Millisecond)
			reply(c, "first", "again")
		}
	})
	p := pool()
	_, err := do(p, s, "first")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = do(p, s, "second")
	require.NoError(t, err)
	require.EqualValues(t, 2, s.accepted.Load())
}

func TestIncompleteResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"cut":       "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 10\r\n\r\nabc",
		"chunkCut":  "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"noise":     "\x00\x01\x02\r\n\r\n",
		"nothing":   "",
		"wrongOnly": "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			_, err := do(pool(), s, "a")
			failed := &backends.Error{}
			require.True(t, errors.As(err, &failed))
			require.True(t, failed.IsSent, "it may have run")
		})
	}
}

// Guards against a truncated response that is taken for a complete one. A response
// without a length ends when the server closes the connection, but not when it
// resets it.
func TestAnswerWithoutLength(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		s := serve(t, func(_ int, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			if isReset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		})
		answer, err := do(pool(), s, "a")
		if isReset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "abc", string(answer.Body))
	}
}

// Guards against a body that the server reads as the next request. A server may
// answer before it has read the whole body, so the connection must not be reused.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	s := serve(t, func(_ int, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("Request-Id"), "early")
		<-ended // the body stays unread
	})
	p := pool()
	for n := range 2 {
		r := request("a")
		r.Method, r.HasBody, r.Body = "POST", true, []byte(strings.Repeat("x", 16<<20))
		answer, err := p.Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 4}, r)
		require.NoError(t, err)
		require.Equal(t, "early", string(answer.Body))
		open, _ := p.Connections("s", s.listener.Addr().String())
		require.Zero(t, open)
		require.EqualValues(t, n+1, s.accepted.Load())
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = pool().Do(context.Background(), "s", listener.Addr().String(), backends.Limits{Open: 4}, request("a"))
	failed := &backends.Error{}
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.IsSent)
	require.True(t, failed.IsRefused)
}

func TestConnectionLimit(t *testing.T) {
	held := make(chan struct{})
	s := serve(t, func(_ int, r *http.Request, c net.Conn) {
		<-held
		reply(c, r.Header.Get("Request-Id"), "x")
	})
	p := pool()
	ended := make(chan error, 1)
	go func() {
		_, err := p.Do(context.Background(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, request("a"))
		ended <- err
	}()
	require.Eventually(t, func() bool { return s.accepted.Load() == 1 }, time.Second, time.Millisecond)
	_, err := p.Do(context.Background(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, request("b"))
	failed := &backends.Error{}
	require.True(t, errors.As(err, &failed))
	require.Equal(t, backends.ReasonConnectionLimit, failed.Reason)
	close(held)
	require.NoError(t, <-ended)
}

// Guards against connections to many servers that take all descriptors. The one idle for longest is
// closed for a new one; without an idle one, nothing is sent and no server seems to have room.
func TestConnectionsToAllServersAreLimited(t *testing.T) {
	release := make(chan struct{})
	p := pool()
	p.LimitConnections(2)
	var servers []*server
	for range 3 {
		servers = append(servers, serve(t, func(_ int, r *http.Request, c net.Conn) {
			if id := r.Header.Get("Request-Id"); strings.HasPrefix(id, "held") {
				<-release
			}
			reply(c, r.Header.Get("Request-Id"), "")
		}))
	}
	open := func(n int) int {
		open, _ := p.Connections("s", servers[n].listener.Addr().String())
		return open
	}
	for n, s := range servers {
		_, err := do(p, s, fmt.Sprint(n))
		require.NoError(t, err)
	}
	require.Equal(t, []int{0, 1, 1}, []int{open(0), open(1), open(2)})
	var running sync.WaitGroup
	for n := range 2 {
		running.Go(func() {
			_, err := do(p, servers[n], fmt.Sprint("held", n))
			require.NoError(t, err)
		})
	}
	require.Eventually(t, func() bool { return open(0) == math.MaxInt && open(2) == math.MaxInt }, time.Second, time.Millisecond)
	_, err := do(p, servers[2], "more")
	attemptError := &backends.Error{}
	require.ErrorAs(t, err, &attemptError)
	require.Equal(t, backends.ReasonConnectionLimit, attemptError.Reason)
	require.False(t, attemptError.IsSent)
	close(release)
	running.Wait()
	_, err = do(p, servers[2], "afterwards")
	require.NoError(t, err)
}

func TestCanceledAttemptClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool().Do(ctx, "s", s.listener.Addr().String(), backends.Limits{Open: 4}, request("a"))
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open after the attempt was canceled")
	}
}

// Guards against the answer of an earlier request, written once more, that is taken for the
// refusal of the one that waits.
func TestRefusalOfAnotherRequestPromisesNothing(t *testing.T) {
	for name, stray := range map[string]string{
		"of the request before": "HTTP/1.1 503 Full\r\nRequest-Id: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"without an id":         "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"with a body":           "HTTP/1.1 503 Full\r\nRequest-Id: 1\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
		"misdirected":           "HTTP/1.1 421 Misdirected\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, isAnswered := range []bool{true, false} {
			s := serve(t, func(n int, r *http.Request, c net.Conn) {
				if n == 1 {
					reply(c, "1", "first")
					return
				}
				_, _ = io.WriteString(c, stray)
				if !isAnswered {
					_ = c.Close()
					return
				}
				reply(c, r.Header.Get("Request-Id"), "second")
			})
			p := pool()
			_, err := do(p, s, "1")
			require.NoError(t, err)
			answer, err := do(p, s, "2")
			if isAnswered {
				require.NoError(t, err, name)
				require.Equal(t, "second", string(answer.Body), name)
				continue
			}
			attempt := &backends.Error{}
			require.ErrorAs(t, err, &attempt, name)
			require.True(t, attempt.IsSent, name)
		}
	}
}

// Guards against an answer that breaks off in its head and is passed on as a whole one.
func TestAnswerThatBreaksOffInItsHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nRequest-Id: 1\r\nNot-Executed: 1\r\n\r\n",
	} {
		for end := range len(head) {
			s := serve(t, func(_ int, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, head[:end])
				_ = c.Close()
			})
			answer, err := do(pool(), s, "1")
			attempt := &backends.Error{}
			require.ErrorAs(t, err, &attempt, "%q: %v", head[:end], answer)
			require.True(t, attempt.IsSent)
			_ = s.listener.Close()
		}
	}
}

// Guards against a check of a server that needs a connection for each use, or takes a server
// for ended that only broke one connection off.
func TestHasEndedTellsBrokenConnectionsFromEndedServers(t *testing.T) {
	s := serve(t, func(n int, r *http.Request, c net.Conn) {
		if n == 2 {
			_ = c.Close()
			return
		}
		reply(c, r.Header.Get("Request-Id"), "")
	})
	p := pool()
	limits := backends.Limits{Open: 4}
	address := s.listener.Addr().String()
	_, err := do(p, s, "1")
	require.NoError(t, err)
	require.False(t, p.HasEnded(t.Context(), "s", address, limits))
	require.EqualValues(t, 1, s.accepted.Load(), "an idle connection shows it")
	_, err = do(p, s, "2")
	require.Error(t, err)
	require.False(t, p.HasEnded(t.Context(), "s", address, limits))
	require.Eventually(t, func() bool { return s.accepted.Load() == 2 }, time.Second, time.Millisecond)
	_, err = do(p, s, "3")
	require.NoError(t, err)
	require.EqualValues(t, 2, s.accepted.Load(), "the connection of the check is used")
	_ = s.listener.Close()
	require.True(t, p.HasEnded(t.Context(), "other", address, limits))
	open, _ := p.Connections("other", address)
	require.Zero(t, open)
}

// Guards against a server whose end is not seen, since one of its connections breaks a moment
// before another one: the request that ends servers would be sent to the next one.
func TestEndIsSeenWhileConnectionsAreClosed(t *testing.T) {
	var mu sync.Mutex
	connections := map[net.Conn]bool{}
	s := serve(t, func(_ int, r *http.Request, c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		connections[c] = true
		if id := r.Header.Get("Request-Id"); id != "deadly" {
			reply(c, id, "")
			return
		}
		_ = c.Close()
		time.AfterFunc(3*time.Millisecond, func() {
			mu.Lock()
			defer mu.Unlock()
			for open := range connections {
				_ = open.Close()
			}
		})
	})
	p := pool()
	limits, address := backends.Limits{Open: 4}, s.listener.Addr().String()
	_, err := do(p, s, "first")
	require.NoError(t, err)
	_, err = p.Do(t.Context(), "s", address, backends.Limits{Open: 4, IsNew: true}, request("another"))
	require.NoError(t, err)
	_ = s.listener.Close()
	_, err = do(p, s, "deadly")
	require.Error(t, err)
	require.True(t, p.HasEnded(t.Context(), "s", address, limits))
}

// Guards against a request on trial that is written to an idle connection which a partition has
// cut already: it would count as one that ended the server.
func TestNewConnectionIsUsedIfRequired(t *testing.T) {
	s := serve(t, func(_ int, r *http.Request, c net.Conn) { reply(c, r.Header.Get("Request-Id"), "") })
	p := pool()
	address := s.listener.Addr().String()
	for n := range 3 {
		_, err := p.Do(t.Context(), "s", address, backends.Limits{Open: 2, IsNew: true}, request(fmt.Sprint(n)))
		require.NoError(t, err)
		require.EqualValues(t, n+1, s.accepted.Load())
		open, _ := p.Connections("s", address)
		require.LessOrEqual(t, open, 2)
	}
	_, err := do(p, s, "x")
	require.NoError(t, err)
	require.EqualValues(t, 3, s.accepted.Load())
}
