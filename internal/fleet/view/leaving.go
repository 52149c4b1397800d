package view

import (
	"maps"
	"time"

	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// leavingRetention is how long a server that announced in its responses that it leaves is
// remembered after that if it is not listed, in case its entry is listed again.
const leavingRetention = 2 * time.Minute

// Leaving is a server process that announced in a response that it leaves.
type Leaving struct {
	Server shardmap.Server
	Since  time.Time
}

// leavingServers are the servers that announced in a response that they leave.
type leavingServers struct {
	since map[shardmap.Server]time.Time
	// unsent are those that the other instances have not been notified of.
	unsent []Leaving
}

// MarkLeaving records that a server announced in a response to this instance that it
// leaves. The server is treated as draining from then on. It reports whether that is new.
func (v *View) MarkLeaving(now time.Time, server shardmap.Server) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := Leaving{server, now}
	if !v.markLeaving(now, l) {
		return false
	}
	v.leaving.unsent = append(v.leaving.unsent, l)
	return true
}

// MergeLeaving records what another instance has learned by a response. It reports whether
// that is new.
func (v *View) MergeLeaving(now time.Time, l Leaving) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.markLeaving(now, l)
}

func (v *View) markLeaving(now time.Time, l Leaving) bool {
	if _, isKnown := v.leaving.since[l.Server]; isKnown {
		return false
	}
	maps.DeleteFunc(v.leaving.since, func(server shardmap.Server, since time.Time) bool {
		return v.listed(server) == nil && now.Sub(since) >= leavingRetention
	})
	if v.leaving.since == nil {
		v.leaving.since = map[shardmap.Server]time.Time{}
	}
	v.leaving.since[l.Server] = l.Since
	known := v.listed(l.Server)
	if known == nil || known.Draining {
		return true
	}
	next := v.copyCurrent()
	server := *known
	server.Draining, server.DrainingSince = true, l.Since
	next.ByID[server.ID] = &server
	v.publish(next)
	v.log.Info("backend server leaves", "server", server.ID, "service", server.Service, "born", server.StartedAtMillis)
	return true
}

// listed returns the listed server of a process, or nil.
func (v *View) listed(server shardmap.Server) *Server {
	if known := v.current.ByID[server.ID]; known != nil && known.Process() == server {
		return known
	}
	return nil
}

// applyLeaving treats a server as draining that announced in a response that it leaves. An
// entry that withdraws a drain also withdraws the announcement.
func (v *View) applyLeaving(s, previous *Server) {
	since, isLeaving := v.leaving.since[s.Process()]
	switch {
	case !isLeaving || s.Draining:
	case previous != nil && previous.Process() == s.Process() && previous.IsEntryDraining:
		delete(v.leaving.since, s.Process())
	default:
		s.Draining, s.DrainingSince = true, since
	}
}

// TakeLeaving returns the servers that announced to this instance that they leave, and that
// were not returned yet.
func (v *View) TakeLeaving() []Leaving {
	v.mu.Lock()
	defer v.mu.Unlock()
	taken := v.leaving.unsent
	v.leaving.unsent = nil
	return taken
}

// AllLeaving returns all listed servers that announced in a response that they leave.
func (v *View) AllLeaving() []Leaving {
	v.mu.RLock()
	defer v.mu.RUnlock()
	all := []Leaving{}
	for server, since := range v.leaving.since {
		if v.listed(server) != nil {
			all = append(all, Leaving{server, since})
		}
	}
	return all
}
