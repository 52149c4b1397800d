package follow

import "time"

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

// pollTimeout returns how long a poll that is sent now may wait for changes.
func (f *Follower) pollTimeout(broadcasts bool, now time.Duration) time.Duration {
	config := f.view.Snapshot().Config
	hasAccounts, age := config != nil && config.HasAccounts(), now-f.view.ConfirmedAt()
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
	if config := f.view.Snapshot().Config; config == nil || !config.HasAccounts() {
		return 0
	}
	return f.view.ConfirmedAt()
}
