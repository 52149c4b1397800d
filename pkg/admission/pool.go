package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// Reasons for which a pool refuses a request before it reaches a server.
const (
	ReasonClosed      = "poolClosed"
	ReasonNoServer    = "noServer"
	ReasonServerOut   = "serverOut"
	ReasonDeadline    = "deadlineTooShort"
	ReasonQueueFull   = "queueFull"
	ReasonTimeout     = "queueTimeout"
	ReasonCallerGone  = "callerGone"
	ReasonResting     = "resting"
	ejectAfter        = 3
	ejectFor          = time.Second
	maxQueuePerServer = 1024
)

// RefusalError is a request that no server has seen.
type RefusalError struct {
	Reason string
}

// Error names the reason.
func (e *RefusalError) Error() string { return "admission: " + e.Reason }

// Request asks for room at a server.
type Request struct {
	// Server is the only one that will do; empty means any of the pool.
	Server string
	// Avoid is a server that is taken only if there is no other.
	Avoid      string
	Background bool
	Deadline   time.Time
}

// Pool is the backend servers of one service in one failure domain. The zero
// value is a closed pool without servers. It is safe for concurrent use.
type Pool struct {
	clock redwingstall.Clock

	mu      sync.Mutex
	servers map[string]*server
	order   []string
	// shared holds the requests that any server will do for; those for one
	// server wait in the queue of that server.
	shared queue
	open   bool
}

// NewPool returns a closed pool.
func NewPool(clock redwingstall.Clock) *Pool {
	return &Pool{clock: clock}
}

func (p *Pool) now() time.Time {
	if p.clock == nil {
		return time.Now()
	}
	return p.clock.Now()
}

// Configure sets the servers. Those that stay keep their state; a new one is
// cold and shut until Observe opens it.
func (p *Pool) Configure(configs []ServerConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*server, len(configs))
	p.order = p.order[:0]
	for _, config := range configs {
		s := p.servers[config.Name]
		if s == nil {
			s = newServer(config)
		}
		s.config = config
		s.limit = min(s.limit, float64(config.Slots))
		next[config.Name] = s
		p.order = append(p.order, config.Name)
	}
	for name, s := range p.servers {
		if next[name] == nil {
			refuseAll(s.queue.drain(), ReasonNoServer)
		}
	}
	p.servers = next
}

// Open lets requests in.
func (p *Pool) Open() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = true
	p.serve()
}

// Close refuses every request that waits and all that come. With forget, the
// servers' state is dropped, since another instance now learns it.
func (p *Pool) Close(forget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = false
	refuseAll(p.shared.drain(), ReasonClosed)
	for _, s := range p.servers {
		refuseAll(s.queue.drain(), ReasonClosed)
		if forget {
			s.open = false
			s.boot = ""
			s.chill()
		}
	}
}

// IsOpen reports whether the pool takes requests.
func (p *Pool) IsOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func refuseAll(waiters []*waiter, reason string) {
	for _, w := range waiters {
		w.ready <- result{err: &RefusalError{reason}}
	}
}

// Observation is what the home instance learned of a server from an order.
type Observation struct {
	Boot string
	// Foreign counts the requests of other home instances at the server.
	Foreign int
	// Open is set if the server may get new work.
	Open bool
}

// Observe takes over what an order told. A new boot starts the ramp anew.
func (p *Pool) Observe(name string, seen Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	if seen.Boot != "" && seen.Boot != s.boot {
		if s.boot != "" {
			s.chill()
		}
		s.boot = seen.Boot
	}
	s.foreign = seen.Foreign
	if s.open && !seen.Open {
		refuseAll(s.queue.drain(), ReasonServerOut)
	}
	if !s.open && seen.Open {
		s.failures = 0
	}
	s.open = seen.Open
	p.serve()
}

// Restore sets a limit that a former home instance handed over, if the server
// has not started anew since.
func (p *Pool) Restore(limit redwingstall.ServerLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[limit.Server]
	if s == nil || s.boot != "" && s.boot != limit.Boot {
		return
	}
	s.boot = limit.Boot
	s.limit = min(max(limit.Limit, float64(s.config.ColdLimit)), float64(s.config.Slots))
}

