// Package membership decides which entry instances may act, and on which jobs. It
// opens no connections and takes the time as an argument.
//
// A right lasts at most one grant lifetime from the start of the voting round that
// confirmed it. A round needs a majority of the members. A change takes effect
// only after a blocking set knows of it, that is, a set that intersects every
// majority. An instance that changes a record therefore waits for a blocking set
// and then for one lifetime. After that, no right under the previous revision is
// left, even if instances were partitioned, paused or lost.
// (Related to quorum leases: Moraru, Andersen, Kaminsky, "Paxos Quorum Leases",
// 2014. There is no replicated log; the store's compare-and-swap decides.)
package membership

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// RecordName is the name of the member record in the store.
const RecordName = redwingstall.ControlPrefix + "members"

// Member is one process of an entry instance.
type Member struct {
	// ID is the instance's name and the boot of its process, name@boot.
	ID            string `json:"id"`
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Peer and Callers are the listen addresses for other instances and for callers.
	Peer    string `json:"peer"`
	Callers string `json:"callers"`
}

// MemberRecord lists the voters. After a change, the previous members count too,
// until blocking sets of both the current and the previous members know the change.
type MemberRecord struct {
	Current []Member `json:"current"`
	// Previous has the members before the last change, until the change is settled.
	Previous []Member `json:"previous,omitempty"`
	// Base is the revision of the record that this one was made from.
	Base redwingstall.Revision `json:"base,omitempty"`
	// Gone lists the ids of members whose process is known to have ended.
	Gone []string `json:"gone,omitempty"`
}

// DecodeRecord decodes a member record. An empty value decodes to an empty record.
func DecodeRecord(value []byte) (MemberRecord, error) {
	record := MemberRecord{}
	if len(value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "member record")
}

// Encode encodes the record as JSON.
func (r MemberRecord) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "member record")
}

// IDs returns the ids of the current members.
func (r MemberRecord) IDs() []string {
	return idsOf(r.Current)
}

func idsOf(members []Member) []string {
	ids := make([]string, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// Member returns the current member with the given id.
func (r MemberRecord) Member(id string) (Member, bool) {
	for _, member := range r.Current {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Has reports whether the id is a current member.
func (r MemberRecord) Has(id string) bool {
	_, found := r.Member(id)
	return found
}

// IsSettled reports whether the last change is settled, so that only the current
// members count.
func (r MemberRecord) IsSettled() bool {
	return len(r.Previous) == 0
}

// With returns the record with a member added. A process with the same name and
// address must have ended before the new one could listen there, so it is removed
// and marked as ended.
func (r MemberRecord) With(member Member, base redwingstall.Revision) MemberRecord {
	next := r.successor(base)
	for _, other := range r.Current {
		if other.Name == member.Name && other.Peer == member.Peer {
			next.Gone = appendIfMissing(next.Gone, other.ID)
			continue
		}
		next.Current = append(next.Current, other)
	}
	next.Current = append(next.Current, member)
	return next
}

// Without returns the record with members removed.
func (r MemberRecord) Without(base redwingstall.Revision, ids ...string) MemberRecord {
	next := r.successor(base)
	for _, member := range r.Current {
		if !slices.Contains(ids, member.ID) {
			next.Current = append(next.Current, member)
		}
	}
	return next
}

// WithGone returns the record with the given ids marked as ended processes.
func (r MemberRecord) WithGone(base redwingstall.Revision, ids ...string) MemberRecord {
	next := r
	next.Base = base
	next.Gone = slices.Clone(r.Gone)
	for _, id := range ids {
		next.Gone = appendIfMissing(next.Gone, id)
	}
	return next
}

// Settle returns the record without the previous members. The caller must know
// that a blocking set knows the record.
func (r MemberRecord) Settle(base redwingstall.Revision) MemberRecord {
	next := MemberRecord{Current: slices.Clone(r.Current), Base: base}
	for _, id := range r.Gone {
		if next.Has(id) {
			next.Gone = append(next.Gone, id)
		}
	}
	return next
}

// Predecessors returns the current and previous members that have the name and the
// address of the given one and are not yet marked as ended. Their processes must
// have ended, because the given member listens at their address.
func (r MemberRecord) Predecessors(member Member) []string {
	ids := []string{}
	for _, other := range slices.Concat(r.Current, r.Previous) {
		isBefore := other.Name == member.Name && other.Peer == member.Peer && other.ID != member.ID
		if isBefore && !slices.Contains(r.Gone, other.ID) {
			ids = appendIfMissing(ids, other.ID)
		}
	}
	return ids
}

func (r MemberRecord) successor(base redwingstall.Revision) MemberRecord {
	return MemberRecord{
		Previous: slices.Clone(r.Current),
		Gone:     slices.Clone(r.Gone),
		Base:     base,
	}
}

// IsConfirmed reports whether the voters are a majority of the current members.
func (r MemberRecord) IsConfirmed(voters map[string]bool) bool {
	return count(r.IDs(), voters) >= Majority(len(r.Current))
}

// HasBlockingSet reports whether the members that acknowledged, together with the ended
// processes, intersect every majority of the current and of the previous members.
func (r MemberRecord) HasBlockingSet(acknowledged map[string]bool) bool {
	known := make(map[string]bool, len(acknowledged)+len(r.Gone))
	for id := range acknowledged {
		known[id] = true
	}
	for _, id := range r.Gone {
		known[id] = true
	}
	return isBlocking(r.IDs(), known) && isBlocking(idsOf(r.Previous), known)
}

// Majority returns the smallest number of votes such that any two sets of that
// size intersect.
func Majority(members int) int {
	return members/2 + 1
}

func isBlocking(ids []string, known map[string]bool) bool {
	if len(ids) == 0 {
		return true
	}
	return count(ids, known) >= len(ids)-Majority(len(ids))+1
}

func count(ids []string, in map[string]bool) int {
	n := 0
	for _, id := range ids {
		if in[id] {
			n++
		}
	}
	return n
}

func appendIfMissing(list []string, item string) []string {
	if slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}
