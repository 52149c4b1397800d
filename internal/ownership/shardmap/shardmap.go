// Package shardmap defines the owner map of a sharded service: which backend server owns
// which range of keys.
package shardmap

import (
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall"
)

// State is the ownership state of a range.
type State int

// The ownership states of a range.
const (
	// StateAssigned marks a range that is granted to its owner, or is about to be.
	StateAssigned State = iota
	// StateReleasing marks a range that its owner has to release.
	StateReleasing
	// StateReleased marks a range without an owner: the previous owner has released it,
	// and no new owner is assigned yet.
	StateReleased
)

// Server identifies one process of a backend server. A restart under the same ID is
// another process, with a later start time.
type Server struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	StartedAtMillis int64
}

// Range is a range of keys with its owner.
type Range struct {
	redwingstall.KeyRange
	Owner Server
	// Fence is the fencing token of the range's grants. While the range is being
	// released, it is the token of the release, which is higher than that of every
	// earlier grant of the range. The token after it is reserved for the next grant.
	Fence int64
	State State
	// Handover is what the previous owner returned on release. It is passed on to the
	// next owner.
	Handover string
	// GrantsEndWithin bounds how long grants of the range may last after the map was
	// written, while the range is being released. No leader sends further ones: who reads
	// the map at an instant knows that they have ended so long after it. Zero means
	// unknown.
	GrantsEndWithin time.Duration
}

// Release marks the range as being released under a token from [Map.NextReleaseFence].
func (r *Range) Release(fence int64) {
	r.State = StateReleasing
	r.Fence = fence
	r.Handover = ""
	r.GrantsEndWithin = 0
}

// AssignTo assigns a released range to a new owner, under the token that the release
// reserved.
func (r *Range) AssignTo(owner Server) {
	r.State = StateAssigned
	r.Owner = owner
	r.Fence++
	r.GrantsEndWithin = 0
}

// Map holds the owners of all keys of one service. The zero value has no ranges.
type Map struct {
	// Term identifies the leader within an era of the store. Each leader takes the id of its
	// lease, see StartTerm, and writes the map once, so that late writes of its predecessors
	// fail on the changed revision.
	Term int64
	// LastFence is the highest fencing token issued so far.
	LastFence int64
	// IsResigned is set by a leader that has stepped down and sends no more commands.
	IsResigned bool
	// LeaderLease is the time to live of the writer's lease, and LongestGrant that of the
	// longest grant which it or an earlier leader may send. Zero means unknown.
	LeaderLease  time.Duration
	LongestGrant time.Duration
	// PredecessorsWithin bounds for how long after the write earlier leaders may send grants.
	PredecessorsWithin time.Duration
	Ranges             []Range
}

// encodedRange is the compact encoding of a Range. Its owner is an index into the owners
// of the map.
type encodedRange struct {
	_        struct{} `cbor:",toarray"`
	From, To int
	Owner    int
	Fence    int64
	State    State
	Handover string
}

// encodedEnd is the encoding of Range.GrantsEndWithin, in milliseconds rounded up, for the
// range with an index.
type encodedEnd struct {
	_            struct{} `cbor:",toarray"`
	Range        int
	WithinMillis int64
}

// encodedMap is the encoding of a Map in the metadata store.
type encodedMap struct {
	_          struct{} `cbor:",toarray"`
	Term       int64
	LastFence  int64
	IsResigned bool
	Owners     []Server
	Ranges     []encodedRange
	Ends       []encodedEnd
	// LeaderLease, LongestGrant and PredecessorsWithin are in milliseconds, rounded up.
	LeaderLease        int64
	LongestGrant       int64
	PredecessorsWithin int64
}

// encodedMapWithoutEnds is the encoding of earlier versions. An upgraded instance may find
// such a map.
type encodedMapWithoutEnds struct {
	_          struct{} `cbor:",toarray"`
	Term       int64
	LastFence  int64
	IsResigned bool
	Owners     []Server
	Ranges     []encodedRange
}

// withoutEndsHeader is the first byte of that encoding, an array of five elements.
const withoutEndsHeader = 0x85

func unmarshal(data []byte) (encodedMap, error) {
	if len(data) > 0 && data[0] == withoutEndsHeader {
		var earlier encodedMapWithoutEnds
		err := cbor.Unmarshal(data, &earlier)
		return encodedMap{Term: earlier.Term, LastFence: earlier.LastFence, IsResigned: earlier.IsResigned, Owners: earlier.Owners, Ranges: earlier.Ranges}, err
	}
	var encoded encodedMap
	err := cbor.Unmarshal(data, &encoded)
	return encoded, err
}

// Decode decodes a map, and checks that its ranges cover all keys.
func Decode(data []byte) (Map, error) {
	encoded, err := unmarshal(data)
	if err != nil {
		return Map{}, errors.Wrap(err, "decode shard map")
	}
	for _, millis := range []int64{encoded.LeaderLease, encoded.LongestGrant, encoded.PredecessorsWithin} {
		if millis < 0 || millis > maxWithinMillis {
			return Map{}, errors.Newf("shard map: invalid duration of %d ms", millis)
		}
	}
	m := Map{
		Term: encoded.Term, LastFence: encoded.LastFence, IsResigned: encoded.IsResigned,
		LeaderLease: fromMillis(encoded.LeaderLease), LongestGrant: fromMillis(encoded.LongestGrant), PredecessorsWithin: fromMillis(encoded.PredecessorsWithin),
	}
	for _, r := range encoded.Ranges {
		if r.Owner < 0 || r.Owner >= len(encoded.Owners) {
			return Map{}, errors.Newf("shard map: owner index of range %d-%d is out of bounds", r.From, r.To)
		}
		keys := redwingstall.KeyRange{From: r.From, To: r.To}
		m.Ranges = append(m.Ranges, Range{KeyRange: keys, Owner: encoded.Owners[r.Owner], Fence: r.Fence, State: r.State, Handover: r.Handover})
	}
	for _, e := range encoded.Ends {
		if e.Range < 0 || e.Range >= len(m.Ranges) || e.WithinMillis < 0 || e.WithinMillis > maxWithinMillis {
			return Map{}, errors.Newf("shard map: invalid end of grants of range %d: %d ms", e.Range, e.WithinMillis)
		}
		m.Ranges[e.Range].GrantsEndWithin = fromMillis(e.WithinMillis)
	}
	return m, m.check()
}

