// Package affinity divides the slots of the servers of a service among the instances, so
// that instances that choose at the same moment choose different servers.
package affinity

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Server is a backend server with its number of slots.
type Server struct {
	ID    string
	Slots int
}

// Slots maps the IDs of servers to the number of their slots that an instance prefers.
type Slots map[string]int

// Divide returns the slots that an instance prefers. Each slot is preferred by exactly one
// of the instances, and their shares differ by one slot at most. Instances that know the
// same instances and servers need no messages to agree; the order of the arguments does
// not matter. An instance that is not among the instances prefers no slots.
//
// The slots of a server go to different instances as far as there are enough, so that no
// server depends on the load of one instance.
func Divide(instance string, instances []string, servers []Server) Slots {
	sorted := slices.Sorted(slices.Values(instances))
	own, found := slices.BinarySearch(sorted, instance)
	if !found {
		return nil
	}
	preferred := Slots{}
	next := 0
	for round := 0; ; round++ {
		ordered := orderOf(round, servers)
		if len(ordered) == 0 {
			return preferred
		}
		for _, id := range ordered {
			if next%len(sorted) == own {
				preferred[id]++
			}
			next++
		}
	}
}

// orderOf returns the servers that have a slot of this number, in an order that differs
// from round to round.
func orderOf(round int, servers []Server) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	order := make([]ranked, 0, len(servers))
	for _, s := range servers {
		if round < s.Slots {
			order = append(order, ranked{s.ID, hash(round, s.ID)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	ids := make([]string, 0, len(order))
	for _, r := range order {
		ids = append(ids, r.id)
	}
	return ids
}

func hash(round int, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(round)})
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// sampledAdvantage is how many times cheaper a server of the random sample must be to be
// chosen in place of one with a free preferred slot. The speeds of servers differ by two
// to three times; a smaller difference in the estimates may be that of old reports.
const sampledAdvantage = 1.5

// Prefers reports whether a server with a free preferred slot is chosen over the best one
// of a random sample, by their costs.
func Prefers(preferredCost, sampledCost float64) bool {
	return sampledCost*sampledAdvantage >= preferredCost
}
