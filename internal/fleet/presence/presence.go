// Package presence keeps a record in the metadata store alive under a lease, and
// reports whether the lease is certainly still valid.
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
	// The lease is taken as expired early by 1/clockDriftDivisor of its time to live,
	// which allows for clocks that run at different rates, and by timerMargin, which
	// allows for timers that fire late.
	clockDriftDivisor = 50
	timerMargin       = 150 * time.Millisecond
	retryDelay        = 200 * time.Millisecond
	// removalTimeout bounds the removal of the record at shutdown, which must fit into
	// the grace period. A record that is not removed expires with its lease.
	removalTimeout = 400 * time.Millisecond
)

// Config holds the dependencies and settings of a Lease.
type Config struct {
	Store redwingstall.MetadataStore
	// Record returns the record to keep in an era of the store.
	Record func(era redwingstall.Era) redwingstall.Item
	// IsExclusive records are written only if the key does not exist, and once.
	IsExclusive bool
	TTL         time.Duration
	// RenewalInterval is the time between two renewals.
	RenewalInterval time.Duration
	// Clock must advance while the machine is suspended.
	Clock func() time.Duration
	Log   *slog.Logger
}

// Lease keeps one record alive in the store. It is safe for concurrent use.
type Lease struct {
	Config
	done    chan struct{}
	wakeUps chan struct{}
	// acquired is closed when the record was first written.
	acquired     chan struct{}
	acquiredOnce sync.Once

	mu         sync.Mutex
	lease      redwingstall.Lease
	validUntil time.Duration
	// hasEraEnded is set while the lease is lost because the store left its era.
	hasEraEnded bool
	// key and revision are those of the record under the lease.
	key      string
	revision redwingstall.Revision
	// announced is the value that replaces that of Config.Record, if it is not nil.
	announced []byte
}

// NewLease returns a lease that is not yet acquired; Run acquires it.
func NewLease(config Config) *Lease {
	return &Lease{Config: config, done: make(chan struct{}), wakeUps: make(chan struct{}, 1), acquired: make(chan struct{})}
}

// Done returns a channel that is closed when Run returns.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Acquired returns a channel that is closed when the record was first written.
func (l *Lease) Acquired() <-chan struct{} { return l.acquired }

// Lease returns the lease, and true while it is certainly valid at the store.
func (l *Lease) Lease() (redwingstall.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.lease.ID != 0 && l.Clock() < l.validUntil
}

// ValidUntil returns the reading of the clock until which the lease was certainly valid
// in its era. It is kept when the era ends, and zero if the store ended the lease.
func (l *Lease) ValidUntil() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil
}

// HasEraEnded reports whether the lease was lost because the store left its era.
func (l *Lease) HasEraEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasEraEnded
}

// RenewNow renews the lease without waiting for the renewal interval.
func (l *Lease) RenewNow() {
	select {
	case l.wakeUps <- struct{}{}:
	default:
	}
}

// Run acquires the lease and renews it until the context ends, then removes the record.
// It also returns if the record is exclusive, and its key already exists or its lease has
// ended.
func (l *Lease) Run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		delay := l.RenewalInterval
		if err := l.renew(ctx); err != nil {
			l.Log.Warn("lease renewal failed", "key", l.currentKey(), "error", err.Error())
			delay = retryDelay
			if l.IsExclusive && !errors.Is(err, redwingstall.ErrUnavailable) {
				break
			}
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-l.wakeUps:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	l.remove()
}

func (l *Lease) currentKey() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.key
}

func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if lease.ID == 0 {
		return l.acquire(ctx)
	}
	sentAt := l.Clock()
	err := l.Store.RenewLease(ctx, lease)
	switch {
	case err == nil:
		l.setLease(lease, sentAt)
		return nil
	case errors.Is(err, redwingstall.ErrLeaseEnded):
		l.clearLease(0, false)
	case errors.Is(err, redwingstall.ErrEraChanged):
		l.clearLease(l.ValidUntil(), true)
	}
	if current, _ := l.Lease(); current.ID == 0 && !l.IsExclusive {
		return l.acquire(ctx)
	}
	return err
}

func (l *Lease) acquire(ctx context.Context) error {
	sentAt := l.Clock()
	lease, err := l.Store.OpenLease(ctx, l.TTL)
	if err != nil {
		return err
	}
	record := l.currentRecord(lease)
	change := redwingstall.Transaction{Era: lease.Era, Writes: []redwingstall.Item{record}}
	if l.IsExclusive {
		change.Expect = []redwingstall.Expectation{{Key: record.Key}}
	}
	revision, err := l.Store.Commit(ctx, change)
	if err != nil {
		return err
	}
	l.Log.Info("lease opened", "key", record.Key, "lease", lease.ID, "era", lease.Era, "ttl", l.TTL.String())
	l.mu.Lock()
	l.key, l.revision = record.Key, revision
	l.mu.Unlock()
	l.setLease(lease, sentAt)
	l.acquiredOnce.Do(func() { close(l.acquired) })
	return nil
}

// Announce replaces the value of the record, now if the lease is held, and in any case
// when it is next acquired. A write that takes effect late does not replace the record of
// a later process.
func (l *Lease) Announce(ctx context.Context, value []byte) error {
	l.mu.Lock()
	l.announced = value
	revision := l.revision
	l.mu.Unlock()
	lease, isValid := l.Lease()
	if !isValid {
		return nil
	}
	record := l.currentRecord(lease)
	next, err := l.Store.Commit(ctx, redwingstall.Transaction{
		Era:    lease.Era,
		Expect: []redwingstall.Expectation{{Key: record.Key, Revision: revision}},
		Writes: []redwingstall.Item{record},
	})
	if err != nil {
		// The revision of the record is unknown. It is written again under another lease.
		l.clearLease(0, false)
		l.RenewNow()
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = next
	return nil
}

// currentRecord returns the record to be written under a lease.
func (l *Lease) currentRecord(lease redwingstall.Lease) redwingstall.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.Record(lease.Era)
	record.Lease = lease.ID
	if l.announced != nil {
		record.Value = l.announced
	}
	return record
}

// setLease stores a lease that the store confirmed. The validity counts from sentAt,
// when the confirmed call was sent, since the store may have started its own count at
// any moment after that.
func (l *Lease) setLease(lease redwingstall.Lease, sentAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.hasEraEnded = lease, false
	l.validUntil = sentAt + l.TTL - l.TTL/clockDriftDivisor - timerMargin
}

func (l *Lease) clearLease(validUntil time.Duration, hasEraEnded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.validUntil, l.hasEraEnded = redwingstall.Lease{}, validUntil, hasEraEnded
}

// remove removes the record, so that others do not wait for the expiry of its lease. It
// does not end the lease itself: after a recovery of the store, its id may have been
// assigned to another process.
func (l *Lease) remove() {
	l.mu.Lock()
	lease, key, revision := l.lease, l.key, l.revision
	l.lease = redwingstall.Lease{}
	l.mu.Unlock()
	if lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), removalTimeout)
	defer cancel()
	_, err := l.Store.Commit(ctx, redwingstall.Transaction{
		Era: lease.Era, Expect: []redwingstall.Expectation{{Key: key, Revision: revision}}, Remove: []string{key},
	})
	if err != nil {
		l.Log.Warn("record removal failed", "key", key, "lease", lease.ID, "error", err.Error())
	}
}
