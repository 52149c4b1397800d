//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	lossTime  = 4500 * time.Millisecond // platform_lost, for_s
	lossShare = 0.35                    // platform_lost, x
	lateness  = 3 * time.Second         // done 1 to 6 s later

	machineCount = 8
	// warmCount is the number of upstreams at the start. Each of the two that join is at most a quarter.
	warmCount = 4

	warmupRate    = 5.7 // warmup_per_s of the service
	warmupOverrun = 1.5
	warmupSlack   = 5.0
	// crashAbove is the number of requests in a second above which a cold stand-in crashes: five
	// times warmup_per_s, and twice what the rule allows.
	crashAbove = 28
)

// lossyStore loses the answers of some writes, and carries these out late.
type lossyStore struct {
	store  http.Handler
	record *record

	mu     sync.Mutex
	until  time.Time
	seen   map[string]bool
	writes int
	lost   int
	// hits is how many machines lose an answer, and isRandom set if any writes do.
	hits     int
	isRandom bool
}

func (s *lossyStore) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	isWrite := q.Method == http.MethodPost && !strings.HasPrefix(q.URL.Path, "/-/kv-keep/")
	if !isWrite {
		s.store.ServeHTTP(w, q)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.isLost(q.URL.Path, body) {
		time.AfterFunc(lateness, func() {
			late := httptest.NewRequest(q.Method, q.URL.String(), bytes.NewReader(body))
			answer := httptest.NewRecorder()
			s.store.ServeHTTP(answer, late)
			s.record.printf("store: a write that was not answered is done late, status %d", answer.Code)
		})
		<-q.Context().Done() // the caller gives up
		panic(http.ErrAbortHandler)
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	s.store.ServeHTTP(w, q)
}

// isLost chooses the first transaction that names a machine, of as many machines as hits says. With
// LOST=random it draws each write by itself, with the share that the site names.
func (s *lossyStore) isLost(path string, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.until) {
		return false
	}
	s.writes++
	if s.isRandom {
		isLost := rand.Float64() < lossShare
		if isLost {
			s.lost++
		}
		return isLost
	}
	if !strings.HasSuffix(path, "/kv-txn") || s.lost == s.hits {
		return false
	}
	_, rest, found := strings.Cut(string(body), "redwingstall/instance/")
	name, _, _ := strings.Cut(rest, `"`)
	if !found || s.seen[name] {
		return false
	}
	s.seen[name] = true
	s.lost++
	s.record.printf("store: the first write of %s is not answered", name)
	return true
}

