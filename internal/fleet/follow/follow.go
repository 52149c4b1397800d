// Package follow keeps an instance's view up to date from the metadata store.
package follow

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

const (
	// watchWait bounds how long a silenced connection goes unnoticed; with the
	// client's slack it stays below the 2 s in which a configuration applies.
	watchWait = 1200 * time.Millisecond
	// batchPause lets changes gather, since each watch is a priced call.
	batchPause = 15 * time.Millisecond
	retryPause = 150 * time.Millisecond
)

// Follower runs one watch over all keys.
type Follower struct {
	store   redwingstall.MetadataStore
	decoder redwingstall.Decoder
	view    *view.View
	log     *slog.Logger
	done    chan struct{}
}

// NewFollower returns a follower that is not running yet.
func NewFollower(store redwingstall.MetadataStore, decoder redwingstall.Decoder, v *view.View, log *slog.Logger) *Follower {
	return &Follower{store: store, decoder: decoder, view: v, log: log, done: make(chan struct{})}
}

// Done is closed when Run has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		revision, err := f.load(ctx)
		if err != nil {
			f.lost(ctx, err)
			continue
		}
		f.follow(ctx, revision)
	}
}

func (f *Follower) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.view.StoreLost(err)
	f.view.Expire(time.Now())
	pause(ctx, retryPause)
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) load(ctx context.Context) (redwingstall.Revision, error) {
	items, revision, err := f.store.Range(ctx, "")
	if err != nil {
		return 0, err
	}
	f.view.StoreBack(time.Now())
	changes := make([]redwingstall.Change, 0, len(items))
	for _, i := range items {
		changes = append(changes, redwingstall.Change{Item: i})
	}
	f.view.Apply(time.Now(), f.decode(changes), true)
	f.log.Info("store read anew", "revision", revision, "items", len(items))
	return revision, nil
}

// follow applies changes until the history from the revision is gone.
func (f *Follower) follow(ctx context.Context, revision redwingstall.Revision) {
	for ctx.Err() == nil {
		changes, next, err := f.store.Watch(ctx, "", revision, watchWait)
		switch {
		case errors.Is(err, redwingstall.ErrCompacted):
			f.log.Info("store history compacted", "revision", revision)
			return
		case err != nil:
			f.lost(ctx, err)
			continue
		}
		f.view.StoreBack(time.Now())
		revision = max(revision, next)
		if len(changes) > 0 {
			f.view.Apply(time.Now(), f.decode(changes), false)
			pause(ctx, batchPause)
		}
		f.view.Expire(time.Now())
	}
}

func (f *Follower) decode(changes []redwingstall.Change) []redwingstall.Event {
	events := make([]redwingstall.Event, 0, len(changes))
	for _, c := range changes {
		event, err := f.decoder.Decode(c)
		if err != nil {
			f.log.Warn("record unreadable", "key", c.Key, "revision", c.Revision, "error", err.Error())
		}
		if event != nil {
			events = append(events, event)
		}
	}
	return events
}
