package view

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/redwingstall/redwingstall"
)

const (
	// evacuationGrace is how long an evacuation stays in force after a recovery of the
	// store from a copy that lacks it. The operator writes it again.
	evacuationGrace = 5 * time.Second
	// peerGrace is how long an instance that the copy lacks is still counted. It is the
	// time to live of an instance's record.
	peerGrace = 8 * time.Second
	// departedGrace is how long an entry of a server that left is held back after a
	// recovery. Entries of servers that do not run expire after three heartbeats of
	// 0.87 s.
	departedGrace = 4 * time.Second
	// departureRetention and maxDepartures bound the memory of servers that left. A copy is
	// some seconds old.
	departureRetention = 2 * time.Minute
	maxDepartures      = 2000
)

// Kept counts what a listing after a recovery of the store lacks, has older, or has though
// it was removed, and what the view therefore keeps or holds back.
type Kept struct {
	PreviousEra redwingstall.Era
	// Suspects are the entries that the listing lacks, and OutOfDate those that it has in
	// an older form.
	Suspects  int
	OutOfDate int
	// HeldBack are the entries of servers that had left.
	HeldBack    int
	Evacuations int
	Peers       int
}

// retained is what the view knows beyond the listing of a recovered store. The zero value
// is empty.
type retained struct {
	// evacuations and peers are missing in the listing, and kept until a time.
	evacuations map[string]time.Time
	peers       map[string]time.Time
	// departures are the last servers that left, by id.
	departures map[string]departure
	// heldBack are the entries of servers that had left.
	heldBack map[string]heldEntry
	// currentAt is when the view was last current before the recovery.
	currentAt time.Time
	// until is when the changes of before the recovery have been written again.
	until time.Time
	// outOfDate counts the ignored entries of a listing.
	outOfDate int
}

// departure is a server that left, and the era of the store in which it did.
type departure struct {
	server *Server
	era    redwingstall.Era
	at     time.Time
}

// heldEntry is an entry that is not in the snapshot, and when it was first listed.
type heldEntry struct {
	redwingstall.BackendEntry
	since time.Time
}

func newRetained() retained {
	return retained{
		evacuations: map[string]time.Time{}, peers: map[string]time.Time{},
		departures: map[string]departure{}, heldBack: map[string]heldEntry{},
	}
}

// beginRecovery starts the grace periods for what a recovered store lacks.
func (v *View) beginRecovery(now time.Time) {
	if !now.Before(v.retained.until) { // else the listing before this one was incomplete too
		v.retained.currentAt = v.currentAt
	}
	v.retained.until = now.Add(v.recoveryGrace)
	v.retained.outOfDate = 0
	clear(v.retained.heldBack) // their leases run anew
	if v.graceUntil.Before(v.retained.until) {
		v.graceUntil = v.retained.until
	}
}

// kept counts what the view keeps after a recovery.
func (v *View) kept(next *Snapshot) Kept {
	k := Kept{
		PreviousEra: v.current.Era, OutOfDate: v.retained.outOfDate, HeldBack: len(v.retained.heldBack),
		Evacuations: len(v.retained.evacuations), Peers: len(v.retained.peers),
	}
	for _, s := range next.ByID {
		if s.IsSuspect {
			k.Suspects++
		}
	}
	return k
}

// retainEvacuation keeps an evacuation that a listing lacks. Once kept, it stays until its
// grace period ends. It reports whether it is kept.
func (v *View) retainEvacuation(now time.Time, domain string, isRecovery bool) bool {
	_, isKept := v.retained.evacuations[domain]
	if isRecovery {
		v.retained.evacuations[domain] = now.Add(evacuationGrace)
		v.log.Info("evacuation kept, missing after a recovery of the store", "failureDomain", domain, "for", evacuationGrace.String())
	}
	return isKept || isRecovery
}

// retainPeer does the same for an instance.
func (v *View) retainPeer(now time.Time, name string, isRecovery bool) bool {
	_, isKept := v.retained.peers[name]
	if isRecovery {
		v.retained.peers[name] = now.Add(peerGrace)
		v.log.Info("instance kept, missing after a recovery of the store", "peer", name, "for", peerGrace.String())
	}
	return isKept || isRecovery
}

// rememberDeparture remembers a server that left, in case a recovery of the store lists it
// again.
func (v *View) rememberDeparture(now time.Time, s *Server) {
	if len(v.retained.departures) >= maxDepartures {
		oldest := slices.MinFunc(slices.Collect(maps.Values(v.retained.departures)), func(a, b departure) int { return a.at.Compare(b.at) })
		delete(v.retained.departures, oldest.server.ID)
	}
	v.retained.departures[s.ID] = departure{s, v.current.Era, now}
}

