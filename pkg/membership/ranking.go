package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by how fit they are for a job: those of the job's own
// failure domain first, and within a domain by rendezvous hashing, so that a
// change of members moves only the jobs of those that changed.
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

// weight hashes the member's name, not its boot: a restart keeps its jobs.
func weight(member Member, job string) uint64 {
	return xxhash.Sum64String(member.Name + "\x00" + job)
}
