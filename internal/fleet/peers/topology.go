package peers

import (
	"net/netip"
	"slices"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

const (
	// fullMeshLimit is the number of peers in other failure domains up to which an
	// instance exchanges load with all of them directly.
	fullMeshLimit = 12
	// domainMeshLimit is the number of peers in a failure domain up to which they
	// exchange load with each other directly. In a larger domain each instance reports to
	// the reporters, which send the sums of the whole deployment to the others: the
	// messages of a domain then grow with its instances, not with their square.
	domainMeshLimit = 32
	// directUpdateLimit is the number of peers in other failure domains up to which an
	// instance sends them its larger updates directly. Beyond it, one update of 30 KB to
	// each would occupy a link of 200 Mbit/s for longer than the updates may take.
	directUpdateLimit = 100
	// reportersPerDomain is the number of instances that send the load sums of their
	// failure domain and forward those of the others. There are two since one may fail.
	reportersPerDomain = 2
)

// topology is who exchanges load with whom, as seen by one instance. It is immutable.
type topology struct {
	// near are the peers that get this instance's load directly, and far those of other
	// failure domains, which get the sums of this domain.
	near []view.Peer
	far  []view.Peer
	// reporters are the other reporters of this instance's failure domain, and members
	// the instances of the domain that are none.
	reporters []view.Peer
	members   []view.Peer
	// counterparts are the reporters of the same rank in the other failure domains.
	counterparts []view.Peer
	isReporter   bool
	// hasSums is set if the reporters send sums to the near peers, in place of a mesh.
	hasSums bool
	// leader is the instance that assigns keys, if it is another one.
	leader    view.Peer
	hasLeader bool
	isLeader  bool
	// names are the peers by address, and farReporters the names of the reporters of
	// other failure domains.
	names        map[netip.AddrPort]string
	farReporters map[string]bool
	// isFar has the names of the far peers.
	isFar map[string]bool
	// farReporterPeers are the reporters of other failure domains that are far.
	farReporterPeers []view.Peer
	// byName are all peers by name.
	byName map[string]view.Peer
}

func newTopology(self view.Peer, s *view.Snapshot) *topology {
	t := &topology{names: make(map[netip.AddrPort]string, len(s.Peers)), farReporters: map[string]bool{}, isFar: map[string]bool{}, byName: make(map[string]view.Peer, len(s.Peers))}
	leader := string(s.Leader.Value)
	t.isLeader = leader == self.Name
	byDomain := map[string][]view.Peer{}
	for _, p := range view.SortedByBandwidth(s.Peers) {
		byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p)
		t.byName[p.Name] = p
		if address, err := netip.ParseAddrPort(p.Address); err == nil {
			t.names[address] = p.Name
		}
		if p.Name == leader && !t.isLeader {
			t.leader, t.hasLeader = p, true
		}
	}
	own := byDomain[self.FailureDomain]
	rank := slices.IndexFunc(own, func(p view.Peer) bool { return p.Name == self.Name })
	t.isReporter = rank >= 0 && rank < reportersPerDomain
	t.near = slices.DeleteFunc(slices.Clone(own), func(p view.Peer) bool { return p.Name == self.Name })
	t.reporters = slices.DeleteFunc(slices.Clone(own[:min(reportersPerDomain, len(own))]), func(p view.Peer) bool { return p.Name == self.Name })
	t.members = slices.DeleteFunc(slices.Clone(own[min(reportersPerDomain, len(own)):]), func(p view.Peer) bool { return p.Name == self.Name })
	for domain, peers := range byDomain {
		if domain != self.FailureDomain {
			t.addFar(peers, rank)
		}
	}
	if len(t.far) <= fullMeshLimit {
		t.near, t.far, t.counterparts = append(t.near, t.far...), nil, nil
	}
	for _, p := range t.far {
		t.isFar[p.Name] = true
		if t.farReporters[p.Name] {
			t.farReporterPeers = append(t.farReporterPeers, p)
		}
	}
	t.hasSums = len(own)-1 > domainMeshLimit && len(t.near) == len(own)-1
	return t
}

// addFar adds another failure domain, whose peers are sorted by bandwidth.
func (t *topology) addFar(peers []view.Peer, rank int) {
	t.far = append(t.far, peers...)
	for _, p := range peers[:min(reportersPerDomain, len(peers))] {
		t.farReporters[p.Name] = true
	}
	if t.isReporter {
		t.counterparts = append(t.counterparts, peers[min(rank, len(peers)-1)])
	}
}

// receivesKeys reports whether a peer gets the keys of this instance anyway, because
// it is near or a reporter of its failure domain.
func (t *topology) receivesKeys(p view.Peer) bool {
	return t.farReporters[p.Name] || slices.ContainsFunc(t.near, func(n view.Peer) bool { return n.Name == p.Name })
}

// topology returns the topology of the current snapshot.
func (e *Exchange) topology() *topology {
	s := e.view.Snapshot()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.topologyOf != s {
		e.topologyOf, e.currentTopology = s, newTopology(e.self, s)
	}
	return e.currentTopology
}
