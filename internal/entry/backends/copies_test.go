package backends_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
)

// headerAttempt numbers the attempts of a test. The server returns it.
const headerAttempt = "Attempt"

// copyingServer refuses the attempts that refuses selects and runs the others. It writes
// responses once more, as copies selects for each request that arrives.
type copyingServer struct {
	*server
	refuses func(attempt int) bool
	// copies returns which of the earlier responses of the connection are written again before
	// and while the request runs. Index 0 is the first response.
	copies func(earlier int) (before, during []int)

	mu       sync.Mutex
	answered map[net.Conn][]string
	runs     map[int]bool
}

func serveCopies(t *testing.T, refuses func(attempt int) bool, copies func(earlier int) (before, during []int)) *copyingServer {
	t.Helper()
	s := &copyingServer{refuses: refuses, copies: copies, answered: map[net.Conn][]string{}, runs: map[int]bool{}}
	s.server = serve(t, s.answer)
	return s
}

func (s *copyingServer) answer(_ int, r *http.Request, c net.Conn) {
	attempt, _ := strconv.Atoi(r.Header.Get(headerAttempt))
	s.mu.Lock()
	answered := s.answered[c]
	before, during := s.copies(len(answered))
	head := fmt.Sprintf("Request-Id: %s\r\n%s: %d\r\n", r.Header.Get("Request-Id"), headerAttempt, attempt)
	text := "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n" + head + "Content-Length: 3\r\n\r\nrun"
	if s.refuses(attempt) {
		text = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n"
	} else {
		s.runs[attempt] = true
	}
	s.answered[c] = append(answered, text)
	s.mu.Unlock()
	var early strings.Builder
	for _, n := range before {
		early.WriteString(answered[n])
	}
	_, _ = c.Write([]byte(early.String()))
	for _, n := range during {
		time.Sleep(time.Millisecond)
		_, _ = c.Write([]byte(answered[n]))
	}
	_, _ = c.Write([]byte(text))
}

func (s *copyingServer) hasRun(attempt int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

// send makes an attempt at a request with an id that other attempts may have, too.
func (s *copyingServer) send(p *backends.Pool, id string, attempt int) (backends.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := request(id)
	r.Header.Set(headerAttempt, strconv.Itoa(attempt))
	return p.Do(ctx, "s", s.listener.Addr().String(), backends.Limits{Open: 4}, r)
}

// Guards against review/6: a second copy of the refusal of an attempt that counts as the
// response to the next attempt at the same request, which runs.
func TestCopyOfRefusalIsNotTheResponseToTheNextAttempt(t *testing.T) {
	at := func(earlier int, before, during []int) func(int) ([]int, []int) {
		return func(n int) ([]int, []int) {
			if n != earlier {
				return nil, nil
			}
			return before, during
		}
	}
	for name, c := range map[string]struct {
		ids    []string
		copies func(earlier int) (before, during []int)
	}{
		"beforeTheAttemptRuns": {[]string{"a", "a"}, at(1, []int{0}, nil)},
		"whileTheAttemptRuns":  {[]string{"a", "a"}, at(1, nil, []int{0})},
		"twice":                {[]string{"a", "a"}, at(1, []int{0}, []int{0})},
		"behindAnother":        {[]string{"a", "b", "a"}, at(2, []int{0}, nil)},
		"beforeAStray":         {[]string{"a", "b", "a"}, at(2, []int{1, 0}, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveCopies(t, func(attempt int) bool { return attempt == 0 }, c.copies)
			p := pool()
			for attempt, id := range c.ids {
				answer, err := s.send(p, id, attempt)
				require.NoError(t, err)
				require.Equal(t, strconv.Itoa(attempt), answer.Header.Get(headerAttempt), "the response to another attempt")
				require.Equal(t, attempt == 0, answer.Meta.NotExecuted)
				require.Equal(t, attempt != 0, s.hasRun(attempt))
			}
		})
	}
}

// Searches for a response that counts for another attempt than that which it answers, over
// attempts with few ids, at the same time and one after the other, at a server that refuses
// many and repeats its responses at any time.
func TestNoResponseCountsForAnotherAttempt(t *testing.T) {
	const seeds, clients, attempts, ids = 20, 3, 40, 4
	for seed := range uint64(seeds) {
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(seed, 1))
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		}
		drawCopies := func(earlier int) (before, during []int) {
			for range min(earlier, draw(3)) {
				before = append(before, draw(earlier))
			}
			for range min(earlier, draw(2)) {
				during = append(during, draw(earlier))
			}
			return before, during
		}
		s := serveCopies(t, func(int) bool { return draw(2) == 0 }, drawCopies)
		p := pool()
		var running sync.WaitGroup
		for client := range clients {
			running.Go(func() {
				for n := range attempts {
					attempt := client*attempts + n
					answer, err := s.send(p, fmt.Sprint(draw(ids)), attempt)
					if err != nil {
						continue // promises nothing
					}
					if got := answer.Header.Get(headerAttempt); got != strconv.Itoa(attempt) {
						t.Errorf("seed %d: attempt %d got the response to attempt %s", seed, attempt, got)
					}
				}
			})
		}
		running.Wait()
		require.False(t, t.Failed())
	}
}

// A repeated attempt takes the place of an idle connection if all are open.
func TestRepeatedAttemptUsesAnotherConnection(t *testing.T) {
	s := serve(t, func(_ int, r *http.Request, c net.Conn) { reply(c, r.Header.Get("Request-Id"), "x") })
	p := pool()
	for n, id := range []string{"a", "b", "a", "b"} {
		_, err := p.Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, request(id))
		require.NoError(t, err)
		require.EqualValues(t, []int{1, 1, 2, 2}[n], s.accepted.Load())
		open, _ := p.Connections("s", s.listener.Addr().String())
		require.Equal(t, 1, open)
	}
}

// Guards against a history that grows for as long as its connection is in use.
func TestConnectionCarriesABoundedNumberOfRequests(t *testing.T) {
	s := serve(t, func(_ int, r *http.Request, c net.Conn) { reply(c, r.Header.Get("Request-Id"), "x") })
	p := pool()
	for n := range 1025 {
		_, err := do(p, s, fmt.Sprint(n))
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, s.accepted.Load())
}
