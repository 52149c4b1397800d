// Package follow keeps an instance's view up to date from the metadata store.
// A few instances watch the store and tell the others, since each call is
// priced; whoever hears nothing, or sees that something is missing, asks itself.
package follow

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

const (
	// watchers is how many instances watch the store: one may be cut off.
	watchers = 2
	// watchWait bounds how long a silenced connection goes unnoticed; with the
	// client's slack it stays below the 2 s in which a configuration applies.
	watchWait = 1200 * time.Millisecond
	// batchPause lets changes gather before the next call.
	batchPause = 15 * time.Millisecond
	retryPause = 150 * time.Millisecond
	// newsEvery is how often a watcher tells its revision without changes.
	newsEvery = 200 * time.Millisecond
	// newsLimit without news makes an instance watch the store itself.
	newsLimit = 650 * time.Millisecond
	// catchUpWait of the call that fetches what news left out.
	catchUpWait = 20 * time.Millisecond
)

// News is what a watcher tells: all changes after one revision up to another.
type News struct {
	_       struct{} `cbor:",toarray"`
	After   int64
	At      int64
	Changes []redwingstall.Change
	// IsShort is set if the changes were too long to be sent.
	IsShort bool
}

// Relay carries news between instances. It may lose some.
type Relay interface {
	Tell(news News)
	News() <-chan News
}

// Follower keeps a view up to date.
type Follower struct {
	self    string
	store   redwingstall.MetadataStore
	decoder redwingstall.Decoder
	view    *view.View
	relay   Relay
	log     *slog.Logger
	done    chan struct{}

	// revision up to which the view is complete.
	revision redwingstall.Revision
	// watchesAlone is set while there are no news.
	watchesAlone bool
}

// NewFollower returns a follower that is not running yet.
func NewFollower(self string, store redwingstall.MetadataStore, decoder redwingstall.Decoder, v *view.View, relay Relay, log *slog.Logger) *Follower {
	return &Follower{self: self, store: store, decoder: decoder, view: v, relay: relay, log: log, done: make(chan struct{})}
}

// Done is closed when Run has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		if err := f.load(ctx); err != nil {
			f.lost(ctx, err)
			continue
		}
		f.follow(ctx)
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

func (f *Follower) load(ctx context.Context) error {
	items, revision, err := f.store.Range(ctx, "")
	if err != nil {
		return err
	}
	f.view.StoreBack(time.Now())
	changes := make([]redwingstall.Change, 0, len(items))
	for _, i := range items {
		changes = append(changes, redwingstall.Change{Item: i})
	}
	f.view.Apply(time.Now(), f.decode(changes), true)
	f.revision = revision
	f.log.Info("store read anew", "revision", revision, "items", len(items))
	return nil
}

// isWatcher reports whether this instance is one of those that watch.
func (f *Follower) isWatcher() bool {
	names := []string{}
	for _, p := range f.view.Snapshot().Peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	rank := slices.Index(names, f.self)
	return rank >= 0 && rank < watchers
}

// follow applies changes until the history is gone.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if f.isWatcher() || f.watchesAlone {
			err = f.watch(ctx)
		} else {
			err = f.listen(ctx)
		}
		switch {
		case errors.Is(err, redwingstall.ErrCompacted):
			f.log.Info("store history compacted", "revision", f.revision)
			return
		case err != nil:
			f.lost(ctx, err)
		}
		f.view.Expire(time.Now())
	}
}

// watch makes one call, and tells the others meanwhile what is known.
func (f *Follower) watch(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if f.isWatcher() {
		go f.repeatNews(ctx, f.revision)
	}
	after := f.revision
	changes, at, err := f.store.Watch(ctx, "", after, watchWait)
	if err != nil {
		return err
	}
	f.view.StoreBack(time.Now())
	f.apply(changes, at)
	if len(changes) > 0 {
		if f.isWatcher() {
			f.relay.Tell(News{After: int64(after), At: int64(f.revision), Changes: changes})
		}
		pause(ctx, batchPause)
	}
	if !f.isWatcher() {
		f.watchesAlone = !f.hasNews()
	}
	return nil
}

// repeatNews tells the revision again, so that lost news are noticed.
func (f *Follower) repeatNews(ctx context.Context, revision redwingstall.Revision) {
	for ctx.Err() == nil {
		f.relay.Tell(News{After: int64(revision), At: int64(revision)})
		pause(ctx, newsEvery)
	}
}

// hasNews empties the queue of news and reports whether there were any.
func (f *Follower) hasNews() bool {
	found := false
	for {
		select {
		case <-f.relay.News():
			found = true
		default:
			return found
		}
	}
}

// listen waits for news, and fetches what they leave out.
func (f *Follower) listen(ctx context.Context) error {
	timer := time.NewTimer(newsLimit)
	defer timer.Stop()
	select {
	case news := <-f.relay.News():
		at := redwingstall.Revision(news.At)
		switch {
		case at <= f.revision:
			return nil
		case redwingstall.Revision(news.After) <= f.revision && !news.IsShort:
			f.apply(news.Changes, at)
			return nil
		}
		return f.catchUp(ctx)
	case <-timer.C:
		f.log.Info("no news of the store, watching it", "revision", f.revision)
		f.watchesAlone = true
	case <-ctx.Done():
	}
	return nil
}

func (f *Follower) catchUp(ctx context.Context) error {
	changes, at, err := f.store.Watch(ctx, "", f.revision, catchUpWait)
	if err != nil {
		return err
	}
	f.view.StoreBack(time.Now())
	f.apply(changes, at)
	return nil
}

// apply takes over changes that are newer than the view.
func (f *Follower) apply(changes []redwingstall.Change, at redwingstall.Revision) {
	known := f.revision
	newer := slices.DeleteFunc(slices.Clone(changes), func(c redwingstall.Change) bool { return c.Revision <= known })
	f.revision = max(known, at)
	if len(newer) > 0 {
		f.view.Apply(time.Now(), f.decode(newer), false)
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
