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
	buffer := make([]byte, maxBytes)
	for ctx.Err() == nil {
		n, sender, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.log.Warn("datagram not read", "error", err.Error())
				time.Sleep(fastest)
			}
			continue
		}
		var message datagram
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			e.log.Warn("datagram unreadable", "bytes", n, "error", err.Error())
			continue
		}
		e.take(time.Now(), message, buffer[:n], sender)
	}
}

func (e *Exchange) take(now time.Time, message datagram, raw []byte, sender netip.AddrPort) {
	isPassedOn := !e.isFrom(message.From, sender)
	if message.News != nil {
		e.takeNews(message, raw, isPassedOn)
	}
	if message.Domain == "" || !isPassedOn {
		e.takeKeys(now, message)
	}
	if len(message.Loads) == 0 {
		return
	}
	reports := lengthen(message.Loads, e.names())
	if message.Domain == "" {
		e.estimator.MergeReports(now, message.From, reports)
		return
	}
	e.estimator.MergeDomainReports(now, message.Domain, reports)
	if _, isReporter := e.reporterRank(e.self); isReporter && !isPassedOn {
		near, _ := e.others()
		e.write(raw, near)
	}
}

// takeNews hands news over, and passes large ones from another failure domain on.
func (e *Exchange) takeNews(message datagram, raw []byte, isPassedOn bool) {
	select {
	case e.news <- *message.News:
	default: // the next news show that some are missing
	}
	if isPassedOn || len(raw) <= directNewsBytes {
		return
	}
	near, far := e.others()
	_, isReporter := e.reporterRank(e.self)
	if isReporter && slices.ContainsFunc(far, func(p view.Peer) bool { return p.Name == message.From }) {
		e.write(raw, near)
	}
}

// takeKeys counts the keys of another instance's requests. What reporters of other
// failure domains tell of theirs is not told on.
func (e *Exchange) takeKeys(now time.Time, message datagram) {
	for service, keys := range message.Keys {
		e.keys.AddKeys(now, service, keys)
	}
	if message.Domain == "" {
		e.domainKeys.add(message.Keys)
	}
}

// isFrom reports whether a datagram came from an instance itself, as against
// one that passed it on.
func (e *Exchange) isFrom(instance string, sender netip.AddrPort) bool {
	for _, p := range e.view.Snapshot().Peers {
		if p.Name == instance {
			return p.Address == sender.String()
		}
	}
	return false
}

// names returns the servers by their short ids. Only the receiver calls it.
func (e *Exchange) names() map[uint32]string {
	s := e.view.Snapshot()
	if e.named == s {
		return e.shortNames
	}
	e.named, e.shortNames = s, make(map[uint32]string, len(s.ByID))
	for id := range s.ByID {
		e.shortNames[shortID(id)] = id
	}
	return e.shortNames
}
