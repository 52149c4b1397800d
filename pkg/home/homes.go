// Package home is an entry instance's work as home instance: for each pool of
// backend servers one instance holds the slots, the connections and the ramp of
// a cold start, and renews the grants.
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

// Manager is the pools that this instance is or was home of. Its lock is taken
// before a pool's. It is safe for concurrent use.
type Manager struct {
	common    *common.Common
	candidate *membership.Candidate
	view      *view.View
	done      chan struct{}
	losses    chan struct{}

	mu    sync.Mutex
	pools map[string]*pool
}

// NewManager returns the homes of an instance; Run makes them act.
func NewManager(c *common.Common, candidate *membership.Candidate, v *view.View) *Manager {
	return &Manager{
		common:    c,
		candidate: candidate,
		view:      v,
		done:      make(chan struct{}),
		losses:    make(chan struct{}, 1),
		pools:     map[string]*pool{},
	}
}

// Done is closed when Run has ended.
func (h *Manager) Done() <-chan struct{} { return h.done }

// ServerLossSignal signals that a backend server was found lost, so that its shards need
// not wait for the next report.
func (h *Manager) ServerLossSignal() <-chan struct{} { return h.losses }

func (h *Manager) signalLoss() {
	select {
	case h.losses <- struct{}{}:
	default:
	}
}

const actEvery = 50 * time.Millisecond

// Run follows the configuration and the rights until the context ends.
func (h *Manager) Run(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(actEvery)
	defer ticker.Stop()
	for {
		h.step(ctx)
		select {
		case <-ctx.Done():
			h.haltAll("shutdown")
			return
		case <-ticker.C:
		}
	}
}

func (h *Manager) step(ctx context.Context) {
	h.configure(h.view.Snapshot())
	now := h.common.Clock.Now()
	for _, p := range h.list() {
		p.act(ctx, now)
		p.refresh(now)
	}
}

// configure makes, changes and drops pools.
func (h *Manager) configure(snapshot *view.Snapshot) {
	for _, p := range h.list() {
		info, found := snapshot.Pools[p.info.Name]
		if found && reflect.DeepEqual(info, p.info) {
			continue
		}
		p.halt("configuration")
		if found {
			p.configure(info)
			continue
		}
		h.mu.Lock()
		delete(h.pools, p.info.Name)
		h.mu.Unlock()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, info := range snapshot.Pools {
		if h.pools[name] == nil {
			h.pools[name] = newPool(h, info)
		}
	}
}

func (h *Manager) list() []*pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pools := make([]*pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	return pools
}

func (h *Manager) pool(name string) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pools[name]
}

func (h *Manager) haltAll(reason string) {
	for _, p := range h.list() {
		p.halt(reason)
	}
}

// TriggerHeartbeats asks every server's loop for an order at once, after a record changed.
func (h *Manager) TriggerHeartbeats() {
	now := h.common.Clock.Now()
	for _, p := range h.list() {
		p.refresh(now)
		for _, s := range p.all() {
			s.wake()
		}
	}
}

// StopReassignedPools stops the pools whose home comes to be another member, and returns
// what to hand over by that member's id. The rank function tells the next home.
func (h *Manager) StopReassignedPools(now time.Time, nextHome func(job, failureDomain string) (id string)) map[string]redwingstall.HandOver {
	offers := map[string]redwingstall.HandOver{}
	for _, p := range h.list() {
		next := nextHome(p.info.JobName(), p.info.FailureDomain)
		if next == "" || next == h.common.Self.ID || !p.isActing(now) {
			continue
		}
		offer := offers[next]
		offer.From = h.common.Self.ID
		offer.Limits = append(offer.Limits, p.admission.Limits()...)
		p.halt("handOver")
		offer.Pools = append(offer.Pools, p.info.Name)
		offers[next] = offer
	}
	return offers
}

// AcceptHandOver starts pools that their former home gave up, with its state.
func (h *Manager) AcceptHandOver(offer redwingstall.HandOver) bool {
	h.configure(h.view.Snapshot())
	jobs := []string{}
	for _, name := range offer.Pools {
		jobs = append(jobs, view.Pool{Name: name}.JobName())
	}
	if !h.candidate.TakeOver(h.common.Clock.Now(), jobs, offer.MemberRevision) {
		return false
	}
	for _, name := range offer.Pools {
		p := h.pool(name)
		if p == nil {
			continue
		}
		for _, limit := range offer.Limits {
			p.admission.Restore(limit)
		}
	}
	h.common.Count("homes.handedOver")
	return true
}

// ServerReports returns what this instance sees as home, by account and service.
func (h *Manager) ServerReports(now time.Time) map[[2]string][]redwingstall.ServerReport {
	reports := map[[2]string][]redwingstall.ServerReport{}
	for _, p := range h.list() {
		if !p.isActing(now) {
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

// Status returns the pools that this instance acts for.
func (h *Manager) Status(now time.Time) []PoolStatus {
	rows := []PoolStatus{}
	for _, p := range h.list() {
		if !p.isActing(now) {
			continue
		}
		servers, queued := p.admission.Status()
		rows = append(rows, PoolStatus{Name: p.info.Name, Queued: queued, Servers: servers})
	}
	return rows
}

// Cost is the time in seconds that a further request is likely to take in a
// pool, or a negative number where none can be taken.
func (h *Manager) Cost(pool string) float64 {
	p := h.pool(pool)
	if p == nil {
		return -1
	}
	return p.admission.Cost()
}
