package assign

import (
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// ReleaseHistory is what an instance has observed of the releases in the stored maps of a
// service. The zero value is empty.
//
// A leader sends no grant of a range from the moment at which it begins to write its release,
// and a later leader finds the release and sends none either. The map says how long the
// grants sent before may last from the write on. They end so long after any instant at which
// the release was observed, whoever leads meanwhile.
type ReleaseHistory struct {
	// ends holds, by the fencing token of the release, when the grants have expired.
	ends map[int64]time.Duration
}

// Observe adds the releases of a map that was read no later than now, and forgets all that
// the map does not contain.
func (h *ReleaseHistory) Observe(now time.Duration, m shardmap.Map) {
	ends := map[int64]time.Duration{}
	for _, r := range m.Ranges {
		if r.State != shardmap.StateReleasing || r.GrantsEndWithin <= 0 {
			continue
		}
		// The writer and the reader count by clocks of their own.
		end := now + withDrift(r.GrantsEndWithin)
		if known, found := h.ends[r.Fence]; found {
			end = min(end, known)
		}
		ends[r.Fence] = end
	}
	h.ends = ends
}

// RecallReleases shortens the waits for the grants of ranges whose release was stored by an
// earlier leader.
func (a *Assigner) RecallReleases(h ReleaseHistory) {
	for fence, end := range a.releaseEnds {
		if known, found := h.ends[fence]; found {
			a.releaseEnds[fence] = min(end, known)
		}
	}
}

// updateReleaseEnds adds the ends of the grants of ranges whose release was stored since.
func (a *Assigner) updateReleaseEnds() {
	ends := map[int64]time.Duration{}
	for _, r := range a.stored.Ranges {
		if _, found := ends[r.Fence]; found || r.State != shardmap.StateReleasing {
			continue
		}
		ends[r.Fence] = a.releaseEnd(r)
	}
	a.releaseEnds = ends
}

// releaseEnd returns when all grants of a range that is being released have expired.
func (a *Assigner) releaseEnd(r shardmap.Range) time.Duration {
	if end, found := a.releaseEnds[r.Fence]; found {
		return end
	}
	return a.lastGrantExpiry(r.Owner.ID)
}

// SetEnds sets how long the grants of each range that is being released may last from now, and
// how long this leader and earlier ones may send grants. It must be called before the write of
// the map begins.
func (a *Assigner) SetEnds(now time.Duration, draft *shardmap.Map) {
	draft.LeaderLease, draft.LongestGrant = a.timing.LeaderLeaseTTL, a.timing.longestGrantTTL()
	if now < a.predecessorDoneAt+a.timing.maxGrantLifetime(a.predecessorGrantTTL) {
		draft.LongestGrant = max(draft.LongestGrant, a.predecessorGrantTTL)
	}
	draft.PredecessorsWithin = max(a.predecessorDoneAt-now, 0)
	for i := range draft.Ranges {
		if r := &draft.Ranges[i]; r.State == shardmap.StateReleasing {
			r.GrantsEndWithin = max(a.releaseEnd(*r)-now, time.Millisecond).Truncate(time.Millisecond) + time.Millisecond
		}
	}
}

// BeginWrite withholds the grants of all keys that the draft takes from their owner, until a
// map is adopted. It must be called at the instant of the Plan that returned the draft: the
// write may take effect before its answer arrives, or although it seems to have failed.
func (a *Assigner) BeginWrite(draft shardmap.Map) {
	for _, r := range a.stored.Ranges {
		if r.State != shardmap.StateAssigned {
			continue
		}
		lost := []redwingstall.KeyRange{r.KeyRange}
		for _, d := range draft.Ranges {
			if d.State == shardmap.StateAssigned && d.Owner == r.Owner {
				lost = subtract(lost, d.KeyRange)
			}
		}
		for _, keys := range lost {
			a.withheld = append(subtract(a.withheld, keys), keys)
		}
	}
}

// HasWithheldGrants reports whether grants are withheld since a write was begun. If that write
// failed, the map must be written again: only the next revision excludes that it takes effect.
func (a *Assigner) HasWithheldGrants() bool { return len(a.withheld) > 0 }

// commandRanges returns the stored ranges without the keys whose grants are withheld.
func (a *Assigner) commandRanges() []shardmap.Range {
	if len(a.withheld) == 0 {
		return a.stored.Ranges
	}
	ranges := []shardmap.Range{}
	for _, r := range a.stored.Ranges {
		if r.State != shardmap.StateAssigned {
			ranges = append(ranges, r)
			continue
		}
		rest := []redwingstall.KeyRange{r.KeyRange}
		for _, w := range a.withheld {
			rest = subtract(rest, w)
		}
		for _, keys := range rest {
			r.KeyRange = keys
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// mayGrant reports whether the stored map has all keys of a grant assigned under its fencing
// token, and none of them is withheld.
func (a *Assigner) mayGrant(c Command) bool {
	for _, w := range a.withheld {
		if overlap(w, c.Keys) {
			return false
		}
	}
	for key := c.Keys.From; key <= c.Keys.To; {
		r, found := a.stored.Find(key)
		if !found || r.State != shardmap.StateAssigned || r.Owner != c.Owner || r.Fence != c.Fence {
			return false
		}
		key = r.To + 1
	}
	return true
}

func overlap(a, b redwingstall.KeyRange) bool { return a.From <= b.To && b.From <= a.To }

// subtract returns ranges without the given keys.
func subtract(ranges []redwingstall.KeyRange, keys redwingstall.KeyRange) []redwingstall.KeyRange {
	rest := []redwingstall.KeyRange{}
	for _, r := range ranges {
		if !overlap(r, keys) {
			rest = append(rest, r)
			continue
		}
		if r.From < keys.From {
			rest = append(rest, redwingstall.KeyRange{From: r.From, To: keys.From - 1})
		}
		if keys.To < r.To {
			rest = append(rest, redwingstall.KeyRange{From: keys.To + 1, To: r.To})
		}
	}
	return rest
}
