package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/livelist"
	"github.com/redwingstall/redwingstall/pkg/operator"
	"github.com/redwingstall/redwingstall/pkg/peer"
	"github.com/redwingstall/redwingstall/pkg/store"
	"github.com/redwingstall/redwingstall/platform"
)

// callTimeout bounds a call of a test. The bounds of the clients end it long before.
const callTimeout = 20 * time.Second

// clientCalls makes one call with each client of HTTP/1.1 servers. Package backends, which
// has a reader of its own, has the same tests.
var clientCalls = map[string]func(ctx context.Context, address string) error{
	"grantOfPlatform": func(ctx context.Context, address string) error {
		meta, err := platform.NewOwnerClient().Grant(ctx, "i-1", address, redwingstall.KeyGrant{Fence: 1, TTL: time.Second})
		return checkEmpty(err, meta == redwingstall.ResponseMeta{})
	},
	"releaseOfPlatform": func(ctx context.Context, address string) error {
		handover, meta, err := platform.NewOwnerClient().Release(ctx, "i-1", address, redwingstall.KeyRange{}, 1)
		return checkEmpty(err, handover == "" && meta == redwingstall.ResponseMeta{})
	},
	"storeOfPlatform": func(ctx context.Context, address string) error {
		items, _, err := platform.NewStore(address).Range(ctx, "")
		return checkEmpty(err, len(items) == 0)
	},
	"grant": func(ctx context.Context, address string) error {
		_, err := backend.NewClient(address, 10).Grant(ctx, redwingstall.GrantOrder{})
		return err
	},
	"release": func(ctx context.Context, address string) error {
		_, err := backend.NewClient(address, 10).Release(ctx, redwingstall.ReleaseOrder{})
		return err
	},
	"store": func(ctx context.Context, address string) error {
		_, err := store.NewClient(address, callTimeout, metrics.NewRegistry()).Get(ctx, "x")
		return err
	},
	"liveList": func(ctx context.Context, address string) error {
		_, err := livelist.NewClient(address, callTimeout).Instances(ctx)
		return err
	},
	"healthCheck": func(ctx context.Context, address string) error {
		_, err := platform.NewOwnerClient().Identify(ctx, address, "/health")
		return err
	},
	"forward": func(ctx context.Context, address string) error { return forward(ctx, address, http.NoBody) },
	"operator": func(ctx context.Context, address string) error {
		_, err := operator.NewClient(address, "", nil).Query(ctx, "/x")
		return err
	},
}

// forward sends a request to another instance.
func forward(ctx context.Context, address string, body io.Reader) error {
	client, base := peer.NewClients(nil).Forwarder(address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base, body)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	_, err = http1.ReadBody(response.Body, 1<<20)
	return err
}

// checkEmpty returns the error of a call, unless it comes with a part of the response.
func checkEmpty(err error, isEmpty bool) error {
	if err != nil && !isEmpty {
		return nil
	}
	return err
}

// listen calls answer for each request on a new listener. It returns the address.
func listen(t *testing.T, answer func(connection int, r *http.Request, c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int32
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, int(connections.Add(1)), answer)
		}
	}()
	return listener.Addr().String()
}

func serve(c net.Conn, connection int, answer func(connection int, r *http.Request, c net.Conn)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer(connection, r, c)
	}
}

// sendEndless sends a start, and then a block again and again until the caller closes the
// connection or limit bytes are sent. It returns how many were sent.
func sendEndless(c net.Conn, start, block string, limit int) int {
	sent, err := io.WriteString(c, start)
	for many := bytes.Repeat([]byte(block), 16<<10/len(block)); err == nil && sent < limit; {
		n := 0
		n, err = c.Write(many)
		sent += n
	}
	return sent
}

