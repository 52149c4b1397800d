package home

import (
	"context"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/admission"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/view"
)

// pool is one configured pool of backend servers. It sends requests and
// heartbeats only while this instance holds the pool lease. Lock order: a pool's
// lock is taken before a server's.
type pool struct {
	manager   *Manager
	info      view.Pool
	admission *admission.Pool

	mu      sync.Mutex
	servers map[string]*server
	// leaseExpiry is the end of the pool lease; zero while the pool is stopped.
	leaseExpiry time.Time
	// cancel stops the heartbeats. It is nil while the pool is stopped.
	cancel     context.CancelFunc
	heartbeats sync.WaitGroup
}

func newPool(manager *Manager, info view.Pool) *pool {
	p := &pool{manager: manager, admission: admission.NewPool(manager.common.Clock)}
	p.applyConfig(info)
	return p
}

// applyConfig sets the pool's servers. The pool must be stopped. A server whose
// configuration is unchanged keeps its state.
func (p *pool) applyConfig(info view.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	configs := make([]admission.ServerConfig, 0, len(info.Servers))
	servers := map[string]*server{}
	now := p.manager.common.Clock.Now()
	for _, config := range info.Servers {
		configs = append(configs, admission.ServerConfig{
			Name:      config.Name,
			Slots:     config.Slots,
			ColdLimit: config.ColdLimit,
		})
		s := p.servers[config.Name]
		if s == nil || s.config != config {
			s = newServer(config, p.manager.common.Settings.Timing.GrantLifetime, now)
		}
		servers[config.Name] = s
	}
	for name, s := range p.servers {
		if servers[name] != s {
			s.client.Close()
		}
	}
	p.info = info
	p.servers = servers
	p.admission.Configure(configs)
}

// updateLease extends the pool lease and starts the pool, or stops the pool if
// this instance may not act as its home.
func (p *pool) updateLease(ctx context.Context, now time.Time) {
	mayAct, reason := p.manager.candidate.MayAct(now, p.info.JobName(), p.info.FailureDomain)
	if !mayAct && reason == membership.ReasonNotConfirmed && p.hasLease(now) {
		// The lease from the last confirmed voting round stays valid until it
		// expires, also across a change of members: the next home instance waits
		// for its expiry or for a hand-over.
		return
	}
	if !mayAct {
		p.stop(reason)
		return
	}
	p.mu.Lock()
	p.leaseExpiry = p.manager.candidate.Confirmed().Add(p.manager.common.Settings.Timing.GrantLifetime)
	isStarted := p.cancel != nil
	p.mu.Unlock()
	if !isStarted {
		p.start(ctx)
	}
}

func (p *pool) start(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heartbeatCtx, cancel := context.WithCancel(ctx)
	p.cancel = cancel
	now := p.manager.common.Clock.Now()
	for _, s := range p.servers {
		s.lastResponse = now
		p.heartbeats.Go(func() { p.runHeartbeats(heartbeatCtx, s) })
	}
	p.admission.Open()
	p.manager.common.Count("homes.started")
	p.manager.common.Log.Info("acquired pool lease", "pool", p.info.Name)
}

// stop refuses new requests and ends the heartbeats. Requests in flight continue.
func (p *pool) stop(reason string) {
	p.mu.Lock()
	cancel := p.cancel
	p.cancel = nil
	p.leaseExpiry = time.Time{}
	p.mu.Unlock()
	if cancel == nil {
		return
	}
	p.admission.Close(true)
	cancel()
	p.heartbeats.Wait()
	p.closeConnections()
	p.manager.common.Count("homes.stopped." + reason)
	p.manager.common.Log.Info("stopped serving pool", "pool", p.info.Name, "reason", reason)
}

// closeConnections closes the idle connections, which frees them on the servers
// for the next home instance.
func (p *pool) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.client.Close()
	}
}

// hasLease reports whether the pool is started and its lease has not expired.
func (p *pool) hasLease(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancel != nil && now.Before(p.leaseExpiry)
}

func (p *pool) findServer(name string) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[name]
}

func (p *pool) listServers() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		servers = append(servers, s)
	}
	return servers
}

// closeIneligible stops admission at the servers that may not get new requests,
// without waiting for their next heartbeat.
func (p *pool) closeIneligible(now time.Time) {
	for _, s := range p.listServers() {
		if !p.isEligible(s, now) {
			p.admission.Observe(s.config.Name, admission.Observation{})
		}
	}
}

// reports returns the state and load of each of the pool's servers.
func (p *pool) reports(now time.Time) []redwingstall.ServerReport {
	reports := []redwingstall.ServerReport{}
	for _, s := range p.listServers() {
		reports = append(reports, s.report(now))
	}
	return reports
}
