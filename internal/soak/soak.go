// Package soak runs the real program as separate processes on loopback against
// stand-ins, injects faults from outside by seed, and checks the promises that
// callers and backend servers can see while it runs.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/callers"
	"github.com/redwingstall/redwingstall/platform/platformtest"
)

const (
	// applyBound is how long a configuration may take, and drainBound how long a
	// server that leaves may get requests; contact is the calm that bounds need.
	applyBound = 2 * time.Second
	drainBound = 2 * time.Second
	contact    = 3 * time.Second
	grace      = 6 * time.Second
	warmUp     = 4 * time.Second
)

// Config of a soak.
type Config struct {
	// Command runs the program, with arguments that go before its own.
	Command  []string
	Seed     uint64
	Duration time.Duration
	// Folder keeps the logs of the processes.
	Folder    string
	Instances int
	Servers   int
	Clients   int
	// Network is the second byte of the instances' loopback addresses.
	Network int
	Log     io.Writer
}

// Soak is one run.
type Soak struct {
	config    Config
	random    *rand.Rand
	store     *platformtest.Store
	ledger    *platformtest.Ledger
	listener  net.Listener
	instances []*instance

	mu       sync.Mutex
	backends []*backend
	version  int64
	since    time.Time
	storeAt  time.Time
	statuses map[int]int
	promised []string
	next     int
}

// backend is a server with the proxy in front of it.
type backend struct {
	*platformtest.Server
	proxy *proxy
	stop  chan struct{}
}

// Run plays one seed and returns the promises that were broken.
func Run(config Config) ([]string, error) {
	s := &Soak{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)),
		store: platformtest.NewStore(), ledger: platformtest.NewLedger(), statuses: map[int]int{},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(warmUp)
	var clients sync.WaitGroup
	for n := range config.Clients {
		c := s.client(n)
		clients.Go(func() { c.run(ctx) })
	}
	var faults sync.WaitGroup
	for end := time.Now().Add(config.Duration); time.Now().Before(end); {
		faults.Go(s.pickFault())
		time.Sleep(time.Duration(200+s.random.IntN(900)) * time.Millisecond)
	}
	faults.Wait()
	s.settle()
	s.leaveInCalm()
	cancel()
	clients.Wait()
	s.checkPromises()
	s.printf("seed %d: %d requests ran, answers %v", config.Seed, s.ledger.TotalRuns(), s.statuses)
	return s.ledger.Violations(), nil
}

func (s *Soak) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.config.Log, time.Now().Format("15:04:05.000 ")+format+"\n", arguments...)
}

func (s *Soak) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = listener
	go func() { _ = http.Serve(listener, s.store) }()
	s.configure()
	for n := range s.config.Servers {
		if err := s.addServer([]string{"keyed", "charges", "charges"}[n%3]); err != nil {
			return err
		}
	}
	for n := range s.config.Instances {
		p, err := newProxy(listener.Addr().String())
		if err != nil {
			return err
		}
		i := &instance{
			name: fmt.Sprintf("entry-%d", n), ip: fmt.Sprintf("127.%d.0.%d", s.config.Network, n+1), domain: domains[n%len(domains)],
			command: s.config.Command, folder: s.config.Folder, store: p,
		}
		if err := i.start(); err != nil {
			return err
		}
		s.instances = append(s.instances, i)
	}
	return nil
}

var domains = []string{"north", "south"}

// configure writes a new version, with a route of its own.
func (s *Soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + int64(s.random.IntN(3))
	s.since = time.Now()
	route := func(name string, kind redwingstall.RouteKind, service string) redwingstall.Route {
		return redwingstall.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: patience, Target: patience / 2, Priority: 1,
			MaxAttempts: 2, Parts: []redwingstall.RoutePart{{Service: service, Weight: 1}},
		}
	}
	service := func(name string, isSharded bool) redwingstall.ServiceSpec {
		return redwingstall.ServiceSpec{Name: name, HealthPath: "/health", MaxConnections: 200, Warmup: time.Second, WarmupRate: 50, Sharded: isSharded}
	}
	s.store.Configure(redwingstall.Configuration{
		Version: s.version,
		Routes: []redwingstall.Route{
			route("keyed", redwingstall.KindSafe, "keyed"), route("charge", redwingstall.KindUnsafe, "charges"),
			route(fmt.Sprintf("version%d", s.version), redwingstall.KindSafe, "charges"),
		},
		Services: map[string]redwingstall.ServiceSpec{"keyed": service("keyed", true), "charges": service("charges", false)},
		Limits:   callers.LimitsOf(nil),
	})
}

