package leader

import (
	"maps"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
)

const (
	// predecessorHeadStart is how long the other instances wait in a new era of the store
	// for the leader of the previous one, which can continue without a recovery of the
	// owners.
	predecessorHeadStart = time.Second
	// informedHeadStart is how long an instance that may not know all servers that hold
	// keys waits for one that does. Its recovery takes as long as grants last.
	informedHeadStart = 300 * time.Millisecond
	// maxNewsGap is the longest time without news of the store that an instance may have
	// missed no owner in. A server that registers, gets keys and loses its entry again
	// takes longer: the entry lasts for three heartbeats of 0.87 s.
	maxNewsGap = 3 * time.Second
	// maxFirstLoadTime is the longest time from the start of an instance to its first load
	// in which no other one can have granted keys yet: the instances of a system start
	// within 0.3 s, and a leader waits 1.2 s for servers before it divides the keys.
	maxFirstLoadTime = 900 * time.Millisecond
)

// history is what an instance has observed of the store and its servers since it started.
// The zero value is empty.
type history struct {
	snapshot *view.Snapshot
	era      redwingstall.Era
	// isFirstEra is set if the instance has seen no earlier era.
	isFirstEra bool
	// loadedAt is when the first records were loaded, and eraBeganAt when the instance
	// learned of the current era.
	loadedAt   time.Duration
	eraBeganAt time.Duration
	// followedSince and followedUntil are when the instance followed the store, with gaps
	// of at most maxNewsGap.
	followedSince time.Duration
	followedUntil time.Duration
	// knowsHolders is set if the instance had followed the store for as long as a server
	// may hold keys when the era began.
	knowsHolders bool
	// leader is the last known leader, and predecessor that of the previous era.
	leader      string
	predecessor string
	// servers are the servers listed recently, by service and ID.
	servers map[string]map[string]listedServer
	// releases are the releases in the owner maps, by service.
	releases map[string]assign.ReleaseHistory
}

// listedServer is a server as last listed.
type listedServer struct {
	address  string
	isListed bool
	listedAt time.Duration
}

// observe updates the history by the current snapshot, and returns it.
func (l *Leader) observe() *view.Snapshot {
	s := l.View.Snapshot()
	l.history.update(l.Clock(), s, l.View.IsCurrent(time.Now()), l.grantTiming().HolderMemory())
	return s
}

// update adds a snapshot, and whether it has all changes of the store. Servers are
// forgotten when they were last listed for longer ago than the memory.
func (h *history) update(now time.Duration, s *view.Snapshot, isCurrent bool, memory time.Duration) {
	if s.Config == nil {
		return
	}
	if h.snapshot == nil {
		h.era, h.isFirstEra = s.Era, true
		h.loadedAt, h.eraBeganAt, h.followedSince, h.followedUntil = now, now, now, now
	}
	if s.Era != h.era {
		h.era, h.eraBeganAt, h.isFirstEra = s.Era, now, false
		h.predecessor = h.leader
		h.knowsHolders = h.followedUntil-h.followedSince >= memory && now-h.followedUntil <= maxNewsGap
	}
	if isCurrent {
		if now-h.followedUntil > maxNewsGap {
			h.followedSince = now
		}
		h.followedUntil = now
	}
	if s == h.snapshot {
		return
	}
	h.snapshot = s
	if s.Leader.Key != "" {
		h.leader = string(s.Leader.Value)
	}
	h.updateServers(now, s, memory)
	h.updateReleases(now, s)
}

// updateReleases adds the releases of a snapshot that was taken no later than now.
func (h *history) updateReleases(now time.Duration, s *view.Snapshot) {
	releases := make(map[string]assign.ReleaseHistory, len(s.Maps))
	for name, m := range s.Maps {
		known := h.releases[name]
		known.Observe(now, m.Map)
		releases[name] = known
	}
	h.releases = releases
}

func (h *history) updateServers(now time.Duration, s *view.Snapshot, memory time.Duration) {
	if h.servers == nil {
		h.servers = map[string]map[string]listedServer{}
	}
	for name, spec := range s.Config.Services {
		if !spec.Sharded {
			continue
		}
		known := h.servers[name]
		if known == nil {
			known = map[string]listedServer{}
			h.servers[name] = known
		}
		for id, server := range known {
			switch {
			case server.isListed: // until this snapshot
				known[id] = listedServer{server.address, false, now}
			case now-server.listedAt >= memory:
				delete(known, id)
			}
		}
		for _, server := range s.Servers[name] {
			known[server.ID] = listedServer{server.Address, true, now}
		}
	}
}

// addresses returns the addresses of the servers of a service that were listed recently,
// by ID.
func (h *history) addresses(service string) map[string]string {
	addresses := make(map[string]string, len(h.servers[service]))
	for id, server := range h.servers[service] {
		addresses[id] = server.address
	}
	return addresses
}

// hadNoGrants reports whether no server can have held keys when the era began, in a system
// that starts for the first time and with it this instance.
func (h *history) hadNoGrants(instanceStartedAt time.Duration) bool {
	return h.isFirstEra && h.loadedAt-instanceStartedAt <= maxFirstLoadTime
}

// headStart returns how long the instance leaves it to others to lead that need less time
// to recover the owners of keys in a new era of the store.
func (h *history) headStart(now time.Duration) time.Duration {
	delay := time.Duration(0)
	if h.predecessor != "" {
		delay += predecessorHeadStart
	}
	if !h.knowsHolders {
		delay += informedHeadStart
	}
	return max(h.eraBeganAt+delay-now, 0)
}

// suspendedTerm is the state of a term that ended with an era of the store, while the
// leader's lease was valid. No other instance can have led in that era afterwards.
type suspendedTerm struct {
	era      redwingstall.Era
	services map[string]*serviceState
}

// suspendTerm returns the state of a term that ends with its era. It includes the services
// that the term has found without a map, and not continued yet.
func (l *Leader) suspendTerm(era redwingstall.Era) *suspendedTerm {
	l.mu.Lock()
	defer l.mu.Unlock()
	services := maps.Clone(l.services)
	if l.suspended != nil && l.suspended.era+1 == era {
		for name, s := range l.suspended.services {
			if services[name] == nil && s.continuableIn == era {
				services[name] = s
			}
		}
	}
	return &suspendedTerm{era, services}
}

// forgetSuspended drops the state of a service that another leader has led since.
func (l *Leader) forgetSuspended(name string) {
	if l.suspended != nil {
		delete(l.suspended.services, name)
	}
}

// suspendedState returns the state of a service in this instance's own term of the era
// before, or nil if there is none to continue with. A map that the term never stored is
// none: the era had no map then, so that another leader may have stored one and granted keys
// without waiting for this term to end.
func (l *Leader) suspendedState(era redwingstall.Era, name string) *serviceState {
	if l.suspended == nil || l.suspended.era+1 != era {
		return nil
	}
	if s := l.suspended.services[name]; s != nil && s.assigner != nil && s.position.Revision != 0 {
		return s
	}
	return nil
}
