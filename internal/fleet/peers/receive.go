package peers

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall/internal/fleet/view"
)

func (e *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, receiveBufferBytes)
	for ctx.Err() == nil {
		n, sender, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.log.Warn("datagram read failed", "error", err.Error())
				time.Sleep(minInterval)
			}
			continue
		}
		var message datagram
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			e.log.Warn("datagram decoding failed", "bytes", n, "error", err.Error())
			continue
		}
		e.handle(time.Now(), message, buffer[:n], sender)
	}
}

func (e *Exchange) handle(now time.Time, message datagram, raw []byte, sender netip.AddrPort) {
	isRelayed := !e.isSentBy(message.From, sender)
	if message.Update != nil {
		e.handleUpdate(message, raw, isRelayed)
	}
	if message.Domain == "" || !isRelayed {
		e.countKeys(now, message)
	}
	if len(message.Loads) == 0 {
		return
	}
	reports := decodeReports(message.Loads, e.serverIDs())
	if message.Domain == "" {
		e.estimator.MergeReports(now, message.From, reports)
		return
	}
	e.estimator.MergeDomainReports(now, message.Domain, reports)
	if _, isReporter := e.reporterRank(e.self); isReporter && !isRelayed {
		near, _ := e.partitionPeers()
		e.writeDatagram(raw, near)
	}
}

// handleUpdate queues an update. A reporter also forwards large ones from another
// failure domain to its near peers.
func (e *Exchange) handleUpdate(message datagram, raw []byte, isRelayed bool) {
	select {
	case e.updates <- *message.Update:
	default: // the queue is full; the next update reveals the gap
	}
	if isRelayed || len(raw) <= maxDirectUpdateBytes {
		return
	}
	near, far := e.partitionPeers()
	_, isReporter := e.reporterRank(e.self)
	if isReporter && slices.ContainsFunc(far, func(p view.Peer) bool { return p.Name == message.From }) {
		e.writeDatagram(raw, near)
	}
}

// countKeys counts the keys of another instance's requests. Those that reporters of
// other failure domains send are not forwarded.
func (e *Exchange) countKeys(now time.Time, message datagram) {
	for service, keys := range message.Keys {
		e.keys.AddKeys(now, service, keys)
	}
	if message.Domain == "" {
		e.domainKeys.add(message.Keys)
	}
}

// isSentBy reports whether a datagram was sent by the instance itself rather than
// forwarded by another.
func (e *Exchange) isSentBy(instance string, sender netip.AddrPort) bool {
	for _, p := range e.view.Snapshot().Peers {
		if p.Name == instance {
			return p.Address == sender.String()
		}
	}
	return false
}

// serverIDs returns the ids of servers by their short ids. It is not safe for
// concurrent use; only the receiving goroutine calls it.
func (e *Exchange) serverIDs() map[uint32]string {
	s := e.view.Snapshot()
	if e.indexedSnapshot == s {
		return e.idsByShortID
	}
	e.indexedSnapshot, e.idsByShortID = s, make(map[uint32]string, len(s.ByID))
	for id := range s.ByID {
		e.idsByShortID[shortID(id)] = id
	}
	return e.idsByShortID
}
