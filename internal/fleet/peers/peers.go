// Package peers exchanges load reports and updates of the store between instances, in
// datagrams.
package peers

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/settings"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

const (
	// minInterval is the shortest time between two exchanges; a request runs for 50 to 300
	// ms.
	minInterval = 100 * time.Millisecond
	// intervalPerPeer lengthens the interval for each peer that the instance exchanges
	// load with.
	intervalPerPeer = 6 * time.Millisecond
	// domainInterval is the time between sending the load sums of a failure domain to the
	// others, whose links are priced: at 300 servers 6 KB to each reporter there.
	domainInterval = 300 * time.Millisecond
	// reportersPerDomain is the number of instances that send the load sums of their
	// failure domain and forward those of the others. There are two since one may fail.
	reportersPerDomain = 2
	// fullMeshLimit is the number of peers in other failure domains up to which an
	// instance exchanges load with all of them directly.
	fullMeshLimit = 12
	// maxLoadsPerDatagram keeps a datagram below the usual MTU.
	maxLoadsPerDatagram = 48
	maxKeysPerDatagram  = 100
	receiveBufferBytes  = 64 << 10
	// maxDirectUpdateBytes is the size up to which an update is always sent to each
	// instance directly. Larger updates that hold only owner maps, of 10 KB and more,
	// cross to other failure domains through the reporters only; an instance that misses
	// one detects the gap by the next update. Updates with a time bound are always sent
	// directly: servers that leave, configurations, evacuations.
	maxDirectUpdateBytes = 1200
	// maxUpdateBytes bounds the update in a datagram. The changes of a larger one are read
	// from the store.
	maxUpdateBytes = 32 << 10
)

// KeySink counts the keys of requests.
type KeySink interface {
	// AddKeys counts the keys of requests to other instances.
	AddKeys(now time.Time, service string, keys []int)
	// TakeKeys returns the keys of this instance's requests since the last call.
	TakeKeys() map[string][]int
}

// Exchange sends this instance's load to its peers and records theirs.
type Exchange struct {
	self      view.Peer
	socket    *net.UDPConn
	view      *view.View
	estimator *placement.Estimator
	keys      KeySink
	count     func(name string, n int64)
	log       *slog.Logger
	updates   chan follow.Update
	done      chan struct{}
	// domainKeys holds the keys requested at this instance and those near it, for the
	// other failure domains.
	domainKeys keyBuffer
	// indexedSnapshot is the snapshot that idsByShortID was built from.
	indexedSnapshot *view.Snapshot
	idsByShortID    map[uint32]string
}

var _ follow.Relay = (*Exchange)(nil)

// NewExchange opens the UDP socket; Run starts the exchange.
func NewExchange(node settings.Node, v *view.View, e *placement.Estimator, keys KeySink, count func(name string, n int64), log *slog.Logger) (*Exchange, error) {
	address, err := netip.ParseAddr(node.IP)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(node.PeerPort))))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return &Exchange{
		self:      view.Peer{Name: node.Name, Address: socket.LocalAddr().String(), FailureDomain: node.FailureDomain, LinkMbps: node.LinkMbps},
		socket:    socket,
		view:      v,
		estimator: e,
		keys:      keys,
		count:     count,
		log:       log,
		updates:   make(chan follow.Update, 64),
		done:      make(chan struct{}),
	}, nil
}

// Self returns the record by which other instances reach this one.
func (e *Exchange) Self() view.Peer { return e.self }

// Done returns a channel that is closed when Run returns.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// Updates returns the updates received from instances that watch the store.
func (e *Exchange) Updates() <-chan follow.Update { return e.updates }

// Broadcast broadcasts an update of the store to all other instances. Those in other
// failure domains may get a large one through their reporters.
func (e *Exchange) Broadcast(update follow.Update) {
	message := datagram{From: e.self.Name, Update: &update}
	encoded, err := cbor.Marshal(message)
	if err == nil && len(encoded) > maxUpdateBytes {
		update.Changes, update.IsTruncated = nil, true
		encoded, err = cbor.Marshal(message)
	}
	if err != nil {
		e.log.Error("datagram encoding failed", "error", err.Error())
		return
	}
	near, far := e.partitionPeers()
	if len(encoded) > maxDirectUpdateBytes && hasOnlyOwnerMaps(update) {
		far = e.reportersAmong(far)
	}
	e.writeDatagram(encoded, append(near, far...))
}

