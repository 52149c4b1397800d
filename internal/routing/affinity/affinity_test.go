package affinity

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func names(prefix string, n int) []string {
	all := []string{}
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}

// Guards against slots that several instances prefer, or none, and against uneven shares.
func TestEachSlotIsPreferredByOneInstance(t *testing.T) {
	for _, n := range []int{1, 7, 48, 400} {
		instances, servers := names("entry", n), []Server{}
		total := 0
		for i, id := range names("server", 35) {
			servers = append(servers, Server{id, 2 + i%5})
			total += 2 + i%5
		}
		sum := map[string]int{}
		for _, instance := range instances {
			share := 0
			for id, slots := range Divide(instance, instances, servers) {
				sum[id] += slots
				share += slots
			}
			require.GreaterOrEqual(t, share, total/n)
			require.LessOrEqual(t, share, total/n+1)
		}
		for _, s := range servers {
			require.Equal(t, s.Slots, sum[s.ID])
		}
	}
}

// Guards against a division that depends on the order in which an instance lists the others.
func TestDivisionDoesNotDependOnTheOrder(t *testing.T) {
	servers := []Server{{"a", 3}, {"b", 2}, {"c", 4}}
	reversed := []Server{{"c", 4}, {"b", 2}, {"a", 3}}
	require.Equal(t, Divide("x", []string{"x", "y", "z"}, servers), Divide("x", []string{"z", "y", "x"}, reversed))
	require.Empty(t, Divide("w", []string{"x", "y"}, servers))
	require.Empty(t, Divide("x", []string{"x"}, nil))
}

func BenchmarkDivide(b *testing.B) {
	instances, servers := names("entry", 1000), []Server{}
	for _, id := range names("server", 258) {
		servers = append(servers, Server{id, 6})
	}
	for b.Loop() {
		Divide("entry-5", instances, servers)
	}
}
