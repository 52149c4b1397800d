//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	repeatedAnswerTime = 80 * time.Second
	repeatedAnswerRate = 150 // requests a second
	// troublePeriod is the time from one trouble to the next, each with another upstream.
	troublePeriod = 8 * time.Second
	// greyTime, greyShare: "srv_grey" with "shed" on the site gsz-stemmen. One upstream of eight
	// turns away a share of its requests.
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.45
	// extraTime, extraShare and extraServers: "garble" with "extra late" there. A share of the
	// answers is sent twice by four upstreams of eight.
	extraTime    = 5 * time.Second
	extraShare   = 0.03
	extraServers = 4
)

// playRepeatedAnswer sends requests that may run once to a service divided by key. Some upstreams
// send some of their answers twice; the second copy comes where the next answer is expected.
func playRepeatedAnswer(s *scene) (bool, error) {
	f, l := s.fleet, &ledger{runs: map[string][]run{}}
	const service, servers = "licentie-dienst", 8
	extras := atomic.Int64{}
	// began is the start of the current trouble in Unix nanoseconds, and first its upstream.
	var began, first atomic.Int64
	isIn := func(length time.Duration) bool { return time.Now().UnixNano()-began.Load() < length.Nanoseconds() }
	for i := range servers {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), service: service, zone: zones[i%len(zones)], slots: 4, queue: 16, sharded: true, ledger: l,
			work: func() time.Duration { return time.Duration(40+rand.IntN(120)) * time.Millisecond },
		}
		u.sheds = func(*upstream) bool {
			return isIn(greyTime) && int64(i) == first.Load() && rand.Float64() < greyShare
		}
		u.before = func(_ *upstream, c *upstreamConnection) {
			if c.owed != nil {
				_, _ = c.Write(c.owed)
				c.owed = nil
			}
		}
		u.answer = func(_ *upstream, c *upstreamConnection, text []byte) {
			_, _ = c.Write(text)
			isExtra := isIn(extraTime) && (int64(i)-first.Load()+servers)%servers < extraServers && rand.Float64() < extraShare
			if isExtra {
				extras.Add(1)
				c.owed = text
			}
		}
		if err := f.addUpstream(u); err != nil {
			return false, err
		}
	}
	f.configure(map[string]redwingstall.ServiceSpec{service: {Name: service, HealthPath: "/health", MaxConnections: 110, Sharded: true, Warmup: 3 * time.Second, WarmupRate: 5.7}},
		redwingstall.Route{Name: "activatie", Host: "jepu9.example", Prefix: "/puka111/", Kind: redwingstall.KindUnsafe, Timeout: 1200 * time.Millisecond, Target: 800 * time.Millisecond,
			Priority: 1, MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: service, Weight: 1}}})
	if err := f.startNodes(4); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	clients := []*client{}
	for _, n := range f.nodes {
		clients = append(clients, &client{address: n.front()})
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	next := time.Now().Add(2 * time.Second)
	for end := time.Now().Add(repeatedAnswerTime); time.Now().Before(end); {
		if s.isTrouble && time.Now().After(next) {
			first.Store(rand.Int64N(servers))
			began.Store(time.Now().UnixNano())
			s.record.printf("trouble: upstream i-%08x turns away %.2f of its requests; %d upstreams send %.2f of their answers twice", 0x7f3a0000+first.Load(), greyShare, extraServers, extraShare)
			next = next.Add(troublePeriod)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / repeatedAnswerRate))
		r := request{ID: newID(), Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", Key: rand.IntN(65536), Deadline: 2 * time.Second, Body: []byte("seat=1")}
		c := clients[rand.IntN(len(clients))]
		running.Go(func() {
			a := c.send(r)
			mu.Lock()
			defer mu.Unlock()
			answers[r.ID] = a
		})
	}
	running.Wait()
	time.Sleep(3 * time.Second) // what may still run
	broken := s.checkPromises(l, answers)
	s.record.printf("extra answers: %d", extras.Load())
	return broken > 0, nil
}

// checkPromises checks the rules REFUSED and TWICE for requests that may run once, and records
// what was sent, answered and run.
func (s *scene) checkPromises(l *ledger, answers map[string]answer) (broken int) {
	statuses := map[int]int{}
	for id, a := range answers {
		statuses[a.Status]++
		runs := l.of(id)
		switch a.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs) > 0 {
				broken++
				s.record.printf("REFUSED: request %s was answered %d, and ran at %s at %s", id, a.Status, runs[0].Upstream, runs[0].At.Format("15:04:05.000"))
			}
		}
		if len(runs) > 1 {
			broken++
			s.record.printf("TWICE: request %s ran %d times: %s, %s", id, len(runs), runs[0].Upstream, runs[1].Upstream)
		}
	}
	s.record.printf("sent %d, answered by status %v (0: none), run %d, rule broken for %d", len(answers), statuses, l.total(), broken)
	return broken
}
