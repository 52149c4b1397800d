// Package presence keeps a record in the metadata store alive under a lease,
// and tells how long the lease is certain to last.
package presence

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

const (
	// renewals in a lease.
	renewals = 4
	// marginPart of a lease is taken off for clocks whose rates differ, and
	// margin for timers that fire late.
	marginPart = 50
	margin     = 150 * time.Millisecond
	retryPause = 200 * time.Millisecond
	// endTimeout keeps a stop within its grace time; a lease that is not given up
	// ends by itself.
	endTimeout = 400 * time.Millisecond
)

// Lease keeps one record. It is safe for concurrent use.
type Lease struct {
	store  redwingstall.MetadataStore
	record redwingstall.Item
	// isExclusive records are written only if nobody has written one.
	isExclusive bool
	ttl         time.Duration
	clock       func() time.Duration
	log         *slog.Logger
	done        chan struct{}

	mu    sync.Mutex
	lease int64
	until time.Duration
}

// NewLease returns a lease that is not opened yet. The clock must count
// suspensions.
func NewLease(store redwingstall.MetadataStore, record redwingstall.Item, isExclusive bool, ttl time.Duration, clock func() time.Duration, log *slog.Logger) *Lease {
	return &Lease{store: store, record: record, isExclusive: isExclusive, ttl: ttl, clock: clock, log: log, done: make(chan struct{})}
}

// Done is closed when Run has ended.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Lease returns the lease while it is certain to last, or false.
func (l *Lease) Lease() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.lease != 0 && l.clock() < l.until
}

// Run opens the lease and renews it until the context ends, then gives it up.
// An exclusive record that somebody else has written ends it too.
func (l *Lease) Run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		wait := l.ttl / renewals
		if err := l.renew(ctx); err != nil {
			l.log.Warn("lease not renewed", "key", l.record.Key, "error", err.Error())
			wait = retryPause
			if errors.Is(err, redwingstall.ErrConflict) {
				break
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	l.end()
}

func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if lease == 0 {
		return l.open(ctx)
	}
	sent := l.clock()
	err := l.store.KeepLease(ctx, lease)
	switch {
	case err == nil:
		l.set(lease, sent)
	case errors.Is(err, redwingstall.ErrLeaseEnded):
		l.set(0, 0)
		if !l.isExclusive {
			return l.open(ctx)
		}
	}
	return err
}

func (l *Lease) open(ctx context.Context) error {
	sent := l.clock()
	lease, err := l.store.OpenLease(ctx, l.ttl)
	if err != nil {
		return err
	}
	record := l.record
	record.Lease = lease
	change := redwingstall.Transaction{Writes: []redwingstall.Item{record}}
	if l.isExclusive {
		change.Expect = []redwingstall.Expectation{{Key: record.Key}}
	}
	if _, err := l.store.Commit(ctx, change); err != nil {
		return err
	}
	l.log.Info("lease opened", "key", record.Key, "lease", lease, "ttl", l.ttl.String())
	l.set(lease, sent)
	return nil
}

// set notes a lease that was confirmed by a call sent at an instant.
func (l *Lease) set(lease int64, sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	l.until = sent + l.ttl - l.ttl/marginPart - margin
}

// end gives the lease up, so that others need not wait for its expiry.
func (l *Lease) end() {
	l.mu.Lock()
	lease := l.lease
	l.lease = 0
	l.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := l.store.EndLease(ctx, lease); err != nil {
		l.log.Warn("lease not ended", "key", l.record.Key, "lease", lease, "error", err.Error())
	}
}
