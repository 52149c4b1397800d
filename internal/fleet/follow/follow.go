// Package follow keeps an instance's view in sync with the metadata store. Each call
// to the store is priced, so a few instances watch it and broadcast its changes to the
// others. An instance that receives no updates, or detects a gap in them, calls the
// store itself.
package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/boottime"
)

const (
	// regularWatchers is the number of instances that watch the store. Each is in another
	// failure domain where there are several, since a domain may be partitioned from the
	// store.
	regularWatchers = 2
	// fallbackWatchers is the number of further instances that may broadcast changes while
	// no updates arrive from the regular watchers.
	fallbackWatchers = 2
	// watcherPollTimeout bounds one long poll of a broadcasting watcher.
	// maxConfirmationAge is the age of the store's last answer after which a watcher stops
	// sending heartbeats. A configuration must apply within 2 s. Together with
	// heartbeatTimeout and one call of the instance itself, changes still arrive within
	// that time if all watchers are silently partitioned from the store.
	watcherPollTimeout = 500 * time.Millisecond
	maxConfirmationAge = 700 * time.Millisecond
	// fallbackPollTimeout bounds one long poll of an instance that watches the store only
	// for itself.
	fallbackPollTimeout = 1200 * time.Millisecond
	// batchDelay lets changes accumulate before the next call. entryBatchDelay replaces it
	// after changes of backend servers only: these arrive in bursts and need to be applied
	// within seconds.
	batchDelay      = 15 * time.Millisecond
	entryBatchDelay = 80 * time.Millisecond
	retryDelay      = 150 * time.Millisecond
	// heartbeatInterval is the time between a watcher's broadcasts of its revision while
	// there are no changes.
	heartbeatInterval = 150 * time.Millisecond
	// heartbeatTimeout is the time without updates after which an instance watches the
	// store itself: three lost heartbeats in a row.
	heartbeatTimeout = 500 * time.Millisecond
	// repairTimeout is how long an instance waits for another one to send the changes that
	// it misses, before it reads them from the store.
	repairTimeout = 80 * time.Millisecond
	// registrationTimeout bounds the wait for the instance's own record, whose write may
	// fail. registrationDelay is the time in which the watchers learn of it.
	registrationTimeout = 400 * time.Millisecond
	registrationDelay   = 120 * time.Millisecond
	// spreadLimit is the number of instances up to which all of them may load from the
	// store at once, and maxLoadDelay bounds the delay in larger fleets.
	spreadLimit  = 40
	maxLoadDelay = 100 * time.Millisecond
	// catchUpPollTimeout bounds the call that fetches changes missing from updates.
	catchUpPollTimeout = 20 * time.Millisecond
)

// Update is the message that a watcher broadcasts: all changes after the revision After
// up to the revision UpTo.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Era is the era of the revisions. Updates of an earlier era are ignored.
	Era     int64
	After   int64
	UpTo    int64
	Changes []redwingstall.Change
	// IsTruncated is set if the changes were left out because they exceed the size limit.
	IsTruncated bool
	// IsRepair is set if another instance sent the changes on request, which does not say
	// that the store is available.
	IsRepair bool
	// IsReminder is set if the changes are not those up to UpTo, but what the sender knows
	// from an earlier era and the store lacks or has older.
	IsReminder bool
	// ConfirmedAt is when the store call was sent whose answer showed that there were no
	// further changes up to UpTo, on the clock of package boottime of the process that holds
	// the update. It is zero if unknown. The relay carries its age.
	ConfirmedAt time.Duration `cbor:"-"`
}

// Relay carries updates between instances. Delivery is not guaranteed.
type Relay interface {
	Broadcast(update Update)
	Updates() <-chan Update
	// RequestRepair asks another instance for the changes after a position, which arrive
	// as an update. It returns false if there is none to ask.
	RequestRepair(after redwingstall.Position) bool
}

