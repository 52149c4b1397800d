package admission

import (
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
)

// The reasons with which a pool refuses a request without sending it, and the
// limits of ejection and queueing.
const (
	ReasonPoolClosed   = "poolClosed"
	ReasonNoServer     = "noServer"
	ReasonServerClosed = "serverOut"
	ReasonDeadline     = "deadlineTooShort"
	ReasonQueueFull    = "queueFull"
	ReasonQueueTimeout = "queueTimeout"
	ReasonCallerGone   = "callerGone"
	ReasonBackoff      = "resting"
	ejectAfterFailures = 3
	ejectDuration      = time.Second
	maxQueuePerServer  = 1024
)

// RefusalError is returned for a request that was not sent to any server.
type RefusalError struct {
	Reason string
}

// Error names the reason.
func (e *RefusalError) Error() string { return "admission: " + e.Reason }

// Pool admits requests to the backend servers of one service in one failure
// domain. The zero value is a closed pool without servers. It is safe for
// concurrent use.
type Pool struct {
	clock redwingstall.Clock

	mu      sync.Mutex
	servers map[string]*server
	// serverNames keeps the order of the configuration.
	serverNames []string
	// shared queues the requests that any server may run. A request for one
	// particular server waits in the queue of that server.
	shared queue
	isOpen bool
}

// NewPool returns a closed pool without servers.
func NewPool(clock redwingstall.Clock) *Pool {
	return &Pool{clock: clock}
}

func (p *Pool) now() time.Time {
	if p.clock == nil {
		return time.Now()
	}
	return p.clock.Now()
}

// Configure sets the servers. Servers that remain keep their state. A new server
// is cold and closed until Observe opens it. Requests that wait for a removed
// server are refused.
func (p *Pool) Configure(configs []ServerConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*server, len(configs))
	p.serverNames = p.serverNames[:0]
	for _, config := range configs {
		s := p.servers[config.Name]
		if s == nil {
			s = newServer(config)
		}
		s.config = config
		s.limit = min(s.limit, float64(config.Slots))
		next[config.Name] = s
		p.serverNames = append(p.serverNames, config.Name)
	}
	for name, s := range p.servers {
		if next[name] == nil {
			refuseAll(s.queue.drain(), ReasonNoServer)
		}
	}
	p.servers = next
}

// Open starts to admit requests.
func (p *Pool) Open() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isOpen = true
	p.dispatchWaiters()
}

// Close refuses all waiting and all further requests. With dropState, it also
// closes the servers and drops their boot ids and limits, because another
// instance observes them from then on.
func (p *Pool) Close(dropState bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isOpen = false
	refuseAll(p.shared.drain(), ReasonPoolClosed)
	for _, s := range p.servers {
		refuseAll(s.queue.drain(), ReasonPoolClosed)
		if dropState {
			s.isOpen = false
			s.boot = ""
			s.resetLimit()
		}
	}
}

// IsOpen reports whether the pool admits requests.
func (p *Pool) IsOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isOpen
}

func refuseAll(waiters []*waiter, reason string) {
	for _, w := range waiters {
		w.ready <- result{err: &RefusalError{reason}}
	}
}

// Observation is what a server's response to an order says about the server.
type Observation struct {
	Boot string
	// OthersInFlight counts the requests of other home instances at the server.
	OthersInFlight int
	// OwnInFlight is the number of requests of this home instance that the server
	// reports as in flight.
	OwnInFlight int
	// OwnOutstanding is the number of requests that the home instance itself counted
	// as in flight at the server when it sent the order.
	OwnOutstanding int
	// Open is set if the server may receive new requests.
	Open bool
}

// Observe updates a server's state by an observation. A changed boot id means
// that the server restarted: it is cold again. A server that closes has its
// waiting requests refused.
func (p *Pool) Observe(name string, seen Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	if seen.Boot != "" && seen.Boot != s.boot {
		if s.boot != "" {
			s.resetLimit()
		}
		s.boot = seen.Boot
	}
	s.othersInFlight = seen.OthersInFlight
	// The server counts more requests than were in flight both when the order was
	// sent and now: the rest were abandoned here and still run there.
	s.abandoned = max(seen.OwnInFlight-min(seen.OwnOutstanding, s.inFlight), 0)
	if s.isOpen && !seen.Open {
		refuseAll(s.queue.drain(), ReasonServerClosed)
	}
	if !s.isOpen && seen.Open {
		s.consecutiveFailures = 0
	}
	s.isOpen = seen.Open
	p.dispatchWaiters()
}

// InFlight returns the number of requests in flight at a server, and whether
// abandoned attempts hold further slots, which only an observation frees.
func (p *Pool) InFlight(name string) (n int, hasAbandoned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return 0, false
	}
	return s.inFlight, s.abandoned > 0
}

