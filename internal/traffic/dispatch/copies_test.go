package dispatch_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/platform"
)

// copiers are servers that refuse many requests, break off some connections, and send responses
// once more before or while a later request of the connection runs.
type copiers struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
}

func (c *copiers) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *copiers) countRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *copiers) runCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// listen starts one of the servers.
func (c *copiers) listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(connection)
		}
	}()
	return listener.Addr().String()
}

func (c *copiers) serve(connection net.Conn) {
	defer connection.Close()
	reader, sent := bufio.NewReader(connection), []string{}
	sendCopies := func() {
		for len(sent) > 0 && c.draw(3) == 0 {
			_, _ = io.WriteString(connection, sent[c.draw(len(sent))])
		}
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		sendCopies()
		kind := c.draw(10)
		text := "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
		if kind > 3 {
			c.countRun(id)
			time.Sleep(time.Duration(c.draw(2000)) * time.Microsecond)
			sendCopies()
			text = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
		}
		if kind == 9 {
			return
		}
		text += fmt.Sprintf("Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		_, _ = io.WriteString(connection, text)
		sent = append(sent, text)
	}
}

// Searches for a client that is told "not run" of a request that ran, and for requests that run
// twice, over owners of keys and pools, with the real connections (review/6).
func TestNoPromiseRestsOnACopy(t *testing.T) {
	const seeds, clients, requests = 6, 8, 60
	for seed := range uint64(seeds) {
		c := &copiers{random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
		w := newFixture(nil)
		w.dispatcher.Backends, w.dispatcher.Log = backends.NewPool(platform.Headers{}, 64<<20, func(string) {}), slog.New(slog.DiscardHandler)
		w.dispatcher.Random = func() float64 { return float64(c.draw(1000)) / 1000 }
		events := []redwingstall.Event{}
		for _, id := range []string{"s1", "s2", "k1", "k2"} {
			events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{
				ID: id, Service: id[:1], Slots: 64, StartedAtMillis: 1, Address: c.listen(t),
			}})
		}
		w.view.Apply(time.Now(), events, false)
		var running sync.WaitGroup
		for client := range clients {
			running.Go(func() {
				for n := range requests {
					id := fmt.Sprint(client, "-", n)
					path := []string{"/unsafe/x", "/book/x", "/book/x"}[c.draw(3)]
					answer := w.get(t.Context(), path, "Request-Id", id, "Shard-Key", fmt.Sprint(c.draw(65536)))
					runs := c.runCount(id)
					if runs > 1 || runs > 0 && answer.Status == http.StatusServiceUnavailable || runs == 0 && answer.Status == http.StatusOK {
						t.Errorf("seed %d: request %s to %s ran %d times and was answered %d", seed, id, path, runs, answer.Status)
					}
				}
			})
		}
		running.Wait()
		require.False(t, t.Failed())
	}
}
