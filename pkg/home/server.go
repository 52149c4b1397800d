package home

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/admission"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/grant"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// server is one backend server while this instance is its home.
type server struct {
	config templates.Server
	client *backend.Client
	loads  *loads
	kick   chan struct{}

	mu         sync.Mutex
	issuer     *grant.Issuer
	lastAnswer time.Time
	lost       bool
	draining   bool
	// alive ends when the server is found lost.
	alive context.Context
	lose  context.CancelFunc
}

func newServer(config templates.Server, lifetime time.Duration, now time.Time) *server {
	s := &server{
		config:     config,
		client:     backend.NewClient(config.Address, config.Connections),
		loads:      newLoads(now),
		kick:       make(chan struct{}, 1),
		issuer:     grant.NewIssuer(lifetime),
		lastAnswer: now,
	}
	s.alive, s.lose = context.WithCancel(context.Background())
	return s
}

// errServerLost ends the attempts at a server that answers no orders any more.
var errServerLost = errors.New("home: the backend server is lost")

// bind returns a context that also ends when the server is found lost: an
// attempt that is stuck there can then be made elsewhere, where that is safe.
func (s *server) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	alive := s.alive
	s.mu.Unlock()
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(alive, func() { cancel(errServerLost) })
	return bound, func() {
		stop()
		cancel(nil)
	}
}

// wake asks for the next order at once.
func (s *server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

const (
	// ordersBeforeLoss is the number of orders that may go unanswered, one after
	// the other, within the time after which a server is lost.
	ordersBeforeLoss = 4
	missedPause      = 50 * time.Millisecond
	// lingeringPause is the time between two orders while the server may run
	// attempts that were given up here.
	lingeringPause = 20 * time.Millisecond
)

// pooledRounds is the number of voting rounds between two orders to a server
// that needs no grants renewed.
const pooledRounds = 3

// loop sends orders until the context ends.
func (p *pool) loop(ctx context.Context, s *server) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.kick:
		}
		answered := p.exchange(ctx, s)
		timer.Reset(p.nextOrder(s, answered))
	}
}

// nextOrder returns the time until the next order. A server that missed one is
// asked again soon, whatever its kind.
func (p *pool) nextOrder(s *server, answered bool) time.Duration {
	period := p.homes.common.Settings.Timing.ConfirmEvery
	_, isLingering := p.admission.InFlight(s.config.Name)
	switch {
	case isLingering:
		return lingeringPause
	case !answered && !s.isLost():
		return missedPause
	case answered && p.info.Service.Kind != templates.KindKeyed:
		return pooledRounds * period
	}
	return period
}

// exchange sends one order, a grant where one is justified, learns from the
// answer, and reports whether there was one.
func (p *pool) exchange(ctx context.Context, s *server) bool {
	timing := p.homes.common.Settings.Timing
	bounded, cancel := context.WithTimeout(ctx, timing.ServerLostAfter/ordersBeforeLoss)
	defer cancel()
	order, justified := p.grantOrder(s)
	sent, _ := p.admission.InFlight(s.config.Name)
	var answer redwingstall.OrderResponse
	var err error
	if justified {
		answer, err = s.client.Grant(bounded, order)
	} else {
		answer, err = s.client.Status(bounded)
	}
	if ctx.Err() != nil {
		return false
	}
	now := p.homes.common.Clock.Now()
	if err != nil {
		p.missed(s, now)
		return false
	}
	p.homes.common.Count("orders.answered")
	p.learn(s, now, answer, sent)
	return true
}

func (p *pool) grantOrder(s *server) (redwingstall.GrantOrder, bool) {
	if p.info.Service.Kind != templates.KindKeyed {
		return redwingstall.GrantOrder{}, false
	}
	// The time of the round is read before the record: a grant must not rest on
	// a record older than the round.
	confirmed := p.homes.candidate.Confirmed()
	record, _ := p.homes.view.Assignment(p.info.Account, p.info.Service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.issuer.BuildOrder(p.info.Service.Name, confirmed, record.Grants(s.config.Name))
}

// missed counts an order without an answer.
func (p *pool) missed(s *server, now time.Time) {
	p.homes.common.Count("orders.missed")
	s.mu.Lock()
	wasLost := s.lost
	if now.Sub(s.lastAnswer) >= p.homes.common.Settings.Timing.ServerLostAfter {
		s.lost = true
		s.lose()
	}
	isLost := s.lost
	s.mu.Unlock()
	if isLost && !wasLost {
		p.homes.common.Count("servers.lost")
		p.homes.signalLoss()
		p.homes.common.Log.Warn("backend server is lost", "server", s.config.Name, "pool", p.info.Name)
	}
	if isLost {
		p.admission.Observe(s.config.Name, admission.Observation{})
	}
}

func (p *pool) learn(s *server, now time.Time, answer redwingstall.OrderResponse, sent int) {
	s.mu.Lock()
	wasLost := s.lost
	isNew := s.issuer.Observe(now, answer)
	s.lastAnswer = now
	if s.lost {
		s.alive, s.lose = context.WithCancel(context.Background())
	}
	s.lost = false
	s.draining = answer.Draining
	s.mu.Unlock()
	if wasLost {
		p.homes.common.Log.Info("backend server answers again", "server", s.config.Name, "pool", p.info.Name)
	}
	if isNew {
		p.homes.common.Count("servers.newBoot")
	}
	foreign := 0
	for home, n := range answer.InFlight {
		if home != p.homes.common.Self.ID {
			foreign += n
		}
	}
	p.admission.Observe(s.config.Name, admission.Observation{
		Boot:           answer.Boot,
		OthersInFlight: foreign,
		OwnInFlight:    answer.InFlight[p.homes.common.Self.ID],
		OwnOutstanding: sent,
		Open:           p.mayWork(s, now),
	})
}

// mayWork reports whether the server may get new work.
func (p *pool) mayWork(s *server, now time.Time) bool {
	s.mu.Lock()
	isUsable := !s.draining && !s.lost && s.issuer.Boot() != ""
	s.mu.Unlock()
	return isUsable && p.homes.view.IsEligible(p.info.Account, s.config, now)
}

// noteDraining takes the server's own word on a request that it leaves.
func (s *server) noteDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *server) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// bootID returns the server's process as last seen.
func (s *server) bootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.issuer.Boot()
}

// report says what this instance sees of the server.
func (s *server) report(now time.Time) redwingstall.ServerReport {
	shards, keys := s.loads.read(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return redwingstall.ServerReport{
		Server:     s.config.Name,
		Lost:       s.lost,
		Draining:   s.draining,
		Boot:       s.issuer.Boot(),
		ShardLoads: shards,
		KeyLoads:   keys,
	}
}
