package peers

import (
	"slices"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

// allReporters returns the reporters among other failure domains' instances.
func (e *Exchange) allReporters(far []view.Peer) []view.Peer {
	return slices.DeleteFunc(slices.Clone(far), func(p view.Peer) bool {
		_, isReporter := e.reporterRank(p)
		return !isReporter
	})
}

// counterparts returns the reporters of other failure domains that this instance
// tells its own domain's sums to: those of its own rank.
func (e *Exchange) counterparts(far []view.Peer) []view.Peer {
	rank, isReporter := e.reporterRank(e.self)
	if !isReporter {
		return nil
	}
	domains := map[string][]view.Peer{}
	for _, p := range view.ByStrength(far) {
		domains[p.FailureDomain] = append(domains[p.FailureDomain], p)
	}
	found := []view.Peer{}
	for _, list := range domains {
		found = append(found, list[min(rank, len(list)-1)])
	}
	return found
}

// reporterRank is the place of an instance among the strongest ones of its
// failure domain, if it is one of its reporters.
func (e *Exchange) reporterRank(of view.Peer) (rank int, isReporter bool) {
	for _, p := range view.ByStrength(e.view.Snapshot().Peers) {
		switch {
		case p.Name == of.Name:
			return rank, rank < reporters
		case p.FailureDomain == of.FailureDomain:
			rank++
		}
	}
	return 0, false
}

// isHeard reports whether an instance learns the keys of this one anyway: it is
// near, or a reporter of its failure domain.
func (e *Exchange) isHeard(p view.Peer, near []view.Peer) bool {
	if slices.ContainsFunc(near, func(n view.Peer) bool { return n.Name == p.Name }) {
		return true
	}
	_, isReporter := e.reporterRank(p)
	return isReporter
}
