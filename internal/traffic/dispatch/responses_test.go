package dispatch_test

import (
	"bufio"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/platform"
)

// answerAtRandom answers each request with a body behind one of the heads, some of them late.
func answerAtRandom(c net.Conn, random func(n int) int, heads []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if random(8) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		body := strings.Repeat("x", 20_000)
		_, _ = fmt.Fprintf(c, "%sRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", heads[random(len(heads))], request.Header.Get("Request-Id"), len(body), body)
	}
}

// Guards against responses that are neither passed on nor released, whose memory would be
// reserved for ever: those of failed, refused, canceled and hedged attempts.
func TestEachResponseIsReleased(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(1, 1))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	heads := []string{
		"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n", "HTTP/1.1 500 Error\r\nResponse-Signature: s\r\n", "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n", "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n",
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAtRandom(c, random, heads)
		}
	}()
	w := newFixture(nil)
	pool := backends.NewPool(platform.Headers{}, 64<<20, func(string) {})
	w.dispatcher.Backends, w.dispatcher.Log = pool, slog.New(slog.DiscardHandler)
	w.dispatcher.Random = func() float64 { return float64(random(1000)) / 1000 }
	events := []redwingstall.Event{}
	for _, id := range []string{"s1", "s2", "s3", "k1", "k2"} {
		events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{
			ID: id, Service: id[:1], Slots: 64, StartedAtMillis: 1, Address: listener.Addr().String(),
		}})
	}
	w.view.Apply(time.Now(), events, false)
	var running sync.WaitGroup
	held := 0
	for client := range 8 {
		running.Go(func() {
			for n := range 60 {
				path := []string{"/safe/x", "/unsafe/x", "/keyed/x"}[random(3)]
				answer := w.get(t.Context(), path, "Request-Id", fmt.Sprint(client, "-", n), "Shard-Key", "1", "Request-Deadline", fmt.Sprint(20+random(200)))
				mu.Lock()
				held += len(answer.Body)
				mu.Unlock()
				answer.Release()
			}
		})
	}
	running.Wait()
	require.Positive(t, held, "some responses were passed on")
	require.Eventually(t, func() bool { return pool.HeldBytes() == 0 }, time.Second, time.Millisecond)
}
