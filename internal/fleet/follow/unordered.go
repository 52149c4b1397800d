package follow

import (
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
)

// unordered selects the changes of updates to apply while the instance cannot read those
// before them, or the records of the store's era. The zero value has seen none.
type unordered struct {
	era redwingstall.Era
	// revisions are those of the last change of each key.
	revisions map[string]redwingstall.Revision
}

// newer returns those changes of an update, of the latest era, that are the latest ones of
// their keys so far.
func (u *unordered) newer(update Update) []redwingstall.Change {
	era := redwingstall.Era(update.Era)
	if u.revisions == nil || era > u.era {
		u.era, u.revisions = era, map[string]redwingstall.Revision{}
	}
	changes := []redwingstall.Change{}
	for _, c := range update.Changes {
		if c.Revision > u.revisions[c.Key] {
			u.revisions[c.Key] = c.Revision
			changes = append(changes, c)
		}
	}
	return changes
}

// applyUnordered applies the changes of an update by value, without the ones before it.
// The position remains, so that all records are loaded as soon as the store answers.
func (f *Follower) applyUnordered(update Update) {
	now := time.Now()
	era := redwingstall.Era(update.Era)
	switch {
	case era < max(f.position.Era, f.unordered.era):
		return
	case update.IsReminder:
		f.applyReminder(update)
		return
	case !update.IsRepair:
		f.lastUpdateAt = now
		f.view.MarkStoreAvailable(now)
	}
	changes := f.unordered.newer(update)
	if era == f.position.Era {
		changes = slices.DeleteFunc(changes, func(c redwingstall.Change) bool { return c.Revision <= f.position.Revision })
	}
	if len(changes) == 0 {
		return
	}
	f.log.Info("changes applied without those before them", "era", update.Era, "upTo", update.UpTo, "changes", len(changes))
	records := f.decode(changes)
	for _, r := range records {
		f.memory.observe(r)
	}
	f.view.Apply(now, eventsOf(records), false)
}

// awaitRetry applies updates until the next attempt to load all records.
func (f *Follower) awaitRetry(done <-chan struct{}) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	for {
		select {
		case update := <-f.relay.Updates():
			if f.isLoaded {
				f.applyUnordered(update)
			}
		case <-timer.C:
			return
		case <-done:
			return
		}
	}
}
