// Package peers exchanges load reports and updates of the store between instances, in
// datagrams.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/boottime"
	"github.com/redwingstall/redwingstall/internal/node/settings"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
	"github.com/redwingstall/redwingstall/internal/traffic/quota"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
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
	// reportInterval is the time between an instance's reports to its reporters, where
	// these send sums.
	reportInterval = 200 * time.Millisecond
	// maxLoadsPerDatagram keeps a datagram below the usual MTU.
	maxLoadsPerDatagram = 48
	// maxSumsPerDatagram bounds a datagram with sums to 30 KB. Fewer datagrams cost the
	// receivers less, and the next sums replace one that is lost.
	maxSumsPerDatagram = 1000
	maxKeysPerDatagram = 100
	receiveBufferBytes = 64 << 10
)

// KeySink counts the keys of requests.
type KeySink interface {
	// AddKeys counts the keys of requests to other instances.
	AddKeys(now time.Time, service string, keys []int)
	// TakeKeys returns the keys of this instance's requests since the last call.
	TakeKeys() map[string][]int
}

// packetConn is the part of a UDP socket that the exchange uses.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, sender netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, address netip.AddrPort) (n int, err error)
	Close() error
}

// Exchange sends this instance's load to its peers and records theirs.
type Exchange struct {
	self      view.Peer
	socket    packetConn
	view      *view.View
	estimator *placement.Estimator
	keys      KeySink
	count     func(name string, n int64)
	log       *slog.Logger
	updates   chan follow.Update
	// changesSince returns the changes after a position for another instance.
	changesSince func(after redwingstall.Position) (follow.Update, bool)
	done         chan struct{}
	// domainKeys holds the keys requested at this instance and those near it, for the
	// other failure domains.
	domainKeys keyBuffer
	// reportCount selects the reporter that gets the keys.
	reportCount int

	// limiter keeps the limits of servers, if they are shared. They were first and last
	// compared with another instance at two times, which only Run uses.
	limiter         *serverlimit.Limiter
	firstComparedAt time.Time
	comparedAt      time.Time

	// quarantine holds the requests that end servers, if they are shared. sentRecords are the
	// records of the last message, and quarantineComparedAt is when all were compared.
	quarantine  *quarantine.Table
	sentRecords []quarantine.Record
	// metAt is when the instance first knew another one.
	metAt                time.Time
	quarantineComparedAt time.Time

	// quotas are the limits of client accounts, if they are shared. The rest belongs to Run.
	quotas       *quota.Limiter
	vanished     map[string]time.Time
	vanishedFrom *view.Snapshot
	usageSentAt  time.Time
	// uptime is a clock that includes suspensions, or nil.
	uptime func() time.Duration
	// isDemandInUse reports whether other instances use the demand for servers, or is nil.
	isDemandInUse func() bool

	mu              sync.Mutex
	topologyOf      *view.Snapshot
	currentTopology *topology
	// updatesFrom is the instance that sent the last update itself.
	updatesFrom netip.AddrPort
	// pending are the queries without a reply.
	pending map[uint64]chan serverMessage

	// forwarded is the position up to which updates were forwarded. Only the receiving
	// goroutine uses it.
	forwarded redwingstall.Position
	// clock is the clock of package boottime, and process tells this process from others of
	// the same name. Only the receiving goroutine uses senders.
	clock   func() time.Duration
	process uint64
	senders senderClocks
	// indexedSnapshot is the snapshot that idsByShortID was built from.
	indexedSnapshot *view.Snapshot
	idsByShortID    map[uint32]string
}

var (
	_ follow.Relay       = (*Exchange)(nil)
	_ follow.SenderRelay = (*Exchange)(nil)
)

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
	self := view.Peer{Name: node.Name, Address: socket.LocalAddr().String(), FailureDomain: node.FailureDomain, LinkMbps: node.LinkMbps}
	exchange := newExchange(self, socket, v, e, keys, count, log)
	exchange.uptime = boottime.Now
	return exchange, nil
}

func newExchange(self view.Peer, socket packetConn, v *view.View, e *placement.Estimator, keys KeySink, count func(name string, n int64), log *slog.Logger) *Exchange {
	return &Exchange{
		self: self, socket: socket, view: v, estimator: e, keys: keys, count: count, log: log,
		updates: make(chan follow.Update, 64), done: make(chan struct{}),
		clock: boottime.Now, process: rand.Uint64(),
	}
}

// Self returns the record by which other instances reach this one.
func (e *Exchange) Self() view.Peer { return e.self }

// Done returns a channel that is closed when Run returns.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// Updates returns the updates received from instances that watch the store.
func (e *Exchange) Updates() <-chan follow.Update { return e.updates }

// Run exchanges load until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	defer close(e.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.receive(ctx)
	}()
	lastSums := time.Time{}
	for ctx.Err() == nil {
		t := e.topology()
		now := time.Now()
		if e.limiter != nil {
			e.broadcastServers(now, t)
			e.compareServers(now, t)
		}
		if e.quarantine != nil {
			e.broadcastQuarantine(now, t)
			e.compareQuarantine(now, t)
		}
		if e.quotas != nil {
			e.stepQuotas(now)
		}
		if t.hasSums {
			e.sendToReporters(now, t)
		} else {
			e.sendToNear(now, t)
		}
		if t.isReporter && now.Sub(lastSums) >= domainInterval-timerTolerance {
			lastSums = now
			e.sendSums(now, t)
		}
		e.awaitNextExchange(ctx, t.interval())
	}
	_ = e.socket.Close()
	<-received
}

