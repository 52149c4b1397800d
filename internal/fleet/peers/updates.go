package peers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

const (
	// maxDirectUpdateBytes is the size up to which an update is always sent to each
	// instance directly. Larger updates that hold only owner maps, of 10 KB and more,
	// cross to other failure domains through the reporters only; an instance that misses
	// one detects the gap by the next update. Updates with a time bound are sent directly
	// in fleets below directUpdateLimit: servers that leave, configurations, evacuations.
	maxDirectUpdateBytes = 1200
	// maxUpdateBytes bounds the update in a datagram. A larger one is sent in parts. A
	// change that is too large on its own is read from the store.
	maxUpdateBytes = 32 << 10
)

// Broadcast broadcasts an update of the store to all other instances. Those in other
// failure domains may get a large one through their reporters.
func (e *Exchange) Broadcast(update follow.Update) {
	t := e.topology()
	for _, encoded := range e.encodeUpdate(update) {
		e.writeDatagram(encoded.bytes, t.near)
		usesReporters := len(encoded.bytes) > maxDirectUpdateBytes && (encoded.hasOnlyOwnerMaps || len(t.far) > directUpdateLimit)
		for _, p := range t.far {
			if !usesReporters || t.farReporters[p.Name] {
				e.writeDatagram(encoded.bytes, []view.Peer{p})
			}
		}
	}
}

// encodedUpdate is a datagram with an update.
type encodedUpdate struct {
	bytes            []byte
	hasOnlyOwnerMaps bool
}

// encodeUpdate encodes an update in as many datagrams as its size requires. Each part
// continues at the revision where the one before it ends.
func (e *Exchange) encodeUpdate(update follow.Update) []encodedUpdate {
	encoded, err := cbor.Marshal(datagram{From: e.self.Name, Update: &update})
	if err != nil {
		e.log.Error("datagram encoding failed", "error", err.Error())
		return nil
	}
	encoded = e.confirm(encoded, update)
	if len(encoded) <= maxUpdateBytes {
		return []encodedUpdate{{encoded, hasOnlyOwnerMaps(update)}}
	}
	first, second, isSplit := splitUpdate(update)
	if isSplit {
		return append(e.encodeUpdate(first), e.encodeUpdate(second)...)
	}
	update.Changes, update.IsTruncated = nil, true
	return e.encodeUpdate(update)
}

// splitUpdate splits an update near its middle, between two revisions. Changes of one
// revision belong together.
func splitUpdate(update follow.Update) (first, second follow.Update, isSplit bool) {
	changes := update.Changes
	at := len(changes) / 2
	for at < len(changes) && at > 0 && changes[at].Revision == changes[at-1].Revision {
		at++
	}
	if at == len(changes) {
		for at = len(changes) / 2; at > 0 && changes[at].Revision == changes[at-1].Revision; {
			at--
		}
	}
	if at == 0 || at == len(changes) {
		return update, follow.Update{}, false
	}
	middle := int64(changes[at-1].Revision)
	first, second = update, update
	first.UpTo, first.Changes = middle, changes[:at]
	first.ConfirmedAt = 0 // what was confirmed includes the second part
	second.After, second.Changes = middle, changes[at:]
	return first, second, true
}

// hasOnlyOwnerMaps reports whether all changes of an update are owner maps.
func hasOnlyOwnerMaps(update follow.Update) bool {
	return !slices.ContainsFunc(update.Changes, func(c redwingstall.Change) bool { return !strings.HasPrefix(c.Key, view.MapPrefix) })
}

// ServeRepairs sets the source of the changes that other instances ask for. It must be
// called before Run.
func (e *Exchange) ServeRepairs(changesSince func(after redwingstall.Position) (follow.Update, bool)) {
	e.changesSince = changesSince
}

// RequestRepair asks a reporter of this failure domain for the changes after a position,
// where the domain is too large for each instance to ask the store.
func (e *Exchange) RequestRepair(after redwingstall.Position) bool {
	t := e.topology()
	if !t.hasSums || len(t.reporters) == 0 {
		return false
	}
	e.send(datagram{From: e.self.Name, RepairAfter: int64(after.Revision), RepairEra: int64(after.Era)}, []view.Peer{t.reporters[rand.IntN(len(t.reporters))]})
	return true
}

// repair sends the changes after a position to the instance that asked for them.
func (e *Exchange) repair(after redwingstall.Position, to netip.AddrPort) {
	if e.changesSince == nil {
		return
	}
	update, found := e.changesSince(after)
	if !found {
		return
	}
	for _, encoded := range e.encodeUpdate(update) {
		e.writeDatagram(encoded.bytes, []view.Peer{{Address: to.String()}})
	}
}
