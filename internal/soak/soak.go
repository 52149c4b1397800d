// Package soak runs the real program as separate processes on loopback against
// fakes of the platform, injects external faults chosen by a seed, and checks the
// guarantees that clients and backend servers can observe.
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
	// applyBound limits how long an instance takes to apply a configuration.
	applyBound = 2 * time.Second
	// drainBound limits how long a draining server may receive requests.
	drainBound = 2 * time.Second
	// evacuationBound limits how long servers of an evacuated failure domain may receive
	// requests.
	evacuationBound = 5 * time.Second
	// requiredCalm is how long instances and the store must be undisturbed before the
	// limits above apply.
	requiredCalm = 3 * time.Second
	// shutdownGrace limits how long an instance takes to shut down.
	shutdownGrace = 6 * time.Second
	// startupDelay is the time between starting the instances and the first request.
	startupDelay = 4 * time.Second
)

// Config configures a soak run.
type Config struct {
	// Command is the program, followed by arguments that precede those of the
	// gateway command.
	Command  []string
	Seed     uint64
	Duration time.Duration
	// Folder holds the settings files and logs of the processes.
	Folder    string
	Instances int
	Servers   int
	Clients   int
	// RestoresStore includes faults that restore the store from an older copy, at least
	// one in each run.
	RestoresStore bool
	// Network is the second byte of the instances' loopback addresses.
	Network int
	Log     io.Writer
}

// Soak is one soak run.
type Soak struct {
	config    Config
	random    *rand.Rand
	store     *platformtest.Store
	ledger    *platformtest.Ledger
	listener  net.Listener
	instances []*instance
	// evacuation is held while a failure domain is evacuated.
	evacuation sync.Mutex

	mu               sync.Mutex
	backends         []*backend
	version          int64
	versionWrittenAt time.Time
	// keys are the API keys of all versions so far.
	keys             []*apiKey
	storeDisturbedAt time.Time
	// backups are copies of the store, the oldest first.
	backups []platformtest.Backup
	// pendingRewrites counts the restores after which the operator has not written again.
	pendingRewrites int
	statuses        map[int]int
	rejectedIDs     []string
	serversStarted  int
	// deadlyEnds counts the servers that ended under a request, by its path.
	deadlyEnds map[string]int
}

// backend is a backend server behind a fault-injecting proxy.
type backend struct {
	*platformtest.Server
	proxy *proxy
	stop  chan struct{}
}

// featureSeeds is the interval of the seeds whose instances use the optional features. The
// regression seeds are others.
const featureSeeds = 5

// Run runs one seed and returns the violations.
func Run(config Config) ([]string, error) {
	s := newSoak(config)
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.makeBackups(ctx)
	time.Sleep(startupDelay)
	var clients sync.WaitGroup
	for n := range config.Clients {
		c := s.client(n)
		clients.Go(func() { c.run(ctx) })
	}
	for n := range s.instances {
		clients.Go(func() { s.sendBookings(ctx, n) })
	}
	var faults sync.WaitGroup
	faults.Go(func() { s.makeDemands(config.Duration) })
	faults.Go(func() { s.disturbOrders(config.Duration) })
	faults.Go(func() { s.writeOddEntries(config.Duration) })
	faults.Go(func() { s.sendDeadlyRequests(config.Duration) })
	faults.Go(func() { s.disturbRequests(config.Duration) })
	if config.RestoresStore {
		restore, delay := s.drawFault(namedFault{"restoreStore", s.restoreStore}), s.random.Int64N(int64(config.Duration))
		faults.Go(func() {
			time.Sleep(time.Duration(delay))
			restore()
		})
	}
	for end := time.Now().Add(config.Duration); time.Now().Before(end); {
		faults.Go(s.pickFault())
		time.Sleep(time.Duration(200+s.random.IntN(900)) * time.Millisecond)
	}
	faults.Wait()
	s.waitForRecovery()
	s.drainWithoutFaults()
	cancel()
	clients.Wait()
	s.checkRejectedNotRun()
	s.printf("seed %d: %d requests ran, responses by status %v", config.Seed, s.ledger.ExecutedRequestCount(), s.statuses)
	return s.ledger.Violations(), nil
}

func newSoak(config Config) *Soak {
	return &Soak{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)),
		store: platformtest.NewStore(), ledger: platformtest.NewLedger(), statuses: map[int]int{}, deadlyEnds: map[string]int{},
	}
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
	s.configure(0)
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
			command: s.config.Command, folder: s.config.Folder, store: p, usesFeatures: s.config.Seed%featureSeeds == 1,
			reportEnd: func() { s.ledger.RecordViolation("entry-%d has ended by itself", n) },
		}
		if err := i.start(); err != nil {
			return err
		}
		s.instances = append(s.instances, i)
	}
	return nil
}

var domains = []string{"north", "south"}