// holdBack reports whether an entry is that of a server that left in an earlier era, and
// keeps it aside until it is certain that the server runs. Draining servers get no new
// requests, so their entries are not held back.
func (v *View) holdBack(now time.Time, next *Snapshot, e redwingstall.BackendEntry) bool {
	d, isKnown := v.retained.departures[e.ID]
	if !isKnown || d.era == next.Era || e.Draining || d.server.IsOlderThan(e) {
		delete(v.retained.heldBack, e.ID)
		return false
	}
	held, isHeld := v.retained.heldBack[e.ID]
	if !isHeld {
		held.since = now
		v.log.Info("entry held back, the server had left before a recovery of the store", "server", e.ID, "service", e.Service,
			"born", e.StartedAtMillis, "sequence", e.Sequence, "for", departedGrace.String())
	}
	held.BackendEntry = e
	v.retained.heldBack[e.ID] = held
	return true
}

// drainingBefore returns since when a server drained before it was removed, if an entry is
// of the same process.
func (v *View) drainingBefore(e redwingstall.BackendEntry) (time.Time, bool) {
	d, isKnown := v.retained.departures[e.ID]
	if !isKnown || !d.server.Draining || d.server.StartedAtMillis != e.StartedAtMillis {
		return time.Time{}, false
	}
	return d.server.DrainingSince, true
}

// EndGracePeriods removes what was kept after an outage or a recovery of the store and is
// still missing, and admits servers that are still listed. Nothing ends while the store is
// unavailable.
func (v *View) EndGracePeriods(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.graceUntil) || v.isStoreUnavailable {
		return
	}
	maps.DeleteFunc(v.retained.departures, func(_ string, d departure) bool { return now.Sub(d.at) > departureRetention })
	if !v.hasEndedGrace(now) {
		return
	}
	next := v.copyCurrent()
	for _, s := range v.current.ByID {
		if s.IsSuspect {
			v.deleteServer(now, next, s, "entry still missing after the store outage")
		}
	}
	for domain, until := range v.retained.evacuations {
		if !now.Before(until) {
			v.log.Info("evacuation ended, not written again after a recovery of the store", "failureDomain", domain)
			v.setEvacuation(now, next, domain, false)
		}
	}
	for name, until := range v.retained.peers {
		if !now.Before(until) {
			v.log.Info("instance removed, not registered again after a recovery of the store", "peer", name)
			delete(v.retained.peers, name)
			next.removePeer(name)
		}
	}
	for id, held := range v.retained.heldBack {
		if now.Sub(held.since) >= departedGrace {
			v.log.Info("entry admitted, still listed", "server", id, "service", held.Service)
			delete(v.retained.departures, id)
			v.setEntry(now, next, held.BackendEntry)
		}
	}
	v.publish(next)
}

func (v *View) hasEndedGrace(now time.Time) bool {
	for _, until := range v.retained.evacuations {
		if !now.Before(until) {
			return true
		}
	}
	for _, until := range v.retained.peers {
		if !now.Before(until) {
			return true
		}
	}
	for _, held := range v.retained.heldBack {
		if now.Sub(held.since) >= departedGrace {
			return true
		}
	}
	for _, s := range v.current.ByID {
		if s.IsSuspect {
			return true
		}
	}
	return false
}

// WatchEra calls a function with each further era of the store, until the context ends. The
// era that is loaded first is not reported.
func (v *View) WatchEra(ctx context.Context, report func(ctx context.Context, era redwingstall.Era)) {
	s := v.Snapshot()
	for {
		select {
		case <-s.Changed:
		case <-ctx.Done():
			return
		}
		next := v.Snapshot()
		if s.Sequence > 0 && next.Era != s.Era {
			report(ctx, next.Era)
		}
		s = next
	}
}

// ApplyReminder applies what another instance remembers and the listing of a recovered
// store lacks or has older. An evacuation ends like one that this instance remembers.
// Entries of servers that are not listed are ignored.
func (v *View) ApplyReminder(now time.Time, events []redwingstall.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.copyCurrent()
	for _, event := range events {
		switch e := event.(type) {
		case redwingstall.ConfigurationChanged:
			v.setConfiguration(next, e.Configuration)
		case redwingstall.EvacuationChanged:
			if _, isKnown := next.Evacuated[e.FailureDomain]; e.IsActive && !isKnown {
				v.log.Info("evacuation remembered by another instance", "failureDomain", e.FailureDomain)
				next.Evacuated[e.FailureDomain] = time.Time{}
				v.retained.evacuations[e.FailureDomain] = now.Add(evacuationGrace)
			}
		case redwingstall.EntryChanged:
			if known := next.ByID[e.Entry.ID]; known != nil && known.IsOlderThan(e.Entry) {
				v.setEntry(now, next, e.Entry)
				if s := next.ByID[e.Entry.ID]; s.Draining && !known.Draining {
					s.DrainingSince = time.Time{}
				}
			}
		}
	}
	v.publish(next)
}
