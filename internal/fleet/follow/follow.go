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
	// watchers is how many instances watch the store, each in another failure
	// domain where there are several: one may be cut off.
	watchers = 2
	// substitutes watch for all while there are no news of the watchers.
	substitutes = 2
	// watchWait of a watcher, and confirmedLimit after which it does not speak for
	// the store any more. With newsLimit and a call of one's own, changes still
	// arrive within 2 s, in which a configuration applies, if all watchers are cut
	// off without a sound.
	watchWait      = 500 * time.Millisecond
	confirmedLimit = 700 * time.Millisecond
	// aloneWait of an instance that watches for itself.
	aloneWait = 1200 * time.Millisecond
	// batchPause lets changes gather before the next call, and entryPause does so
	// after changes of backend servers only, which come in crowds and are urgent
	// within seconds.
	batchPause = 15 * time.Millisecond
	entryPause = 80 * time.Millisecond
	retryPause = 150 * time.Millisecond
	// newsEvery is how often a watcher tells its revision without changes.
	newsEvery = 150 * time.Millisecond
	// newsLimit without news, three lost in a row, makes an instance watch the
	// store itself.
	newsLimit = 500 * time.Millisecond
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
	// confirmed is when the store last answered.
	confirmed time.Time
	// retryAt is when the store is asked again after a failure.
	retryAt time.Time
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
	f.confirm()
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
	return slices.Contains(chooseWatchers(f.view.Snapshot().Peers, watchers), f.self)
}

// speaks reports whether this instance tells the others what it sees.
func (f *Follower) speaks() bool {
	return f.isWatcher() || f.watchesAlone && slices.Contains(chooseWatchers(f.view.Snapshot().Peers, watchers+substitutes), f.self)
}

// chooseWatchers takes the strongest instance of each failure domain in turn,
// until there are enough.
func chooseWatchers(peers []view.Peer, n int) []string {
	sorted := view.ByStrength(peers)
	chosen, domains := []string{}, map[string]bool{}
	for _, spreads := range []bool{true, false} {
		for _, p := range sorted {
			if len(chosen) < n && !slices.Contains(chosen, p.Name) && !(spreads && domains[p.FailureDomain]) {
				chosen = append(chosen, p.Name)
				domains[p.FailureDomain] = true
			}
		}
	}
	return chosen
}

// follow applies changes until the history is gone.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		isBarred := time.Now().Before(f.retryAt)
		if (f.isWatcher() || f.watchesAlone) && !isBarred {
			err = f.watch(ctx)
		} else {
			err = f.listen(ctx)
		}
		switch {
		case errors.Is(err, redwingstall.ErrCompacted):
			f.log.Info("store history compacted", "revision", f.revision)
			pause(ctx, batchPause)
			return
		case err != nil && ctx.Err() == nil:
			// Others may reach the store and tell what is new.
			f.view.StoreLost(err)
			f.retryAt = time.Now().Add(newsLimit)
		}
		f.view.Expire(time.Now())
	}
}

// watch makes one call, and tells the others meanwhile what is known.
func (f *Follower) watch(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	speaks := f.speaks()
	wait := aloneWait
	if speaks {
		wait = watchWait
		go f.repeatNews(ctx, f.revision, f.confirmed)
	}
	after := f.revision
	changes, at, err := f.store.Watch(ctx, "", after, wait)
	if err != nil {
		return err
	}
	f.confirm()
	isUrgent := f.apply(changes, at)
	if len(changes) > 0 {
		if speaks {
			f.relay.Tell(News{After: int64(after), At: int64(f.revision), Changes: changes})
		}
		f.gather(ctx, isUrgent)
	}
	if !f.isWatcher() {
		f.watchesAlone = !f.hasNews()
	}
	return nil
}

// gather waits for more changes before the next call.
func (*Follower) gather(ctx context.Context, isUrgent bool) {
	if isUrgent {
		pause(ctx, batchPause)
		return
	}
	pause(ctx, entryPause)
}

// confirm notes that the store has answered.
func (f *Follower) confirm() {
	f.confirmed = time.Now()
	f.view.StoreBack(f.confirmed)
}

// repeatNews tells the revision again, so that lost news are noticed, as long as
// the store has answered a short while ago.
func (f *Follower) repeatNews(ctx context.Context, revision redwingstall.Revision, confirmed time.Time) {
	for ctx.Err() == nil && time.Since(confirmed) < confirmedLimit {
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
		// Who tells news has just had an answer of the store. An instance that was
		// turned away itself must not keep servers that have left.
		f.view.StoreBack(time.Now())
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
		if !f.watchesAlone && !f.isWatcher() {
			f.log.Info("no news of the store, watching it", "revision", f.revision)
			f.watchesAlone = true
		}
	case <-ctx.Done():
	}
	return nil
}

func (f *Follower) catchUp(ctx context.Context) error {
	changes, at, err := f.store.Watch(ctx, "", f.revision, catchUpWait)
	if err != nil {
		return err
	}
	f.confirm()
	f.apply(changes, at)
	return nil
}

// apply takes over changes that are newer than the view. It reports whether others
// than those of backend servers are among them.
func (f *Follower) apply(changes []redwingstall.Change, at redwingstall.Revision) (isUrgent bool) {
	known := f.revision
	newer := slices.DeleteFunc(slices.Clone(changes), func(c redwingstall.Change) bool { return c.Revision <= known })
	f.revision = max(known, at)
	if len(newer) == 0 {
		return false
	}
	events := f.decode(newer)
	f.view.Apply(time.Now(), events, false)
	return slices.ContainsFunc(events, func(e redwingstall.Event) bool {
		switch e.(type) {
		case redwingstall.EntryChanged, redwingstall.EntryRemoved:
			return false
		}
		return true
	})
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
