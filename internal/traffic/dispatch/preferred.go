package dispatch

import (
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
}

// find returns the preferred slots of a service. They are computed again only when the
// instances or the servers have changed.
func (p *preferredSlots) find(s *view.Snapshot, service, instance, domain string) affinity.Slots {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, found := p.services[service]
	if found && d.sequence == s.Sequence {
		return d.slots
	}
	servers := sharedServers(s, service, domain)
	if !found || d.peersVersion != s.PeersVersion || !slices.Equal(d.servers, servers) {
		d.slots = affinity.Divide(instance, sharingInstances(s, domain), servers)
	}
	if p.services == nil {
		p.services = map[string]division{}
	}
	p.services[service] = division{s.Sequence, s.PeersVersion, servers, d.slots}
	return d.slots
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
// nil. It must be among the servers, acceptable and have capacity.
func (d *Dispatcher) preferredChoice(s *view.Snapshot, j *job, servers []*view.Server, now time.Time, isAcceptable func(*choice) bool) (best *choice, bestCost float64) {
	for id, slots := range d.preferred.find(s, j.service, d.InstanceName, d.FailureDomain) {
		server := s.ByID[id]
		if server == nil || !slices.Contains(servers, server) {
			continue
		}
		c := d.assess(s, j, server, now)
		if c.estimate.Own >= slots || !isAcceptable(c) || !c.hasCapacity(j.route.Kind) {
			continue
		}
		c.cost = d.trialCost(j, server, c.estimate.QueueLength, d.cost(j, c))
		if cost := c.cost; best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost
}