// Guards against review/3: a server answered orders with heads without end, of which the
// leader read 10 MB each until it exceeded its memory.
func TestEndlessHeadsAreNoResponse(t *testing.T) {
	// maxSent is far above the bound, and above what sockets buffer, but below the 10 MB that
	// net/http reads by default.
	const maxSent = 8 << 20
	for start, name := range map[string]string{
		"HTTP/1.1 200 OK\r\n":           "response",
		"HTTP/1.1 103 Early Hints\r\n":  "informational",
		"HTTP/1.1 421 Misdirected\r\n":  "rejection",
		"HTTP/1.1 200 OK\r\nX-Long: zz": "line",
	} {
		for client, call := range clientCalls {
			t.Run(client+"/"+name, func(t *testing.T) {
				sent := make(chan int, 1)
				address := listen(t, func(_ int, _ *http.Request, c net.Conn) {
					block := "X: y\r\n"
					if name == "line" {
						block = "z"
					}
					n := sendEndless(c, start, block, 4*maxSent)
					_ = c.Close()
					select {
					case sent <- n:
					default:
					}
				})
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				err := call(ctx, address)
				require.Error(t, err)
				require.False(t, errors.Is(err, redwingstall.ErrFenced) || errors.Is(err, redwingstall.ErrAddressReassigned), "%v", err)
				require.Less(t, <-sent, maxSent, "the connection must be closed at the bound")
			})
		}
	}
}

// Guards against review/3: what many orders at once take for heads without end must fit
// into the memory of an instance.
func TestEndlessHeadsOfManyOrdersTakeBoundedMemory(t *testing.T) {
	address := listen(t, func(_ int, _ *http.Request, c net.Conn) {
		sendEndless(c, "HTTP/1.1 200 OK\r\n", "X: y\r\n", 16<<20)
		_ = c.Close()
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	client := platform.NewOwnerClient()
	var orders sync.WaitGroup
	const count, mostOfEach = 20, 512 << 10
	for i := range count {
		orders.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_, _, _ = client.Release(ctx, "i-1", address, redwingstall.KeyRange{From: i, To: i}, 1)
		})
	}
	orders.Wait()
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(count*mostOfEach))
}

// Guards against review/4: the start of a body without end, or of one that breaks off, counted
// as the answer to a release, and the keys went to another server while the first one
// worked on them.
func TestIncompleteResponsesAreNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nHandover: h\r\n"
	write := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = io.WriteString(c, text) }
	}
	endless := func(start, block string) func(net.Conn) {
		return func(c net.Conn) { sendEndless(c, start, block, 256<<20) }
	}
	for name, answer := range map[string]func(c net.Conn){
		"endlessBody":        endless(head+"\r\n", " "),
		"endlessLength":      endless(head+"Content-Length: 9000000000\r\n\r\n", " "),
		"endlessChunks":      endless(head+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat(" ", 0x1000)+"\r\n"),
		"endlessChunk":       endless(head+"Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", " "),
		"endlessSize":        endless(head+"Transfer-Encoding: chunked\r\n\r\n1;x=", "y"),
		"endlessTrailer":     endless(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
		"endlessConflict":    endless("HTTP/1.1 409 Conflict\r\n\r\n", " "),
		"endlessMisdirected": endless("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n\r\n", " "),
		"cutBody":            write(head + "Content-Length: 3\r\n\r\n{}"),
		"cutChunks":          write(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"),
		"cutHead":            write(head),
		"cutConflict":        write("HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\nx"),
		"noResponse":         write("\x00\x01 200 OK\r\n\r\n{}"),
		"twoLengths":         write(head + "Content-Length: 2\r\nContent-Length: 5\r\n\r\n{}"),
		"resetBody": func(c net.Conn) {
			_, _ = io.WriteString(c, head+"\r\n{")
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	} {
		for client, call := range clientCalls {
			t.Run(client+"/"+name, func(t *testing.T) {
				t.Parallel()
				address := listen(t, func(_ int, _ *http.Request, c net.Conn) {
					answer(c)
					_ = c.Close()
				})
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				err := call(ctx, address)
				require.Error(t, err)
				require.NoError(t, ctx.Err(), "the bound must end the call, not its timeout")
				require.False(t, errors.Is(err, redwingstall.ErrFenced) || errors.Is(err, redwingstall.ErrAddressReassigned), "%v", err)
			})
		}
	}
}

// Guards against review/2: a server sent its answer to a release once more, late, where the
// next answer on the connection is expected. It counted as the answer to the next release.
func TestEarlierAnswerIsNotTheAnswerToTheNextOrder(t *testing.T) {
	const orders = 5
	for name, late := range map[string]string{
		"earlierAnswer": "HTTP/1.1 200 OK\r\nHandover: early\r\nContent-Length: 2\r\n\r\n{}",
		"conflict":      "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		"misdirected":   "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answered := map[int]bool{}
			var mu sync.Mutex
			address := listen(t, func(connection int, _ *http.Request, c net.Conn) {
				mu.Lock()
				defer mu.Unlock()
				if answered[connection] {
					_, _ = io.WriteString(c, late)
				}
				answered[connection] = true
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nHandover: true\r\nContent-Length: 13\r\n\r\n{\"boot\":\"b1\"}")
			})
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			owners, server := platform.NewOwnerClient(), backend.NewClient(address, 10)
			for n := range orders {
				handover, _, err := owners.Release(ctx, "i-1", address, redwingstall.KeyRange{}, int64(n))
				require.NoError(t, err)
				require.Equal(t, "true", handover)
				_, err = owners.Grant(ctx, "i-1", address, redwingstall.KeyGrant{Fence: int64(n), TTL: time.Second})
				require.NoError(t, err, "nobody rejected the grant")
				response, err := server.Release(ctx, redwingstall.ReleaseOrder{})
				require.NoError(t, err)
				require.Equal(t, "b1", response.Boot)
			}
		})
	}
}

