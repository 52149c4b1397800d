package leader

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// Guards against keys that move while their owner lives, by evidence that something else
// than the owner's end gives too.
func TestOwnerIsReplacedOnlyByAListedSuccessorThatAnswers(t *testing.T) {
	release := assign.Command{Kind: assign.CommandRelease, Address: "10.0.0.1:80", Owner: shardmap.Server{ID: "former", StartedAtMillis: 5}}
	server := func(id, address string, started int64) *view.Server {
		s := &view.Server{}
		s.ID, s.Address, s.StartedAtMillis = id, address, started
		return s
	}
	listed := func(servers ...*view.Server) *view.Snapshot {
		s := &view.Snapshot{ByID: map[string]*view.Server{}}
		for _, server := range servers {
			s.ByID[server.ID] = server
		}
		return s
	}
	successor := server("next", "10.0.0.1:80", 9)
	require.True(t, isReplaced(listed(successor), release, "next"))
	require.True(t, isReplaced(listed(successor, server("former", "10.0.0.7:80", 10)), release, "next"), "the owner started again elsewhere")
	for name, s := range map[string]*view.Snapshot{
		"no entry of the sender":              listed(),
		"the sender's entry names another":    listed(server("next", "10.0.0.2:80", 9)),
		"the sender started before the owner": listed(server("next", "10.0.0.1:80", 4)),
		"the owner is still listed":           listed(successor, server("former", "10.0.0.1:80", 5)),
	} {
		require.False(t, isReplaced(s, release, "next"), name)
	}
	require.False(t, isReplaced(listed(successor), release, ""), "the answer names no sender")
	require.False(t, isReplaced(listed(server("former", "10.0.0.1:80", 9)), release, "former"), "the owner's own next process answers the release itself")
}
