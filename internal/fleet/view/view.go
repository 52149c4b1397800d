// Package view holds an instance's local state of the system: the operator's
// configuration, the backend servers, the owners of keys, and the other instances.
package view

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/routing/table"
)

// Peer is another instance.
type Peer struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// LinkMbps is the bandwidth of the instance's link.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// IsLeaving is set once the instance shuts down.
	IsLeaving bool `json:"isLeaving,omitempty"`
}

// SortedByBandwidth returns the instances sorted by link bandwidth, the widest first, and
// among equal ones those that leave last. Tasks that send to all others run on the first
// ones. A wide link carries them beside the last responses of an instance that leaves.
func SortedByBandwidth(peers []Peer) []Peer {
	return slices.SortedFunc(slices.Values(peers), func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), compareBool(a.IsLeaving, b.IsLeaving), cmp.Compare(a.Name, b.Name))
	})
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// OwnerMap is the owner map of a service, and the era of the store that it was written in.
type OwnerMap struct {
	shardmap.Map
	Era redwingstall.Era
}

// Snapshot is one consistent, immutable state.
type Snapshot struct {
	Config *redwingstall.Configuration
	Routes *table.Table
	// Accounts finds the client accounts of the configuration by their keys, which Config
	// does not contain.
	Accounts *accounts.Directory
	Servers  map[string][]*Server
	ByID     map[string]*Server
	// Evacuated holds the evacuated failure domains and when their evacuation may have
	// begun, which is zero if that is unknown.
	Evacuated map[string]time.Time
	// Era is the era of the store.
	Era redwingstall.Era
	// Maps are the latest owner maps by service.
	Maps  map[string]OwnerMap
	Peers []Peer
	// PeerNames are the names of Peers, in the same order.
	PeerNames []string
	// StayingPeers are the names of the instances that do not shut down. PeersVersion grows
	// with each change of Peers.
	StayingPeers []string
	PeersVersion int64
	// Leader is the record of the instance that writes the owner maps in the current era,
	// or a zero item.
	Leader redwingstall.Item
	// Changed is closed when a newer snapshot is published.
	Changed chan struct{}
	// Sequence grows by one with each snapshot; logs contain it.
	Sequence int64
}

// IsUsable reports whether new requests may go to a server.
func (s *Snapshot) IsUsable(server *Server) bool {
	_, isEvacuated := s.Evacuated[server.FailureDomain]
	return !server.Draining && !isEvacuated
}

// View holds the current snapshot. It is safe for concurrent use; NewView creates one.
type View struct {
	log *slog.Logger
	// recoveryGrace is how long entries may be missing after the store recovers.
	recoveryGrace time.Duration

	mu                 sync.RWMutex
	current            *Snapshot
	graceUntil         time.Time
	isStoreUnavailable bool
	// currentAt is when the view last had all changes of the store, or zero.
	currentAt time.Time
	retained  retained
	leaving   leavingServers
	// confirmedAt is when the view is known to have had all changes of the store, on the
	// clock of package boottime.
	confirmedAt atomic.Int64
}

// maxCurrentAge is the age of the last current view up to which a change counts as made
// when it was learned.
const maxCurrentAge = time.Second

// MarkCurrent records that the view has all changes of the store.
func (v *View) MarkCurrent(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.currentAt = now
}

// IsCurrent reports whether the view had all changes of the store a moment ago.
func (v *View) IsCurrent(now time.Time) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.currentAt.IsZero() && now.Sub(v.currentAt) <= maxCurrentAge
}

// earliestChange returns when a change that was just learned may have been made: a process
// that has just started, or was cut off, learns of it late, and after a recovery of the
// store earlier changes are written again. It is zero after the start.
func (v *View) earliestChange(now time.Time) time.Time {
	if now.Before(v.retained.until) {
		return v.retained.currentAt
	}
	if !v.currentAt.IsZero() && now.Sub(v.currentAt) <= maxCurrentAge {
		return now
	}
	return v.currentAt
}

// NewView returns an empty view.
func NewView(log *slog.Logger, recoveryGrace time.Duration) *View {
	return &View{
		log:           log,
		recoveryGrace: recoveryGrace,
		retained:      newRetained(),
		current:       &Snapshot{Changed: make(chan struct{}), Routes: table.NewTable(nil)},
	}
}

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.current
}

// IsComplete reports whether a configuration is loaded, so that requests can be
// routed.
func (v *View) IsComplete() bool { return v.Snapshot().Config != nil }

// MarkStoreUnavailable records that the store does not answer.
func (v *View) MarkStoreUnavailable(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isStoreUnavailable {
		v.isStoreUnavailable = true
		v.log.Warn("dependency lost", "dependency", "store", "error", err.Error())
	}
}

// MarkStoreAvailable records that the store answers. After an outage it starts the grace period
// for missing entries.
func (v *View) MarkStoreAvailable(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isStoreUnavailable {
		v.isStoreUnavailable = false
		v.graceUntil = now.Add(v.recoveryGrace)
		v.log.Info("dependency regained", "dependency", "store", "missingEntriesKept", v.recoveryGrace.String())
	}
}