// A rejection that the server repeats on a new connection is its own.
func TestGrantIsRejectedByTheServerItself(t *testing.T) {
	var grants atomic.Int32
	address := listen(t, func(_ int, _ *http.Request, c net.Conn) {
		status := "200 OK"
		if grants.Add(1) > 1 {
			status = "409 Conflict"
		}
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
	})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := platform.NewOwnerClient()
	_, err := client.Grant(ctx, "i-1", address, redwingstall.KeyGrant{Fence: 1, TTL: time.Second})
	require.NoError(t, err)
	_, err = client.Grant(ctx, "i-1", address, redwingstall.KeyGrant{Fence: 1, TTL: time.Second})
	require.True(t, errors.Is(err, redwingstall.ErrFenced), "%v", err)
}

// Guards against the answer of another address, or of another path, that counts as that of the
// peer.
func TestRedirectsAreNotFollowed(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		for client, call := range clientCalls {
			address := listen(t, func(_ int, r *http.Request, c net.Conn) {
				if r.URL.Path == "/elsewhere" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Moved\r\nLocation: http://%s/elsewhere\r\nContent-Length: 0\r\n\r\n", status, c.LocalAddr())
			})
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			require.Error(t, call(ctx, address), "%s, status %d", client, status)
			cancel()
		}
	}
}

// Guards against a grant that counts as never sent, and so as not in force, since the question
// whether its rejection was its own found no connection.
func TestGrantWithAnUnconfirmedRejectionWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := listener.Accept()
		_ = listener.Close()
		if err != nil {
			return
		}
		answers := 0
		serve(c, 1, func(_ int, _ *http.Request, c net.Conn) {
			answers++
			status := "200 OK"
			if answers > 1 {
				status = "409 Conflict"
			}
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		})
	}()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client, address := platform.NewOwnerClient(), listener.Addr().String()
	_, err = client.Grant(ctx, "i-1", address, redwingstall.KeyGrant{Fence: 1, TTL: time.Second})
	require.NoError(t, err)
	_, err = client.Grant(ctx, "i-1", address, redwingstall.KeyGrant{Fence: 1, TTL: time.Second})
	require.True(t, errors.Is(err, redwingstall.ErrUnavailable), "%v", err)
	require.False(t, errors.Is(err, redwingstall.ErrNotSent), "%v", err)
	require.False(t, errors.Is(err, redwingstall.ErrFenced), "%v", err)
}