// Follower keeps a view in sync with the metadata store.
type Follower struct {
	self    string
	store   redwingstall.MetadataStore
	decoder redwingstall.Decoder
	view    *view.View
	relay   Relay
	log     *slog.Logger
	done    chan struct{}
	// random returns numbers from 0 to 1.
	random func() float64
	// clock is the clock of package boottime.
	clock func() time.Duration

	// position is the position in the store's history up to which the view is complete.
	position redwingstall.Position
	// isLoaded is set once all records were loaded.
	isLoaded bool
	// lastUpdateAt is when the last update arrived while records could not be loaded.
	lastUpdateAt time.Time
	memory       memory
	reminders    reminders
	unordered    unordered
	// lastConfirmed is when the store last answered.
	lastConfirmed time.Time
	// retryAt is the earliest time of the next call after a failure.
	retryAt time.Time
	// history are the last changes, for other instances.
	history history
	// repairPosition is the position from which a repair was requested last, at
	// repairRequestedAt.
	repairPosition    redwingstall.Position
	repairRequestedAt time.Time
	// senderAskedAt is when a sender of updates was last asked for a repair.
	senderAskedAt time.Time
	// slowCatchUps counts the catch-ups from slowPosition that took too long.
	slowPosition redwingstall.Position
	slowCatchUps int
	// isFallbackActive is set while the instance watches the store itself because it
	// receives no updates.
	isFallbackActive bool
}

// NewFollower returns a follower; Run starts it.
func NewFollower(self string, store redwingstall.MetadataStore, decoder redwingstall.Decoder, v *view.View, relay Relay, log *slog.Logger) *Follower {
	return &Follower{self: self, store: store, decoder: decoder, view: v, relay: relay, log: log, done: make(chan struct{}), random: rand.Float64, clock: boottime.Now}
}

// Done returns a channel that is closed when Run returns.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run keeps the view in sync until the context ends. It starts soon after the instance's
// own record is written, so that the watchers send it the changes made from then on.
// Otherwise it would miss those made between its first read of the store and its record.
func (f *Follower) Run(ctx context.Context, registered <-chan struct{}) {
	defer close(f.done)
	waitCtx, cancel := context.WithTimeout(ctx, registrationTimeout)
	select {
	case <-registered:
		sleep(waitCtx, registrationDelay)
	case <-waitCtx.Done():
	}
	cancel()
	for ctx.Err() == nil {
		if err := f.loadAll(ctx); err != nil {
			f.handleLoadError(ctx, err)
			continue
		}
		f.followChanges(ctx)
	}
}

func (f *Follower) handleLoadError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.awaitRetry(ctx.Done())
	// Other instances may still reach the store and broadcast its changes.
	if time.Since(f.lastUpdateAt) > heartbeatTimeout {
		f.view.MarkStoreUnavailable(err)
	}
	f.view.EndGracePeriods(time.Now())
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) loadAll(ctx context.Context) error {
	sentAt := f.clock()
	items, at, err := f.store.Range(ctx, "")
	if err != nil {
		return err
	}
	f.recordConfirmation()
	changes := make([]redwingstall.Change, 0, len(items))
	for _, item := range items {
		changes = append(changes, redwingstall.Change{Item: item})
	}
	records := f.decode(changes)
	kept := f.view.Load(time.Now(), at.Era, eventsOf(records))
	f.view.MarkCurrent(time.Now())
	f.view.Confirm(sentAt)
	f.log.Info("loaded all records from the store", "era", at.Era, "revision", at.Revision, "items", len(items))
	if f.isLoaded && at.Era != f.position.Era {
		f.reminders = reminders{records: f.memory.recover(records), until: time.Now().Add(reminderPeriod)}
		f.logRecovery(at, kept, len(f.reminders.records))
	} else {
		f.memory.reset(records)
	}
	f.position, f.isLoaded = at, true
	f.unordered = unordered{}
	f.history.reset(at)
	return nil
}