// configure writes a new configuration version, with a route named for the version. The
// draw chooses the step to the new version.
func (s *Soak) configure(draw int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + int64(draw%3)
	s.versionWrittenAt = time.Now()
	accounts := s.nextAccounts(s.version)
	route := func(name string, kind redwingstall.RouteKind, service string) redwingstall.Route {
		return redwingstall.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: clientTimeout, Target: clientTimeout / 2, Priority: 1,
			MaxAttempts: 2, Parts: []redwingstall.WeightedService{{Service: service, Weight: 1}}, AllowsAnonymous: isAnonymous("/" + name),
		}
	}
	service := func(name string, isSharded bool) redwingstall.ServiceSpec {
		return redwingstall.ServiceSpec{Name: name, HealthPath: "/health", MaxConnections: 200, Warmup: time.Second, WarmupRate: 50, Sharded: isSharded}
	}
	s.store.Configure(redwingstall.Configuration{
		Version: s.version,
		Routes: []redwingstall.Route{
			route("keyed", redwingstall.KindSafe, "keyed"), route("charge", redwingstall.KindUnsafe, "charges"),
			route("book", redwingstall.KindUnsafe, "keyed"),
			route(fmt.Sprintf("version%d", s.version), redwingstall.KindSafe, "charges"),
		},
		Services: map[string]redwingstall.ServiceSpec{"keyed": service("keyed", true), "charges": service("charges", false)},
		Limits:   callers.LimitsWithDefaults(nil),
		Accounts: accounts,
	})
	s.acknowledgeKeys(time.Now())
}

func (s *Soak) newestVersion() (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.versionWrittenAt
}

// addServer starts a backend server behind a proxy and registers it in service
// discovery.
func (s *Soak) addServer(service string) error {
	s.mu.Lock()
	s.serversStarted++
	id := fmt.Sprintf("%s-%d", service, s.serversStarted)
	domain := domains[s.serversStarted%len(domains)]
	s.mu.Unlock()
	server, err := platformtest.NewServer(s.ledger, platformtest.Server{
		ID: id, StartedAtMillis: time.Now().UnixMilli(), Service: service, FailureDomain: domain, Sharded: service == "keyed", Slots: 4, Work: 20 * time.Millisecond,
		EndsUnder: isDeadly, End: s.endServer,
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
		soak: s, instance: s.instances[n%len(s.instances)], number: n, servedVersions: map[int]int64{}, leavingSeen: map[leavingKey]time.Time{},
		random: rand.New(rand.NewPCG(s.config.Seed, uint64(n)+10)),
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (s *Soak) count(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
}

// recordRejected records the ID of a request that was answered with 503 or 429, which
// guarantees that no server runs it.
func (s *Soak) recordRejected(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedIDs = append(s.rejectedIDs, id)
}

// checkRejectedNotRun checks that no server ran a request that was answered with
// 503 or 429.
func (s *Soak) checkRejectedNotRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.rejectedIDs {
		if s.ledger.RunCount(id) > 0 {
			s.ledger.RecordViolation("request %s was answered with 503 or 429, but a server ran it", id)
		}
	}
}

func (s *Soak) markStoreDisturbed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDisturbedAt = time.Now()
}

func (s *Soak) storeUndisturbedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.storeDisturbedAt)
}

// waitForRecovery waits until every instance serves requests again, for at most
// recoveryTimeout. An instance that does not recover in time is a violation.
func (s *Soak) waitForRecovery() {
	end := time.Now().Add(recoveryTimeout)
	var instances sync.WaitGroup
	for n, i := range s.instances {
		c := s.client(1000 + n)
		c.instance = i
		instances.Go(func() { c.awaitRecovery(n, end) })
	}
	instances.Wait()
}

// awaitRecovery sends requests until the instance serves them, and records a violation if
// it does not do so until the end.
func (c *client) awaitRecovery(n int, end time.Time) {
	served := 0
	for try := 0; served < recoveredSuccesses && time.Now().Before(end); try++ {
		served = 0
		for k := range recoveryRequests {
			if c.sendRequest(context.Background(), fmt.Sprintf("end-%d-%d-%d", n, try, k), http.MethodPost, "/charge/x", noKey) == http.StatusOK {
				served++
			}
		}
	}
	if served < recoveredSuccesses {
		c.soak.ledger.RecordViolation("%s served %d of %d requests after the faults ended", c.instance.name, served, recoveryRequests)
	}
}

// drainWithoutFaults drains a server while there are no faults, when the platform's
// limits apply in full.
func (s *Soak) drainWithoutFaults() {
	time.Sleep(drainBound + requiredCalm)
	s.drainServer(0, s.random.IntN(1<<20))
}

// An instance has recovered once it serves recoveredSuccesses of recoveryRequests
// requests.
const recoveredSuccesses, recoveryRequests = 15, 20

// recoveryTimeout is the platform's limit for recovery after the last fault.
const recoveryTimeout = 15 * time.Second

// close stops the processes and servers that this run started.
func (s *Soak) close() {
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGTERM)
	}
	for _, i := range s.instances {
		i.wait(shutdownGrace)
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

// RunSeeds runs count seeds from first on, one after the other. It logs the violations
// and returns the failed seeds.
func RunSeeds(config Config, first, count uint64) (failed []uint64, err error) {
	for seed := first; seed < first+count; seed++ {
		seedConfig := config
		seedConfig.Seed = seed
		seedConfig.Folder, err = os.MkdirTemp(config.Folder, fmt.Sprintf("seed%d-", seed))
		if err != nil {
			return failed, err
		}
		violations, err := Run(seedConfig)
		if err != nil {
			return failed, err
		}
		if len(violations) > 0 {
			failed = append(failed, seed)
			_, _ = fmt.Fprintf(config.Log, "seed %d FAILED, logs in %s:\n  %s\n", seed, seedConfig.Folder, strings.Join(violations[:min(len(violations), 10)], "\n  "))
		}
	}
	return failed, nil
}
