package follow

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	// reminderPeriod is how long after a recovery of the store reminders are sent. The
	// operator and the backend servers have written their records again by then.
	reminderPeriod = 5 * time.Second
	// reminderInterval is the time between two reminders.
	reminderInterval = heartbeatTimeout
)

// reminders are records that this instance knows and a recovered store lacks or has older.
// The zero value holds none.
type reminders struct {
	records []record
	until   time.Time
	// nextAt is the earliest time of the next reminder. It moves when another instance has
	// sent one.
	nextAt time.Time
}

// end removes and returns all reminders if their time has passed.
func (r *reminders) end(now time.Time) []record {
	if now.Before(r.until) {
		return nil
	}
	ended := r.records
	r.records = nil
	return ended
}

// settle removes the reminders of records that were written again, or removed.
func (r *reminders) settle(written []record) {
	for _, w := range written {
		r.records = slices.DeleteFunc(r.records, func(known record) bool {
			return known.change.Key == w.change.Key && !isOlder(w.event, known.event)
		})
	}
}

// take returns the changes to send at a time, if a reminder is due.
func (r *reminders) take(now time.Time) []redwingstall.Change {
	if len(r.records) == 0 || now.Before(r.nextAt) {
		return nil
	}
	r.nextAt = now.Add(reminderInterval)
	changes := make([]redwingstall.Change, 0, len(r.records))
	for i, known := range r.records {
		c := known.change
		c.Revision = redwingstall.Revision(i + 1) // its own is of another era; large updates are split between revisions
		changes = append(changes, c)
	}
	return changes
}

// sendReminders broadcasts what a recovered store lacks or has older, for instances that
// have started since.
func (f *Follower) sendReminders(now time.Time) {
	for _, r := range f.reminders.end(now) {
		if _, isEvacuation := r.event.(redwingstall.EvacuationChanged); isEvacuation {
			delete(f.memory.records, r.change.Key) // not written again, so it has ended
		}
	}
	if len(f.reminders.records) == 0 || !slices.Contains(chooseWatchers(f.view.Snapshot().Peers, regularWatchers+fallbackWatchers), f.self) {
		return
	}
	if changes := f.reminders.take(now); len(changes) > 0 {
		at := int64(f.position.Revision)
		f.relay.Broadcast(Update{Era: int64(f.position.Era), After: at, UpTo: at, Changes: changes, IsReminder: true})
	}
}

// applyReminder applies what another instance remembers.
func (f *Follower) applyReminder(u Update) {
	f.reminders.nextAt = time.Now().Add(reminderInterval)
	f.view.ApplyReminder(time.Now(), eventsOf(f.decode(u.Changes)))
}
