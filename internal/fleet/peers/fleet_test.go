package peers

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
)

// network delivers datagrams between the instances of a test, in memory.
type network struct {
	mu      sync.Mutex
	sockets map[netip.AddrPort]*memorySocket
	// isLost decides which datagrams are lost, and is nil if none is.
	isLost func(from, to netip.AddrPort) bool
}

type packet struct {
	bytes  []byte
	sender netip.AddrPort
}

type memorySocket struct {
	network  *network
	address  netip.AddrPort
	incoming chan packet
	closed   chan struct{}

	// sent and received count datagrams, and sentBytes their size. The lock of the
	// network guards them.
	sent, received, sentBytes int
	// thawed is closed when the suspension of the process ends, and nil while it runs.
	thawed chan struct{}
}

// setSuspended stops or continues all that the process sends and receives.
func (s *memorySocket) setSuspended(isSuspended bool) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if isSuspended {
		s.thawed = make(chan struct{})
		return
	}
	close(s.thawed)
	s.thawed = nil
}

func (s *memorySocket) awaitThaw() {
	s.network.mu.Lock()
	thawed := s.thawed
	s.network.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (n *network) listen(index int) *memorySocket {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7000)
	s := &memorySocket{network: n, address: address, incoming: make(chan packet, 4096), closed: make(chan struct{})}
	n.sockets[address] = s
	return s
}

func (s *memorySocket) WriteToUDPAddrPort(b []byte, address netip.AddrPort) (int, error) {
	s.awaitThaw()
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.sent++
	s.sentBytes += len(b)
	if s.network.isLost != nil && s.network.isLost(s.address, address) {
		return len(b), nil
	}
	if target := s.network.sockets[address]; target != nil {
		select {
		case target.incoming <- packet{slices.Clone(b), s.address}:
			target.received++
		default: // a full buffer loses datagrams
		}
	}
	return len(b), nil
}

func (s *memorySocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-s.incoming:
		s.awaitThaw()
		return copy(b, p.bytes), p.sender, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// counts returns the datagrams sent and received so far, and the bytes sent.
func (s *memorySocket) counts() (sent, received, bytes int) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	return s.sent, s.received, s.sentBytes
}

func (s *memorySocket) Close() error {
	close(s.closed)
	return nil
}

// keyLog counts the requests that an instance learns of, and holds its own.
type keyLog struct {
	mu    sync.Mutex
	own   []int
	added map[int]int
}

func (k *keyLog) AddKeys(_ time.Time, _ string, keys []int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range keys {
		k.added[key]++
	}
}

func (k *keyLog) TakeKeys() map[string][]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := k.own
	k.own = nil
	if len(taken) == 0 {
		return nil
	}
	return map[string][]int{"s": taken}
}

// request records a request of the instance itself.
func (k *keyLog) request(key int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own = append(k.own, key)
}

// counts returns the requests of other instances by key.
func (k *keyLog) counts() map[int]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.added)
}

// member is an instance of a simulated fleet.
type member struct {
	name      string
	socket    *memorySocket
	estimator *placement.Estimator
	keys      *keyLog
	exchange  *Exchange
	limiter   *serverlimit.Limiter
	table     *quarantine.Table
}

type fleet struct {
	members []*member
	servers int
}

// runFleet runs a test with instances in fake time. The first two of each failure domain
// have wide links. The last instance is the leader.
func runFleet(t *testing.T, domains, perDomain, servers int, test func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		n := &network{sockets: map[netip.AddrPort]*memorySocket{}}
		f := &fleet{servers: servers}
		events := []redwingstall.Event{}
		for i := range servers {
			events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: serverID(i), Service: "s", Slots: 4, StartedAtMillis: 1}})
		}
		views := []*view.View{}
		for i := range domains * perDomain {
			m := &member{name: fmt.Sprintf("i%04d", i), socket: n.listen(i), estimator: &placement.Estimator{}, keys: &keyLog{added: map[int]int{}}}
			self := view.Peer{Name: m.name, Address: m.socket.address.String(), FailureDomain: fmt.Sprint("d", i/perDomain), LinkMbps: 20}
			if i%perDomain < reportersPerDomain {
				self.LinkMbps = 200
			}
			v := view.NewView(log, 0)
			views = append(views, v)
			m.exchange = newExchange(self, m.socket, v, m.estimator, m.keys, func(string, int64) {}, log)
			m.exchange.clock = fakeClock
			m.limiter = &serverlimit.Limiter{Self: m.name, Table: &serverlimit.Table{}, Transport: m.exchange, Count: func(string) {}, Log: log, Instances: func() serverlimit.Instances {
				s := v.Snapshot()
				return serverlimit.Instances{Names: s.StayingPeers, Version: s.PeersVersion}
			}}
			m.exchange.ShareLimits(m.limiter)
			m.table = &quarantine.Table{Self: m.name}
			m.exchange.ShareQuarantine(m.table)
			record, err := view.PeerRecord(self)
			require.NoError(t, err)
			events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
			f.members = append(f.members, m)
		}
		leader := f.members[len(f.members)-1].name
		events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: redwingstall.Item{Key: view.LeaderKey(0), Value: []byte(leader)}}})
		ctx, cancel := context.WithCancel(t.Context())
		for i, m := range f.members {
			views[i].Apply(time.Now(), events, false)
			go m.exchange.Run(ctx)
		}
		test(t, f)
		cancel()
		for _, m := range f.members {
			<-m.exchange.Done()
		}
	})
}

