// Package home implements the home instance of a pool of backend servers. Each
// pool has one home instance: the entry instance that holds the pool lease. It
// alone admits requests to the pool's servers, holds the connections to them,
// limits their load during warm-up, checks them by heartbeats and renews the
// grants of shards that they serve.
package home

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/admission"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/view"
)

// Manager runs every configured pool, and serves those whose lease this instance
// holds. It is safe for concurrent use. Lock order: the manager's lock is taken
// before a pool's.
type Manager struct {
	common     *common.Common
	candidate  *membership.Candidate
	view       *view.View
	done       chan struct{}
	serverLoss chan struct{}

	mu    sync.Mutex
	pools map[string]*pool
}

// NewManager returns a manager that serves no pool until Run is called.
func NewManager(c *common.Common, candidate *membership.Candidate, v *view.View) *Manager {
	return &Manager{
		common:     c,
		candidate:  candidate,
		view:       v,
		done:       make(chan struct{}),
		serverLoss: make(chan struct{}, 1),
		pools:      map[string]*pool{},
	}
}

// Done is closed when Run has ended.
func (m *Manager) Done() <-chan struct{} { return m.done }

// ServerLossSignal receives a value when a backend server is declared lost, so
// that the reassignment of its shards need not wait for the next periodic report.
func (m *Manager) ServerLossSignal() <-chan struct{} { return m.serverLoss }

func (m *Manager) signalServerLoss() {
	select {
	case m.serverLoss <- struct{}{}:
	default:
	}
}

// reconcileInterval is the time between two updates of the pools' configuration
// and leases.
const reconcileInterval = 50 * time.Millisecond

// Run applies the configuration, and starts and stops pools as their leases are
// acquired and lost, until the context ends. It then stops all pools.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			m.stopAll("shutdown")
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) reconcile(ctx context.Context) {
	m.applyConfig(m.view.Snapshot())
	now := m.common.Clock.Now()
	for _, p := range m.listPools() {
		p.updateLease(ctx, now)
		p.closeIneligible(now)
	}
}

// applyConfig creates, changes and removes pools so that they match the snapshot.
func (m *Manager) applyConfig(snapshot *view.Snapshot) {
	for _, p := range m.listPools() {
		info, found := snapshot.Pools[p.info.Name]
		if found && reflect.DeepEqual(info, p.info) {
			continue
		}
		p.stop("configuration")
		if found {
			p.applyConfig(info)
			continue
		}
		m.mu.Lock()
		delete(m.pools, p.info.Name)
		m.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, info := range snapshot.Pools {
		if m.pools[name] == nil {
			m.pools[name] = newPool(m, info)
		}
	}
}

func (m *Manager) listPools() []*pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make([]*pool, 0, len(m.pools))
	for _, p := range m.pools {
		pools = append(pools, p)
	}
	return pools
}

func (m *Manager) findPool(name string) *pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools[name]
}

func (m *Manager) stopAll(reason string) {
	for _, p := range m.listPools() {
		p.stop(reason)
	}
}

// TriggerHeartbeats sends a heartbeat to every server without delay. It is called
// when a control record has changed, since grants may have changed with it.
func (m *Manager) TriggerHeartbeats() {
	now := m.common.Clock.Now()
	for _, p := range m.listPools() {
		p.closeIneligible(now)
		for _, s := range p.listServers() {
			s.triggerHeartbeat()
		}
	}
}

// StopReassignedPools stops the pools whose home instance is to be another member.
// It returns a hand-over offer for each new home instance, by member ID. The
// function nextHome returns the ID of a pool's new home instance, or an empty
// string where there is none.
func (m *Manager) StopReassignedPools(now time.Time, nextHome func(job, failureDomain string) (id string)) map[string]redwingstall.HandOver {
	offers := map[string]redwingstall.HandOver{}
	for _, p := range m.listPools() {
		next := nextHome(p.info.JobName(), p.info.FailureDomain)
		if next == "" || next == m.common.Self.ID || !p.hasLease(now) {
			continue
		}
		offer := offers[next]
		offer.From = m.common.Self.ID
		offer.Limits = append(offer.Limits, p.admission.Limits()...)
		p.stop("handOver")
		offer.Pools = append(offer.Pools, p.info.Name)
		offers[next] = offer
	}
	return offers
}

// AcceptHandOver takes over pools that their previous home instance has stopped,
// with its concurrency limits, and reports whether it did. The pools start at the
// next update of their leases.
func (m *Manager) AcceptHandOver(offer redwingstall.HandOver) bool {
	m.applyConfig(m.view.Snapshot())
	jobs := []string{}
	for _, name := range offer.Pools {
		jobs = append(jobs, view.Pool{Name: name}.JobName())
	}
	if !m.candidate.TakeOver(m.common.Clock.Now(), jobs, offer.MemberRevision) {
		return false
	}
	for _, name := range offer.Pools {
		p := m.findPool(name)
		if p == nil {
			continue
		}
		for _, limit := range offer.Limits {
			p.admission.Restore(limit)
		}
	}
	m.common.Count("homes.handedOver")
	return true
}

// ServerReports returns the state and load of the backend servers whose home is
// this instance, by account and service.
func (m *Manager) ServerReports(now time.Time) map[[2]string][]redwingstall.ServerReport {
	reports := map[[2]string][]redwingstall.ServerReport{}
	for _, p := range m.listPools() {
		if !p.hasLease(now) {
			continue
		}
		key := [2]string{p.info.Account, p.info.Service.Name}
		reports[key] = append(reports[key], p.reports(now)...)
	}
	return reports
}

// PoolStatus is the state of a pool for operators.
type PoolStatus struct {
	Name    string                   `json:"name"`
	Queued  int                      `json:"queued"`
	Servers []admission.ServerStatus `json:"servers"`
}

// Status returns the state of the pools whose lease this instance holds.
func (m *Manager) Status(now time.Time) []PoolStatus {
	statuses := []PoolStatus{}
	for _, p := range m.listPools() {
		if !p.hasLease(now) {
			continue
		}
		servers, queued := p.admission.Status()
		statuses = append(statuses, PoolStatus{Name: p.info.Name, Queued: queued, Servers: servers})
	}
	return statuses
}

// Cost returns the expected time in seconds of one more request to a pool, or a
// negative number if the pool can accept none.
func (m *Manager) Cost(pool string) float64 {
	p := m.findPool(pool)
	if p == nil {
		return -1
	}
	return p.admission.Cost()
}

// IsWaitedFor reports whether requests wait for a slot of a server, if this instance is the home
// of its pool.
func (m *Manager) IsWaitedFor(pool, server string) bool {
	p := m.findPool(pool)
	return p != nil && p.admission.IsWaitedFor(server)
}