// isWatcher reports whether this instance is one of the regular watchers.
func (f *Follower) isWatcher() bool {
	return slices.Contains(chooseWatchers(f.view.Snapshot().Peers, regularWatchers), f.self)
}

// isBroadcaster reports whether this instance broadcasts the changes that it reads.
func (f *Follower) isBroadcaster() bool {
	return f.isWatcher() || f.isFallbackActive && slices.Contains(chooseWatchers(f.view.Snapshot().Peers, regularWatchers+fallbackWatchers), f.self)
}

// chooseWatchers selects n instances: first the one with the widest link of each
// failure domain, then the remaining ones in the same order.
func chooseWatchers(peers []view.Peer, n int) []string {
	sorted := view.SortedByBandwidth(peers)
	chosen, domains := []string{}, map[string]bool{}
	for _, onePerDomain := range []bool{true, false} {
		for _, p := range sorted {
			if len(chosen) < n && !slices.Contains(chosen, p.Name) && !(onePerDomain && domains[p.FailureDomain]) {
				chosen = append(chosen, p.Name)
				domains[p.FailureDomain] = true
			}
		}
	}
	return chosen
}

// followChanges applies changes until the store has compacted the history after the
// current position, or has left its era.
func (f *Follower) followChanges(ctx context.Context) {
	for ctx.Err() == nil {
		f.sendReminders(time.Now())
		var err error
		isBackingOff := time.Now().Before(f.retryAt)
		if (f.isWatcher() || f.isFallbackActive) && !isBackingOff {
			err = f.watch(ctx)
		} else {
			err = f.receiveUpdate(ctx)
		}
		switch {
		case errors.Is(err, redwingstall.ErrCompacted), errors.Is(err, redwingstall.ErrEraChanged):
			f.log.Info("cannot continue from the current position; loading all records", "era", f.position.Era, "revision", f.position.Revision, "error", err.Error())
			sleep(ctx, batchDelay+loadDelay(len(f.view.Snapshot().Peers), f.random))
			return
		case err != nil && ctx.Err() == nil:
			// Other instances may still reach the store and broadcast its changes.
			f.view.MarkStoreUnavailable(err)
			f.retryAt = time.Now().Add(heartbeatTimeout)
		}
		f.view.EndGracePeriods(time.Now())
	}
}

// watch makes one long poll. A broadcaster sends heartbeats during the call and its
// changes after it.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	broadcasts := f.isBroadcaster()
	if broadcasts {
		go f.sendHeartbeats(ctx, f.position, f.lastConfirmed, f.confirmedAt())
	}
	after, sentAt := f.position, f.clock()
	changes, at, err := f.store.Watch(ctx, "", after, f.pollTimeout(broadcasts, sentAt))
	if err != nil {
		return err
	}
	f.recordConfirmation()
	isUrgent := f.apply(changes, at.Revision)
	f.view.MarkCurrent(time.Now())
	f.confirm(sentAt, changes)
	if len(changes) > 0 {
		if broadcasts {
			f.relay.Broadcast(Update{
				Era: int64(after.Era), After: int64(after.Revision), UpTo: int64(f.position.Revision), Changes: changes, ConfirmedAt: f.confirmedAt(),
			})
		}
		f.awaitBatch(ctx, isUrgent)
	}
	hasUpdates := f.drainUpdates()
	if !f.isWatcher() {
		f.isFallbackActive = !hasUpdates
	}
	return nil
}

// awaitBatch lets more changes accumulate before the next call.
func (*Follower) awaitBatch(ctx context.Context, isUrgent bool) {
	if isUrgent {
		sleep(ctx, batchDelay)
		return
	}
	sleep(ctx, entryBatchDelay)
}

// recordConfirmation records that the store has answered.
func (f *Follower) recordConfirmation() {
	f.lastConfirmed = time.Now()
	f.view.MarkStoreAvailable(f.lastConfirmed)
}

