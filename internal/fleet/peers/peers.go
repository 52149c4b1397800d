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
	// directNewsBytes go to each instance at once. Larger news, such as owner maps
	// of 10 KB, cross between failure domains to the reporters only; whoever misses
	// them sees it by the next ones.
	directNewsBytes = 1200
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
	// Domain is set if the loads are the sums of a failure domain.
	Domain string
}

// serverLoad is a [placement.Report] in few bytes.
type serverLoad struct {
	_        struct{} `cbor:",toarray"`
	ID       uint32
	InFlight int
	Open     int
	// FactorPercent and SlowdownPercent are rounded.
	FactorPercent   int
	SlowdownPercent int
	Running         int
	Waiting         int
	Slots           int
	AgeMS           int
	// AttemptTenths and FailureTenths are counts in tenths.
	AttemptTenths int
	FailureTenths int
	SilenceMS     int
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
	if len(text) > directNewsBytes {
		far = e.allReporters(far)
	}
	e.write(text, append(near, far...))
}

// allReporters returns the reporters among other failure domains' instances.
func (e *Exchange) allReporters(far []view.Peer) []view.Peer {
	return slices.DeleteFunc(slices.Clone(far), func(p view.Peer) bool {
		_, isReporter := e.reporterRank(p)
		return !isReporter
	})
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
		if targets := e.reportersOf(far); len(targets) > 0 && now.Sub(summed) >= domainEvery {
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

// reportersOf returns the reporters of other failure domains that this instance
// tells its own domain's sums to: those of its own rank.
func (e *Exchange) reportersOf(far []view.Peer) []view.Peer {
	rank, isReporter := e.reporterRank(e.self)
	if !isReporter {
		return nil
	}
	domains := map[string][]view.Peer{}
	for _, p := range view.ByStrength(far) {
		domains[p.FailureDomain] = append(domains[p.FailureDomain], p)
	}
	found := []view.Peer{}
	for _, list := range domains {
		found = append(found, list[min(rank, len(list)-1)])
	}
	return found
}

// reporterRank is the place of an instance among the strongest ones of its
// failure domain, if it is one of its reporters.
func (e *Exchange) reporterRank(of view.Peer) (rank int, isReporter bool) {
	for _, p := range view.ByStrength(e.view.Snapshot().Peers) {
		switch {
		case p.Name == of.Name:
			return rank, rank < reporters
		case p.FailureDomain == of.FailureDomain:
			rank++
		}
	}
	return 0, false
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

// isHeard reports whether an instance learns the keys of this one anyway: it is
// near, or a reporter of its failure domain.
func (e *Exchange) isHeard(p view.Peer, near []view.Peer) bool {
	if slices.ContainsFunc(near, func(n view.Peer) bool { return n.Name == p.Name }) {
		return true
	}
	_, isReporter := e.reporterRank(p)
	return isReporter
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

// shortID stands for a server's id in datagrams.
func shortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

const (
	percent = 100
	tenths  = 10
)

func shorten(reports []placement.Report) []serverLoad {
	short := make([]serverLoad, 0, len(reports))
	for _, r := range reports {
		s := serverLoad{ID: shortID(r.Server), InFlight: r.InFlight, Open: r.Open, FactorPercent: int(r.Factor * percent)}
		if r.HasLoad {
			s.Running, s.Waiting, s.Slots = r.Load.Running, r.Load.Waiting, r.Load.Slots
			s.SlowdownPercent, s.AgeMS = int(r.Load.Slowdown*percent), int(r.Age.Milliseconds())
		}
		s.AttemptTenths, s.FailureTenths = int(r.Attempts*tenths), int(r.Failures*tenths)
		s.SilenceMS = int(r.Silence.Milliseconds())
		short = append(short, s)
	}
	return short
}

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
		e.estimator.Learn(now, message.From, reports)
		return
	}
	e.estimator.LearnDomain(now, message.Domain, reports)
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

func lengthen(loads []serverLoad, names map[uint32]string) []placement.Report {
	reports := make([]placement.Report, 0, len(loads))
	for _, s := range loads {
		id, found := names[s.ID]
		if !found {
			continue // a server that this instance has not heard of yet
		}
		r := placement.Report{Server: id, InFlight: s.InFlight, Open: s.Open, Factor: float64(s.FactorPercent) / percent, HasLoad: s.Slots > 0}
		r.Load.Running, r.Load.Waiting, r.Load.Slots = s.Running, s.Waiting, s.Slots
		r.Load.Slowdown = float64(s.SlowdownPercent) / percent
		r.Age = time.Duration(s.AgeMS) * time.Millisecond
		r.Attempts, r.Failures = float64(s.AttemptTenths)/tenths, float64(s.FailureTenths)/tenths
		r.Silence = time.Duration(s.SilenceMS) * time.Millisecond
		reports = append(reports, r)
	}
	return reports
}
