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

// server is one backend server of a pool.
type server struct {
	config          templates.Server
	client          *backend.Client
	loads           *loadMeter
	heartbeatSignal chan struct{}

	mu           sync.Mutex
	issuer       *grant.Issuer
	lastResponse time.Time
	lost         bool
	draining     bool
	// aliveCtx ends when the server is declared lost.
	aliveCtx    context.Context
	cancelAlive context.CancelFunc
}

func newServer(config templates.Server, lifetime time.Duration, now time.Time) *server {
	s := &server{
		config:          config,
		client:          backend.NewClient(config.Address, config.Connections),
		loads:           newLoadMeter(now),
		heartbeatSignal: make(chan struct{}, 1),
		issuer:          grant.NewIssuer(lifetime),
		lastResponse:    now,
	}
	s.aliveCtx, s.cancelAlive = context.WithCancel(context.Background())
	return s
}

// errServerLost cancels the attempts at a server that has stopped answering
// heartbeats.
var errServerLost = errors.New("home: backend server does not answer heartbeats")

// errCopiedResponse is the error of a heartbeat that got the response to an earlier one.
var errCopiedResponse = errors.New("home: response to an earlier order")

// isCopy reports whether a response to a heartbeat is that to an earlier one.
func (s *server) isCopy(response redwingstall.OrderResponse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.issuer.IsCopy(response)
}

// cancelOnLoss returns a context that also ends when the server is declared lost.
// An attempt that is blocked at the server can then be retried at another one,
// where that is safe.
func (s *server) cancelOnLoss(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	aliveCtx := s.aliveCtx
	s.mu.Unlock()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(aliveCtx, func() { cancel(errServerLost) })
	return attemptCtx, func() {
		stop()
		cancel(nil)
	}
}

// triggerHeartbeat makes runHeartbeats send the next heartbeat without delay.
func (s *server) triggerHeartbeat() {
	select {
	case s.heartbeatSignal <- struct{}{}:
	default:
	}
}

const (
	// missedHeartbeatsBeforeLoss is the number of consecutive heartbeats that can
	// time out within ServerLostAfter. It sets the timeout of one heartbeat.
	missedHeartbeatsBeforeLoss = 4
	// missedHeartbeatDelay is the time until the next heartbeat after a missed one.
	missedHeartbeatDelay = 50 * time.Millisecond
	// lingeringHeartbeatInterval is the time between two heartbeats while the
	// server may still run attempts that were abandoned here.
	lingeringHeartbeatInterval = 20 * time.Millisecond
)

// pooledHeartbeatRounds is the number of voting rounds between two heartbeats to a
// server that has no grants to renew.
const pooledHeartbeatRounds = 3

// runHeartbeats sends heartbeats to the server until the context ends.
func (p *pool) runHeartbeats(ctx context.Context, s *server) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.heartbeatSignal:
		}
		answered := p.sendHeartbeat(ctx, s)
		timer.Reset(p.heartbeatDelay(s, answered))
	}
}

// heartbeatDelay returns the time until the next heartbeat. A missed heartbeat is
// repeated soon, for every kind of service.
func (p *pool) heartbeatDelay(s *server, answered bool) time.Duration {
	period := p.manager.common.Settings.Timing.ConfirmEvery
	_, isLingering := p.admission.InFlight(s.config.Name)
	switch {
	case isLingering:
		return lingeringHeartbeatInterval
	case !answered && !s.isLost():
		return missedHeartbeatDelay
	case answered && p.info.Service.Kind != templates.KindKeyed:
		return pooledHeartbeatRounds * period
	}
	return period
}

// sendHeartbeat sends a grant order if grants may be renewed, and a status request
// otherwise. It reports whether the server answered.
func (p *pool) sendHeartbeat(ctx context.Context, s *server) bool {
	timing := p.manager.common.Settings.Timing
	heartbeatCtx, cancel := context.WithTimeout(ctx, timing.ServerLostAfter/missedHeartbeatsBeforeLoss)
	defer cancel()
	order, mayGrant := p.makeGrantOrder(s)
	inFlight, _ := p.admission.InFlight(s.config.Name)
	var response redwingstall.OrderResponse
	var err error
	if mayGrant {
		response, err = s.client.Grant(heartbeatCtx, order)
	} else {
		response, err = s.client.Status(heartbeatCtx)
	}
	if ctx.Err() != nil {
		return false
	}
	now := p.manager.common.Clock.Now()
	if err == nil && s.isCopy(response) {
		// The next response on the connection may be the one to this order.
		p.manager.common.Count("orders.copies")
		s.client.CloseIdleOrders()
		err = errCopiedResponse
	}
	if err != nil {
		p.recordMissedHeartbeat(s, now)
		return false
	}
	p.manager.common.Count("orders.answered")
	p.applyHeartbeat(s, now, response, inFlight)
	return true
}

