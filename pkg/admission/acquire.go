package admission

import (
	"context"
	"time"
)

// Request asks for a slot of a server.
type Request struct {
	// Server is the required server; empty accepts any server of the pool.
	Server string
	// Avoid is a server to select only if no other has capacity.
	Avoid      string
	Background bool
	Deadline   time.Time
}

// Acquire waits for a slot until the request's deadline or the end of the
// context. It refuses at once if the expected wait in the queue is longer than
// the time left. Refusals are of type [*RefusalError].
func (p *Pool) Acquire(ctx context.Context, request Request) (*Lease, error) {
	w := &waiter{
		server:     request.Server,
		avoid:      request.Avoid,
		background: request.Background,
		deadline:   request.Deadline,
		ready:      make(chan result, 1),
	}
	if lease, err := p.admitOrEnqueue(w); lease != nil || err != nil {
		return lease, err
	}
	timer := time.NewTimer(request.Deadline.Sub(p.now()))
	defer timer.Stop()
	select {
	case outcome := <-w.ready:
		return outcome.lease, outcome.err
	case <-timer.C:
		return p.cancelWait(w, ReasonQueueTimeout)
	case <-ctx.Done():
		return p.cancelWait(w, ReasonCallerGone)
	}
}

// admitOrEnqueue admits, queues or refuses a request. It returns neither a lease
// nor an error for a queued request.
func (p *Pool) admitOrEnqueue(w *waiter) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOpen {
		return nil, &RefusalError{ReasonPoolClosed}
	}
	if w.server != "" {
		if s := p.servers[w.server]; s == nil || !s.isOpen {
			return nil, &RefusalError{ReasonServerClosed}
		}
	}
	q := p.queueOf(w)
	if q.ahead(w.background) == 0 {
		if s := p.selectServer(w); s != nil {
			return p.start(w, s), nil
		}
	}
	if !p.hasServer(func(s *server) bool { return s.isOpen }) {
		return nil, &RefusalError{ReasonNoServer}
	}
	now := p.now()
	if w.server == "" && !p.hasServer(func(s *server) bool { return s.isOpen && !now.Before(s.backoffUntil) }) {
		return nil, &RefusalError{ReasonBackoff}
	}
	if w.server != "" && p.servers[w.server].backoffUntil.After(w.deadline) {
		return nil, &RefusalError{ReasonBackoff}
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

// expectedWait estimates the time until a slot is free for the request: the
// rounds of requests ahead of it, times the mean latency of the open servers.
func (p *Pool) expectedWait(w *waiter, q *queue) time.Duration {
	limit, latency, servers := 0.0, 0.0, 0
	for name, s := range p.servers {
		if !s.isOpen || w.server != "" && w.server != name {
			continue
		}
		limit += s.limit
		latency += s.latency.seconds()
		servers++
	}
	if servers == 0 || limit == 0 {
		return 0
	}
	rounds := float64(q.ahead(w.background)+1) / limit
	return time.Duration(rounds * latency / float64(servers) * float64(time.Second))
}

// cancelWait removes a waiter from its queue and returns the refusal. If the
// waiter received a slot concurrently, the slot is returned.
func (p *Pool) cancelWait(w *waiter, reason string) (*Lease, error) {
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
		outcome.lease.Release()
	}
	return nil, &RefusalError{reason}
}

// selectServer returns the server with capacity that has the lowest cost, or nil.
func (p *Pool) selectServer(w *waiter) *server {
	if w.server != "" {
		if s := p.servers[w.server]; s != nil && s.hasCapacity(w.background, p.now()) {
			return s
		}
		return nil
	}
	now := p.now()
	var best *server
	bestCost := 0.0
	for _, name := range p.serverNames {
		s := p.servers[name]
		if !s.hasCapacity(w.background, now) {
			continue
		}
		cost := s.cost() * selectionPenalty(s, w, now)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// selectionPenalty is the cost factor that makes an ejected or avoided server
// the last choice without excluding it.
func selectionPenalty(s *server, w *waiter, now time.Time) float64 {
	const lastChoicePenalty = 1e6
	if s.config.Name == w.avoid || now.Before(s.ejectedUntil) {
		return lastChoicePenalty
	}
	return 1
}

// start counts the request at the server and returns its lease.
func (p *Pool) start(w *waiter, s *server) *Lease {
	s.start(w.background)
	return &Lease{pool: p, server: s.config.Name, background: w.background, started: p.now()}
}

// dispatchWaiters admits every waiter that a server has capacity for. Waiters
// for one particular server go before those of the shared queue.
func (p *Pool) dispatchWaiters() {
	if !p.isOpen {
		return
	}
	for _, name := range p.serverNames {
		s := p.servers[name]
		for p.dispatchNext(&s.queue) {
			continue
		}
	}
	for p.dispatchNext(&p.shared) {
		continue
	}
}

// dispatchNext admits the first waiter of a queue that a server has capacity
// for, and reports whether there was one.
func (p *Pool) dispatchNext(q *queue) bool {
	var target *server
	w := q.first(func(w *waiter) bool {
		target = p.selectServer(w)
		return target != nil
	})
	if w == nil {
		return false
	}
	q.remove(w)
	w.ready <- result{lease: p.start(w, target)}
	return true
}