// hasOnlyOwnerMaps reports whether all changes of an update are owner maps.
func hasOnlyOwnerMaps(update follow.Update) bool {
	return !slices.ContainsFunc(update.Changes, func(c redwingstall.Change) bool { return !strings.HasPrefix(c.Key, view.MapPrefix) })
}

// Run exchanges load until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	defer close(e.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.receive(ctx)
	}()
	lastSummary := time.Time{}
	for ctx.Err() == nil {
		near, far := e.partitionPeers()
		now := time.Now()
		e.sendToNear(now, near)
		if targets := e.counterpartReporters(far); len(targets) > 0 && now.Sub(lastSummary) >= domainInterval {
			lastSummary = now
			message := datagram{From: e.self.Name, Domain: e.self.FailureDomain, Keys: e.domainKeys.drain()}
			e.sendReports(message, e.estimator.DomainReports(now), targets)
		}
		timer := time.NewTimer(max(minInterval, time.Duration(len(near))*intervalPerPeer))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	_ = e.socket.Close()
	<-received
}

// partitionPeers returns the peers that get this instance's load directly, and those
// of other failure domains, which get the sums of this domain.
func (e *Exchange) partitionPeers() (near, far []view.Peer) {
	for _, p := range e.view.Snapshot().Peers {
		switch {
		case p.Name == e.self.Name:
		case p.FailureDomain == e.self.FailureDomain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(far) <= fullMeshLimit {
		return append(near, far...), nil
	}
	return near, far
}

// sendToNear sends the changed load to the near peers. The leader also gets the
// requested keys, since it rebalances keys by their load.
func (e *Exchange) sendToNear(now time.Time, near []view.Peer) {
	keys := truncateKeys(e.keys.TakeKeys())
	e.domainKeys.add(keys)
	if leader, found := e.remoteLeader(); found && len(keys) > 0 && !e.receivesKeys(leader, near) {
		e.send(datagram{From: e.self.Name, Keys: keys}, []view.Peer{leader})
	}
	reports := e.estimator.Reports(now)
	if len(near) > 0 && len(reports)+len(keys) > 0 {
		e.sendReports(datagram{From: e.self.Name, Keys: keys}, reports, near)
	}
}

// sendReports splits reports into as many datagrams as needed. The first one carries
// the rest of the message.
func (e *Exchange) sendReports(message datagram, reports []placement.Report, peers []view.Peer) {
	for first := true; first || len(reports) > 0; first = false {
		n := min(len(reports), maxLoadsPerDatagram)
		message.Loads = encodeReports(reports[:n])
		e.send(message, peers)
		reports = reports[n:]
		message.Keys = nil
	}
}

func (e *Exchange) send(message datagram, peers []view.Peer) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		e.log.Error("datagram encoding failed", "error", err.Error())
		return
	}
	e.writeDatagram(encoded, peers)
}

// remoteLeader returns the instance that assigns keys, or false if it is this one or
// unknown.
func (e *Exchange) remoteLeader() (view.Peer, bool) {
	s := e.view.Snapshot()
	for _, p := range s.Peers {
		if p.Name == string(s.Leader.Value) && p.Name != e.self.Name {
			return p, true
		}
	}
	return view.Peer{}, false
}

// writeDatagram sends a datagram to peers. Send errors are ignored, as losses are: the
// next exchange carries newer counts.
func (e *Exchange) writeDatagram(encoded []byte, peers []view.Peer) {
	e.count("datagrams.bytes", int64(len(encoded)*len(peers)))
	for _, p := range peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			e.log.Warn("peer address is not valid", "peer", p.Name, "address", p.Address)
			continue
		}
		_, _ = e.socket.WriteToUDPAddrPort(encoded, address)
	}
}

// truncateKeys bounds the keys of one datagram. The bound exceeds what an instance
// serves between two exchanges.
func truncateKeys(keys map[string][]int) map[string][]int {
	for service, serviceKeys := range keys {
		keys[service] = serviceKeys[:min(len(serviceKeys), maxKeysPerDatagram)]
	}
	return keys
}
