package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// RecoveredError reports that the store was recovered from an older copy since this client
// has read from it. It is marked as [redwingstall.ErrEraChanged].
type RecoveredError struct {
	Name string
	// Known is the revision that the client knows, and Found the one that the store has now.
	Known, Found redwingstall.Revision
}

// Error returns a message with both revisions.
func (e *RecoveredError) Error() string {
	return fmt.Sprintf("store: %s is at revision %d, which does not follow revision %d", e.Name, e.Found, e.Known)
}

// Is makes the error match [redwingstall.ErrEraChanged].
func (e *RecoveredError) Is(target error) bool { return target == redwingstall.ErrEraChanged }

// writeHistory has the operations of a value at the latest revision that was seen.
type writeHistory struct {
	revision   redwingstall.Revision
	operations []string
}

// lineage holds what a client knows of the store's history, and detects a value that does
// not follow it. It stays broken from then on: revisions are assigned again, so those of
// both histories cannot be told apart. The zero value is ready to use.
type lineage struct {
	mu        sync.Mutex
	histories map[string]writeHistory
	highest   redwingstall.Revision
	broken    error
}

// err returns the error with which the lineage broke, or nil.
func (l *lineage) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

func (l *lineage) breakAt(name string, known, found redwingstall.Revision) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken == nil {
		l.broken = errors.WithStack(&RecoveredError{name, known, found})
	}
	return l.broken
}

// history returns what is known of a name.
func (l *lineage) history(name string) writeHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histories[name]
}

// below returns what is known of the names under a prefix.
func (l *lineage) below(prefix string) map[string]writeHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := maps.Clone(l.histories)
	maps.DeleteFunc(known, func(name string, _ writeHistory) bool { return !strings.HasPrefix(name, prefix) })
	return known
}

// highestRevision returns the highest revision that is known of any name.
func (l *lineage) highestRevision() redwingstall.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest
}

// add keeps the operations of a value unless those of a later revision are known.
func (l *lineage) add(name string, next writeHistory) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histories == nil {
		l.histories = map[string]writeHistory{}
	}
	if next.revision >= l.histories[name].revision {
		l.histories[name] = next
	}
	l.highest = max(l.highest, next.revision)
}

// checkNext returns an error unless a value can follow what was known before the call that
// read it. A value without the latest known operation cannot, unless it has had
// maxOperations later ones.
func (l *lineage) checkNext(name string, known, next writeHistory) error {
	follows := next.revision > known.revision
	switch {
	case next.revision == known.revision:
		follows = slices.Equal(next.operations, known.operations)
	case follows && len(known.operations) > 0 && len(next.operations) < maxOperations:
		follows = slices.Contains(next.operations, known.operations[len(known.operations)-1])
	}
	if follows {
		return nil
	}
	return l.breakAt(name, known.revision, next.revision)
}