// makeGrantOrder returns the order that renews the server's grants, or false if no
// grants may be renewed.
func (p *pool) makeGrantOrder(s *server) (redwingstall.GrantOrder, bool) {
	if p.info.Service.Kind != templates.KindKeyed {
		return redwingstall.GrantOrder{}, false
	}
	// The time of the round is read before the record: a grant must not be based
	// on a record that is older than the round.
	confirmed := p.manager.candidate.Confirmed()
	record, _ := p.manager.view.Assignment(p.info.Account, p.info.Service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.issuer.BuildOrder(p.info.Service.Name, confirmed, record.Grants(s.config.Name))
}

// recordMissedHeartbeat counts a heartbeat without an answer. It declares the
// server lost, and stops admission there, once the server has not answered for
// ServerLostAfter.
func (p *pool) recordMissedHeartbeat(s *server, now time.Time) {
	p.manager.common.Count("orders.missed")
	s.mu.Lock()
	wasLost := s.lost
	if now.Sub(s.lastResponse) >= p.manager.common.Settings.Timing.ServerLostAfter {
		s.lost = true
		s.cancelAlive()
	}
	isLost := s.lost
	s.mu.Unlock()
	if isLost && !wasLost {
		p.manager.common.Count("servers.lost")
		p.manager.signalServerLoss()
		p.manager.common.Log.Warn("backend server does not answer heartbeats; declared lost", "server", s.config.Name, "pool", p.info.Name)
	}
	if isLost {
		p.admission.Observe(s.config.Name, admission.Observation{})
	}
}

// applyHeartbeat updates the server's state from the answer to a heartbeat. The
// count inFlight was taken before the heartbeat was sent.
func (p *pool) applyHeartbeat(s *server, now time.Time, response redwingstall.OrderResponse, inFlight int) {
	s.mu.Lock()
	wasLost := s.lost
	hasRestarted := s.issuer.Observe(now, response)
	s.lastResponse = now
	if s.lost {
		s.aliveCtx, s.cancelAlive = context.WithCancel(context.Background())
	}
	s.lost = false
	s.draining = response.Draining
	s.mu.Unlock()
	if wasLost {
		p.manager.common.Log.Info("lost backend server answers heartbeats again", "server", s.config.Name, "pool", p.info.Name)
	}
	if hasRestarted {
		p.manager.common.Count("servers.newBoot")
	}
	othersInFlight := 0
	for home, count := range response.InFlight {
		if home != p.manager.common.Self.ID {
			othersInFlight += count
		}
	}
	p.admission.Observe(s.config.Name, admission.Observation{
		Boot:           response.Boot,
		OthersInFlight: othersInFlight,
		OwnInFlight:    response.InFlight[p.manager.common.Self.ID],
		OwnOutstanding: inFlight,
		Open:           p.isEligible(s, now),
	})
}

// isEligible reports whether the server may get new requests.
func (p *pool) isEligible(s *server, now time.Time) bool {
	s.mu.Lock()
	isUsable := !s.draining && !s.lost && s.issuer.Boot() != ""
	s.mu.Unlock()
	return isUsable && p.manager.view.IsEligible(p.info.Account, s.config, now)
}

// markDraining notes that the server refused a request because it is draining.
func (s *server) markDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *server) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// bootID returns the boot ID of the server's process as last seen. The ID changes
// with each restart.
func (s *server) bootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.issuer.Boot()
}

// report returns the server's state and load.
func (s *server) report(now time.Time) redwingstall.ServerReport {
	shardRates, keyRates := s.loads.readRates(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return redwingstall.ServerReport{
		Server:     s.config.Name,
		Lost:       s.lost,
		Draining:   s.draining,
		Boot:       s.issuer.Boot(),
		ShardLoads: shardRates,
		KeyLoads:   keyRates,
	}
}
