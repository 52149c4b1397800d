package home

import (
	"context"
	"sync"
	"time"

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
}

func newServer(config templates.Server, lifetime time.Duration, now time.Time) *server {
	return &server{
		config:     config,
		client:     backend.NewClient(config.Address, config.Connections),
		loads:      newLoads(now),
		kick:       make(chan struct{}, 1),
		issuer:     grant.NewIssuer(lifetime),
		lastAnswer: now,
	}
}

// wake asks for the next order at once.
func (s *server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// loop sends orders until the context ends.
func (p *pool) loop(ctx context.Context, s *server) {
	period := p.homes.common.Settings.Timing.ConfirmEvery
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		p.exchange(ctx, s)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.kick:
		}
	}
}

// exchange sends one order, a grant where one is justified, and learns from the
// answer.
func (p *pool) exchange(ctx context.Context, s *server) {
	timing := p.homes.common.Settings.Timing
	bounded, cancel := context.WithTimeout(ctx, timing.ServerLostAfter/2)
	defer cancel()
	order, justified := p.grantOrder(s)
	var answer redwingstall.OrderAnswer
	var err error
	if justified {
		answer, err = s.client.Grant(bounded, order)
	} else {
		answer, err = s.client.Status(bounded)
	}
	if ctx.Err() != nil {
		return
	}
	now := p.homes.common.Clock.Now()
	if err != nil {
		p.missed(s, now)
		return
	}
	p.homes.common.Count("orders.answered")
	p.learn(s, now, answer)
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
	return s.issuer.Order(p.info.Service.Name, confirmed, record.Grants(s.config.Name))
}

// missed counts an order without an answer.
func (p *pool) missed(s *server, now time.Time) {
	p.homes.common.Count("orders.missed")
	s.mu.Lock()
	wasLost := s.lost
	if now.Sub(s.lastAnswer) >= p.homes.common.Settings.Timing.ServerLostAfter {
		s.lost = true
	}
	isLost := s.lost
	s.mu.Unlock()
	if isLost && !wasLost {
		p.homes.common.Count("servers.lost")
		p.homes.common.Log.Warn("backend server is lost", "server", s.config.Name, "pool", p.info.Name)
	}
	if isLost {
		p.admission.Observe(s.config.Name, admission.Observation{})
	}
}

func (p *pool) learn(s *server, now time.Time, answer redwingstall.OrderAnswer) {
	s.mu.Lock()
	wasLost := s.lost
	isNew := s.issuer.Observe(now, answer)
	s.lastAnswer = now
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
		Boot:    answer.Boot,
		Foreign: foreign,
		Open:    p.mayWork(s, now),
	})
}

// mayWork reports whether the server may get new work.
func (p *pool) mayWork(s *server, now time.Time) bool {
	s.mu.Lock()
	isUsable := !s.draining && !s.lost && s.issuer.Boot() != ""
	s.mu.Unlock()
	return isUsable && p.homes.view.MayWork(p.info.Account, s.config, now)
}

// noteDraining takes the server's own word on a request that it leaves.
func (s *server) noteDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// boot returns the server's process as last seen.
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
