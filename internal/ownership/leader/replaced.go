package leader

import (
	"context"
	"sync"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

// processAddresses are the addresses at which the store listed server processes, or an empty
// one if it listed more than one. A process keeps its address, so that another one is of an
// entry by another writer. The zero value is empty.
type processAddresses map[shardmap.Server]string

func (p *processAddresses) add(process shardmap.Server, address string) {
	if *p == nil || len(*p) >= maxProcessAddresses {
		*p = processAddresses{}
	}
	if known, found := (*p)[process]; found && known != address {
		address = ""
	}
	(*p)[process] = address
}

// maxProcessAddresses bounds the processes whose addresses are known.
const maxProcessAddresses = 8192

// isReplaced reports whether the owner that a release was sent to has ended, because another
// process has its address. The platform assigns an address again only after its former process
// has ended. All of this is required, since each alone can also be seen while the owner lives:
//
//   - another server has answered this release, on a connection of its own, at the only address
//     at which the store ever listed the owner's process: no partition and no stray answer
//     gives that;
//   - the store lists a process at this address that started after the owner, and no longer
//     lists the owner: an entry of another writer may say so too, but nobody answers there;
//   - that process names itself at this address when it is asked, on a connection of its own.
func (l *Leader) isReplaced(ctx context.Context, service string, command assign.Command) bool {
	if l.replaced.contains(command.Owner) {
		return true
	}
	if !l.isOnlyAddress(service, command) {
		return false
	}
	s := l.View.Snapshot()
	successor := findSuccessor(s, command)
	if successor == nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, GrantTimeout)
	defer cancel()
	id, err := l.OwnerClient.Identify(bounded, command.Address, s.Config.Services[successor.Service].HealthPath)
	isReplaced := err == nil && id == successor.ID
	if isReplaced {
		l.replaced.add(command.Owner)
	}
	l.Log.Info("owner may be replaced", "server", command.Owner.ID, "address", command.Address, "listed", successor.ID, "answered", id,
		"isReplaced", isReplaced, "error", errorText(err))
	return isReplaced
}

// isOnlyAddress reports whether a command goes to the only known address of its owner's
// process.
func (l *Leader) isOnlyAddress(service string, command assign.Command) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.services[service]
	return state != nil && command.Address != "" && state.processAddresses[command.Owner] == command.Address
}

// findSuccessor returns the server that the store lists at the address of an owner in its
// place, or nil.
func findSuccessor(s *view.Snapshot, command assign.Command) *view.Server {
	if owner := s.ByID[command.Owner.ID]; owner != nil && owner.Process() == command.Owner {
		return nil
	}
	for _, server := range s.ByID {
		if server.Address == command.Address && server.ID != command.Owner.ID && server.StartedAtMillis > command.Owner.StartedAtMillis {
			return server
		}
	}
	return nil
}

// maxReplacedServers bounds the processes that are known to have ended.
const maxReplacedServers = 4096

// replacedServers are processes that have ended for certain. The zero value is empty. It is
// safe for concurrent use.
type replacedServers struct {
	mu    sync.Mutex
	known map[shardmap.Server]bool
}

func (r *replacedServers) contains(server shardmap.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[server]
}

func (r *replacedServers) add(server shardmap.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == nil || len(r.known) >= maxReplacedServers {
		r.known = map[shardmap.Server]bool{}
	}
	r.known[server] = true
}
