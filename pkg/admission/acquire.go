package admission

import (
	"context"
	"time"
)

// Request asks for room at a server.
type Request struct {
	// Server is the only one that will do; empty means any of the pool.
	Server string
	// Avoid is a server that is taken only if there is no other.
	Avoid      string
	Background bool
	Deadline   time.Time
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
		outcome.lease.Return()
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
