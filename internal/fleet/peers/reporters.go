package peers

import (
	"slices"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

// reportersAmong returns the peers in far that are reporters of their failure domains.
func (e *Exchange) reportersAmong(far []view.Peer) []view.Peer {
	return slices.DeleteFunc(slices.Clone(far), func(p view.Peer) bool {
		_, isReporter := e.reporterRank(p)
		return !isReporter
	})
}

// counterpartReporters returns the reporters of other failure domains that get this
// domain's sums from this instance: those of the same rank.
func (e *Exchange) counterpartReporters(far []view.Peer) []view.Peer {
	rank, isReporter := e.reporterRank(e.self)
	if !isReporter {
		return nil
	}
	peersByDomain := map[string][]view.Peer{}
	for _, p := range view.SortedByBandwidth(far) {
		peersByDomain[p.FailureDomain] = append(peersByDomain[p.FailureDomain], p)
	}
	counterparts := []view.Peer{}
	for _, domainPeers := range peersByDomain {
		counterparts = append(counterparts, domainPeers[min(rank, len(domainPeers)-1)])
	}
	return counterparts
}

// reporterRank returns the rank of an instance in its failure domain by link
// bandwidth, and whether it is one of the domain's reporters.
func (e *Exchange) reporterRank(of view.Peer) (rank int, isReporter bool) {
	for _, p := range view.SortedByBandwidth(e.view.Snapshot().Peers) {
		switch {
		case p.Name == of.Name:
			return rank, rank < reportersPerDomain
		case p.FailureDomain == of.FailureDomain:
			rank++
		}
	}
	return 0, false
}

// receivesKeys reports whether a peer gets the keys of this instance anyway, because
// it is near or a reporter of its failure domain.
func (e *Exchange) receivesKeys(p view.Peer, near []view.Peer) bool {
	if slices.ContainsFunc(near, func(n view.Peer) bool { return n.Name == p.Name }) {
		return true
	}
	_, isReporter := e.reporterRank(p)
	return isReporter
}
