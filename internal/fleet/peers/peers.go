// Package peers exchanges load between instances in datagrams.
package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

const (
	// fastest exchange; a request runs for 50 to 300 ms.
	fastest = 100 * time.Millisecond
	// perPeer stretches the exchange so that an instance sends and gets at most
	// a hundred datagrams a second.
	perPeer = 10 * time.Millisecond
	// maxServers a datagram keeps it below the usual MTU.
	maxServers = 24
	maxKeys    = 60
	maxBytes   = 64 << 10
)

// datagram is what one instance tells the others.
type datagram struct {
	From    string           `json:"from"`
	Servers []serverLoad     `json:"servers,omitempty"`
	Keys    map[string][]int `json:"keys,omitempty"`
}

// serverLoad is a [placement.Report] in short.
type serverLoad struct {
	ID       string  `json:"id"`
	InFlight int     `json:"n"`
	Factor   float64 `json:"f"`
	Running  int     `json:"r,omitempty"`
	Waiting  int     `json:"w,omitempty"`
	Slots    int     `json:"s,omitempty"`
	Slowdown float64 `json:"d,omitempty"`
	AgeMS    int64   `json:"a,omitempty"`
}

// KeySink takes the keys that other instances got requests for.
type KeySink interface {
	AddKeys(now time.Time, service string, keys []int)
	// TakeKeys returns and forgets the keys of this instance's requests.
	TakeKeys() map[string][]int
}

// Exchange sends this instance's load to the others and takes theirs in.
type Exchange struct {
	self      string
	socket    *net.UDPConn
	view      *view.View
	estimator *placement.Estimator
	keys      KeySink
	log       *slog.Logger
	done      chan struct{}
}

// NewExchange opens the socket.
func NewExchange(self, ip string, port int, v *view.View, e *placement.Estimator, keys KeySink, log *slog.Logger) (*Exchange, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(port))))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return &Exchange{self: self, socket: socket, view: v, estimator: e, keys: keys, log: log, done: make(chan struct{})}, nil
}

// Address that other instances send to.
func (e *Exchange) Address() string { return e.socket.LocalAddr().String() }

// Done is closed when Run has ended.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// Run exchanges until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	defer close(e.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.receive(ctx)
	}()
	for ctx.Err() == nil {
		peers := e.others()
		e.send(peers)
		timer := time.NewTimer(max(fastest, time.Duration(len(peers))*perPeer))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	_ = e.socket.Close()
	<-received
}

func (e *Exchange) others() []netip.AddrPort {
	addresses := []netip.AddrPort{}
	for _, p := range e.view.Snapshot().Peers {
		if p.Name == e.self {
			continue
		}
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			e.log.Warn("peer address unreadable", "peer", p.Name, "address", p.Address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func (e *Exchange) send(peers []netip.AddrPort) {
	keys := e.keys.TakeKeys()
	reports := e.estimator.Reports(time.Now())
	if len(peers) == 0 {
		return
	}
	for first := true; first || len(reports) > 0; first = false {
		n := min(len(reports), maxServers)
		message := datagram{From: e.self, Servers: shorten(reports[:n])}
		if first {
			message.Keys = trim(keys)
		}
		reports = reports[n:]
		if len(message.Servers) == 0 && len(message.Keys) == 0 {
			return
		}
		text, err := json.Marshal(message)
		if err != nil {
			e.log.Error("datagram not encoded", "error", err.Error())
			return
		}
		for _, p := range peers {
			// A datagram that is not sent is like one that is lost: the next
			// exchange carries newer counts.
			_, _ = e.socket.WriteToUDPAddrPort(text, p)
		}
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

func shorten(reports []placement.Report) []serverLoad {
	short := make([]serverLoad, 0, len(reports))
	for _, r := range reports {
		s := serverLoad{ID: r.Server, InFlight: r.InFlight, Factor: r.Factor}
		if r.HasLoad {
			s.Running, s.Waiting, s.Slots = r.Load.Running, r.Load.Waiting, r.Load.Slots
			s.Slowdown, s.AgeMS = r.Load.Slowdown, r.Age.Milliseconds()
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
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			e.log.Warn("datagram unreadable", "bytes", n, "error", err.Error())
			continue
		}
		e.take(time.Now(), message)
	}
}

func (e *Exchange) take(now time.Time, message datagram) {
	reports := make([]placement.Report, 0, len(message.Servers))
	for _, s := range message.Servers {
		reports = append(reports, placement.Report{
			Server: s.ID, InFlight: s.InFlight, Factor: s.Factor,
			Load:    redwingstall.ServerLoad{Running: s.Running, Waiting: s.Waiting, Slots: s.Slots, Slowdown: s.Slowdown},
			HasLoad: s.Slots > 0, Age: time.Duration(s.AgeMS) * time.Millisecond,
		})
	}
	e.estimator.Learn(now, message.From, reports)
	for service, keys := range message.Keys {
		e.keys.AddKeys(now, service, keys)
	}
}
