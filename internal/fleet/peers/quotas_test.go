package peers

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/quota"
)

// The bounds of the platform.
var quotaBounds = quota.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

const (
	// quotaTick is the resolution of simulated time.
	quotaTick = 10 * time.Millisecond
	// limitPerUsual is the limit of an account over its usual rate.
	limitPerUsual = 1.6
	// hotFactor is how many times its usual load a hot account sends.
	hotFactor = 7.5
)

// quotaAccount is the load of one account. Each client sends to one instance.
type quotaAccount struct {
	redwingstall.ClientAccount
	usual    float64
	factor   float64
	clients  []quotaClient
	admitted []int // by tick
	refused  []int
	limits   []redwingstall.ClientAccount
}

type quotaClient struct {
	instance int
	share    float64
}

// quotaMember is one instance with its current process.
type quotaMember struct {
	self     view.Peer
	socket   *memorySocket
	view     *view.View
	exchange *Exchange
	limiter  *quota.Limiter
	cancel   context.CancelFunc
	isDown   bool
	// waiting are the requests that arrived during a suspension, by account.
	waiting map[*quotaAccount]int
}

// quotaFleet simulates instances that admit the requests of accounts.
type quotaFleet struct {
	t        *testing.T
	random   *rand.Rand
	network  *network
	events   []redwingstall.Event
	members  []*quotaMember
	accounts []*quotaAccount
	process  uint64
	loss     float64
	group    map[netip.AddrPort]int
	counts   map[string]int64
	tick     int
}

func runQuotaFleet(t *testing.T, seed uint64, instances, domains int, usual []float64, test func(f *quotaFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &quotaFleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), network: &network{sockets: map[netip.AddrPort]*memorySocket{}}, group: map[netip.AddrPort]int{}, loss: 0.01}
		lossRandom := rand.New(rand.NewPCG(seed, 2))
		f.network.isLost = func(from, to netip.AddrPort) bool {
			return f.group[from] != f.group[to] || lossRandom.Float64() < f.loss
		}
		for i := range instances {
			socket := f.network.listen(i)
			m := &quotaMember{self: view.Peer{Name: fmt.Sprintf("i%04d", i), Address: socket.address.String(), FailureDomain: fmt.Sprint("d", i%domains), LinkMbps: 20}, waiting: map[*quotaAccount]int{}}
			if i < domains*reportersPerDomain {
				m.self.LinkMbps = 200
			}
			m.socket = socket
			record, err := view.PeerRecord(m.self)
			require.NoError(t, err)
			f.events = append(f.events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
			f.members = append(f.members, m)
		}
		for n, rate := range usual {
			limit := rate * limitPerUsual
			a := &quotaAccount{ClientAccount: redwingstall.ClientAccount{Name: fmt.Sprint("account", n), Rate: limit, Burst: limit}, usual: rate, factor: 1}
			f.assignClients(a, 1)
			f.accounts = append(f.accounts, a)
		}
		for i := range f.members {
			f.start(i)
		}
		test(f)
		for _, m := range f.members {
			m.cancel()
			_ = m.exchange.socket.Close
		}
		for _, m := range f.members {
			<-m.exchange.Done()
		}
	})
}

// assignClients replaces a part of the clients of an account by others.
func (f *quotaFleet) assignClients(a *quotaAccount, part float64) {
	if len(a.clients) == 0 {
		total := 0.0
		for range 2 + int(a.usual/2) {
			c := quotaClient{share: f.random.ExpFloat64()}
			total += c.share
			a.clients = append(a.clients, c)
		}
		for n := range a.clients {
			a.clients[n].share /= total
		}
	}
	for n := range a.clients {
		if f.random.Float64() < part {
			a.clients[n].instance = f.random.IntN(len(f.members))
		}
	}
}