// maxWithinMillis is far above the longest time to live of a grant. A larger value would
// overflow a duration.
const maxWithinMillis = int64(time.Hour / time.Millisecond)

func fromMillis(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }

// toMillis rounds up: each encoded duration is an upper bound.
func toMillis(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}

// Encode encodes a map for the metadata store.
func (m Map) Encode() []byte {
	encoded := encodedMap{
		Term: m.Term, LastFence: m.LastFence, IsResigned: m.IsResigned,
		LeaderLease: toMillis(m.LeaderLease), LongestGrant: toMillis(m.LongestGrant), PredecessorsWithin: toMillis(m.PredecessorsWithin),
	}
	indices := map[Server]int{}
	for i, r := range m.Ranges {
		if r.GrantsEndWithin > 0 {
			encoded.Ends = append(encoded.Ends, encodedEnd{Range: i, WithinMillis: toMillis(r.GrantsEndWithin)})
		}
		index, found := indices[r.Owner]
		if !found {
			index = len(encoded.Owners)
			indices[r.Owner] = index
			encoded.Owners = append(encoded.Owners, r.Owner)
		}
		encoded.Ranges = append(encoded.Ranges, encodedRange{From: r.From, To: r.To, Owner: index, Fence: r.Fence, State: r.State, Handover: r.Handover})
	}
	data, err := cbor.Marshal(encoded)
	if err != nil {
		panic(err) // unreachable: every field of the type can be encoded
	}
	return data
}

// check returns an error unless the ranges are in order and cover every key once. A map
// without ranges is valid.
func (m Map) check() error {
	next := 0
	for _, r := range m.Ranges {
		if r.From != next || r.To < r.From {
			return errors.Newf("shard map: range %d-%d follows key %d", r.From, r.To, next-1)
		}
		next = r.To + 1
	}
	if next != 0 && next != redwingstall.KeyCount {
		return errors.Newf("shard map: last range ends at key %d", next-1)
	}
	return nil
}

// Clone returns a copy of the map that shares no ranges with it.
func (m Map) Clone() Map {
	m.Ranges = slices.Clone(m.Ranges)
	return m
}

// Find returns the range that contains a key, or false if there is none.
func (m Map) Find(key int) (Range, bool) {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	if i == len(m.Ranges) {
		return Range{}, false
	}
	return m.Ranges[i], true
}

// fencesPerEra is how many fencing tokens an era of the store may issue. Those of 2^21 eras
// stay exact as JSON numbers, which carry 53 bits.
const fencesPerEra = 1 << 32

// StartEra makes all further fencing tokens higher than those of earlier eras, which a
// recovered store may not know.
func (m *Map) StartEra(era redwingstall.Era, term int64) {
	m.LastFence = max(m.LastFence, int64(era)*fencesPerEra)
	m.Term = term
	m.IsResigned = false
}

// StartTerm begins the term of another leader in the same era. The id of its lease is unlike
// that of a leader which has begun the era and whose first map was never stored.
func (m *Map) StartTerm(lease int64) {
	m.Term = max(m.Term+1, lease)
	m.IsResigned = false
}

// NextFence issues the next fencing token.
func (m *Map) NextFence() int64 {
	m.LastFence++
	return m.LastFence
}

// NextReleaseFence issues the fencing token of a release, and reserves the token after
// it for the grant that follows.
func (m *Map) NextReleaseFence() int64 {
	fence := m.NextFence()
	m.NextFence()
	return fence
}

// Divide replaces all ranges by ranges of equal size, one for each server.
func (m *Map) Divide(servers []Server) {
	m.Ranges = nil
	for i, s := range servers {
		keys := redwingstall.KeyRange{
			From: i * redwingstall.KeyCount / len(servers),
			To:   (i+1)*redwingstall.KeyCount/len(servers) - 1,
		}
		m.Ranges = append(m.Ranges, Range{KeyRange: keys, Owner: s, Fence: m.NextFence(), State: StateAssigned})
	}
}

// Split splits ranges at both ends of the given keys, so that these are covered by
// ranges of their own. The parts keep owner and fencing token.
func (m *Map) Split(keys redwingstall.KeyRange) {
	m.splitAt(keys.From)
	m.splitAt(keys.To + 1)
}

// splitAt splits the range that contains a key, so that one part starts at the key.
func (m *Map) splitAt(key int) {
	for i, r := range m.Ranges {
		if r.From < key && key <= r.To {
			left, right := r, r
			left.To, right.From = key-1, key
			m.Ranges = slices.Replace(m.Ranges, i, i+1, left, right)
			return
		}
	}
}

// MergeAdjacent merges adjacent ranges that differ in nothing but their keys.
func (m *Map) MergeAdjacent() {
	merged := m.Ranges[:0:0]
	for _, r := range m.Ranges {
		if n := len(merged); n > 0 {
			last := merged[n-1]
			last.KeyRange = r.KeyRange
			if last == r {
				merged[n-1].To = r.To
				continue
			}
		}
		merged = append(merged, r)
	}
	m.Ranges = merged
}
