package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank sorts members by their preference for a job. Members in the job's failure
// domain come first; the others follow. Each group is ordered by rendezvous
// hashing, so that a member change moves only the jobs of the members that changed.
// (Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.)
func Rank(members []Member, job, failureDomain string) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if c := compareDomain(a, b, failureDomain); c != 0 {
			return c
		}
		if ha, hb := weight(a, job), weight(b, job); ha != hb {
			if ha > hb {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return ranked
}

func compareDomain(a, b Member, failureDomain string) int {
	nearA, nearB := a.FailureDomain == failureDomain, b.FailureDomain == failureDomain
	switch {
	case nearA == nearB:
		return 0
	case nearA:
		return -1
	}
	return 1
}

// weight is the rendezvous hash of a member and a job. It uses the member's name
// and not its boot id, so that a restarted member keeps its jobs.
func weight(member Member, job string) uint64 {
	return xxhash.Sum64String(member.Name + "\x00" + job)
}