// start starts a process of an instance.
func (f *quotaFleet) start(i int) {
	m := f.members[i]
	if m.cancel != nil {
		m.cancel()
		<-m.exchange.Done()
		m.socket = f.network.listen(i)
	}
	log := slog.New(slog.DiscardHandler)
	m.view = view.NewView(log, 0)
	m.view.Apply(time.Now(), f.events, false)
	m.exchange = newExchange(m.self, m.socket, m.view, &placement.Estimator{}, &keyLog{added: map[int]int{}}, func(string, int64) {}, log)
	f.process++
	m.limiter = &quota.Limiter{Bounds: quotaBounds, Process: f.process, Count: func(string) {}, Log: log}
	m.exchange.ShareQuotas(m.limiter)
	m.limiter.Configure(time.Now(), f.configuration())
	ctx, cancel := context.WithCancel(f.t.Context())
	m.cancel, m.isDown = cancel, false
	exchange, offset := m.exchange, time.Duration(f.random.IntN(300))*time.Millisecond
	go func() {
		time.Sleep(offset)
		exchange.Run(ctx)
	}()
}

func (f *quotaFleet) configuration() []redwingstall.ClientAccount {
	accounts := []redwingstall.ClientAccount{}
	for _, a := range f.accounts {
		accounts = append(accounts, a.ClientAccount)
	}
	return accounts
}

// stop ends a process without notice.
func (f *quotaFleet) stop(i int) {
	m := f.members[i]
	m.isDown = true
	m.cancel()
	<-m.exchange.Done()
}

