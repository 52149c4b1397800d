package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/backend"
)

// rawServer runs a script on each connection. The script reports each request that
// a server would have run, and runCount returns their number.
type rawServer struct {
	listener net.Listener

	mu   sync.Mutex
	runs int
}

func newRawServer(t *testing.T, script func(conn net.Conn, run func())) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, s.run)
			}()
		}
	}()
	return s
}

func (s *rawServer) run() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
}

func (s *rawServer) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// readRequest reads one complete request.
func readRequest(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func okResponse(id, headersAndBody string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\n%s", "200 OK", id, headersAndBody)
}

// Ends an attempt in each possible way and compares the reported outcome with what
// the server ran. Reporting "not run" for a request that ran would let a caller
// run it twice.
func TestFailedAttemptReportsCorrectOutcomeAndReason(t *testing.T) {
	refusal := func(reason string) string {
		return "HTTP/1.1 503 Unavailable\r\nRequest-Id: r1\r\nRedwing-Refusal: " + reason + "\r\nContent-Length: 0\r\n\r\n"
	}
	for _, row := range []struct {
		name    string
		script  func(conn net.Conn, run func())
		outcome redwingstall.Outcome
		reason  string
	}{
		{"closed before reading", func(net.Conn, func()) {}, redwingstall.OutcomeUnknown, backend.ReasonNoResponse},
		{"closed after reading", func(c net.Conn, _ func()) { readRequest(c) }, redwingstall.OutcomeUnknown, backend.ReasonNoResponse},
		{"closed after running", func(c net.Conn, run func()) { readRequest(c); run() }, redwingstall.OutcomeUnknown, backend.ReasonNoResponse},
		{"connection lost within the response header", func(c net.Conn, run func()) {
			readRequest(c)
			run()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nReq")
		}, redwingstall.OutcomeUnknown, backend.ReasonNoResponse},
		{"response to another request", func(c net.Conn, run func()) {
			readRequest(c)
			run()
			_, _ = io.WriteString(c, okResponse("r2", "Content-Length: 0\r\n\r\n"))
		}, redwingstall.OutcomeUnknown, backend.ReasonRequestIDMismatch},
		{"close-delimited response", func(c net.Conn, run func()) {
			readRequest(c)
			run()
			_, _ = io.WriteString(c, okResponse("r1", "\r\nabc"))
		}, redwingstall.OutcomeUnknown, backend.ReasonCloseDelimited},
		{"response that is not HTTP", func(c net.Conn, run func()) {
			readRequest(c)
			run()
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		}, redwingstall.OutcomeUnknown, backend.ReasonNoResponse},
		{"shed", func(c net.Conn, _ func()) { readRequest(c); _, _ = io.WriteString(c, refusal("shed")) }, redwingstall.OutcomeNotRun, "shed"},
		{"draining", func(c net.Conn, _ func()) { readRequest(c); _, _ = io.WriteString(c, refusal("draining")) }, redwingstall.OutcomeNotRun, "draining"},
		{"not owner", func(c net.Conn, _ func()) { readRequest(c); _, _ = io.WriteString(c, refusal("notOwner")) }, redwingstall.OutcomeNotRun, "notOwner"},
		{"late", func(c net.Conn, _ func()) { readRequest(c); _, _ = io.WriteString(c, refusal("late")) }, redwingstall.OutcomeNotRun, "late"},
	} {
		t.Run(row.name, func(t *testing.T) {
			server := newRawServer(t, row.script)
			client := backend.NewClient(server.listener.Addr().String(), 10)
			defer client.Close()
			_, err := client.Do(t.Context(), chargeRequest("r1"))
			attempt := &backend.AttemptError{}
			require.True(t, errors.As(err, &attempt))
			require.Equal(t, row.outcome, attempt.Outcome)
			require.Equal(t, row.reason, attempt.Reason)
			require.LessOrEqual(t, server.runCount(), 1, "the request is sent at most once")
			require.False(t, attempt.Outcome == redwingstall.OutcomeNotRun && server.runCount() > 0, "not run was reported for a request that ran")
		})
	}
}

func chargeRequest(id string) backend.Request {
	header := http.Header{redwingstall.HeaderIdempotencyKey: {"key"}}
	return backend.Request{
		Method: http.MethodPost, Path: "/charging/h", Header: header, Body: strings.NewReader("milk"),
		Length: 4, ID: id, AtMostOnce: true,
	}
}

// Nothing is sent on a refused connection, so the request can be retried safely.
func TestRefusedConnectionReportsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = backend.NewClient(address, 10).Do(t.Context(), chargeRequest("r1"))
	attempt := &backend.AttemptError{}
	require.True(t, errors.As(err, &attempt))
	require.Equal(t, redwingstall.OutcomeNotRun, attempt.Outcome)
	require.Equal(t, backend.ReasonConnectFailed, attempt.Reason)
}

