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

// pool is one pool of backend servers that this instance is or was home of.
// Its lock is taken before a server's.
type pool struct {
	homes     *Manager
	info      view.Pool
	admission *admission.Pool

	mu      sync.Mutex
	servers map[string]*server
	until   time.Time
	stop    context.CancelFunc
	running sync.WaitGroup
}

func newPool(homes *Manager, info view.Pool) *pool {
	p := &pool{homes: homes, admission: admission.NewPool(homes.common.Clock)}
	p.configure(info)
	return p
}

// configure takes over the pool's servers; it is called before the first start
// and, with the pool stopped, when they change.
func (p *pool) configure(info view.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	configs := make([]admission.ServerConfig, 0, len(info.Servers))
	next := map[string]*server{}
	now := p.homes.common.Clock.Now()
	for _, config := range info.Servers {
		configs = append(configs, admission.ServerConfig{
			Name:      config.Name,
			Slots:     config.Slots,
			ColdLimit: config.ColdLimit,
		})
		s := p.servers[config.Name]
		if s == nil || s.config != config {
			s = newServer(config, p.homes.common.Settings.Timing.GrantLifetime, now)
		}
		next[config.Name] = s
	}
	for name, s := range p.servers {
		if next[name] != s {
			s.client.Close()
		}
	}
	p.info = info
	p.servers = next
	p.admission.Configure(configs)
}

// act starts or stops the pool as the rights of this instance say.
func (p *pool) act(ctx context.Context, now time.Time) {
	may, reason := p.homes.candidate.MayAct(now, p.info.JobName(), p.info.FailureDomain)
	if !may && reason == membership.ReasonNotConfirmed && p.isActing(now) {
		// The last round's right lasts, also across a change of members: whoever
		// comes next waits for it to lapse or has it handed over.
		return
	}
	if !may {
		p.halt(reason)
		return
	}
	p.mu.Lock()
	p.until = p.homes.candidate.Confirmed().Add(p.homes.common.Settings.Timing.GrantLifetime)
	isStarted := p.stop != nil
	p.mu.Unlock()
	if !isStarted {
		p.start(ctx)
	}
}

func (p *pool) start(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	running, cancel := context.WithCancel(ctx)
	p.stop = cancel
	now := p.homes.common.Clock.Now()
	for _, s := range p.servers {
		s.lastAnswer = now
		p.running.Go(func() { p.loop(running, s) })
	}
	p.admission.Open()
	p.homes.common.Count("homes.started")
	p.homes.common.Log.Info("home of pool", "pool", p.info.Name)
}

// halt refuses new work; what is under way goes on.
func (p *pool) halt(reason string) {
	p.mu.Lock()
	stop := p.stop
	p.stop = nil
	p.until = time.Time{}
	p.mu.Unlock()
	if stop == nil {
		return
	}
	p.admission.Close(true)
	stop()
	p.running.Wait()
	p.closeIdle()
	p.homes.common.Count("homes.stopped." + reason)
	p.homes.common.Log.Info("home of pool no more", "pool", p.info.Name, "reason", reason)
}

// closeIdle gives the servers' connections back for the next home instance.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.client.Close()
	}
}

// isActing reports whether the rights of this instance hold at the time.
func (p *pool) isActing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stop != nil && now.Before(p.until)
}

func (p *pool) server(name string) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[name]
}

func (p *pool) all() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		servers = append(servers, s)
	}
	return servers
}

// refresh closes at once the servers that may get no new work any more.
func (p *pool) refresh(now time.Time) {
	for _, s := range p.all() {
		if !p.mayWork(s, now) {
			p.admission.Observe(s.config.Name, admission.Observation{})
		}
	}
}

// reports says what this instance sees of the pool's servers.
func (p *pool) reports(now time.Time) []redwingstall.ServerReport {
	reports := []redwingstall.ServerReport{}
	for _, s := range p.all() {
		reports = append(reports, s.report(now))
	}
	return reports
}
