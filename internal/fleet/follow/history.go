package follow

import (
	"slices"
	"sync"

	"github.com/redwingstall/redwingstall"
)

const (
	// maxHistory bounds the changes kept for other instances. It holds the start of a fleet
	// of 300 instances and 800 backend servers.
	maxHistory = 2500
	// maxHistoryBytes bounds the values of these changes. Other writers may write long ones.
	maxHistoryBytes = 8 << 20
)

// history holds the last changes that an instance has seen in an era of the store, without
// gaps. The zero value is empty. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	era     redwingstall.Era
	changes []redwingstall.Change
	// bytes is the size of the values of all changes.
	bytes int
	// after and upTo are the revisions between which the history is complete.
	after, upTo redwingstall.Revision
}

// reset empties the history, which continues from a position.
func (h *history) reset(at redwingstall.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.era, h.changes, h.bytes, h.after, h.upTo = at.Era, nil, 0, at.Revision, at.Revision
}

// add appends changes up to a revision.
func (h *history) add(changes []redwingstall.Change, upTo redwingstall.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, changes...)
	for _, c := range changes {
		h.bytes += len(c.Value)
	}
	h.upTo = max(h.upTo, upTo)
	if excess := h.excess(); excess > 0 {
		h.after = h.changes[excess-1].Revision
		h.changes = slices.DeleteFunc(h.changes, func(c redwingstall.Change) bool {
			isForgotten := c.Revision <= h.after
			if isForgotten {
				h.bytes -= len(c.Value)
			}
			return isForgotten
		})
	}
}

// excess returns how many of the oldest changes are beyond the bounds.
func (h *history) excess() int {
	n, bytes := max(len(h.changes)-maxHistory, 0), h.bytes
	for _, c := range h.changes[:n] {
		bytes -= len(c.Value)
	}
	for ; bytes > maxHistoryBytes; n++ {
		bytes -= len(h.changes[n].Value)
	}
	return n
}

// since returns the changes after a position, or false if there are none, some of them
// are not kept any more, or they are of another era.
func (h *history) since(after redwingstall.Position) (Update, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after.Era != h.era || after.Revision < h.after || after.Revision >= h.upTo {
		return Update{}, false
	}
	first, _ := slices.BinarySearchFunc(h.changes, after.Revision+1, func(c redwingstall.Change, r redwingstall.Revision) int { return int(c.Revision - r) })
	return Update{Era: int64(h.era), After: int64(after.Revision), UpTo: int64(h.upTo), Changes: slices.Clone(h.changes[first:]), IsRepair: true}, true
}