// sendHeartbeats broadcasts the position repeatedly, so that receivers detect lost
// updates. It stops when the store's last answer is older than maxConfirmationAge.
// The poll under way has confirmed nothing yet, so heartbeats carry what the one before has.
func (f *Follower) sendHeartbeats(ctx context.Context, at redwingstall.Position, confirmed time.Time, confirmedAt time.Duration) {
	for ctx.Err() == nil && time.Since(confirmed) < maxConfirmationAge {
		f.relay.Broadcast(Update{Era: int64(at.Era), After: int64(at.Revision), UpTo: int64(at.Revision), ConfirmedAt: confirmedAt})
		sleep(ctx, heartbeatInterval)
	}
}

// drainUpdates empties the queue of updates and reports whether it held any of the store's
// era. The instance reads the store itself, so that it needs only the reminders.
func (f *Follower) drainUpdates() bool {
	received := false
	for {
		select {
		case update := <-f.relay.Updates():
			isCurrent := redwingstall.Era(update.Era) >= f.position.Era
			if isCurrent && update.IsReminder {
				f.applyReminder(update)
			}
			received = received || isCurrent && !update.IsRepair && !update.IsReminder
		default:
			return received
		}
	}
}

// receiveUpdate waits for one update, and fetches from the store what it leaves out.
func (f *Follower) receiveUpdate(ctx context.Context) error {
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case update := <-f.relay.Updates():
		return f.handleUpdate(ctx, update)
	case <-timer.C:
		if !f.isFallbackActive && !f.isWatcher() {
			f.log.Info("no news of the store, watching it", "era", f.position.Era, "revision", f.position.Revision)
			f.isFallbackActive = true
		}
	case <-ctx.Done():
	}
	return nil
}

func (f *Follower) handleUpdate(ctx context.Context, update Update) error {
	at := redwingstall.Position{Era: redwingstall.Era(update.Era), Revision: redwingstall.Revision(update.UpTo)}
	switch {
	case at.Era < f.position.Era:
		return nil // the sender has not learned of the era yet
	case at.Era > f.position.Era:
		f.applyUnordered(update)
		return errors.Mark(errors.Newf("update of era %d", at.Era), redwingstall.ErrEraChanged)
	case update.IsReminder:
		f.applyReminder(update)
		return nil
	}
	// The sender has just had an answer from the store, so the store is available,
	// even if it refused this instance's own call. Treating it as unavailable would
	// keep servers whose entries were removed.
	if !update.IsRepair {
		f.view.MarkStoreAvailable(time.Now())
	}
	switch {
	case at.Revision <= f.position.Revision:
		f.markCurrent(update)
		return nil
	case redwingstall.Revision(update.After) <= f.position.Revision && !update.IsTruncated:
		f.apply(update.Changes, at.Revision)
		f.markCurrent(update)
		return nil
	}
	now := time.Now()
	if f.awaitsRepair(now) {
		return nil
	}
	if now.Before(f.retryAt) {
		f.applyUnordered(update)
		f.requestRepairFromSender(now)
		return nil
	}
	f.log.Info("update incomplete, reading changes from the store", "era", at.Era, "revision", f.position.Revision, "after", update.After, "upTo", update.UpTo, "isTruncated", update.IsTruncated)
	err := f.catchUp(ctx)
	if err != nil {
		f.applyUnordered(update)
	}
	return err
}

// markCurrent records that the view has all changes, unless the last ones came from an
// instance that may miss some itself.
func (f *Follower) markCurrent(u Update) {
	if !u.IsRepair {
		f.view.MarkCurrent(time.Now())
		f.view.Confirm(u.ConfirmedAt)
	}
}

