package assignment

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// stamp is when a blocking set first knew an entry under a fence.
type stamp struct {
	fence int64
	at    time.Time
}

// Mover remembers which changes every majority of instances knows, and for how
// long. Its memory is all that a move needs besides the record: one that is
// lost only makes the next mover wait once more. It is not safe for concurrent
// use.
type Mover struct {
	wait     time.Duration
	owned    map[string]stamp
	revoked  map[string]stamp
	released map[string]int64
}

// NewMover returns a mover that waits for the time given, in which every right
// that was confirmed before has lapsed.
func NewMover(wait time.Duration) *Mover {
	return &Mover{
		wait:     wait,
		owned:    map[string]stamp{},
		revoked:  map[string]stamp{},
		released: map[string]int64{},
	}
}

// Acknowledge notes that by now a blocking set knows the record.
func (m *Mover) Acknowledge(now time.Time, record Record) {
	entries := record.Entries()
	owned, revoked := map[string]stamp{}, map[string]stamp{}
	for name, entry := range entries {
		switch entry.State {
		case ShardOwned:
			owned[name] = keep(m.owned[name], entry.Fence, now)
		case ShardRevoking:
			owned[name] = m.owned[name]
			revoked[name] = keep(m.revoked[name], entry.Fence, now)
		}
	}
	m.owned = owned
	m.revoked = revoked
	for name, fence := range m.released {
		if entry := entries[name]; entry.State != ShardRevoking || entry.Fence != fence {
			delete(m.released, name)
		}
	}
}

func keep(old stamp, fence int64, now time.Time) stamp {
	if old.fence == fence && !old.at.IsZero() {
		return old
	}
	return stamp{fence: fence, at: now}
}

// IsMature reports whether every grant that overlapped the entry before its
// present fence has lapsed.
func (m *Mover) IsMature(now time.Time, name string, entry Entry) bool {
	known := m.owned[name]
	return known.fence == entry.Fence && !known.at.IsZero() && now.Sub(known.at) >= m.wait
}

// ToRelease returns, by server, the grants whose release would end the wait: a
// blocking set knows that they are revoked, and no older grant overlaps them.
func (m *Mover) ToRelease(now time.Time, record Record) map[string][]redwingstall.Grant {
	releases := map[string][]redwingstall.Grant{}
	for name, entry := range record.Entries() {
		isKnown := entry.State == ShardRevoking && m.revoked[name].fence == entry.Fence
		if !isKnown || m.released[name] == entry.Fence || !m.IsMature(now, name, entry) {
			continue
		}
		grant := redwingstall.Grant{Shard: name, Fence: entry.Fence}
		releases[entry.Owner] = append(releases[entry.Owner], grant)
	}
	return releases
}

// Release notes that a server that checks fences acknowledged the release of
// a grant that ToRelease named.
func (m *Mover) Release(name string, fence int64) {
	m.released[name] = fence
}

// Lapsed names the revoking entries whose old grant is provably over: it was
// released, or the wait has passed since a blocking set knew.
func (m *Mover) Lapsed(now time.Time, record Record) map[string]bool {
	lapsed := map[string]bool{}
	for name, entry := range record.Entries() {
		if entry.State != ShardRevoking {
			continue
		}
		known := m.revoked[name]
		isOver := known.fence == entry.Fence && !known.at.IsZero() && now.Sub(known.at) >= m.wait
		if isOver || m.released[name] == entry.Fence {
			lapsed[name] = true
		}
	}
	return lapsed
}

// Fixed names the owned entries that balancing leaves alone for now.
func (m *Mover) Fixed(now time.Time, record Record) map[string]bool {
	fixed := map[string]bool{}
	for name, entry := range record.Entries() {
		if entry.State == ShardOwned && !m.IsMature(now, name, entry) {
			fixed[name] = true
		}
	}
	return fixed
}
