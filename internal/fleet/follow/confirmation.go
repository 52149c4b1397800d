package follow

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	// accountPollTimeout replaces watcherPollTimeout where the configuration has client
	// accounts. A poll confirms what was known when it was sent, and nothing until it
	// returns: knowledge is up to twice as old, and 150 ms older after a lost heartbeat. At
	// 300 ms it stays below the second up to which an unknown API key is rejected for good.
	accountPollTimeout = 300 * time.Millisecond
	// accountFallbackPollTimeout replaces fallbackPollTimeout there: a poll that fails, after
	// its wait and 700 ms more, leaves knowledge below the bound for revoked API keys.
	accountFallbackPollTimeout = 800 * time.Millisecond
	// staleAfter and fallbackStaleAfter are the ages of the knowledge above which the next
	// poll does not wait for changes. They are above the age at which a poll of the same kind
	// returns in calm operation, so that this concerns only polls after a gap.
	staleAfter         = 650 * time.Millisecond
	fallbackStaleAfter = time.Second
)

// maxWholeBytes is the size of the values in a response up to which it counts as whole. A store
// may answer with the first page of many changes, which confirms nothing: an instance that
// reads long entries of another writer, page after page, took an API key that it had not read
// yet for one that nobody holds.
const maxWholeBytes = 256 << 10

// confirm records what a response to a call shows that was sent at a time.
func (f *Follower) confirm(sentAt time.Duration, changes []redwingstall.Change) {
	size := 0
	for _, change := range changes {
		size += len(change.Value)
	}
	if size <= maxWholeBytes {
		f.view.Confirm(sentAt)
	}
}

// pollTimeout returns how long a poll that is sent now may wait for changes.
func (f *Follower) pollTimeout(broadcasts bool, now time.Duration) time.Duration {
	hasAccounts, age := f.hasAccounts(), now-f.view.ConfirmedAt()
	switch {
	case hasAccounts && broadcasts:
		return shortIfStale(accountPollTimeout, age, staleAfter)
	case hasAccounts:
		return shortIfStale(accountFallbackPollTimeout, age, fallbackStaleAfter)
	case broadcasts:
		return watcherPollTimeout
	}
	return fallbackPollTimeout
}

// shortIfStale returns the wait of a poll, which is short if the knowledge is too old.
func shortIfStale(wait, age, limit time.Duration) time.Duration {
	if age > limit {
		return catchUpPollTimeout
	}
	return wait
}

// confirmedAt returns what updates to other instances say about the age of their content: it is
// needed only where there are client accounts.
func (f *Follower) confirmedAt() time.Duration {
	if !f.hasAccounts() {
		return 0
	}
	return f.view.ConfirmedAt()
}

// hasAccounts reports whether the configuration has client accounts.
func (f *Follower) hasAccounts() bool {
	config := f.view.Snapshot().Config
	return config != nil && config.HasAccounts()
}

// senderRepairInterval is the time between two requests for a repair by an instance that the store
// does not answer. Each may be lost, or its response.
const senderRepairInterval = heartbeatInterval

// SenderRelay is a relay that can ask the sender of the last update for the changes after a
// position. Unlike the instances of RequestRepair it has the store's answers.
type SenderRelay interface {
	RequestRepairFromSender(after redwingstall.Position)
}

// requestRepairFromSender asks for the changes before an update that cannot be read from the store.
// Without them the instance would know each later change by value, but never that it knows all: no
// update would confirm its knowledge until the store answers.
func (f *Follower) requestRepairFromSender(now time.Time) {
	relay, canAsk := f.relay.(SenderRelay)
	if canAsk && f.hasAccounts() && now.Sub(f.senderAskedAt) >= senderRepairInterval {
		f.senderAskedAt = now
		relay.RequestRepairFromSender(f.position)
	}
}