// Apply applies changes and publishes a new snapshot. With reset, the events are a
// full listing, and items that it does not contain are removed.
func (v *View) Apply(now time.Time, events []redwingstall.Event, reset bool) {
	if reset {
		v.Load(now, v.Snapshot().Era, events)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.copyCurrent()
	for _, e := range events {
		v.apply(now, next, e)
	}
	v.publish(next)
}

// Load applies a full listing of the store in an era, and publishes a new snapshot. If the
// era is another one than before, the listing is of an older copy: what it lacks may be
// written again, and what it has may be out of date. Load returns what the view keeps then.
func (v *View) Load(now time.Time, era redwingstall.Era, events []redwingstall.Event) Kept {
	v.mu.Lock()
	defer v.mu.Unlock()
	isRecovery := v.current.Sequence > 0 && v.current.Era != era
	next := v.copyCurrent()
	next.Era = era
	if isRecovery {
		v.beginRecovery(now)
	}
	v.removeUnlisted(now, next, events, isRecovery)
	for _, e := range events {
		v.apply(now, next, e)
	}
	kept := v.kept(next)
	v.publish(next)
	return kept
}

func (v *View) copyCurrent() *Snapshot {
	previous := v.current
	next := &Snapshot{
		Config:    previous.Config,
		Routes:    previous.Routes,
		Accounts:  previous.Accounts,
		ByID:      make(map[string]*Server, len(previous.ByID)),
		Evacuated: make(map[string]time.Time, len(previous.Evacuated)),
		Era:       previous.Era,
		Maps:      make(map[string]OwnerMap, len(previous.Maps)),
		Peers:     slices.Clone(previous.Peers),
		Leader:    previous.Leader,
		Changed:   make(chan struct{}),
		Sequence:  previous.Sequence + 1,
	}
	for id, s := range previous.ByID {
		next.ByID[id] = s
	}
	for domain, since := range previous.Evacuated {
		next.Evacuated[domain] = since
	}
	for service, m := range previous.Maps {
		next.Maps[service] = m
	}
	return next
}

func (v *View) publish(next *Snapshot) {
	next.Servers = map[string][]*Server{}
	for _, s := range next.ByID {
		next.Servers[s.Service] = append(next.Servers[s.Service], s)
	}
	for _, list := range next.Servers {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	previous := v.current
	next.setPeerNames(previous)
	v.current = next
	close(previous.Changed)
}

// setPeerNames derives the names of the instances, unless they are those of the previous
// snapshot.
func (s *Snapshot) setPeerNames(previous *Snapshot) {
	if slices.Equal(s.Peers, previous.Peers) {
		s.PeerNames, s.StayingPeers, s.PeersVersion = previous.PeerNames, previous.StayingPeers, previous.PeersVersion
		return
	}
	s.PeersVersion = previous.PeersVersion + 1
	for _, p := range s.Peers {
		s.PeerNames = append(s.PeerNames, p.Name)
		if !p.IsLeaving {
			s.StayingPeers = append(s.StayingPeers, p.Name)
		}
	}
}

// removeUnlisted treats items that a full listing does not contain as deleted. After a
// recovery of the store, some are kept for a grace period.
func (v *View) removeUnlisted(now time.Time, next *Snapshot, events []redwingstall.Event, isRecovery bool) {
	listedServers, listedDomains, listedPeers := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case redwingstall.EntryChanged:
			listedServers[e.Entry.ID] = true
		case redwingstall.EvacuationChanged:
			listedDomains[e.FailureDomain] = true
		case redwingstall.RecordChanged:
			listedPeers[strings.TrimPrefix(e.Change.Key, PeerPrefix)] = true
		}
	}
	for id := range next.ByID {
		if !listedServers[id] {
			v.removeEntry(now, next, id)
		}
	}
	maps.DeleteFunc(v.retained.heldBack, func(id string, _ heldEntry) bool { return !listedServers[id] })
	for domain := range next.Evacuated {
		if !listedDomains[domain] && !v.retainEvacuation(now, domain, isRecovery) {
			v.setEvacuation(now, next, domain, false)
		}
	}
	next.Peers = slices.DeleteFunc(next.Peers, func(p Peer) bool {
		return listedPeers[p.Name] || !v.retainPeer(now, p.Name, isRecovery)
	})
	next.Leader = redwingstall.Item{}
	maps.DeleteFunc(next.Maps, func(_ string, m OwnerMap) bool { return m.Era == next.Era })
}

func (v *View) apply(now time.Time, next *Snapshot, event redwingstall.Event) {
	switch e := event.(type) {
	case redwingstall.ConfigurationChanged:
		v.setConfiguration(next, e.Configuration)
	case redwingstall.EvacuationChanged:
		v.setEvacuation(now, next, e.FailureDomain, e.IsActive)
	case redwingstall.EntryChanged:
		v.setEntry(now, next, e.Entry)
	case redwingstall.EntryRemoved:
		v.removeEntry(now, next, e.ID)
	case redwingstall.RecordChanged:
		v.setRecord(next, e.Change)
	}
}

func (v *View) setConfiguration(next *Snapshot, c redwingstall.Configuration) {
	if next.Config != nil && c.Version <= next.Config.Version {
		return
	}
	if next.Config != nil && next.Config.HasAccounts() && !c.HasAccounts() {
		v.log.Warn("no client accounts any more, requests need no key", "version", c.Version)
	}
	next.Accounts = accounts.NewDirectory(c.Accounts)
	c.Accounts = withoutKeys(c.Accounts)
	next.Config = &c
	next.Routes = table.NewTable(c.Routes)
	v.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "accounts", len(c.Accounts), "keys", next.Accounts.Len())
	for _, r := range c.Routes {
		if !r.Kind.IsKnown() {
			v.log.Warn("unknown kind of route, its requests run at most once", "version", c.Version, "route", r.Name, "kind", string(r.Kind))
		}
	}
}

func (v *View) setEvacuation(now time.Time, next *Snapshot, domain string, isActive bool) {
	delete(v.retained.evacuations, domain)
	if _, wasActive := next.Evacuated[domain]; wasActive == isActive {
		return
	}
	v.log.Info("evacuation", "failureDomain", domain, "active", isActive)
	if isActive {
		next.Evacuated[domain] = v.earliestChange(now)
		return
	}
	delete(next.Evacuated, domain)
}
