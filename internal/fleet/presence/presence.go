// Package presence keeps an instance's lease in the metadata store, with its
// record, and tells how long the lease is certain to last.
package presence

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

const (
	// Lease outlives three lost renewals; a leader that died is replaced after it.
	Lease = 3 * time.Second
	// keepEvery gives four renewals a lease.
	keepEvery = Lease / 4
	// leaseMargin is taken off for clocks whose rates differ and late timers.
	leaseMargin = Lease/50 + 150*time.Millisecond
	retryPause  = 200 * time.Millisecond
)

// Presence is one instance's lease. It is safe for concurrent use.
type Presence struct {
	store redwingstall.MetadataStore
	self  view.Peer
	clock func() time.Duration
	log   *slog.Logger
	done  chan struct{}

	mu    sync.Mutex
	lease int64
	until time.Duration
}

// NewPresence returns a presence without a lease. The clock must count
// suspensions.
func NewPresence(store redwingstall.MetadataStore, self view.Peer, clock func() time.Duration, log *slog.Logger) *Presence {
	return &Presence{store: store, self: self, clock: clock, log: log, done: make(chan struct{})}
}

// Done is closed when Run has ended.
func (p *Presence) Done() <-chan struct{} { return p.done }

// Lease returns the lease while it is certain to last, or false.
func (p *Presence) Lease() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease, p.lease != 0 && p.clock() < p.until
}

// Run opens the lease and renews it until the context ends, then gives it up.
func (p *Presence) Run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		wait := keepEvery
		if err := p.renew(ctx); err != nil {
			wait = retryPause
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	p.end()
}

func (p *Presence) renew(ctx context.Context) error {
	p.mu.Lock()
	lease := p.lease
	p.mu.Unlock()
	if lease == 0 {
		return p.open(ctx)
	}
	sent := p.clock()
	err := p.store.KeepLease(ctx, lease)
	switch {
	case err == nil:
		p.set(lease, sent)
	case errors.Is(err, redwingstall.ErrLeaseEnded):
		p.log.Warn("lease ended", "lease", lease)
		p.set(0, 0)
		return p.open(ctx)
	}
	return err
}

func (p *Presence) open(ctx context.Context) error {
	sent := p.clock()
	lease, err := p.store.OpenLease(ctx, Lease)
	if err != nil {
		return err
	}
	value, err := json.Marshal(p.self)
	if err != nil {
		return errors.Wrap(err, "presence")
	}
	record := redwingstall.Item{Key: view.PeerPrefix + p.self.Name, Value: value, Lease: lease}
	if _, err := p.store.Commit(ctx, redwingstall.Transaction{Writes: []redwingstall.Item{record}}); err != nil {
		return err
	}
	p.log.Info("lease opened", "lease", lease, "ttl", Lease.String())
	p.set(lease, sent)
	return nil
}

// set notes a lease that was confirmed by a call sent at an instant.
func (p *Presence) set(lease int64, sent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease = lease
	p.until = sent + Lease - leaseMargin
}

// end gives the lease up, so that others need not wait for its expiry.
func (p *Presence) end() {
	p.mu.Lock()
	lease := p.lease
	p.lease = 0
	p.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := p.store.EndLease(context.Background(), lease); err != nil {
		p.log.Warn("lease not ended", "lease", lease, "error", err.Error())
	}
}
