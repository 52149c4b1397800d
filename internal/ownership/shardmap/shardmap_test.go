package shardmap_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

func divided(n int) shardmap.Map {
	m := shardmap.Map{}
	servers := []shardmap.Server{}
	for i := range n {
		servers = append(servers, shardmap.Server{ID: fmt.Sprintf("s%d", i), StartedAtMillis: int64(i)})
	}
	m.Divide(servers)
	return m
}

// However ranges are cut, moved and merged, each key has exactly one range, and
// the stored form reads back the same.
func TestEveryKeyHasOneRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := divided(rapid.IntRange(1, 20).Draw(t, "servers"))
		for range rapid.IntRange(0, 12).Draw(t, "cuts") {
			from := rapid.IntRange(0, redwingstall.Keys-1).Draw(t, "from")
			to := rapid.IntRange(from, redwingstall.Keys-1).Draw(t, "to")
			owner, _ := m.Find(from)
			m.Split(redwingstall.KeyRange{From: from, To: to})
			again, _ := m.Find(from)
			if again.Owner != owner.Owner {
				t.Fatalf("key %d changed hands by a cut", from)
			}
			i := rapid.IntRange(0, len(m.Ranges)-1).Draw(t, "released")
			m.Ranges[i].Release(m.NextReleaseFence())
			if rapid.Bool().Draw(t, "given") {
				m.Ranges[i].AssignTo(shardmap.Server{ID: "other"})
			}
			m.MergeAdjacent()
		}
		read, err := shardmap.Decode(m.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(read) != fmt.Sprint(m) {
			t.Fatalf("read %v, written %v", read, m)
		}
	})
}

func TestDecodeRefusesGaps(t *testing.T) {
	m := divided(3)
	m.Ranges = append(m.Ranges[:1], m.Ranges[2:]...)
	_, err := shardmap.Decode(m.Encode())
	require.ErrorContains(t, err, "follows key")
	_, err = shardmap.Decode([]byte("{"))
	require.Error(t, err)
}

func TestGrantFenceIsAboveTheRelease(t *testing.T) {
	m := divided(2)
	before := m.Ranges[0].Fence
	m.Ranges[0].Release(m.NextReleaseFence())
	released := m.Ranges[0].Fence
	m.Ranges[0].AssignTo(m.Ranges[1].Owner)
	require.Greater(t, released, before)
	require.Greater(t, m.Ranges[0].Fence, released)
	require.GreaterOrEqual(t, m.LastFence, m.Ranges[0].Fence)
}
