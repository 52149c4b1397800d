// Package peers exchanges load and news of the store between instances, in
// datagrams.
package peers

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/settings"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

const (
	// fastest exchange; a request runs for 50 to 300 ms.
	fastest = 100 * time.Millisecond
	// nearPeer stretches the exchange inside a failure domain, and farPeer that
	// with the others, whose bytes are priced: at 77 instances the far exchange
	// comes every 1.5 s and costs an instance 8 KB/s.
	nearPeer = 6 * time.Millisecond
	farPeer  = 25 * time.Millisecond
	// leastFar is how often all that is known of servers is told.
	leastFar = 1500 * time.Millisecond
	// farFrom is the number of far peers up to which all are treated as near.
	farFrom = 12
	// maxServers a datagram keeps it below the usual MTU.
	maxServers = 48
	maxKeys    = 100
	maxBytes   = 64 << 10
	// maxNewsBytes of a datagram; larger news are read from the store.
	maxNewsBytes = 32 << 10
)

// datagram is what one instance tells the others.
type datagram struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Loads of servers, Keys by service, and News are there or not.
	Loads []serverLoad
	Keys  map[string][]int
	News  *follow.News
}

// serverLoad is a [placement.Report] in few bytes.
type serverLoad struct {
	_        struct{} `cbor:",toarray"`
	ID       uint32
	InFlight int
	// FactorPercent and SlowdownPercent are rounded.
	FactorPercent   int
	SlowdownPercent int
	Running         int
	Waiting         int
	Slots           int
	AgeMS           int
}

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
	e.write(text, append(near, far...))
}

// Run exchanges until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	defer close(e.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.receive(ctx)
	}()
	sentFar := time.Time{}
	for ctx.Err() == nil {
		near, far := e.others()
		now := time.Now()
		targets := near
		isFar := now.Sub(sentFar) >= max(time.Duration(len(far))*farPeer, leastFar)
		if isFar {
			targets = append(targets, far...)
			sentFar = now
		}
		e.exchange(now, targets, isFar)
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

// others returns the peers that are told often, and those told more seldom.
func (e *Exchange) others() (near, far []netip.AddrPort) {
	for _, p := range e.view.Snapshot().Peers {
		if p.Name == e.self.Name {
			continue
		}
		address, err := netip.ParseAddrPort(p.Address)
		switch {
		case err != nil:
			e.log.Warn("peer address unreadable", "peer", p.Name, "address", p.Address)
		case p.FailureDomain == e.self.FailureDomain:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	if len(far) <= farFrom {
		return append(near, far...), nil
	}
	return near, far
}

func (e *Exchange) exchange(now time.Time, peers []netip.AddrPort, isFar bool) {
	keys := e.keys.TakeKeys()
	if leader, found := e.leader(); found && len(keys) > 0 && !slices.Contains(peers, leader) {
		// The leader moves keys by their load, and must not wait for it.
		e.encode(datagram{From: e.self.Name, Keys: trim(keys)}, []netip.AddrPort{leader})
	}
	reports := e.estimator.Reports(now)
	if isFar {
		// Far peers learn the speed of servers, not what is in flight for a moment.
		reports = e.estimator.AllReports(now)
	}
	for first := true; first || len(reports) > 0; first = false {
		n := min(len(reports), maxServers)
		message := datagram{From: e.self.Name, Loads: shorten(reports[:n])}
		if first {
			message.Keys = trim(keys)
		}
		reports = reports[n:]
		if len(peers) == 0 || len(message.Loads) == 0 && len(message.Keys) == 0 {
			return
		}
		e.encode(message, peers)
	}
}

func (e *Exchange) encode(message datagram, peers []netip.AddrPort) {
	text, err := cbor.Marshal(message)
	if err != nil {
		e.log.Error("datagram not encoded", "error", err.Error())
		return
	}
	e.write(text, peers)
}

// leader is the address of the instance that moves keys, unless it is this one.
func (e *Exchange) leader() (netip.AddrPort, bool) {
	s := e.view.Snapshot()
	for _, p := range s.Peers {
		if p.Name == string(s.Leader.Value) && p.Name != e.self.Name {
			address, err := netip.ParseAddrPort(p.Address)
			return address, err == nil
		}
	}
	return netip.AddrPort{}, false
}

// write sends a datagram. One that is not sent is like one that is lost: the
// next exchange carries newer counts.
func (e *Exchange) write(text []byte, peers []netip.AddrPort) {
	e.count("datagrams.bytes", int64(len(text)*len(peers)))
	for _, p := range peers {
		_, _ = e.socket.WriteToUDPAddrPort(text, p)
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

// shortID stands for a server's id in datagrams.
func shortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

const percent = 100

func shorten(reports []placement.Report) []serverLoad {
	short := make([]serverLoad, 0, len(reports))
	for _, r := range reports {
		s := serverLoad{ID: shortID(r.Server), InFlight: r.InFlight, FactorPercent: int(r.Factor * percent)}
		if r.HasLoad {
			s.Running, s.Waiting, s.Slots = r.Load.Running, r.Load.Waiting, r.Load.Slots
			s.SlowdownPercent, s.AgeMS = int(r.Load.Slowdown*percent), int(r.Age.Milliseconds())
		}
		short = append(short, s)
	}
	return short
}

func (e *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxBytes)
	for ctx.Err() == nil {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
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
		e.take(time.Now(), message)
	}
}

func (e *Exchange) take(now time.Time, message datagram) {
	if message.News != nil {
		select {
		case e.news <- *message.News:
		default: // the next news show that some are missing
		}
	}
	for service, keys := range message.Keys {
		e.keys.AddKeys(now, service, keys)
	}
	if len(message.Loads) == 0 {
		return
	}
	names := map[uint32]string{}
	for id := range e.view.Snapshot().ByID {
		names[shortID(id)] = id
	}
	e.estimator.Learn(now, message.From, lengthen(message.Loads, names))
}

func lengthen(loads []serverLoad, names map[uint32]string) []placement.Report {
	reports := make([]placement.Report, 0, len(loads))
	for _, s := range loads {
		id, found := names[s.ID]
		if !found {
			continue // a server that this instance has not heard of yet
		}
		r := placement.Report{Server: id, InFlight: s.InFlight, Factor: float64(s.FactorPercent) / percent, HasLoad: s.Slots > 0}
		r.Load.Running, r.Load.Waiting, r.Load.Slots = s.Running, s.Waiting, s.Slots
		r.Load.Slowdown = float64(s.SlowdownPercent) / percent
		r.Age = time.Duration(s.AgeMS) * time.Millisecond
		reports = append(reports, r)
	}
	return reports
}
