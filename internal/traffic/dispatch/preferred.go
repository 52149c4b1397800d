package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/affinity"
)

// preferredSlots are the slots of pooled servers that this instance prefers to those of
// others. Only the servers and instances of its own failure domain share slots. The zero
// value is ready to use.
type preferredSlots struct {
	mu       sync.Mutex
	services map[string]division
}

// division is the result of dividing the slots of a service, and what it follows from.
type division struct {
	sequence     int64
	peersVersion int64
	servers      []affinity.Server
	slots        affinity.Slots
	// ids are the servers with preferred slots, sorted.
	ids []string
}

// find returns the servers of a service with preferred slots, and these. They are computed
// again only when the instances or the servers have changed.
func (p *preferredSlots) find(s *view.Snapshot, service, instance, domain string) (ids []string, slots affinity.Slots) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, found := p.services[service]
	if found && d.sequence == s.Sequence {
		return d.ids, d.slots
	}
	servers := sharedServers(s, service, domain)
	if !found || d.peersVersion != s.PeersVersion || !slices.Equal(d.servers, servers) {
		d.slots = affinity.Divide(instance, sharingInstances(s, domain), servers)
		d.ids = slices.Sorted(maps.Keys(d.slots))
	}
	if p.services == nil {
		p.services = map[string]division{}
	}
	p.services[service] = division{s.Sequence, s.PeersVersion, servers, d.slots, d.ids}
	return d.ids, d.slots
}

func sharedServers(s *view.Snapshot, service, domain string) []affinity.Server {
	servers := []affinity.Server{}
	for _, server := range s.Servers[service] {
		if server.FailureDomain == domain && s.IsUsable(server) {
			servers = append(servers, affinity.Server{ID: server.ID, Slots: server.Slots})
		}
	}
	return servers
}

func sharingInstances(s *view.Snapshot, domain string) []string {
	names := []string{}
	for _, p := range s.Peers {
		if p.FailureDomain == domain && !p.IsLeaving {
			names = append(names, p.Name)
		}
	}
	return names
}

// preferredChoice returns the server with a free preferred slot and the lowest cost, or
// nil. It must be open to the request, acceptable and have capacity. It evaluates at most
// sampledEvaluations servers, beginning at a random one: in a service with many servers for
// each instance, an instance prefers slots of hundreds.
func (d *Dispatcher) preferredChoice(s *view.Snapshot, j *job, now time.Time, isAcceptable func(*choice) bool) (best *choice, bestCost float64) {
	ids, slots := d.preferred.find(s, j.service, d.InstanceName, d.FailureDomain)
	first, evaluations := int(d.random(j)*float64(len(ids))), sampledEvaluations
	for i := range ids {
		id := ids[(first+i)%len(ids)]
		server := s.ByID[id]
		if server == nil || server.Service != j.service || !d.isOpen(s, j, server, now) {
			continue
		}
		if evaluations == 0 {
			break
		}
		evaluations--
		c := d.assess(s, j, server, now)
		if c.estimate.Own >= slots[id] || !isAcceptable(c) || !c.hasCapacity(j.route.Kind) {
			continue
		}
		c.cost = d.trialCost(j, server, c.estimate.QueueLength, d.cost(j, c))
		if best == nil || c.cost < bestCost {
			best, bestCost = c, c.cost
		}
	}
	return best, bestCost
}

// isOpen reports whether a server may get the request, as far as its load does not matter.
func (d *Dispatcher) isOpen(s *view.Snapshot, j *job, server *view.Server, now time.Time) bool {
	return s.IsUsable(server) && !j.triedServers[server.ID] && d.backoffs.Left(now, server.Process()) <= 0
}