// fakeClock is the clock of package boottime in fake time.
func fakeClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func serverID(i int) string { return fmt.Sprintf("s%04d", i) }

func (m *member) queueLength(server string) float64 {
	return m.estimator.Estimate(time.Now(), "r", placement.Candidate{ID: server, Slots: 4}).QueueLength
}

// Guards against requests in flight that other instances do not see, or count twice, in
// failure domains that are too large for a mesh.
func TestLargeDomainsLearnLoadFromSums(t *testing.T) {
	runFleet(t, 3, domainMeshLimit+3, 10, func(t *testing.T, f *fleet) {
		busy := f.members[len(f.members)-1]
		other := f.members[domainMeshLimit]
		for range 3 {
			busy.estimator.Begin(time.Now(), serverID(1))
		}
		other.estimator.Begin(time.Now(), serverID(1))
		time.Sleep(time.Second)
		for _, m := range f.members {
			require.InDelta(t, 4, m.queueLength(serverID(1)), 0, m.name)
		}
		for range 3 {
			busy.estimator.End(time.Now(), "r", placement.Candidate{ID: serverID(1), Service: "s", Slots: 4}, placement.Outcome{Kind: placement.Served, Elapsed: time.Second, IsAnswered: true})
		}
		time.Sleep(time.Second)
		for _, m := range f.members {
			require.InDelta(t, 1, m.queueLength(serverID(1)), 0, m.name)
		}
	})
}

// Guards against hot keys that the leader does not see, or counts twice.
func TestLeaderOfLargeDomainsCountsEachKeyOnce(t *testing.T) {
	runFleet(t, 3, domainMeshLimit+3, 1, func(t *testing.T, f *fleet) {
		for i, m := range f.members {
			m.keys.request(i)
		}
		time.Sleep(2 * time.Second)
		leader := f.members[len(f.members)-1]
		for i, m := range f.members {
			if m != leader { // it counts its own requests itself
				require.Equal(t, 1, leader.keys.counts()[i], m.name)
				require.Empty(t, m.keys.counts(), m.name)
			}
		}
	})
}

// Guards against an exchange whose messages grow with the square of the fleet, which then
// takes more of an instance than its requests do. All mechanisms together may take 60
// events a second and instance, of which heartbeats, updates and renewals need 20.
func TestExchangeOfLargeFleetStaysInBudget(t *testing.T) {
	const (
		servers                = 810
		requestsPerSecond      = 17
		requestTime            = 340 * time.Millisecond
		maxDatagramsPerSecond  = 40.0
		maxBytesPerSecondSmall = 24_000
		duration               = 3 * time.Second
	)
	for _, perDomain := range []int{49, 98} {
		if testing.Short() && perDomain > 49 {
			continue
		}
		runFleet(t, 6, perDomain, servers, func(t *testing.T, f *fleet) {
			for i, m := range f.members {
				random := rand.New(rand.NewPCG(1, uint64(i)))
				go func() {
					for range int(requestsPerSecond * duration.Seconds()) {
						time.Sleep(time.Second / requestsPerSecond)
						c := placement.Candidate{ID: serverID(random.IntN(servers)), Service: "s", Slots: 4}
						m.estimator.Begin(time.Now(), c.ID)
						time.AfterFunc(requestTime, func() {
							m.estimator.End(time.Now(), "r", c, placement.Outcome{Kind: placement.Served, Elapsed: requestTime, IsAnswered: true})
						})
					}
				}()
			}
			time.Sleep(duration)
			synctest.Wait()
			total, smallBytes := 0, 0
			for _, m := range f.members {
				sent, received, bytes := m.socket.counts()
				total += sent + received
				if !m.exchange.topology().isReporter {
					smallBytes = max(smallBytes, bytes)
				}
			}
			mean := float64(total) / float64(len(f.members)) / duration.Seconds()
			t.Logf("%d instances: %.1f datagrams a second and instance, at most %.0f bytes a second sent by an instance that is no reporter",
				len(f.members), mean, float64(smallBytes)/duration.Seconds())
			require.LessOrEqual(t, mean, maxDatagramsPerSecond)
			require.LessOrEqual(t, float64(smallBytes)/duration.Seconds(), float64(maxBytesPerSecondSmall))
			time.Sleep(requestTime)
		})
	}
}

// Guards against requests that a reporter counts twice, since it also has the reports that
// the sums of another reporter are made of.
func TestReporterIgnoresSums(t *testing.T) {
	runFleet(t, 2, domainMeshLimit+2, 1, func(t *testing.T, f *fleet) {
		reporter, receiver := f.members[0], f.members[5]
		sums := datagram{From: f.members[1].name, IsTotal: true, Loads: encodeReports([]placement.Report{{Server: serverID(0), InFlight: 9}})}
		for _, m := range []*member{reporter, receiver} {
			m.exchange.handle(time.Now(), sums, nil, f.members[1].socket.address)
		}
		require.Zero(t, reporter.queueLength(serverID(0)))
		require.InDelta(t, 9, receiver.queueLength(serverID(0)), 0)
	})
}
