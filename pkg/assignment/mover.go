package assignment

import (
	"time"

	"github.com/redwingstall/redwingstall"
)

// acknowledgement is when a blocking set first knew an entry with a given fencing
// token.
type acknowledgement struct {
	fence int64
	at    time.Time
}

// Mover records which changes every majority of instances knows, and since when.
// Besides the assignment record, a move needs no other state. If it is lost, the
// next mover only has to wait once more. A Mover is not safe for concurrent use.
type Mover struct {
	wait time.Duration
	// owned and revoked have the acknowledgements by entry name; released has the
	// released fencing tokens.
	owned    map[string]acknowledgement
	revoked  map[string]acknowledgement
	released map[string]int64
}

// NewMover returns a mover. The wait is the time after which every right that
// was confirmed before it has expired.
func NewMover(wait time.Duration) *Mover {
	return &Mover{
		wait:     wait,
		owned:    map[string]acknowledgement{},
		revoked:  map[string]acknowledgement{},
		released: map[string]int64{},
	}
}

// Acknowledge records that a blocking set knows the record at time now.
func (m *Mover) Acknowledge(now time.Time, record Record) {
	entries := record.Entries()
	owned, revoked := map[string]acknowledgement{}, map[string]acknowledgement{}
	for name, entry := range entries {
		switch entry.State {
		case ShardOwned:
			owned[name] = earliest(m.owned[name], entry.Fence, now)
		case ShardRevoking:
			owned[name] = m.owned[name]
			revoked[name] = earliest(m.revoked[name], entry.Fence, now)
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

// earliest returns the old acknowledgement if it is for the same fencing token,
// and else a new one.
func earliest(old acknowledgement, fence int64, now time.Time) acknowledgement {
	if old.fence == fence && !old.at.IsZero() {
		return old
	}
	return acknowledgement{fence: fence, at: now}
}

// IsMature reports whether every grant that overlaps the entry and was issued
// under an earlier fencing token has expired.
func (m *Mover) IsMature(now time.Time, name string, entry Entry) bool {
	known := m.owned[name]
	return known.fence == entry.Fence && !known.at.IsZero() && now.Sub(known.at) >= m.wait
}

// PendingReleases returns, by server, the grants whose release would end the wait early.
// A blocking set knows that they are revoked, and no older grant overlaps them.
func (m *Mover) PendingReleases(now time.Time, record Record) map[string][]redwingstall.Grant {
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

// AcknowledgeRelease records that a server acknowledged the release of a grant that
// PendingReleases returned. The server must check fencing tokens.
func (m *Mover) AcknowledgeRelease(name string, fence int64) {
	m.released[name] = fence
}

// Lapsed returns the names of the revoking entries whose old grant has certainly
// ended: it was released, or the wait has passed since a blocking set knew of the
// revocation.
func (m *Mover) Lapsed(now time.Time, record Record) map[string]bool {
	lapsed := map[string]bool{}
	for name, entry := range record.Entries() {
		if entry.State != ShardRevoking {
			continue
		}
		known := m.revoked[name]
		hasLapsed := known.fence == entry.Fence && !known.at.IsZero() && now.Sub(known.at) >= m.wait
		if hasLapsed || m.released[name] == entry.Fence {
			lapsed[name] = true
		}
	}
	return lapsed
}

// Unmovable returns the names of the owned entries that rebalancing must not move yet,
// because older grants may still overlap them.
func (m *Mover) Unmovable(now time.Time, record Record) map[string]bool {
	unmovable := map[string]bool{}
	for name, entry := range record.Entries() {
		if entry.State == ShardOwned && !m.IsMature(now, name, entry) {
			unmovable[name] = true
		}
	}
	return unmovable
}
