// Package membership decides which entry instances may act and what they may
// act upon. It holds no connections and takes the time as an argument.
//
// A right outlives the voting round that confirmed it by the grant lifetime at
// most. A round needs a majority of the members; a change takes effect only
// after a blocking set, which every majority meets, knows of it. So whoever
// changes a record waits for a blocking set and then one lifetime, and no right
// under the former revision is left, whoever was cut off, paused or lost.
// (Kin to quorum leases: Moraru, Andersen, Kaminsky, "Paxos Quorum Leases",
// 2014. No log is agreed here; the store's compare-and-swap decides.)
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
	// Peer and Callers are the addresses of its listeners.
	Peer    string `json:"peer"`
	Callers string `json:"callers"`
}

// MemberRecord names the voters. After a change the former members count too,
// until a blocking set of both knows the change.
type MemberRecord struct {
	Current []Member `json:"current"`
	// Previous has the members before the last change, until it is settled.
	Previous []Member `json:"previous,omitempty"`
	// Base is the revision of the record that this one was made from.
	Base redwingstall.Revision `json:"base,omitempty"`
	// Gone has the ids of members whose process is known to have ended.
	Gone []string `json:"gone,omitempty"`
}

// DecodeRecord reads a member record; no bytes make an empty one.
func DecodeRecord(value []byte) (MemberRecord, error) {
	record := MemberRecord{}
	if len(value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "member record")
}

// Encode writes the record.
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

// Member returns the current member of the id.
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

// Settled reports whether only the current members count.
func (r MemberRecord) Settled() bool {
	return len(r.Previous) == 0
}

// With returns the record after the member joined. A process with the same
// name and address ended before this one could listen there, so it is gone.
func (r MemberRecord) With(member Member, base redwingstall.Revision) MemberRecord {
	next := r.successor(base)
	for _, other := range r.Current {
		if other.Name == member.Name && other.Peer == member.Peer {
			next.Gone = appendOnce(next.Gone, other.ID)
			continue
		}
		next.Current = append(next.Current, other)
	}
	next.Current = append(next.Current, member)
	return next
}

// Without returns the record after the members left.
func (r MemberRecord) Without(base redwingstall.Revision, ids ...string) MemberRecord {
	next := r.successor(base)
	for _, member := range r.Current {
		if !slices.Contains(ids, member.ID) {
			next.Current = append(next.Current, member)
		}
	}
	return next
}

// WithGone returns the record with ids marked as ended processes.
func (r MemberRecord) WithGone(base redwingstall.Revision, ids ...string) MemberRecord {
	next := r
	next.Base = base
	next.Gone = slices.Clone(r.Gone)
	for _, id := range ids {
		next.Gone = appendOnce(next.Gone, id)
	}
	return next
}

// Settle returns the record once a blocking set knows it.
func (r MemberRecord) Settle(base redwingstall.Revision) MemberRecord {
	next := MemberRecord{Current: slices.Clone(r.Current), Base: base}
	for _, id := range r.Gone {
		if next.Has(id) {
			next.Gone = append(next.Gone, id)
		}
	}
	return next
}

// Predecessors returns the members, present and previous, whose processes must
// have ended for the given one to have their name and address, and which are
// not marked so yet.
func (r MemberRecord) Predecessors(member Member) []string {
	ids := []string{}
	for _, other := range slices.Concat(r.Current, r.Previous) {
		isBefore := other.Name == member.Name && other.Peer == member.Peer && other.ID != member.ID
		if isBefore && !slices.Contains(r.Gone, other.ID) {
			ids = appendOnce(ids, other.ID)
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

// IsBlocked reports whether the acknowledgers, with the processes that have
// ended, meet every majority of the current and of the previous members.
func (r MemberRecord) IsBlocked(acknowledged map[string]bool) bool {
	known := make(map[string]bool, len(acknowledged)+len(r.Gone))
	for id := range acknowledged {
		known[id] = true
	}
	for _, id := range r.Gone {
		known[id] = true
	}
	return isBlocking(r.IDs(), known) && isBlocking(idsOf(r.Previous), known)
}

// Majority is the smallest number of votes of which two sets always meet.
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

func appendOnce(list []string, item string) []string {
	if slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}
