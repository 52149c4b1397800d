// Package shardmap holds which backend server owns which keys of a service.
package shardmap

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// State of a range.
type State string

// The states of a range.
const (
	// StateHeld is granted to its owner, or about to be.
	StateHeld State = "held"
	// StateReleasing is being taken back from its owner.
	StateReleasing State = "releasing"
)

// Server names one process of a backend server.
type Server struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// Range is a range of keys with its owner.
type Range struct {
	redwingstall.KeyRange
	Owner Server `json:"owner"`
	// Fence of the grants; while releasing, the fence of the release, which is
	// above that of every grant of the range before.
	Fence    int64  `json:"fence"`
	State    State  `json:"state"`
	Handover string `json:"handover,omitempty"`
	// Released is set once the former owner is known to hold nothing any more,
	// and no new owner has been found yet.
	Released bool `json:"released,omitempty"`
}

// Map is the owners of all keys of one service. The zero value has none.
type Map struct {
	// Term counts the leaders; each new leader writes the map once, so that
	// late writes of former leaders find another revision.
	Term int64 `json:"term"`
	// LastFence is the highest fencing token handed out.
	LastFence int64   `json:"lastFence"`
	Ranges    []Range `json:"ranges"`
}

// Decode reads a map.
func Decode(text []byte) (Map, error) {
	var m Map
	if err := json.Unmarshal(text, &m); err != nil {
		return Map{}, errors.Wrap(err, "shard map")
	}
	return m, m.check()
}

// Encode writes a map.
func (m Map) Encode() []byte {
	text, err := json.Marshal(m)
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

// Divide sets ranges of equal size, one for each server.
func (m *Map) Divide(servers []Server) {
	m.Ranges = nil
	for i, s := range servers {
		keys := redwingstall.KeyRange{
			From: i * redwingstall.Keys / len(servers),
			To:   (i+1)*redwingstall.Keys/len(servers) - 1,
		}
		m.Ranges = append(m.Ranges, Range{KeyRange: keys, Owner: s, Fence: m.Fence(), State: StateHeld})
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

// Join merges neighbors that differ in nothing but their keys.
func (m *Map) Join() {
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