// Limits returns the state to hand over.
func (p *Pool) Limits() []redwingstall.ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := make([]redwingstall.ServerLimit, 0, len(p.order))
	for _, name := range p.order {
		s := p.servers[name]
		limits = append(limits, redwingstall.ServerLimit{Server: name, Limit: s.limit, Boot: s.boot})
	}
	return limits
}

// Lease is a slot of a server. End must be called once.
type Lease struct {
	pool       *Pool
	server     string
	background bool
	started    time.Time
}

// Server names the server.
func (l *Lease) Server() string { return l.server }

// End gives the slot back and teaches the pool how the attempt went.
func (l *Lease) End(verdict Verdict) {
	l.EndAfter(verdict, l.pool.now().Sub(l.started))
}

// EndAfter is End with the time to the first byte, where the rest of the
// answer says nothing of the server's speed.
func (l *Lease) EndAfter(verdict Verdict, took time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	s := l.pool.servers[l.server]
	if s == nil {
		return
	}
	s.end(l.background, verdict, took)
	if verdict == VerdictShed {
		l.pool.restServer(s)
	}
	if s.failures >= ejectAfter && l.pool.mayEject() {
		s.ejected = l.pool.now().Add(ejectFor)
		s.failures = 0
	}
	l.pool.serve()
}

// restServer leaves a server alone for a while, and then serves who waits for it.
func (p *Pool) restServer(s *server) {
	rest := s.rest()
	s.rested = p.now().Add(rest)
	time.AfterFunc(rest, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serve()
	})
}

// mayEject keeps at least half of the servers in use.
func (p *Pool) mayEject() bool {
	out := 0
	for _, s := range p.servers {
		if p.now().Before(s.ejected) {
			out++
		}
	}
	return 2*(out+1) <= len(p.servers)
}

// Acquire waits for a slot until the request's deadline, or refuses early what
// the queue ahead makes hopeless.
func (p *Pool) Acquire(ctx context.Context, request Request) (*Lease, error) {
	w := &waiter{
		server:     request.Server,
		avoid:      request.Avoid,
		background: request.Background,
		deadline:   request.Deadline,
		ready:      make(chan result, 1),
	}
	if lease, err := p.enter(w); lease != nil || err != nil {
		return lease, err
	}
	timer := time.NewTimer(request.Deadline.Sub(p.now()))
	defer timer.Stop()
	select {
	case outcome := <-w.ready:
		return outcome.lease, outcome.err
	case <-timer.C:
		return p.leave(w, ReasonTimeout)
	case <-ctx.Done():
		return p.leave(w, ReasonCallerGone)
	}
}

// enter starts a request, or queues it, or refuses it.
func (p *Pool) enter(w *waiter) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return nil, &RefusalError{ReasonClosed}
	}
	if w.server != "" {
		if s := p.servers[w.server]; s == nil || !s.open {
			return nil, &RefusalError{ReasonServerOut}
		}
	}
	q := p.queueOf(w)
	if q.ahead(w.background) == 0 {
		if s := p.choose(w); s != nil {
			return p.start(w, s), nil
		}
	}
	if !p.hasServer(func(s *server) bool { return s.open }) {
		return nil, &RefusalError{ReasonNoServer}
	}
	now := p.now()
	if w.server == "" && !p.hasServer(func(s *server) bool { return s.open && !now.Before(s.rested) }) {
		return nil, &RefusalError{ReasonResting}
	}
	if q.len() >= maxQueuePerServer {
		return nil, &RefusalError{ReasonQueueFull}
	}
	if p.expectedWait(w, q) > w.deadline.Sub(p.now()) {
		return nil, &RefusalError{ReasonDeadline}
	}
	q.push(w)
	return nil, nil
}

func (p *Pool) queueOf(w *waiter) *queue {
	if w.server == "" {
		return &p.shared
	}
	return &p.servers[w.server].queue
}

func (p *Pool) hasServer(test func(*server) bool) bool {
	for _, s := range p.servers {
		if test(s) {
			return true
		}
	}
	return false
}

