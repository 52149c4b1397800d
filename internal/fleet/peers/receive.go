package peers

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall"
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
		if n > 0 && buffer[0] == serverPrefix {
			if e.limiter != nil {
				e.handleServerMessage(ctx, time.Now(), buffer[:n], sender)
			}
			continue
		}
		if n > 0 && buffer[0] == quarantinePrefix {
			if e.quarantine != nil {
				e.handleQuarantineMessage(time.Now(), buffer[:n], sender)
			}
			continue
		}
		var message datagram
		usage, rest, err := splitUsage(buffer[:n])
		var demands demandTable
		if err == nil {
			demands, rest, err = splitDemands(rest)
		}
		stamp, encoded := cutConfirmation(rest)
		if err == nil {
			err = cbor.Unmarshal(encoded, &message)
		}
		message.usage, message.demands = usage, demands
		if err != nil {
			e.log.Warn("datagram decoding failed", "bytes", n, "error", err.Error())
			continue
		}
		if message.Update != nil && stamp != (confirmation{}) {
			message.Update.ConfirmedAt = e.senders.confirmedAt(e.clock(), message.From, stamp)
		}
		e.handle(time.Now(), message, buffer[:n], sender)
	}
}

func (e *Exchange) handle(now time.Time, message datagram, raw []byte, sender netip.AddrPort) {
	t := e.topology()
	isRelayed := t.names[sender] != message.From
	if message.Update != nil {
		if !isRelayed && !message.Update.IsRepair {
			e.recordUpdateSender(sender)
		}
		e.handleUpdate(t, message, raw, isRelayed)
	}
	if message.RepairAfter > 0 && !isRelayed {
		e.repair(redwingstall.Position{Era: redwingstall.Era(message.RepairEra), Revision: redwingstall.Revision(message.RepairAfter)}, sender)
	}
	if message.Domain == "" || !isRelayed {
		e.countKeys(now, t, message)
	}
	isForwarded := message.Domain != "" && t.isReporter && !t.hasSums && !isRelayed
	if message.usage != nil && e.quotas != nil {
		e.mergeUsage(now, t, message)
	}
	if isForwarded && (message.usage != nil || message.Loads.rows() > 0) {
		e.writeDatagram(raw, t.near)
	}
	if message.Loads.rows() == 0 {
		return
	}
	table := reportTable{message.Loads, message.demands}
	if message.IsTotal {
		// A reporter has the reports that the sums are made of.
		if t.hasSums && !t.isReporter {
			e.estimator.MergeTotalReports(now, table)
		}
		return
	}
	reports := decodeReports(table, e.serverIDs())
	switch {
	case message.Domain == "":
		e.estimator.MergeReports(now, message.From, reports)
	default:
		e.estimator.MergeDomainReports(now, message.Domain, reports)
	}
}

// handleUpdate queues an update. A reporter also forwards large ones from another
// failure domain to its near peers.
func (e *Exchange) handleUpdate(t *topology, message datagram, raw []byte, isRelayed bool) {
	select {
	case e.updates <- *message.Update:
	default: // the queue is full; the next update reveals the gap
	}
	if isRelayed || len(raw) <= maxDirectUpdateBytes || message.Update.IsRepair {
		return
	}
	if t.hasSums && !message.Update.IsReminder {
		// Both watchers send the same changes; one copy is enough.
		at := redwingstall.Position{Era: redwingstall.Era(message.Update.Era), Revision: redwingstall.Revision(message.Update.UpTo)}
		if at.Era < e.forwarded.Era || at.Era == e.forwarded.Era && at.Revision <= e.forwarded.Revision {
			return
		}
		e.forwarded = at
	}
	if t.isReporter && t.isFar[message.From] {
		e.writeDatagram(raw, t.near)
	}
}

// countKeys counts the keys of another instance's requests. Those that reporters of
// other failure domains send are not forwarded. Where the reporters send sums, only the
// leader counts keys.
func (e *Exchange) countKeys(now time.Time, t *topology, message datagram) {
	if t.isLeader || !t.hasSums {
		for service, keys := range message.Keys {
			e.keys.AddKeys(now, service, keys)
		}
	}
	if message.Domain == "" && !(t.isLeader && t.hasSums) {
		e.domainKeys.add(message.Keys)
	}
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
