package backends_test

import (
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
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/platform"
)

// stall answers with a text and a block again and again up to a number of bytes, and then keeps
// the connection open until its caller closes it.
func stall(text, block string, bytes int) func(int, *http.Request, net.Conn) {
	whole := []byte(text + strings.Repeat(block, (bytes-len(text))/len(block)))
	return func(_ int, _ *http.Request, c net.Conn) {
		_, _ = c.Write(whole)
		_, _ = c.Read(make([]byte, 1))
	}
}

// Guards against review/7: each response was bounded, but not their sum, so that servers which
// answered without end took the memory of the process and ended the requests of all.
func TestResponsesOfManyServersTakeBoundedMemory(t *testing.T) {
	const budget, limit = 16 << 20, 48 << 20
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n"
	const large = 3 << 20
	for name, c := range map[string]struct {
		attempts int
		answer   func(int, *http.Request, net.Conn)
	}{
		"bodies":   {40, stall(head+"\r\n", "x", 7<<20)},
		"declared": {40, stall(head+"Content-Length: 8000000\r\n\r\n", "x", 7<<20)},
		"heads":    {300, stall(head, "X: y\r\n", 60<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := c.attempts
			p := backends.NewPool(platform.Headers{}, budget, func(string) {})
			bad := serve(t, c.answer)
			sound := serve(t, func(_ int, r *http.Request, c net.Conn) {
				id := r.Header.Get("Request-Id")
				switch id {
				case "declared":
					reply(c, id, strings.Repeat("y", large))
				case "chunked":
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, large, strings.Repeat("y", large))
				default:
					reply(c, id, "small")
				}
			})
			send := func(server *server, name, id string, timeout time.Duration) (backends.Response, error) {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				return p.Do(ctx, name, server.listener.Addr().String(), backends.Limits{Open: attempts}, request(id))
			}
			var running sync.WaitGroup
			const stallTime = 2 * time.Second
			for n := range attempts {
				running.Go(func() {
					_, err := send(bad, fmt.Sprint("bad", n%8), fmt.Sprint(n), stallTime)
					failed := &backends.Error{}
					if !errors.As(err, &failed) || !failed.IsSent {
						t.Errorf("attempt %d: %v", n, err)
					}
				})
			}
			require.Eventually(t, func() bool { return int(bad.accepted.Load()) == attempts }, time.Second, time.Millisecond)
			time.Sleep(stallTime / 4)
			began := time.Now()
			for n := range 20 {
				answer, err := send(sound, "sound", fmt.Sprint("small", n), stallTime)
				require.NoError(t, err)
				answer.Release()
			}
			require.Less(t, time.Since(began), stallTime/2, "small responses wait for nobody")
			var stats runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&stats)
			require.Less(t, stats.HeapAlloc, uint64(limit))
			for _, id := range []string{"declared", "chunked"} {
				answer, err := send(sound, "sound", id, 4*stallTime)
				require.NoError(t, err, "a large response comes through, if later")
				require.Len(t, answer.Body, large)
				answer.Release()
			}
			running.Wait()
		})
	}
}

// Guards against memory that stays reserved, which would end the service little by little.
func TestReservationsEndWithTheirResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
	var n atomic.Int32
	texts := []string{
		head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
		head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000),
		head + "Connection: close\r\n\r\n" + strings.Repeat("x", 200_000),
		head + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", 100_000) + "\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", 50_000),
		head + strings.Repeat("X: y\r\n", 5000) + "Content-Length: 0\r\n\r\n",
		head + strings.Repeat("X: y\r\n", 20_000) + "Content-Length: 0\r\n\r\n",
		strings.Replace(head, "%s", "other", 1) + "Content-Length: 90000\r\n\r\n" + strings.Repeat("x", 90_000),
	}
	s := serve(t, func(_ int, r *http.Request, c net.Conn) {
		text := texts[int(n.Add(1))%len(texts)]
		_, _ = io.WriteString(c, strings.Replace(text, "%s", r.Header.Get("Request-Id"), 1))
		_ = c.Close()
	})
	p := backends.NewPool(platform.Headers{}, 1, func(string) {}) // room for one of each kind
	for k := range 200 {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		answer, err := p.Do(ctx, "s", s.listener.Addr().String(), backends.Limits{Open: 4}, request(fmt.Sprint(k)))
		require.NoError(t, ctx.Err(), "waits for memory that nobody uses")
		if err == nil {
			answer.Release()
		}
		cancel()
	}
	require.False(t, p.IsShortOfMemory())
}