// run sends requests for a time.
func (f *quotaFleet) run(duration time.Duration) {
	for range int(duration / quotaTick) {
		time.Sleep(quotaTick)
		for _, a := range f.accounts {
			a.admitted, a.refused, a.limits = append(a.admitted, 0), append(a.refused, 0), append(a.limits, a.ClientAccount)
			for _, c := range a.clients {
				f.request(a, f.members[c.instance], poisson(f.random, a.usual*a.factor*c.share*quotaTick.Seconds()))
			}
		}
		f.tick++
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for left := math.Exp(-mean); ; n++ {
		if left -= 0; random.Float64() < 0 {
			return n
		}
		break
	}
	limit, product := math.Exp(-mean), random.Float64()
	for product > limit {
		n++
		product *= random.Float64()
	}
	return n
}

func (f *quotaFleet) request(a *quotaAccount, m *quotaMember, n int) {
	if m.isDown || n == 0 {
		return
	}
	if m.socket.thawed != nil {
		m.waiting[a] += n
		return
	}
	for range n {
		if isAdmitted, _ := m.limiter.Admit(time.Now(), a.Name); isAdmitted {
			a.admitted[f.tick]++
		} else {
			a.refused[f.tick]++
		}
	}
}

// suspend suspends an instance, or continues it. Its clients' requests wait meanwhile.
func (f *quotaFleet) suspend(i int, isSuspended bool) {
	m := f.members[i]
	m.socket.setSuspended(isSuspended)
	if isSuspended {
		return
	}
	for a, n := range m.waiting {
		for range n {
			// The requests are taken before the process reads any datagram.
			if isAdmitted, _ := m.limiter.Admit(time.Now(), a.Name); isAdmitted {
				a.admitted[f.tick-1]++
			} else {
				a.refused[f.tick-1]++
			}
		}
	}
	m.waiting = map[*quotaAccount]int{}
}

// partition divides the network into groups.
func (f *quotaFleet) partition(groupOf func(i int) int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for i, m := range f.members {
		f.group[m.socket.address] = groupOf(i)
	}
}

func together(int) int { return 0 }

// worst returns the largest part of the bound that an account reached in a window.
func (f *quotaFleet) worst() (used float64, name string) {
	ticks := int(quotaBounds.Window / quotaTick)
	for _, a := range f.accounts {
		sum := 0
		for n := range a.admitted {
			sum += a.admitted[n]
			if n >= ticks {
				sum -= a.admitted[n-ticks]
			}
			l := a.limits[max(n-ticks, 0)]
			if o := a.limits[n]; o.Rate > l.Rate {
				l = o
			}
			bound := (l.Rate*quotaBounds.Window.Seconds()+l.Burst)*(1+quotaBounds.Overrun) + quotaBounds.Slack
			if part := float64(sum) / bound; part > used {
				used, name = part, fmt.Sprintf("%s (usual %.1f/s, tick %d: %d of %.0f)", a.Name, a.usual, n, sum, bound)
			}
		}
	}
	return used, name
}

// refusedPart returns the part of the requests that was refused since a tick, of accounts that
// send their usual load, and the largest of a single account.
func (f *quotaFleet) refusedPart(since int) (all, worst float64) {
	refused, sent := 0, 0
	for _, a := range f.accounts {
		if a.factor != 1 {
			continue
		}
		r, s := 0, 0
		for n := since; n < len(a.refused); n++ {
			r += a.refused[n]
			s += a.refused[n] + a.admitted[n]
		}
		refused, sent = refused+r, sent+s
		if s > 0 {
			worst = max(worst, float64(r)/float64(s))
		}
	}
	return float64(refused) / float64(max(sent, 1)), worst
}

// usualRates are those of 71 accounts with 2,300 requests a second.
func usualRates() []float64 {
	rates, total := []float64{}, 0.0
	for n := range 71 {
		rates = append(rates, 3*math.Pow(100, float64(n)/70))
		total += rates[n]
	}
	for n := range rates {
		rates[n] = max(rates[n]*2300/total, 2)
	}
	return rates
}

func TestTrialQuota(t *testing.T) {
	for _, name := range []string{"steady", "moving", "hot", "hotspread", "partition", "isolated", "suspend", "restart", "loss"} {
		t.Run(name, func(t *testing.T) {
			runQuotaFleet(t, 1, 58, 4, usualRates(), func(f *quotaFleet) {
				f.run(20 * time.Second)
				since := f.tick
				heat := func(factor float64) {
					for n := 0; n < len(f.accounts); n += 7 {
						f.accounts[n].factor = factor
					}
				}
				switch name {
				case "steady":
					f.run(20 * time.Second)
				case "moving":
					for range 5 {
						for _, a := range f.accounts {
							f.assignClients(a, 0.5)
						}
						f.run(4 * time.Second)
					}
				case "hot":
					heat(hotFactor)
					f.run(15 * time.Second)
				case "hotspread":
					for _, a := range f.accounts {
						a.clients = nil
						for i := range f.members {
							a.clients = append(a.clients, quotaClient{i, 1.0 / 58})
						}
					}
					f.run(5 * time.Second)
					heat(hotFactor)
					f.run(15 * time.Second)
				case "partition":
					heat(hotFactor)
					f.partition(func(i int) int { return i % 2 })
					f.run(12 * time.Second)
					f.partition(together)
					f.run(6 * time.Second)
				case "isolated":
					heat(hotFactor)
					f.partition(func(i int) int { return i })
					f.run(12 * time.Second)
					f.partition(together)
					f.run(6 * time.Second)
				case "suspend":
					heat(hotFactor)
					f.run(5 * time.Second)
					for i := range 10 {
						f.suspend(i*3, true)
					}
					f.run(4 * time.Second)
					for i := range 10 {
						f.suspend(i*3, false)
					}
					f.run(6 * time.Second)
				case "restart":
					heat(hotFactor)
					f.run(3 * time.Second)
					for i := range 20 {
						f.start(i * 2)
						f.run(200 * time.Millisecond)
					}
					f.run(6 * time.Second)
				case "loss":
					f.loss = 0.1
					f.run(10 * time.Second)
					heat(hotFactor)
					f.run(10 * time.Second)
				}
				used, at := f.worst()
				all, worst := f.refusedPart(since)
				served := 0.0
				hot := 0
				for _, a := range f.accounts {
					if a.factor > 1 {
						n := 0
						for _, k := range a.admitted[len(a.admitted)-500:] {
							n += k
						}
						served += float64(n) / (5 * a.Rate)
						hot++
					}
				}
				class := map[int][2]int{}
				for _, a := range f.accounts {
					if a.factor == 1 {
						k := int(math.Log2(a.usual))
						c := class[k]
						for n := since; n < len(a.refused); n++ {
							c[0] += a.refused[n]
							c[1] += a.refused[n] + a.admitted[n]
						}
						class[k] = c
					}
				}
				for k := range 9 {
					if c := class[k]; c[1] > 0 {
						t.Logf("usual %d/s: %.4f", 1<<k, float64(c[0])/float64(c[1]))
					}
				}
				t.Logf("%s: used %.3f %s; refused %.5f, worst account %.4f; hot served %.2f", name, used, at, all, worst, served/float64(max(hot, 1)))
			})
		})
	}
}