// awaitsRepair reports whether another instance may still send the changes after the
// current position. It requests them once for each position.
func (f *Follower) awaitsRepair(now time.Time) bool {
	if f.repairPosition == f.position && !f.repairRequestedAt.IsZero() {
		return now.Sub(f.repairRequestedAt) < repairTimeout
	}
	f.repairPosition, f.repairRequestedAt = f.position, now
	return f.relay.RequestRepair(f.position)
}

// ChangesSince returns the changes after a position for another instance, or false if it
// knows none or has not kept all of them. It is safe for concurrent use.
func (f *Follower) ChangesSince(after redwingstall.Position) (Update, bool) {
	return f.history.since(after)
}

func (f *Follower) catchUp(ctx context.Context) error {
	sentAt := f.clock()
	changes, at, err := f.store.Watch(ctx, "", f.position, catchUpPollTimeout)
	if err != nil {
		return f.countSlowCatchUp(err)
	}
	f.recordConfirmation()
	f.apply(changes, at.Revision)
	f.view.MarkCurrent(time.Now())
	f.confirm(sentAt, changes)
	return nil
}

// maxSlowCatchUps is how often in a row the changes since one position may take too long.
const maxSlowCatchUps = 2

// countSlowCatchUp returns the error of a catch-up, marked with ErrCompacted if the store has
// not answered in time again: there may be too many changes for one response. All records
// are loaded then, page by page. Other instances just had an answer from the store.
func (f *Follower) countSlowCatchUp(err error) error {
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	if f.slowPosition != f.position {
		f.slowPosition, f.slowCatchUps = f.position, 0
	}
	if f.slowCatchUps++; f.slowCatchUps < maxSlowCatchUps {
		return err
	}
	f.slowCatchUps = 0
	return errors.Mark(err, redwingstall.ErrCompacted)
}

// apply applies the changes that are newer than the view. It reports whether any of
// them concerns something other than a backend server.
func (f *Follower) apply(changes []redwingstall.Change, at redwingstall.Revision) (isUrgent bool) {
	applied := f.position.Revision
	newer := slices.DeleteFunc(slices.Clone(changes), func(c redwingstall.Change) bool { return c.Revision <= applied })
	f.position.Revision = max(applied, at)
	f.history.add(newer, f.position.Revision)
	if len(newer) == 0 {
		return false
	}
	records := f.decode(newer)
	for _, r := range records {
		f.memory.observe(r)
	}
	f.reminders.settle(records)
	f.view.Apply(time.Now(), eventsOf(records), false)
	return slices.ContainsFunc(records, func(r record) bool {
		switch r.event.(type) {
		case redwingstall.EntryChanged, redwingstall.EntryRemoved:
			return false
		}
		return true
	})
}

func (f *Follower) decode(changes []redwingstall.Change) []record {
	records := make([]record, 0, len(changes))
	for _, c := range changes {
		event, err := f.decoder.Decode(c)
		if err != nil {
			f.log.Warn("record cannot be decoded", "key", c.Key, "revision", c.Revision, "error", err.Error())
		}
		if event != nil {
			records = append(records, record{c, event})
		}
	}
	return records
}

func eventsOf(records []record) []redwingstall.Event {
	events := make([]redwingstall.Event, 0, len(records))
	for _, r := range records {
		events = append(events, r.event)
	}
	return events
}

// logRecovery logs that the store came back from an older copy, and what the view keeps.
func (f *Follower) logRecovery(at redwingstall.Position, kept view.Kept, reminders int) {
	f.log.Warn("store recovered from an older copy", "previousEra", kept.PreviousEra, "era", at.Era, "revision", at.Revision,
		"suspects", kept.Suspects, "outOfDate", kept.OutOfDate, "heldBack", kept.HeldBack, "evacuations", kept.Evacuations,
		"peers", kept.Peers, "reminders", reminders)
}

// loadDelay spreads the loads of instances that learn at the same time that they need one.
func loadDelay(instances int, random func() float64) time.Duration {
	if instances <= spreadLimit {
		return 0
	}
	return time.Duration(random() * float64(maxLoadDelay))
}
