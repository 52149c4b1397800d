//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	endlessTime = 70 * time.Second
	// endlessFrom is when the upstreams in trouble begin to answer without end.
	endlessFrom = 8 * time.Second
	// endlessRate is the number of requests a second, and endlessServers that of the upstreams, as
	// those of catalogus on the site gsz-stemmen.
	endlessRate    = 104.0
	endlessServers = 13
	// endlessTroubled is the number of upstreams in trouble, under 0.6 of them.
	endlessTroubled = 7
	// linkBytes is what a link of 1,000 Mbit/s carries in a second, of an upstream or a machine.
	linkBytes = 125e6
	// memoryLimit is limits.memory_mb of the settings.
	memoryLimit = 284 << 20
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// clientRetries is how often a client comes back.
	clientRetries = 1
	// maxLost is how many requests the rule LOST allows.
	maxLost = 3
)

// bucket hands out bytes at the rate of a link.
type bucket struct {
	mu   sync.Mutex
	next time.Time
}

func (b *bucket) take(n int) {
	b.mu.Lock()
	if now := time.Now(); b.next.Before(now) {
		b.next = now
	}
	b.next = b.next.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	at := b.next
	b.mu.Unlock()
	time.Sleep(time.Until(at))
}

// anonymousMemory returns the resident memory of a process without the pages of files.
func anonymousMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, isFound := strings.CutPrefix(line, "RssAnon:"); isFound {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// guard plays the platform's part: it kills a process that exceeds its memory, and starts it
// again.
type guard struct {
	mu    sync.Mutex
	kills map[string]int
	peaks map[string]int64
}

func (g *guard) watch(s *scene, n *node, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(3 * time.Millisecond):
		}
		used := anonymousMemory(n.process.Process.Pid)
		g.mu.Lock()
		g.peaks[n.name] = max(g.peaks[n.name], used)
		g.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		_ = n.process.Process.Signal(syscall.SIGKILL)
		<-n.exited
		g.mu.Lock()
		g.kills[n.name]++
		g.mu.Unlock()
		s.record.printf("%s is killed: it has %d MB of %d in memory", n.name, used>>20, memoryLimit>>20)
		time.Sleep(restartDelay)
		if err := s.fleet.start(n); err != nil {
			s.record.printf("%s does not start: %v", n.name, err)
			return
		}
	}
}

// ownerOf returns the node that a connection to an upstream comes from, by its socket.
func (f *fleet) ownerOf(c *upstreamConnection) *node {
	_, port, _ := strings.Cut(c.RemoteAddr().String(), ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	local := fmt.Sprintf(":%04X", number)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], local) {
			continue
		}
		for _, n := range f.nodes {
			if holdsSocket(n.process.Process.Pid, "socket:["+fields[9]+"]") {
				return n
			}
		}
	}
	return nil
}

func holdsSocket(pid int, socket string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == socket {
			return true
		}
	}
	return false
}