func (s *Soak) newestVersion() (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.since
}

// addServer starts a backend server that registers itself until it is stopped.
func (s *Soak) addServer(service string) error {
	s.mu.Lock()
	s.next++
	id := fmt.Sprintf("%s-%d", service, s.next)
	domain := domains[s.next%len(domains)]
	s.mu.Unlock()
	server, err := platformtest.NewServer(s.ledger, platformtest.Server{
		ID: id, StartedAtMillis: time.Now().UnixMilli(), Service: service, FailureDomain: domain, Sharded: service == "keyed", Slots: 4, Work: 20 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	p, err := newProxy(server.Address())
	if err != nil {
		return err
	}
	b := &backend{Server: server, proxy: p, stop: make(chan struct{})}
	s.store.Register(server, p.address(), false)
	s.mu.Lock()
	s.backends = append(s.backends, b)
	s.mu.Unlock()
	return nil
}

func (s *Soak) client(n int) *client {
	return &client{
		soak: s, instance: s.instances[n%len(s.instances)], number: n, sawVersion: map[int]int64{},
		random: rand.New(rand.NewPCG(s.config.Seed, uint64(n)+10)),
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (s *Soak) count(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
}

// promise notes a request that was answered as not run.
func (s *Soak) promise(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promised = append(s.promised, id)
}

func (s *Soak) checkPromises() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.promised {
		if s.ledger.Runs(id) > 0 {
			s.ledger.Violate("request %s was answered as not run, and ran", id)
		}
	}
}

func (s *Soak) disturbStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAt = time.Now()
}

func (s *Soak) storeCalmFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.storeAt)
}

// settle waits until every instance serves again, and at most as long as the
// platform allows.
func (s *Soak) settle() {
	end := time.Now().Add(recoverWithin)
	for n, i := range s.instances {
		c := s.client(1000 + n)
		c.instance = i
		served := 0
		for try := 0; served < settledServes && time.Now().Before(end); try++ {
			served = 0
			for k := range settledTries {
				if c.ask(context.Background(), fmt.Sprintf("end-%d-%d-%d", n, try, k), http.MethodPost, "/charge/x", noKey) == http.StatusOK {
					served++
				}
			}
		}
		if served < settledServes {
			s.ledger.Violate("%s serves %d of %d requests after the faults", i.name, served, settledTries)
		}
	}
}

// leaveInCalm lets a server leave while nothing is wrong, when the bounds of the
// platform hold in full.
func (s *Soak) leaveInCalm() {
	time.Sleep(drainBound + contact)
	s.drainServer(0, s.random.IntN(1<<20))
}

// An instance has recovered when it serves this many of so many requests.
const settledServes, settledTries = 15, 20

// recoverWithin is the platform's bound.
const recoverWithin = 15 * time.Second

// close ends only what this soak started.
func (s *Soak) close() {
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGTERM)
	}
	for _, i := range s.instances {
		i.wait(grace)
		i.store.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.Crash()
		b.proxy.close()
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Seeds runs several seeds, one after the other, and reports to the log.
func Seeds(config Config, first, count uint64) (failed []uint64, err error) {
	for seed := first; seed < first+count; seed++ {
		one := config
		one.Seed = seed
		one.Folder, err = os.MkdirTemp(config.Folder, fmt.Sprintf("seed%d-", seed))
		if err != nil {
			return failed, err
		}
		violations, err := Run(one)
		if err != nil {
			return failed, err
		}
		if len(violations) > 0 {
			failed = append(failed, seed)
			_, _ = fmt.Fprintf(config.Log, "seed %d FAILED, logs in %s:\n  %s\n", seed, one.Folder, strings.Join(violations[:min(len(violations), 10)], "\n  "))
		}
	}
	return failed, nil
}