// expectedWait estimates the time until a slot is free for the request.
func (p *Pool) expectedWait(w *waiter, q *queue) time.Duration {
	limit, latency, servers := 0.0, 0.0, 0
	for name, s := range p.servers {
		if !s.open || w.server != "" && w.server != name {
			continue
		}
		limit += s.limit
		latency += s.latency.seconds()
		servers++
	}
	if servers == 0 || limit == 0 {
		return 0
	}
	turns := float64(q.ahead(w.background)+1) / limit
	return time.Duration(turns * latency / float64(servers) * float64(time.Second))
}

// leave takes a waiter out of the queue. If it got its slot at the same
// moment, the slot goes back.
func (p *Pool) leave(w *waiter, reason string) (*Lease, error) {
	p.mu.Lock()
	removed := p.shared.remove(w)
	for _, s := range p.servers {
		removed = s.queue.remove(w) || removed
	}
	p.mu.Unlock()
	if removed {
		return nil, &RefusalError{reason}
	}
	outcome := <-w.ready
	if outcome.lease != nil {
		outcome.lease.End(VerdictCanceled)
	}
	return nil, &RefusalError{reason}
}

// choose returns the cheapest server with room, or nil.
func (p *Pool) choose(w *waiter) *server {
	if w.server != "" {
		if s := p.servers[w.server]; s != nil && s.hasRoom(w.background, p.now()) {
			return s
		}
		return nil
	}
	now := p.now()
	var best *server
	bestCost := 0.0
	for _, name := range p.order {
		s := p.servers[name]
		if !s.hasRoom(w.background, now) {
			continue
		}
		cost := s.cost() * penalty(s, w, now)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// penalty makes a server the last choice without taking it out.
func penalty(s *server, w *waiter, now time.Time) float64 {
	const lastChoice = 1e6
	if s.config.Name == w.avoid || now.Before(s.ejected) {
		return lastChoice
	}
	return 1
}

func (p *Pool) start(w *waiter, s *server) *Lease {
	s.start(w.background)
	return &Lease{pool: p, server: s.config.Name, background: w.background, started: p.now()}
}

// serve starts every waiter that there is room for.
func (p *Pool) serve() {
	if !p.open {
		return
	}
	for _, name := range p.order {
		s := p.servers[name]
		for p.serveOne(&s.queue) {
			continue
		}
	}
	for p.serveOne(&p.shared) {
		continue
	}
}

func (p *Pool) serveOne(q *queue) bool {
	var target *server
	w := q.first(func(w *waiter) bool {
		target = p.choose(w)
		return target != nil
	})
	if w == nil {
		return false
	}
	q.remove(w)
	w.ready <- result{lease: p.start(w, target)}
	return true
}

// ServerStatus is the state of a server for operators.
type ServerStatus struct {
	Name      string  `json:"name"`
	Open      bool    `json:"open"`
	Limit     float64 `json:"limit"`
	InFlight  int     `json:"inFlight"`
	Foreign   int     `json:"foreign"`
	Queued    int     `json:"queued"`
	LatencyMS float64 `json:"latencyMillis"`
	Boot      string  `json:"boot"`
}

// Status returns the state of every server and the length of the shared queue.
func (p *Pool) Status() ([]ServerStatus, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]ServerStatus, 0, len(p.order))
	const millisPerSecond = 1000
	for _, name := range p.order {
		s := p.servers[name]
		rows = append(rows, ServerStatus{
			Name:      name,
			Open:      s.open,
			Limit:     s.limit,
			InFlight:  s.inFlight,
			Foreign:   s.foreign,
			Queued:    s.queue.len(),
			LatencyMS: s.latency.seconds() * millisPerSecond,
			Boot:      s.boot,
		})
	}
	return rows, p.shared.len()
}

// Cost is the time a further request is likely to take in the pool, in
// seconds: what an entry instance compares pools by.
func (p *Pool) Cost() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1.0
	now := p.now()
	for _, s := range p.servers {
		if !s.open {
			continue
		}
		cost := s.cost() + max(s.rested.Sub(now), 0).Seconds()
		if best < 0 || cost < best {
			best = cost
		}
	}
	if best < 0 {
		return best
	}
	return best * float64(1+p.shared.len())
}

// String renders the pool's size for logs.
func (p *Pool) String() string {
	rows, queued := p.Status()
	return fmt.Sprintf("pool of %d servers, %d queued", len(rows), queued)
}