// The server may have run a request that was canceled after it was sent, so the
// outcome must not be "not run".
func TestCancellationAfterSendingReportsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := newRawServer(t, func(c net.Conn, run func()) {
		readRequest(c)
		run()
		cancel()
		_, _ = io.Copy(io.Discard, c)
	})
	_, err := backend.NewClient(server.listener.Addr().String(), 10).Do(ctx, chargeRequest("r1"))
	attempt := &backend.AttemptError{}
	require.True(t, errors.As(err, &attempt))
	require.Equal(t, redwingstall.OutcomeUnknown, attempt.Outcome)
}

// net/http retries a request with an Idempotency-Key by itself when a reused
// connection fails. A request without a body that may run only once must not be
// retried that way.
func TestTransportDoesNotRetryRequestWithIdempotencyKey(t *testing.T) {
	requests := make(chan string, 10)
	server := newRawServer(t, func(c net.Conn, _ func()) {
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			requests <- request.Header.Get(redwingstall.HeaderIdempotencyKey)
			if n > 0 {
				return // reads the second request on a connection and closes it without a response
			}
			_, _ = io.WriteString(c, okResponse("r1", "Content-Length: 0\r\n\r\n"))
		}
	})
	client := backend.NewClient(server.listener.Addr().String(), 10)
	request := chargeRequest("r1")
	request.AtMostOnce = false
	request.Body, request.Length = nil, 0
	first, err := client.Do(t.Context(), request)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, first.Body)
	require.NoError(t, first.Body.Close())
	request.ID = "r2" // one with the same id would not reuse the connection
	_, err = client.Do(t.Context(), request)
	require.Error(t, err)
	require.Len(t, requests, 2, "two calls send exactly two requests")
	require.Equal(t, "key", <-requests, "the server receives the idempotency key")
}

// Guards against the answer of an earlier request, written once more on a kept connection, that
// is taken for the refusal of the one that waits.
func TestRefusalOfAnotherRequestPromisesNothing(t *testing.T) {
	for _, id := range []string{"Request-Id: r1\r\n", ""} {
		server := newRawServer(t, func(c net.Conn, run func()) {
			reader := bufio.NewReader(c)
			for n := 0; ; n++ {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if n == 0 {
					_, _ = io.WriteString(c, okResponse("r1", "Content-Length: 0\r\n\r\n"))
					continue
				}
				run()
				_, _ = io.WriteString(c, "HTTP/1.1 503 Unavailable\r\n"+id+"Redwing-Refusal: shed\r\nContent-Length: 0\r\n\r\n")
				_, _ = io.WriteString(c, okResponse("r2", "Content-Length: 0\r\n\r\n"))
			}
		})
		client := backend.NewClient(server.listener.Addr().String(), 10)
		send := func(id string) error {
			request := chargeRequest(id)
			request.AtMostOnce, request.Body, request.Length = false, nil, 0
			response, err := client.Do(t.Context(), request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				err = response.Body.Close()
			}
			return err
		}
		require.NoError(t, send("r1"))
		err := send("r2")
		attempt := &backend.AttemptError{}
		require.True(t, errors.As(err, &attempt))
		require.Equal(t, redwingstall.OutcomeUnknown, attempt.Outcome)
		client.Close()
	}
}