// lostRegistration starts eight machines while the store loses answers of writes, and adds cold
// upstreams to a busy service later.
func lostRegistration(r *record, hasTrouble bool) (isBroken bool, err error) {
	f, err := newFleet(gszStemmen, r)
	if err != nil {
		return false, err
	}
	defer f.close()
	lossy := &lossyStore{store: f.store, record: r, seen: map[string]bool{}, hits: machineCount, isRandom: os.Getenv("LOST") == "random"}
	if n, err := strconv.Atoi(os.Getenv("LOST")); err == nil {
		lossy.hits = n
	}
	f.handler = lossy
	if hasTrouble {
		lossy.until = time.Now().Add(lossTime)
	}
	f.store.Configure(redwingstall.Configuration{
		Version: 1,
		Routes: []redwingstall.Route{{
			Name: "activatie", Host: "licentie.example", Prefix: "/a/", Kind: redwingstall.KindUnsafe, Timeout: 1200 * time.Millisecond, Target: 800 * time.Millisecond,
			Priority: 1, MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: "licentie-dienst", Weight: 1}},
		}},
		Services: map[string]redwingstall.ServiceSpec{"licentie-dienst": {
			Name: "licentie-dienst", HealthPath: "/health", MaxConnections: 110, Warmup: 3 * time.Second, WarmupRate: warmupRate,
		}},
		Limits: redwingstall.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	for n := range warmCount {
		if err := f.addUpstream(n, 0); err != nil {
			return false, err
		}
	}
	for range machineCount {
		if _, err := f.addMachine(); err != nil {
			return false, err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(8 * time.Second) {
			return false, fmt.Errorf("%s is not ready", m.name)
		}
	}
	time.Sleep(time.Until(r.began.Add(14 * time.Second)))
	lossy.mu.Lock()
	r.printf("store: %d of %d writes were not answered", lossy.lost, lossy.writes)
	share := float64(lossy.lost) / max(float64(lossy.writes), 1)
	lossy.mu.Unlock()
	if share > lossShare && !lossy.isRandom {
		return false, errors.New("more answers were lost than the site names")
	}
	r.printf("store: %d of %d machines are registered", f.registered(), len(f.machines))

	load := newLoad(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load.run(ctx, 64, time.Second) // 64 requests a second
	time.Sleep(5 * time.Second)
	cold := []*upstream{}
	for n := range 2 {
		if err := f.addUpstream(warmCount+n, 3*time.Second); err != nil {
			return false, err
		}
		u := f.upstreams[warmCount+n]
		r.printf("upstream %s starts cold: %.1f requests a second, %.2f allowed by the rule", u.id, warmupRate, warmupRate*warmupOverrun+warmupSlack)
		cold = append(cold, u)
		time.Sleep(5 * time.Second)
	}
	r.printf("store: %d of %d machines are registered", f.registered(), len(f.machines))
	cancel()
	load.wait()
	for _, u := range cold {
		if u.report(r, load) > warmupRate*warmupOverrun+warmupSlack {
			isBroken = true
		}
	}
	load.report(r)
	return isBroken, nil
}

// registered counts the machines that the store lists.
func (f *fleet) registered() int {
	answer := httptest.NewRecorder()
	f.store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/-/kv-range?prefix=redwingstall/instance/", nil))
	return strings.Count(answer.Body.String(), `"key"`)
}

func (f *fleet) addUpstream(n int, warmup time.Duration) error {
	u := &upstream{
		id: fmt.Sprintf("i-%08x", 0x5a10+n), service: "licentie-dienst", zone: f.site.zones[n%len(f.site.zones)], slots: 4, queue: 16,
		work: 290 * time.Millisecond, body: bytes.Repeat([]byte("x"), 1500), warmup: warmup,
	}
	if warmup > 0 {
		u.crashAbove = crashAbove
	}
	f.upstreams = append(f.upstreams, u)
	return u.start(f, n)
}

// report returns the most requests in a second of the warm-up that were sent and arrived in it.
func (u *upstream) report(r *record, l *load) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for _, first := range u.arrivals {
		from := l.sentAt(first.id)
		count := 0
		for _, a := range u.arrivals {
			sent := l.sentAt(a.id)
			isCold := a.at.Sub(u.startsAt) < u.warmup
			if isCold && !sent.Before(from) && a.at.Sub(from) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	cut := 0
	for id := range u.begun {
		if !u.finished[id] {
			cut++
		}
	}
	state := "did not crash"
	if !u.crashed.IsZero() {
		state = fmt.Sprintf("crashed %v after its start, with %d activations at work", u.crashed.Sub(u.startsAt).Round(time.Millisecond), cut)
	}
	r.printf("upstream %s got up to %d requests in a second of its warm-up, and %s", u.id, most, state)
	return float64(most)
}

// load sends requests at a steady rate.
type load struct {
	fleet   *fleet
	clients sync.WaitGroup

	mu       sync.Mutex
	sent     map[string]time.Time
	statuses map[int]int
}

func newLoad(f *fleet) *load {
	return &load{fleet: f, sent: map[string]time.Time{}, statuses: map[int]int{}}
}

// run starts clients of which each sends a request in each interval.
func (l *load) run(ctx context.Context, clients int, interval time.Duration) {
	for n := range clients {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2200 * time.Millisecond}
		m := l.fleet.machines[n%len(l.fleet.machines)]
		l.clients.Go(func() {
			select {
			case <-time.After(interval * time.Duration(n) / time.Duration(clients)):
			case <-ctx.Done():
				return
			}
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for k := 0; ctx.Err() == nil; k++ {
				l.clients.Go(func() { l.send(client, m, fmt.Sprintf("%04x%012x", n, k)) })
				select {
				case <-ticker.C:
				case <-ctx.Done():
				}
			}
		})
	}
}

func (l *load) send(client *http.Client, m *machine, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/a/x", strings.NewReader(strings.Repeat("b", 300)))
	if err != nil {
		return
	}
	request.Host = "licentie.example"
	request.GetBody = nil
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", "2000")
	l.mu.Lock()
	l.sent[id] = time.Now()
	l.mu.Unlock()
	status := 0
	if answer, err := client.Do(request); err == nil {
		status = answer.StatusCode
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
}

func (l *load) wait() { l.clients.Wait() }

func (l *load) sentAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[id]
}

func (l *load) report(r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := []int{}
	for status := range l.statuses {
		statuses = append(statuses, status)
	}
	slices.Sort(statuses)
	for _, status := range statuses {
		r.printf("clients: %d requests ended with status %d (0: no answer)", l.statuses[status], status)
	}
}
