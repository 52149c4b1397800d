// Package view holds what an instance believes about the outside world: the
// operator's configuration, the backend servers, the owners of keys, and the
// other instances.
package view

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/routing/table"
)

// Server is a backend server as last told by service discovery.
type Server struct {
	redwingstall.BackendEntry
	// ColdUntil is when the server bears its full load.
	ColdUntil time.Time
	// DrainingSince is when its leaving was told, or zero.
	DrainingSince time.Time
	// IsSuspect is set while the entry is missing after an outage of the store.
	IsSuspect bool
}

// Process names this life of the server.
func (s *Server) Process() shardmap.Server {
	return shardmap.Server{ID: s.ID, StartedAtMillis: s.StartedAtMillis}
}

// IsCold reports whether the server bears only its warmup rate.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Peer is another instance.
type Peer struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// LinkMbps is the bandwidth of the instance's link.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// ByStrength sorts instances, those with the widest link first: duties that send
// to all others go to these.
func ByStrength(peers []Peer) []Peer {
	return slices.SortedFunc(slices.Values(peers), func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Name, b.Name))
	})
}

// Snapshot is one consistent state. It is never changed.
type Snapshot struct {
	Config  *redwingstall.Configuration
	Routes  *table.Table
	Servers map[string][]*Server
	ByID    map[string]*Server
	// Evacuated tells since when failure domains are taken out.
	Evacuated map[string]time.Time
	Maps      map[string]shardmap.Map
	Peers     []Peer
	// PeerNames are those of the peers.
	PeerNames []string
	// Leader is the record of the owner map's writer, or a zero item.
	Leader redwingstall.Item
	// Changed is closed when a newer snapshot exists.
	Changed chan struct{}
	// Age counts the snapshots; logs name it.
	Age int64
}

// IsUsable reports whether new requests may go to a server.
func (s *Snapshot) IsUsable(server *Server) bool {
	_, isEvacuated := s.Evacuated[server.FailureDomain]
	return !server.Draining && !isEvacuated
}

// View is safe for concurrent use. The zero value is empty.
type View struct {
	log *slog.Logger
	// returnGrace is how long entries may be missing after the store's return.
	returnGrace time.Duration

	mu         sync.RWMutex
	current    *Snapshot
	graceUntil time.Time
	storeAway  bool
}

// NewView returns an empty view.
func NewView(log *slog.Logger, returnGrace time.Duration) *View {
	return &View{
		log:         log,
		returnGrace: returnGrace,
		current:     &Snapshot{Changed: make(chan struct{}), Routes: table.NewTable(nil)},
	}
}

// Snapshot returns the current state.
func (v *View) Snapshot() *Snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.current
}

// IsComplete reports whether requests can be routed.
func (v *View) IsComplete() bool { return v.Snapshot().Config != nil }

// StoreLost notes that the store does not answer.
func (v *View) StoreLost(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.storeAway {
		v.storeAway = true
		v.log.Warn("dependency lost", "dependency", "store", "error", err.Error())
	}
}

// StoreBack notes that the store answers again.
func (v *View) StoreBack(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storeAway {
		v.storeAway = false
		v.graceUntil = now.Add(v.returnGrace)
		v.log.Info("dependency regained", "dependency", "store", "missingEntriesKept", v.returnGrace.String())
	}
}

// Apply takes changes over. With reset they are everything that exists.
func (v *View) Apply(now time.Time, events []redwingstall.Event, reset bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.draft()
	if reset {
		v.forgetMissing(now, next, events)
	}
	for _, e := range events {
		v.apply(now, next, e)
	}
	v.publish(next)
}

// Expire removes entries that were kept after an outage and did not return.
func (v *View) Expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.graceUntil) || v.storeAway {
		return
	}
	expired := []*Server{}
	for _, s := range v.current.ByID {
		if s.IsSuspect {
			expired = append(expired, s)
		}
	}
	if len(expired) == 0 {
		return
	}
	next := v.draft()
	for _, s := range expired {
		delete(next.ByID, s.ID)
		v.log.Info("backend server gone", "server", s.ID, "service", s.Service, "reason", "not back after the outage")
	}
	v.publish(next)
}

