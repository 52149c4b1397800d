// Package peers exchanges load and news of the store between instances, in
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
	// fastest exchange; a request runs for 50 to 300 ms.
	fastest = 100 * time.Millisecond
	// nearPeer stretches the exchange inside a failure domain.
	nearPeer = 6 * time.Millisecond
	// domainEvery is how often the sums of a failure domain go to the others, whose
	// links are priced: at 300 servers 6 KB to each reporter there.
	domainEvery = 300 * time.Millisecond
	// reporters of a failure domain send its sums and pass on those of the others;
	// one may be lost.
	reporters = 2
	// farFrom is the number of far peers up to which all are treated as near.
	farFrom = 12
	// maxServers a datagram keeps it below the usual MTU.
	maxServers = 48
	maxKeys    = 100
	maxBytes   = 64 << 10
	// directNewsBytes go to each instance at once. Larger owner maps, of 10 KB and
	// more, cross between failure domains to the reporters only; whoever misses them
	// sees it by the next news. What has a bound in time goes to each one directly:
	// servers that leave, configurations, evacuations.
	directNewsBytes = 1200
	// maxNewsBytes of a datagram; larger news are read from the store.
	maxNewsBytes = 32 << 10
)

// KeySink takes the keys that other instances got requests for.
type KeySink interface {
	AddKeys(now time.Time, service string, keys []int)
	// TakeKeys returns and forgets the keys of this instance's requests.
	TakeKeys() map[string][]int
}

// Exchange sends this instance's load to the others and takes theirs in.
type Exchange struct {
	self      view.Peer
	socket    *net.UDPConn
	view      *view.View
	estimator *placement.Estimator
	keys      KeySink
	count     func(name string, n int64)
	log       *slog.Logger
	news      chan follow.News
	done      chan struct{}
	// domainKeys are those of the instances nearby, for the other domains.
	domainKeys keyBuffer
	// named is the snapshot that shortNames were made from.
	named      *view.Snapshot
	shortNames map[uint32]string
}

var _ follow.Relay = (*Exchange)(nil)

// NewExchange opens the socket.
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
		news:      make(chan follow.News, 64),
		done:      make(chan struct{}),
	}, nil
}

// Self is how other instances reach this one.
func (e *Exchange) Self() view.Peer { return e.self }

// Done is closed when Run has ended.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// News arrive from instances that watch the store.
func (e *Exchange) News() <-chan follow.News { return e.news }

// Tell sends news of the store to all other instances.
func (e *Exchange) Tell(news follow.News) {
	message := datagram{From: e.self.Name, News: &news}
	text, err := cbor.Marshal(message)
	if err == nil && len(text) > maxNewsBytes {
		news.Changes, news.IsShort = nil, true
		text, err = cbor.Marshal(message)
	}
	if err != nil {
		e.log.Error("datagram not encoded", "error", err.Error())
		return
	}
	near, far := e.others()
	if len(text) > directNewsBytes && isMapsOnly(news) {
		far = e.allReporters(far)
	}
	e.write(text, append(near, far...))
}

// isMapsOnly reports whether news are of nothing but owner maps.
func isMapsOnly(news follow.News) bool {
	return !slices.ContainsFunc(news.Changes, func(c redwingstall.Change) bool { return !strings.HasPrefix(c.Key, view.MapPrefix) })
}

// Run exchanges until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	defer close(e.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.receive(ctx)
	}()
	summed := time.Time{}
	for ctx.Err() == nil {
		near, far := e.others()
		now := time.Now()
		e.tellNear(now, near)
		if targets := e.counterparts(far); len(targets) > 0 && now.Sub(summed) >= domainEvery {
			summed = now
			message := datagram{From: e.self.Name, Domain: e.self.FailureDomain, Keys: e.domainKeys.take()}
			e.tell(message, e.estimator.DomainReports(now), targets)
		}
		timer := time.NewTimer(max(fastest, time.Duration(len(near))*nearPeer))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	_ = e.socket.Close()
	<-received
}

// others returns the peers that are told often, and those of other failure
// domains that are told its sums.
func (e *Exchange) others() (near, far []view.Peer) {
	for _, p := range e.view.Snapshot().Peers {
		switch {
		case p.Name == e.self.Name:
		case p.FailureDomain == e.self.FailureDomain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(far) <= farFrom {
		return append(near, far...), nil
	}
	return near, far
}

// tellNear tells what has changed here, and the leader which keys were asked
// for: it moves keys by their load.
func (e *Exchange) tellNear(now time.Time, near []view.Peer) {
	keys := trim(e.keys.TakeKeys())
	e.domainKeys.add(keys)
	if leader, found := e.leader(); found && len(keys) > 0 && !e.isHeard(leader, near) {
		e.encode(datagram{From: e.self.Name, Keys: keys}, []view.Peer{leader})
	}
	reports := e.estimator.Reports(now)
	if len(near) > 0 && len(reports)+len(keys) > 0 {
		e.tell(datagram{From: e.self.Name, Keys: keys}, reports, near)
	}
}

// tell sends reports in as many datagrams as they take; the first one carries
// the rest of the message.
func (e *Exchange) tell(message datagram, reports []placement.Report, peers []view.Peer) {
	for first := true; first || len(reports) > 0; first = false {
		n := min(len(reports), maxServers)
		message.Loads = shorten(reports[:n])
		e.encode(message, peers)
		reports = reports[n:]
		message.Keys = nil
	}
}

func (e *Exchange) encode(message datagram, peers []view.Peer) {
	text, err := cbor.Marshal(message)
	if err != nil {
		e.log.Error("datagram not encoded", "error", err.Error())
		return
	}
	e.write(text, peers)
}

// leader is the instance that moves keys, unless it is this one.
func (e *Exchange) leader() (view.Peer, bool) {
	s := e.view.Snapshot()
	for _, p := range s.Peers {
		if p.Name == string(s.Leader.Value) && p.Name != e.self.Name {
			return p, true
		}
	}
	return view.Peer{}, false
}

// write sends a datagram. One that is not sent is like one that is lost: the
// next exchange carries newer counts.
func (e *Exchange) write(text []byte, peers []view.Peer) {
	e.count("datagrams.bytes", int64(len(text)*len(peers)))
	for _, p := range peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			e.log.Warn("peer address unreadable", "peer", p.Name, "address", p.Address)
			continue
		}
		_, _ = e.socket.WriteToUDPAddrPort(text, address)
	}
}

// trim bounds the keys of one datagram; more than that is more than an instance
// serves between two exchanges.
func trim(keys map[string][]int) map[string][]int {
	for service, list := range keys {
		keys[service] = list[:min(len(list), maxKeys)]
	}
	return keys
}
