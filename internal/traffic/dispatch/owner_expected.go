package dispatch

import (
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	// handoverTime is how long an owner that is listed takes to release keys: as long as the
	// requests that run on them. After that it counts as lost.
	handoverTime = time.Second
	// reassignmentTime is the time from the end of the last grant of keys to requests at
	// their next owner: one write of the map, its way to the instances, and the grant.
	reassignmentTime = 300 * time.Millisecond
	// lostOwnerDelay is about how long keys still have no owner once the entry of their owner
	// is gone and no release is stored yet. With grants of 3 s it is their rest.
	lostOwnerDelay = 2 * time.Second
	// releaseMemory is how long a release is remembered after its keys should have an owner.
	releaseMemory = 10 * time.Second
)

// knownReleases are the releases of keys that requests were asked for, with the time at which
// the grants of the former owner end. The zero value is empty.
type knownReleases struct {
	mu       sync.Mutex
	releases map[releaseKey]knownRelease
}

type releaseKey struct {
	service string
	fence   int64
}

type knownRelease struct {
	seenAt time.Time
	// endsAt is when the keys have their next owner at the latest. It is zero if unknown.
	endsAt time.Time
}

// observe returns what is known of the release of a range, which is seen now.
func (k *knownReleases) observe(now time.Time, service string, r shardmap.Range) knownRelease {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := releaseKey{service, r.Fence}
	known, found := k.releases[key]
	if !found {
		if k.releases == nil {
			k.releases = map[releaseKey]knownRelease{}
		}
		for other, release := range k.releases {
			if now.Sub(release.seenAt) > releaseMemory+release.endsAt.Sub(release.seenAt) {
				delete(k.releases, other)
			}
		}
		known.seenAt = now
	}
	// Each write of the map may know an earlier end.
	if end := now.Add(r.GrantsEndWithin + reassignmentTime); r.GrantsEndWithin > 0 && (known.endsAt.IsZero() || end.Before(known.endsAt)) {
		known.endsAt = end
	}
	k.releases[key] = known
	return known
}

// ownerExpectedIn returns how long it takes until a key without an owner has one, or zero if
// that may be at any moment.
func (d *Dispatcher) ownerExpectedIn(s *view.Snapshot, j *job, now time.Time) time.Duration {
	r, found := s.Maps[j.service].Find(j.meta.Key)
	if !found || r.State == shardmap.StateReleased {
		return 0
	}
	owner := s.ByID[r.Owner.ID]
	isListed := owner != nil && owner.StartedAtMillis == r.Owner.StartedAtMillis
	if r.State == shardmap.StateAssigned {
		if isListed {
			return 0
		}
		return lostOwnerDelay
	}
	known := d.releases.observe(now, j.service, r)
	if isListed && now.Sub(known.seenAt) < handoverTime || known.endsAt.IsZero() {
		return 0
	}
	return max(known.endsAt.Sub(now), reassignmentTime)
}
