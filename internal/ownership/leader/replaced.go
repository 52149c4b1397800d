package leader

import (
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
)

// isReplaced reports whether the owner that a release was sent to has ended, because the
// process that answered in its place has its address. The platform assigns an address again
// only after its former process has ended. All of this is required, since each alone can also
// be seen while the owner lives:
//
//   - the answer to this release, on a connection of its own, names its sender: a partition
//     or a stray answer does not name a process that the store lists;
//   - the store lists that process at this address, started after the owner: an entry of
//     another writer does not answer there;
//   - the store no longer lists the owner's process.
func isReplaced(s *view.Snapshot, command assign.Command, answeredBy string) bool {
	successor, owner := s.ByID[answeredBy], s.ByID[command.Owner.ID]
	return successor != nil && successor.ID != command.Owner.ID &&
		successor.Address == command.Address && successor.StartedAtMillis > command.Owner.StartedAtMillis &&
		(owner == nil || owner.Process() != command.Owner)
}