// playEndlessBody sends requests that may be repeated to upstreams of which some answer with a
// body without end, at the speed of their links.
func playEndlessBody(s *scene) (bool, error) {
	f, l := s.fleet, &ledger{runs: map[string][]run{}}
	const service = "catalogus-dienst"
	var isTrouble atomic.Bool
	var endless atomic.Int64
	links := map[string]*bucket{}
	var linksMu sync.Mutex
	linkOf := func(c *upstreamConnection) *bucket {
		name := ""
		if n := f.ownerOf(c); n != nil {
			name = n.name
		}
		linksMu.Lock()
		defer linksMu.Unlock()
		if links[name] == nil {
			links[name] = &bucket{}
		}
		return links[name]
	}
	chunk := bytes.Repeat([]byte("x"), 16<<10)
	troubled := map[string]bool{}
	for i := range endlessServers {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), service: service, zone: zones[i%len(zones)], slots: 4, queue: 16, ledger: l, sharded: true,
			work: func() time.Duration { return time.Duration(110+rand.IntN(220)) * time.Millisecond },
		}
		own := &bucket{}
		if i < endlessTroubled {
			troubled[u.id] = true
			u.answer = func(_ *upstream, c *upstreamConnection, text []byte) {
				head, _, _ := bytes.Cut(text, []byte("\r\n\r\n"))
				if !isTrouble.Load() || !bytes.HasPrefix(head, []byte("HTTP/1.1 200 ")) {
					_, _ = c.Write(text)
					return
				}
				endless.Add(1)
				link := linkOf(c)
				_, err := c.Write(append(withoutLength(head), "\r\n\r\n"...))
				for err == nil {
					own.take(len(chunk))
					link.take(len(chunk))
					_, err = c.Write(chunk)
				}
			}
		}
		if err := f.addUpstream(u); err != nil {
			return false, err
		}
	}
	f.configure(map[string]redwingstall.ServiceSpec{service: {Name: service, HealthPath: "/health", MaxConnections: 110, Sharded: true, Warmup: 3 * time.Second, WarmupRate: 5.7}},
		redwingstall.Route{Name: "catalogus", Host: "hulo84.example", Prefix: "/leny950/", Kind: redwingstall.KindSafe, Timeout: 1500 * time.Millisecond, Target: 600 * time.Millisecond,
			Priority: 2, MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: service, Weight: 1}}})
	if err := f.startNodes(1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	g := &guard{kills: map[string]int{}, peaks: map[string]int64{}}
	var watching sync.WaitGroup
	clients := []*client{}
	for _, n := range f.nodes {
		clients = append(clients, &client{address: n.front()})
		watching.Go(func() { g.watch(s, n, done) })
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	statuses, lost, sent := map[int]int{}, 0, 0
	from := time.Now()
	for time.Since(from) < endlessTime {
		if s.isTrouble && time.Since(from) > endlessFrom && !isTrouble.Swap(true) {
			s.record.printf("trouble: %d of %d upstreams answer without end", endlessTroubled, endlessServers)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / endlessRate))
		r := request{ID: newID(), Method: http.MethodGet, Host: "hulo84.example", Path: "/leny950/2f", Key: rand.IntN(65536), Deadline: 1500 * time.Millisecond}
		c := clients[rand.IntN(len(clients))]
		sent++
		running.Go(func() {
			arrived := time.Now()
			for attempt := 0; ; attempt++ {
				a := c.send(r)
				mu.Lock()
				statuses[a.Status]++
				if upstream, isLost := l.lostAt(r.ID, a, troubled); isLost {
					lost++
					s.record.printf("LOST: request %s, at which the sound upstream %s worked, ends with its kept connection: %v", r.ID, upstream, a.Err)
				}
				mu.Unlock()
				if a.Status == http.StatusOK || attempt == clientRetries {
					return
				}
				time.Sleep(retryAfter(a))
				r.ID, r.Deadline = newID(), 1500*time.Millisecond-time.Since(arrived)
				if r.Deadline < 50*time.Millisecond {
					return
				}
				c = &client{address: clients[rand.IntN(len(clients))].address} // on a new connection
			}
		})
	}
	running.Wait()
	close(done)
	watching.Wait()
	s.record.printf("sent %d, answered by status %v (0: none), run %d, answers without end %d", sent, statuses, l.total(), endless.Load())
	for _, n := range f.nodes {
		s.record.printf("%s: killed %d times, at most %d MB", n.name, g.kills[n.name], g.peaks[n.name]>>20)
	}
	s.record.printf("lost at sound upstreams: %d, %d are allowed", lost, maxLost)
	return lost > maxLost, nil
}

// lostAt returns the sound upstream that worked on a request whose kept connection ended without
// an answer.
func (l *ledger) lostAt(id string, a answer, troubled map[string]bool) (upstream string, isLost bool) {
	if a.Err == nil || !a.WasKept {
		return "", false
	}
	for _, run := range l.of(id) {
		if !troubled[run.Upstream] {
			return run.Upstream, true
		}
	}
	return "", false
}

// retryAfter returns how long a client waits before it comes back.
func retryAfter(a answer) time.Duration {
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// withoutLength removes the length from the head of an answer.
func withoutLength(head []byte) []byte {
	kept := [][]byte{}
	for _, line := range bytes.Split(head, []byte("\r\n")) {
		if !bytes.HasPrefix(line, []byte("Content-Length:")) {
			kept = append(kept, line)
		}
	}
	return bytes.Join(kept, []byte("\r\n"))
}