// awaitNextExchange waits for an interval. Records of requests that end servers are sent
// meanwhile: the next instance may repeat the request at once.
func (e *Exchange) awaitNextExchange(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-e.quarantineWake():
			e.broadcastQuarantine(time.Now(), e.topology())
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// timerTolerance is how much earlier than due the sums are sent, so that the ticks of the
// loop do not delay them by a whole one.
const timerTolerance = 20 * time.Millisecond

// interval is the time until the next exchange.
func (t *topology) interval() time.Duration {
	switch {
	case t.hasSums && t.isReporter:
		return domainInterval / 2
	case t.hasSums:
		return reportInterval
	}
	return max(minInterval, time.Duration(len(t.near))*intervalPerPeer)
}

// sendToNear sends the changed load to the near peers. The leader also gets the
// requested keys, since it rebalances keys by their load.
func (e *Exchange) sendToNear(now time.Time, t *topology) {
	keys := truncateKeys(e.keys.TakeKeys())
	e.domainKeys.add(keys)
	if t.hasLeader && len(keys) > 0 && !t.receivesKeys(t.leader) {
		e.send(datagram{From: e.self.Name, Keys: keys}, []view.Peer{t.leader})
	}
	reports := e.estimator.Reports(now)
	usage, isDue := e.ownUsage(now)
	if len(t.near) > 0 && (len(reports)+len(keys) > 0 || isDue) {
		e.usageSentAt = now
		e.sendReports(datagram{From: e.self.Name, Keys: keys, usage: usage}, reports, maxLoadsPerDatagram, t.near)
	}
}

// sendToReporters sends the changed load to the other reporters of the failure domain.
// One of them in turn gets the keys, and passes them on to the leader.
func (e *Exchange) sendToReporters(now time.Time, t *topology) {
	keys := truncateKeys(e.keys.TakeKeys())
	if t.isLeader {
		keys = nil // counted already
	}
	if t.isReporter {
		e.domainKeys.add(keys)
		keys = nil
	}
	reports := e.estimator.Reports(now)
	usage, isDue := e.ownUsage(now)
	if len(reports) > 0 || isDue {
		e.usageSentAt = now
	}
	e.reportCount++
	for i, reporter := range t.reporters {
		message := datagram{From: e.self.Name, usage: usage}
		if i == e.reportCount%len(t.reporters) {
			message.Keys = keys
		}
		if len(reports)+len(message.Keys) > 0 || isDue {
			e.sendReports(message, reports, maxLoadsPerDatagram, []view.Peer{reporter})
		}
	}
}

// sendSums sends the sums of the failure domain to the reporters of the others. Where
// the domain is no mesh, it also sends the sums of all domains to its members, and the
// requested keys to the leader.
func (e *Exchange) sendSums(now time.Time, t *topology) {
	message := datagram{From: e.self.Name, Domain: e.self.FailureDomain}
	keys := e.domainKeys.drain()
	if !t.hasSums {
		message.Keys = keys
	}
	if len(t.counterparts) > 0 {
		message.usage = e.usage(now, quota.ScopeDomain, maxSumUsageRows)
		e.sendReports(message, e.estimator.DomainReports(now), maxSumsPerDatagram, t.counterparts)
	}
	if !t.hasSums {
		return
	}
	if t.hasLeader && len(keys) > 0 {
		e.send(datagram{From: e.self.Name, Domain: e.self.FailureDomain, Keys: keys}, []view.Peer{t.leader})
	}
	total := datagram{From: e.self.Name, IsTotal: true, usage: e.usage(now, quota.ScopeTotal, maxSumUsageRows)}
	e.sendReports(total, sortedByShortID(e.estimator.TotalReports(now)), maxSumsPerDatagram, t.members)
}

// sendReports splits reports into as many datagrams as needed. The first one carries
// the rest of the message.
func (e *Exchange) sendReports(message datagram, reports []placement.Report, perDatagram int, peers []view.Peer) {
	sendsDemand := e.sendsDemand()
	for first := true; first || len(reports) > 0; first = false {
		n := min(len(reports), perDatagram)
		message.demands = nil
		if sendsDemand {
			message.demands = encodeDemands(reports[:n])
			if message.demands != nil && perDatagram == maxLoadsPerDatagram {
				n = min(n, maxLoadsWithDemand)
				message.demands = encodeDemands(reports[:n])
			}
		}
		message.Loads = encodeReports(reports[:n])
		e.send(message, peers)
		reports = reports[n:]
		message.Keys, message.usage = nil, nil
	}
}

func (e *Exchange) send(message datagram, peers []view.Peer) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		e.log.Error("datagram encoding failed", "error", err.Error())
		return
	}
	e.writeDatagram(prependUsage(message.usage, prependDemands(message.demands, encoded)), peers)
}

// writeDatagram sends a datagram to peers. Send errors are ignored, as losses are: the
// next exchange carries newer counts.
func (e *Exchange) writeDatagram(encoded []byte, peers []view.Peer) {
	e.count("datagrams.sent", int64(len(peers)))
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