func (v *View) draft() *Snapshot {
	old := v.current
	next := &Snapshot{
		Config:    old.Config,
		Routes:    old.Routes,
		ByID:      make(map[string]*Server, len(old.ByID)),
		Evacuated: make(map[string]time.Time, len(old.Evacuated)),
		Maps:      make(map[string]shardmap.Map, len(old.Maps)),
		Peers:     slices.Clone(old.Peers),
		Leader:    old.Leader,
		Changed:   make(chan struct{}),
		Age:       old.Age + 1,
	}
	for id, s := range old.ByID {
		next.ByID[id] = s
	}
	for domain, since := range old.Evacuated {
		next.Evacuated[domain] = since
	}
	for service, m := range old.Maps {
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
	next.PeerNames = make([]string, 0, len(next.Peers))
	for _, p := range next.Peers {
		next.PeerNames = append(next.PeerNames, p.Name)
	}
	old := v.current
	v.current = next
	close(old.Changed)
}

// forgetMissing treats whatever a full listing does not contain as deleted.
func (v *View) forgetMissing(now time.Time, next *Snapshot, events []redwingstall.Event) {
	listed := map[string]bool{}
	domains := map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case redwingstall.EntryChanged:
			listed[e.Entry.ID] = true
		case redwingstall.EvacuationChanged:
			domains[e.FailureDomain] = true
		}
	}
	for id := range next.ByID {
		if !listed[id] {
			v.removeEntry(now, next, id)
		}
	}
	for domain := range next.Evacuated {
		if !domains[domain] {
			v.setEvacuation(now, next, domain, false)
		}
	}
	next.Peers = nil
	next.Leader = redwingstall.Item{}
	next.Maps = map[string]shardmap.Map{}
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
	next.Config = &c
	next.Routes = table.NewTable(c.Routes)
	v.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes))
}

func (v *View) setEvacuation(now time.Time, next *Snapshot, domain string, isActive bool) {
	if _, wasActive := next.Evacuated[domain]; wasActive == isActive {
		return
	}
	v.log.Info("evacuation", "failureDomain", domain, "active", isActive)
	if isActive {
		next.Evacuated[domain] = now
		return
	}
	delete(next.Evacuated, domain)
}

func (v *View) setEntry(now time.Time, next *Snapshot, e redwingstall.BackendEntry) {
	old := next.ByID[e.ID]
	s := &Server{BackendEntry: e}
	if e.WarmupLeft > 0 {
		s.ColdUntil = now.Add(e.WarmupLeft)
	}
	if old != nil && old.StartedAtMillis > e.StartedAtMillis {
		return
	}
	if e.Draining {
		s.DrainingSince = now
		if old != nil && old.StartedAtMillis == e.StartedAtMillis && old.Draining {
			s.DrainingSince = old.DrainingSince
		}
	}
	if old == nil || old.StartedAtMillis != e.StartedAtMillis || old.Draining != e.Draining || old.IsSuspect {
		v.log.Info("backend server", "server", e.ID, "service", e.Service, "born", e.StartedAtMillis, "draining", e.Draining, "warmupLeft", e.WarmupLeft.String())
	}
	next.ByID[e.ID] = s
}

// removeEntry keeps a server that may have lost its entry to an outage of the
// store; one that said it was leaving is gone.
func (v *View) removeEntry(now time.Time, next *Snapshot, id string) {
	old := next.ByID[id]
	if old == nil || old.IsSuspect {
		return
	}
	if !old.Draining && (v.storeAway || now.Before(v.graceUntil)) {
		kept := *old
		kept.IsSuspect = true
		next.ByID[id] = &kept
		v.log.Info("backend server suspect", "server", id, "service", old.Service, "until", v.graceUntil)
		return
	}
	delete(next.ByID, id)
	v.log.Info("backend server gone", "server", id, "service", old.Service, "reason", "entry removed")
}