// Guards against an answer that breaks off in its head and is passed on as a whole one.
func TestAnswerThatBreaksOffInItsHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		okResponse("r1", "Content-Length: 12\r\n\r\n"), okResponse("r1", "Transfer-Encoding: chunked\r\n\r\n"), okResponse("r1", "Connection: close\r\n\r\n"),
		"HTTP/1.1 503 Unavailable\r\nRequest-Id: r1\r\nRedwing-Refusal: shed\r\nContent-Length: 0\r\n\r\n",
	} {
		for end := range len(head) {
			server := newRawServer(t, func(c net.Conn, _ func()) {
				readRequest(c)
				_, _ = io.WriteString(c, head[:end])
			})
			client := backend.NewClient(server.listener.Addr().String(), 10)
			_, err := client.Do(t.Context(), chargeRequest("r1"))
			attempt := &backend.AttemptError{}
			require.True(t, errors.As(err, &attempt), "%q", head[:end])
			require.Equal(t, redwingstall.OutcomeUnknown, attempt.Outcome, "%q", head[:end])
			client.Close()
			_ = server.listener.Close()
		}
	}
}

// Guards against a server's Retry-After that is not read.
func TestRefusalCarriesTheServersRetryAfter(t *testing.T) {
	for text, delay := range map[string]time.Duration{"": 0, "1.5": 1500 * time.Millisecond, "-1": 0, "soon": 0, "NaN": 0, "1e300": backend.MaxRetryAfter} {
		server := newRawServer(t, func(c net.Conn, _ func()) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nRedwing-Refusal: shed\r\nRetry-After: "+text+"\r\nContent-Length: 0\r\n\r\n")
		})
		client := backend.NewClient(server.listener.Addr().String(), 10)
		_, err := client.Do(t.Context(), chargeRequest("r1"))
		attempt := &backend.AttemptError{}
		require.True(t, errors.As(err, &attempt))
		require.Equal(t, delay, attempt.RetryAfter, text)
		client.Close()
	}
}

// Guards against review/6 in redwingstall serve: all attempts at a request have the same id, so
// that a second copy of the refusal of one counted as the response to the next, which ran.
func TestCopyOfRefusalIsNotTheResponseToTheNextAttempt(t *testing.T) {
	const refusal = "HTTP/1.1 503 Unavailable\r\nRequest-Id: r1\r\nRedwing-Refusal: notOwner\r\nContent-Length: 0\r\n\r\n"
	for name, between := range map[string]string{"next": "", "behindAnother": "r2"} {
		t.Run(name, func(t *testing.T) {
			var refused atomic.Bool
			server := newRawServer(t, func(conn net.Conn, run func()) {
				reader := bufio.NewReader(conn)
				for owed := ""; ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					id := request.Header.Get(redwingstall.HeaderRequestID)
					if id == "r1" && !refused.Swap(true) {
						owed = refusal
						_, _ = io.WriteString(conn, refusal)
						continue
					}
					if id == "r1" {
						run()
						_, _ = io.WriteString(conn, owed)
					}
					_, _ = io.WriteString(conn, okResponse(id, "Content-Length: 0\r\n\r\n"))
				}
			})
			client := backend.NewClient(server.listener.Addr().String(), 10)
			defer client.Close()
			send := func(id string) error {
				request := chargeRequest(id)
				request.AtMostOnce = false
				response, err := client.Do(t.Context(), request)
				if err == nil {
					require.NoError(t, response.Body.Close())
				}
				return err
			}
			require.Error(t, send("r1"))
			if between != "" {
				require.NoError(t, send(between))
			}
			require.NoError(t, send("r1"), "the server did not refuse this attempt")
			require.Equal(t, 1, server.runCount())
		})
	}
}

// Guards against ids that are kept without a bound, and against connections that carry more
// requests than their ids are kept for.
func TestConnectionsCarryABoundedNumberOfRequests(t *testing.T) {
	var connections atomic.Int32
	server := newRawServer(t, func(conn net.Conn, run func()) {
		connections.Add(1)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			run()
			_, _ = io.WriteString(conn, okResponse(request.Header.Get(redwingstall.HeaderRequestID), "Content-Length: 0\r\n\r\n"))
		}
	})
	client := backend.NewClient(server.listener.Addr().String(), 10)
	defer client.Close()
	for n := range 4097 {
		response, err := client.Do(t.Context(), backend.Request{Method: http.MethodGet, Path: "/x", Header: http.Header{}, ID: strconv.Itoa(n)})
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.EqualValues(t, 2, connections.Load())
}
