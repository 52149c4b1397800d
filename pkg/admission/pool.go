package admission

import (
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
	// Own counts the requests of this home instance at the server, and Sent
	// those that it had under way when it asked.
	Own  int
	Sent int
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
	// What the server counts beyond the requests that were under way all along
	// was given up here and goes on there.
	s.lingering = max(seen.Own-min(seen.Sent, s.inFlight), 0)
	if s.open && !seen.Open {
		refuseAll(s.queue.drain(), ReasonServerOut)
	}
	if !s.open && seen.Open {
		s.failures = 0
	}
	s.open = seen.Open
	p.serve()
}

// InFlight returns the requests under way at a server, and whether there are
// slots that only the server can give back.
func (p *Pool) InFlight(name string) (n int, isLingering bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return 0, false
	}
	return s.inFlight, s.lingering > 0
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

// Return gives the slot back of an attempt that was never sent.
func (l *Lease) Return() {
	l.EndAfter(VerdictRefused, 0)
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
