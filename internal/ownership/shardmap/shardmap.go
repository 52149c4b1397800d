// Package shardmap holds which backend server owns which keys of a service.
package shardmap

import (
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall"
)

// State of a range.
type State int

// The states of a range.
const (
	// StateAssigned is granted to its owner, or about to be.
	StateAssigned State = iota
	// StateReleasing is being taken back from its owner.
	StateReleasing
	// StateReleased is held by nobody: its former owner has released it, and no
	// new one has been found yet.
	StateReleased
)

// Server names one process of a backend server.
type Server struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	StartedAtMillis int64
}

// Range is a range of keys with its owner.
type Range struct {
	redwingstall.KeyRange
	Owner Server
	// Fence of the grants; while releasing, the fence of the release, which is
	// above that of every grant of the range before. The next token is reserved
	// for the grant that follows.
	Fence    int64
	State    State
	Handover string
}

// Release starts to take the range back.
func (r *Range) Release(fence int64) {
	r.State = StateReleasing
	r.Fence = fence
	r.Handover = ""
}

// AssignTo ends a release with a new owner.
func (r *Range) AssignTo(owner Server) {
	r.State = StateAssigned
	r.Owner = owner
	r.Fence++
}

// Map is the owners of all keys of one service. The zero value has none.
type Map struct {
	// Term counts the leaders; each new leader writes the map once, so that
	// late writes of former leaders find another revision.
	Term int64
	// LastFence is the highest fencing token handed out.
	LastFence int64
	// IsResigned is written by a leader that sends nothing any more.
	IsResigned bool
	Ranges     []Range
}

// storedRange is a range in few bytes; its owner is an index.
type storedRange struct {
	_         struct{} `cbor:",toarray"`
	From, To  int
	Owner     int
	NextFence int64
	State     State
	Handover  string
}

// stored is a map as it lies in the store.
type stored struct {
	_          struct{} `cbor:",toarray"`
	Term       int64
	LastFence  int64
	IsResigned bool
	Owners     []Server
	Ranges     []storedRange
}

// Decode reads a map.
func Decode(text []byte) (Map, error) {
	var packed stored
	if err := cbor.Unmarshal(text, &packed); err != nil {
		return Map{}, errors.Wrap(err, "shard map")
	}
	m := Map{Term: packed.Term, LastFence: packed.LastFence, IsResigned: packed.IsResigned}
	for _, r := range packed.Ranges {
		if r.Owner < 0 || r.Owner >= len(packed.Owners) {
			return Map{}, errors.Newf("shard map: range %d-%d has no owner", r.From, r.To)
		}
		keys := redwingstall.KeyRange{From: r.From, To: r.To}
		m.Ranges = append(m.Ranges, Range{KeyRange: keys, Owner: packed.Owners[r.Owner], Fence: r.NextFence, State: r.State, Handover: r.Handover})
	}
	return m, m.check()
}

// Encode writes a map.
func (m Map) Encode() []byte {
	packed := stored{Term: m.Term, LastFence: m.LastFence, IsResigned: m.IsResigned}
	indices := map[Server]int{}
	for _, r := range m.Ranges {
		index, found := indices[r.Owner]
		if !found {
			index = len(packed.Owners)
			indices[r.Owner] = index
			packed.Owners = append(packed.Owners, r.Owner)
		}
		packed.Ranges = append(packed.Ranges, storedRange{From: r.From, To: r.To, Owner: index, NextFence: r.Fence, State: r.State, Handover: r.Handover})
	}
	text, err := cbor.Marshal(packed)
	if err != nil {
		panic(err) // the type has no field that cannot be encoded
	}
	return text
}

// check makes sure that the ranges cover all keys in order.
func (m Map) check() error {
	next := 0
	for _, r := range m.Ranges {
		if r.From != next || r.To < r.From {
			return errors.Newf("shard map: range %d-%d follows key %d", r.From, r.To, next-1)
		}
		next = r.To + 1
	}
	if next != 0 && next != redwingstall.Keys {
		return errors.Newf("shard map: ends at key %d", next-1)
	}
	return nil
}

// Clone copies the map.
func (m Map) Clone() Map {
	m.Ranges = slices.Clone(m.Ranges)
	return m
}

// Find returns the range of a key.
func (m Map) Find(key int) (Range, bool) {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	if i == len(m.Ranges) {
		return Range{}, false
	}
	return m.Ranges[i], true
}

// Fence returns a new fencing token.
func (m *Map) Fence() int64 {
	m.LastFence++
	return m.LastFence
}

// NextReleaseFence returns the token of a release; the one after it is kept for the
// grant that follows.
func (m *Map) NextReleaseFence() int64 {
	fence := m.Fence()
	m.Fence()
	return fence
}

// Divide sets ranges of equal size, one for each server.
func (m *Map) Divide(servers []Server) {
	m.Ranges = nil
	for i, s := range servers {
		keys := redwingstall.KeyRange{
			From: i * redwingstall.Keys / len(servers),
			To:   (i+1)*redwingstall.Keys/len(servers) - 1,
		}
		m.Ranges = append(m.Ranges, Range{KeyRange: keys, Owner: s, Fence: m.Fence(), State: StateAssigned})
	}
}

// Split cuts ranges so that the given keys are covered by ranges of their own.
// The parts keep owner and fence.
func (m *Map) Split(keys redwingstall.KeyRange) {
	m.cut(keys.From)
	m.cut(keys.To + 1)
}

// cut starts a new range at a key.
func (m *Map) cut(key int) {
	for i, r := range m.Ranges {
		if r.From < key && key <= r.To {
			left, right := r, r
			left.To, right.From = key-1, key
			m.Ranges = slices.Replace(m.Ranges, i, i+1, left, right)
			return
		}
	}
}

// MergeAdjacent merges neighbors that differ in nothing but their keys.
func (m *Map) MergeAdjacent() {
	joined := m.Ranges[:0:0]
	for _, r := range m.Ranges {
		if n := len(joined); n > 0 {
			last := joined[n-1]
			last.KeyRange = r.KeyRange
			if last == r {
				joined[n-1].To = r.To
				continue
			}
		}
		joined = append(joined, r)
	}
	m.Ranges = joined
}