// Restore sets the limit that a former home instance handed over, unless the
// server has restarted since.
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

// Limits returns the limits and boot ids of all servers, to hand over to the next
// home instance.
func (p *Pool) Limits() []redwingstall.ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := make([]redwingstall.ServerLimit, 0, len(p.serverNames))
	for _, name := range p.serverNames {
		s := p.servers[name]
		limits = append(limits, redwingstall.ServerLimit{Server: name, Limit: s.limit, Boot: s.boot})
	}
	return limits
}

// Lease is the right to use one slot of a server. Exactly one of End,
// EndWithLatency and Release must be called, once.
type Lease struct {
	pool       *Pool
	server     string
	background bool
	started    time.Time
}

// Server names the server.
func (l *Lease) Server() string { return l.server }

// End frees the slot and records the result of the attempt. The latency is the
// time since the lease was acquired.
func (l *Lease) End(result AttemptResult) {
	l.EndWithLatency(result, l.pool.now().Sub(l.started))
}

// Release frees the slot of an attempt that was never sent.
func (l *Lease) Release() {
	l.EndWithLatency(AttemptRefused, 0)
}

// EndWithLatency is like End with an explicit latency: the time to the first byte, for
// responses whose remaining transfer time does not depend on the server's speed.
func (l *Lease) EndWithLatency(result AttemptResult, latency time.Duration) {
	l.end(result, latency, 0)
}

// EndShed records that the server refused the request for lack of capacity and wants no
// requests for a time, which is zero if it named none.
func (l *Lease) EndShed(latency, retryAfter time.Duration) {
	l.end(AttemptShed, latency, retryAfter)
}

func (l *Lease) end(result AttemptResult, latency, retryAfter time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	s := l.pool.servers[l.server]
	if s == nil {
		return
	}
	s.end(l.background, result, latency)
	if result == AttemptShed {
		l.pool.backOff(s, retryAfter)
	}
	if s.consecutiveFailures >= ejectAfterFailures && l.pool.canEject() {
		s.ejectedUntil = l.pool.now().Add(ejectDuration)
		s.consecutiveFailures = 0
	}
	l.pool.dispatchWaiters()
}

// backOff sends a server that shed a request nothing for the backoff time, or the longer one
// that it named, and dispatches its waiters afterwards.
func (p *Pool) backOff(s *server, retryAfter time.Duration) {
	backoff := max(s.shedBackoff(), retryAfter)
	if until := p.now().Add(backoff); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	time.AfterFunc(backoff, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatchWaiters()
	})
}

// canEject reports whether one more server may be ejected. At least half of the
// servers stay in use.
func (p *Pool) canEject() bool {
	ejected := 0
	for _, s := range p.servers {
		if p.now().Before(s.ejectedUntil) {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(p.servers)
}

// ServerStatus is the state of a server as shown to operators.
type ServerStatus struct {
	Name           string  `json:"name"`
	Open           bool    `json:"open"`
	Limit          float64 `json:"limit"`
	InFlight       int     `json:"inFlight"`
	OthersInFlight int     `json:"foreign"`
	Queued         int     `json:"queued"`
	LatencyMS      float64 `json:"latencyMillis"`
	Boot           string  `json:"boot"`
}

// Status returns the state of every server and the length of the shared queue.
func (p *Pool) Status() ([]ServerStatus, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]ServerStatus, 0, len(p.serverNames))
	const millisPerSecond = 1000
	for _, name := range p.serverNames {
		s := p.servers[name]
		rows = append(rows, ServerStatus{
			Name:           name,
			Open:           s.isOpen,
			Limit:          s.limit,
			InFlight:       s.inFlight,
			OthersInFlight: s.othersInFlight,
			Queued:         s.queue.len(),
			LatencyMS:      s.latency.seconds() * millisPerSecond,
			Boot:           s.boot,
		})
	}
	return rows, p.shared.len()
}

// IsWaitedFor reports whether requests wait for a slot of a server.
func (p *Pool) IsWaitedFor(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	return p.shared.len() > 0 || s != nil && s.queue.len() > 0
}

// Cost estimates the seconds that a further request takes in the pool. Entry
// instances compare pools by it. It is negative if no server is open.
func (p *Pool) Cost() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1.0
	now := p.now()
	for _, s := range p.servers {
		if !s.isOpen {
			continue
		}
		cost := s.cost() + max(s.backoffUntil.Sub(now), 0).Seconds()
		if best < 0 || cost < best {
			best = cost
		}
	}
	if best < 0 {
		return best
	}
	return best * float64(1+p.shared.len())
}
