package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

const (
	// account holds lastingKey in all versions of the configuration, and the keys of the
	// newest two versions.
	account    = "oak"
	lastingKey = "lasting-key"
	// revocationBound limits how long requests with a removed key may run, in any trouble.
	revocationBound = 5 * time.Second
	// newKeyBound limits how long a new key may be rejected for good, in any trouble.
	newKeyBound = 2500 * time.Millisecond
	// revocationSettings makes the bound of revoked keys strict.
	revocationSettings = "bounds=strict_revoke=true,revoke_ms=5000\n"
	// unknownKey is held by no account.
	unknownKey = "unknown-key"
)

// apiKey is a key of one version of the configuration.
type apiKey struct {
	key string
	// addedAt and removedAt are when the store had acknowledged the version that added or
	// removed it, or zero.
	addedAt, removedAt time.Time
}

// nextAccounts returns the accounts of a version. The keys of the version before remain.
func (s *Soak) nextAccounts(version int64) []redwingstall.ClientAccount {
	s.keys = append(s.keys, &apiKey{key: fmt.Sprintf("key-of-version-%d", version)})
	keys := []string{lastingKey}
	for _, k := range s.keys[max(0, len(s.keys)-2):] {
		keys = append(keys, k.key)
	}
	return []redwingstall.ClientAccount{
		{Name: account, Keys: keys},
		{Name: "elm", Keys: []string{"another-key"}, Priority: 2, HasPriority: true},
	}
}

// acknowledgeKeys records that the store has acknowledged the newest version.
func (s *Soak) acknowledgeKeys(now time.Time) {
	n := len(s.keys)
	s.keys[n-1].addedAt = now
	if n > 2 {
		s.keys[n-3].removedAt = now
	}
}

// newestKeys returns the newest key and the one that was removed last.
func (s *Soak) newestKeys() (newest, removed apiKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.keys)
	if n > 2 {
		removed = *s.keys[n-3]
	}
	return *s.keys[n-1], removed
}

// probeKeys sends requests with a removed key, with a new one and with an unknown one.
func (c *client) probeKeys(ctx context.Context, id string) {
	newest, removed := c.soak.newestKeys()
	if !removed.removedAt.IsZero() && time.Since(removed.removedAt) > revocationBound && !c.soak.config.RestoresStore {
		c.sendWithKey(ctx, id+"-removed", removed.key)
		if c.soak.ledger.RunCount(id+"-removed") > 0 {
			c.soak.ledger.RecordViolation("request %s-removed ran through %s with %s, removed %v before", id, c.instance.name, removed.key, time.Since(removed.removedAt))
		}
	}
	if time.Since(newest.addedAt) > newKeyBound && !c.soak.config.RestoresStore {
		status := c.sendWithKey(ctx, id+"-new", newest.key)
		// The key may have been removed while the request was under way.
		if now, _ := c.soak.newestKeys(); status == http.StatusUnauthorized && now.key == newest.key {
			c.soak.ledger.RecordViolation("request %s-new was rejected at %s with %s, added %v before", id, c.instance.name, newest.key, time.Since(newest.addedAt))
		}
	}
	c.sendWithKey(ctx, id+"-unknown", unknownKey)
	if c.soak.ledger.RunCount(id+"-unknown") > 0 {
		c.soak.ledger.RecordViolation("request %s-unknown ran with a key that no account holds", id)
	}
}

func (c *client) sendWithKey(ctx context.Context, id, key string) int {
	c.soak.ledger.ExpectAccount(id, account)
	return c.sendAs(ctx, id, http.MethodPost, "/charge/x", noKey, key)
}

// credentialOf returns the key that a request carries, which is none for anonymous ones.
func (c *client) credentialOf(id, path string) string {
	if isAnonymous(path) {
		c.soak.ledger.ExpectAccount(id, "")
		return ""
	}
	c.soak.ledger.ExpectAccount(id, account)
	return lastingKey
}

// isAnonymous reports whether the route of a path allows anonymous requests: those that are named
// for a version do.
func isAnonymous(path string) bool { return strings.HasPrefix(path, "/version") }

// setCredential sets the key of a request, and claims another account.
func setCredential(header http.Header, key string) {
	platformtest.SetCredential(header, key)
	platformtest.ClaimAccount(header, "elm")
}
