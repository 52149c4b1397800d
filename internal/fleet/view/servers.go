package view

import (
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Server is a backend server as service discovery last reported it.
type Server struct {
	redwingstall.BackendEntry
	// WarmupEndsAt is when the server finishes its warm-up.
	WarmupEndsAt time.Time
	// DrainingSince is when the server may have announced that it drains, or zero if that
	// is unknown.
	DrainingSince time.Time
	// IsEntryDraining is set if the server's entry says that it drains. Draining is also
	// set if a response did.
	IsEntryDraining bool
	// IsSuspect is set while the entry is missing after an outage of the store.
	IsSuspect bool
}

// Process identifies this process of the server. A restart changes StartedAtMillis.
func (s *Server) Process() shardmap.Server {
	return shardmap.Server{ID: s.ID, StartedAtMillis: s.StartedAtMillis}
}

// IsWarmingUp reports whether the server is limited to its warm-up rate.
func (s *Server) IsWarmingUp(now time.Time) bool { return now.Before(s.WarmupEndsAt) }

// maxStartAhead is how far ahead of this instance's clock a server may have started. Clocks
// differ by seconds.
const maxStartAhead = 10 * time.Minute

func (v *View) setEntry(now time.Time, next *Snapshot, e redwingstall.BackendEntry) {
	if time.UnixMilli(e.StartedAtMillis).Sub(now) > maxStartAhead {
		// It would count as newer than all that the server writes itself.
		v.log.Warn("entry of a server that starts in the future", "server", e.ID, "born", e.StartedAtMillis)
		v.removeEntry(now, next, e.ID)
		return
	}
	previous := next.ByID[e.ID]
	if previous != nil && e.IsOlderThan(previous.BackendEntry) {
		v.ignoreOlderEntry(next, previous, e)
		return
	}
	if previous == nil && v.holdBack(now, next, e) {
		return
	}
	s := &Server{BackendEntry: e, IsEntryDraining: e.Draining}
	isSameProcess := previous != nil && previous.StartedAtMillis == e.StartedAtMillis
	switch {
	case isSameProcess && previous.Sequence == e.Sequence && previous.WarmupLeft == e.WarmupLeft:
		s.WarmupEndsAt = previous.WarmupEndsAt // listed again, not written again
	case e.WarmupLeft > 0:
		s.WarmupEndsAt = now.Add(e.WarmupLeft)
	}
	if e.Draining {
		s.DrainingSince = v.earliestChange(now)
		if since, wasDraining := v.drainingBefore(e); wasDraining {
			s.DrainingSince = since
		}
		if isSameProcess && previous.Draining {
			s.DrainingSince = previous.DrainingSince
		}
	}
	v.applyLeaving(s, previous)
	if !isSameProcess || previous.Draining != s.Draining || previous.IsSuspect {
		v.log.Info("backend server", "server", e.ID, "service", e.Service, "born", e.StartedAtMillis, "draining", s.Draining, "warmupLeft", e.WarmupLeft.String())
	}
	next.ByID[e.ID] = s
}

// ignoreOlderEntry keeps the known entry of a server, which is newer than the given one.
// Such entries are in a copy that the store recovered from. One of the same process shows
// that the server is listed.
func (v *View) ignoreOlderEntry(next *Snapshot, known *Server, e redwingstall.BackendEntry) {
	v.retained.outOfDate++
	v.log.Info("entry out of date", "server", e.ID, "service", e.Service, "born", e.StartedAtMillis, "sequence", e.Sequence,
		"knownBorn", known.StartedAtMillis, "knownSequence", known.Sequence, "draining", known.Draining)
	if known.IsSuspect && known.StartedAtMillis == e.StartedAtMillis {
		listed := *known
		listed.IsSuspect = false
		next.ByID[e.ID] = &listed
	}
}

// removeEntry removes a server. If the store is unavailable or has just recovered, the
// entry may have expired in the outage, so the server is kept as suspect, unless it
// was draining.
func (v *View) removeEntry(now time.Time, next *Snapshot, id string) {
	delete(v.retained.heldBack, id)
	previous := next.ByID[id]
	if previous == nil || previous.IsSuspect {
		return
	}
	if !previous.Draining && (v.isStoreUnavailable || now.Before(v.graceUntil)) {
		suspect := *previous
		suspect.IsSuspect = true
		next.ByID[id] = &suspect
		v.log.Info("backend server suspect", "server", id, "service", previous.Service, "until", v.graceUntil)
		return
	}
	v.deleteServer(now, next, previous, "entry removed")
}

func (v *View) deleteServer(now time.Time, next *Snapshot, s *Server, reason string) {
	v.rememberDeparture(now, s)
	delete(next.ByID, s.ID)
	v.log.Info("backend server gone", "server", s.ID, "service", s.Service, "reason", reason)
}
