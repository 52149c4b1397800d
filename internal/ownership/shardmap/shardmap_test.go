package shardmap_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

func newDividedMap(n int) shardmap.Map {
	m := shardmap.Map{}
	servers := []shardmap.Server{}
	for i := range n {
		servers = append(servers, shardmap.Server{ID: fmt.Sprintf("s%d", i), StartedAtMillis: int64(i)})
	}
	m.Divide(servers)
	return m
}

// Splitting, releasing, assigning and merging ranges must neither lose a key nor put it
// into two ranges. A map must decode to what was encoded.
func TestEveryKeyIsInExactlyOneRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDividedMap(rapid.IntRange(1, 20).Draw(t, "servers"))
		for range rapid.IntRange(0, 12).Draw(t, "cuts") {
			from := rapid.IntRange(0, redwingstall.KeyCount-1).Draw(t, "from")
			to := rapid.IntRange(from, redwingstall.KeyCount-1).Draw(t, "to")
			before, _ := m.Find(from)
			m.Split(redwingstall.KeyRange{From: from, To: to})
			after, _ := m.Find(from)
			if after.Owner != before.Owner {
				t.Fatalf("splitting changed the owner of key %d", from)
			}
			i := rapid.IntRange(0, len(m.Ranges)-1).Draw(t, "released")
			m.Ranges[i].Release(m.NextReleaseFence())
			m.Ranges[i].GrantsEndWithin = time.Duration(rapid.IntRange(0, 9000).Draw(t, "endsWithin")) * time.Millisecond
			if rapid.Bool().Draw(t, "given") {
				m.Ranges[i].AssignTo(shardmap.Server{ID: "other"})
			}
			m.MergeAdjacent()
		}
		decoded, err := shardmap.Decode(m.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded) != fmt.Sprint(m) {
			t.Fatalf("decoded %v, encoded %v", decoded, m)
		}
	})
}

func TestDecodeRejectsGapsAndInvalidData(t *testing.T) {
	m := newDividedMap(3)
	m.Ranges = append(m.Ranges[:1], m.Ranges[2:]...)
	_, err := shardmap.Decode(m.Encode())
	require.ErrorContains(t, err, "follows key")
	_, err = shardmap.Decode([]byte("{"))
	require.Error(t, err)
}

func TestGrantHasHigherFenceThanRelease(t *testing.T) {
	m := newDividedMap(2)
	before := m.Ranges[0].Fence
	m.Ranges[0].Release(m.NextReleaseFence())
	released := m.Ranges[0].Fence
	m.Ranges[0].AssignTo(m.Ranges[1].Owner)
	require.Greater(t, released, before)
	require.Greater(t, m.Ranges[0].Fence, released)
	require.GreaterOrEqual(t, m.LastFence, m.Ranges[0].Fence)
}

// Guards against an owner map that an upgraded instance cannot read, since it was written
// before maps had the ends of grants.
func TestMapOfEarlierVersionIsDecoded(t *testing.T) {
	m := newDividedMap(2)
	m.Ranges[1].Release(m.NextReleaseFence())
	var elements []any
	require.NoError(t, cbor.Unmarshal(m.Encode(), &elements))
	earlier, err := cbor.Marshal(elements[:5])
	require.NoError(t, err)
	decoded, err := shardmap.Decode(earlier)
	require.NoError(t, err)
	require.Equal(t, m, decoded)
	require.Zero(t, decoded.Ranges[1].GrantsEndWithin, "unknown")
}
