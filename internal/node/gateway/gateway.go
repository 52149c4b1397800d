// Package gateway assembles the components of one instance on a platform.
package gateway

import (
	"context"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/entry/callers"
	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/entry/sockets"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/peers"
	"github.com/redwingstall/redwingstall/internal/fleet/presence"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/boottime"
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/node/settings"
	"github.com/redwingstall/redwingstall/internal/observe/metrics"
	"github.com/redwingstall/redwingstall/internal/ownership/leader"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/budget"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
	"github.com/redwingstall/redwingstall/internal/traffic/quota"
	"github.com/redwingstall/redwingstall/internal/traffic/serverlimit"
)

// Platform holds the platform-specific adapters of an instance.
type Platform struct {
	Store       redwingstall.MetadataStore
	Decoder     redwingstall.Decoder
	OwnerClient redwingstall.KeyOwner
	Protocol    redwingstall.GatewayProtocol
	// ReadyPath is the path of the load balancer's readiness checks.
	ReadyPath string
}

const (
	// requestShare and responseShare are the parts of the memory for the requests and the
	// responses that the instance holds, as divisors. The rest of the process and what the
	// garbage collector has not freed yet need the other half.
	requestShare  = 4
	responseShare = 4
	// connectionMemory is what an open connection of a client takes, in bytes, without what the
	// garbage collector has not freed yet.
	connectionMemory = 16 << 10
	// softLimitShare is the part of the memory above which the garbage collector runs more often.
	softLimitShare = 0.8
)

// MetricsPort is the TCP port that serves metrics and explanations to operators.
const MetricsPort = "9464"

// Gateway is one instance.
type Gateway struct {
	node         settings.Node
	log          *slog.Logger
	metrics      *metrics.Registry
	view         *view.View
	estimator    *placement.Estimator
	limiter      *serverlimit.Limiter
	pool         *backends.Pool
	follower     *follow.Follower
	presence     *presence.Lease
	leader       *leader.Leader
	exchange     *peers.Exchange
	quarantine   *quarantine.Table
	quotas       *quota.Limiter
	callers      *callers.Server
	adminServers []*http.Server
	// resolved are the features by the configuration that was last in use: each request asks
	// for them, and to resolve them takes all routes.
	resolved       atomic.Pointer[resolvedFeatures]
	background     sync.WaitGroup
	isShuttingDown atomic.Bool
	// stopAt is when a shutdown cancels the remaining requests.
	stopAt atomic.Pointer[time.Time]
	done   chan struct{}
}

// NewGateway creates the components and opens all listeners; Run starts serving.
func NewGateway(node settings.Node, platform Platform, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{
		node:       node,
		log:        log,
		metrics:    metrics.NewRegistry(),
		view:       view.NewView(log, node.Bounds.DiscoveryRecovery),
		estimator:  &placement.Estimator{},
		quarantine: &quarantine.Table{Self: node.Name, Random: rand.Float64},
		done:       make(chan struct{}),
	}
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softLimitShare * float64(node.MemoryBytes)))
	}
	g.pool = backends.NewPool(platform.Protocol, node.MemoryBytes/responseShare, g.metrics.Count)
	g.pool.LimitConnections(maxServerConnections(node))
	var err error
	g.exchange, err = peers.NewExchange(node, g.view, g.estimator, g.metrics, g.metrics.Add, log)
	if err != nil {
		return nil, err
	}
	g.limiter = &serverlimit.Limiter{
		Self: node.Name, Table: &serverlimit.Table{}, Instances: g.instances, Transport: g.exchange, Count: g.metrics.Count, Log: log,
	}
	g.exchange.ShareLimits(g.limiter)
	g.exchange.ShareQuarantine(g.quarantine)
	g.quotas = &quota.Limiter{
		Process: rand.Uint64(), Count: g.metrics.Count, Log: log,
		Bounds: quota.Bounds{Window: node.Bounds.QuotaWindow, Overrun: node.Bounds.QuotaOverrun, Slack: node.Bounds.QuotaSlack},
	}
	g.exchange.ShareQuotas(g.quotas)
	g.exchange.ShareDemand(func() bool { return g.features().Admission })
	record, err := view.PeerRecord(g.exchange.Self())
	if err != nil {
		return nil, err
	}
	g.follower = follow.NewFollower(node.Name, platform.Store, platform.Decoder, g.view, g.exchange, log)
	g.exchange.ServeRepairs(g.follower.ChangesSince)
	g.presence = presence.NewLease(presence.Config{
		Store: platform.Store, Record: func(redwingstall.Era) redwingstall.Item { return record },
		TTL: presenceTTL, RenewalInterval: presenceRenewalInterval, Clock: boottime.Now, Log: log,
	})
	g.leader = leader.NewLeader(leader.Config{
		Name: node.Name, Store: platform.Store, OwnerClient: platform.OwnerClient, View: g.view,
		IsFirstStart: node.IsFirstStart, Load: capacityEstimator{g}, Clock: boottime.Now, MaxGrantTTL: node.Bounds.MaxGrantTTL, Log: log,
		Features:        g.features,
		ObserveResponse: g.observeOrderResponse,
		ObserveOwnerGap: func(gap time.Duration) { g.metrics.RecordLatency("keysWithoutOwner", gap) },
	})
	dispatcher := g.newDispatcher(platform)
	g.callers, err = callers.Listen(node.FrontAddress, callers.Config{
		Handler:          dispatcher,
		Limits:           func() redwingstall.CallerLimits { return callers.LimitsWithDefaults(g.view.Snapshot().Config) },
		Count:            g.metrics.Count,
		Log:              log,
		MaxBuffered:      node.MemoryBytes / requestShare,
		ConnectionMemory: connectionMemory,
		MaxConnections:   maxClients(node),
		IsShortOfMemory:  g.pool.IsShortOfMemory,
	})
	if err != nil {
		return nil, err
	}
	return g, g.openAdmin(platform.ReadyPath, newExplainer(dispatcher))
}

// observeOrderResponse records what a server says in the response to an order. One without a
// limit does not end a limit, since it may be no response at all.
func (g *Gateway) observeOrderResponse(server shardmap.Server, meta redwingstall.ResponseMeta, sentAt time.Time) {
	now := time.Now()
	if meta.IsLeaving && g.view.MarkLeaving(now, server) {
		g.log.Info("backend server announces that it leaves", "server", server.ID, "source", "order")
	}
	if !meta.Limit.IsNamed {
		return
	}
	if known, hasChanged := g.limiter.Table.Observe(server, meta.Limit, sentAt, now); hasChanged {
		g.log.Info("limit of backend server", "server", server.ID, "perSecond", known.Rate, "source", "order")
	}
}

// features returns the optional features that the current configuration calls for.
func (g *Gateway) features() features.Set {
	config := g.view.Snapshot().Config
	r := g.resolved.Load()
	if r == nil || r.config != config {
		r = &resolvedFeatures{config, features.Resolve(g.node.Features, config)}
		g.resolved.Store(r)
	}
	return r.set
}

// resolvedFeatures are the features that a configuration calls for.
type resolvedFeatures struct {
	config *redwingstall.Configuration
	set    features.Set
}

// instances returns the instances that may coordinate the limits of servers: those that stay,
// or all if none does.
func (g *Gateway) instances() serverlimit.Instances {
	s := g.view.Snapshot()
	if len(s.StayingPeers) == 0 {
		return serverlimit.Instances{Names: s.PeerNames, Version: s.PeersVersion}
	}
	return serverlimit.Instances{Names: s.StayingPeers, Version: s.PeersVersion}
}

func (g *Gateway) newDispatcher(platform Platform) *dispatch.Dispatcher {
	bounds := g.node.Bounds
	return dispatch.NewDispatcher(dispatch.Config{
		InstanceName:  g.node.Name,
		FailureDomain: g.node.FailureDomain,
		View:          g.view,
		Backends:      g.pool,
		Protocol:      platform.Protocol,
		Estimator:     g.estimator,
		Budget:        budget.NewBudget(bounds.RetryRatio, bounds.RetryExtra, bounds.RetryWindow),
		WarmupLimiter: &pace.Limiter{},
		ServerLimiter: g.limiter,
		Quarantine:    g.quarantine,
		KeyCounter:    g.metrics,
		Counter:       g.metrics,
		Log:           g.log,
		WarmupOverrun: bounds.WarmupOverrun,
		WarmupSlack:   bounds.WarmupSlack,
		// The other half is the time for the notice of the drain or evacuation to arrive.
		DrainTimeout:    bounds.DrainTimeout / 2,
		EvacuateTimeout: bounds.EvacuationTimeout / 2,
		StopAt:          g.stopTime,
		Features:        g.features,
		Accounts:        accounts.Policy{StrictRevocation: bounds.StrictRevocation, RevocationTimeout: bounds.RevocationTimeout},
		Clock:           boottime.Now,
		Quota:           g.quotas,
		Random:          rand.Float64,
	})
}

// capacityEstimator estimates the load and capacity of servers for the leader.
type capacityEstimator struct{ *Gateway }

// KeyRates returns the rate of each key in requests per second.
func (c capacityEstimator) KeyRates(service string) []float32 {
	if c.features().EvenLoad {
		return c.metrics.VolatileKeyRates(service)
	}
	return c.metrics.KeyRates(service)
}

// Capacity returns the requests per second that a server can handle, from its slots
// and its measured speed.
func (c capacityEstimator) Capacity(server *view.Server) float64 {
	work := c.estimator.ServiceExecutionTime(server.Service)
	factor := c.estimator.LatencyFactor(time.Now(), server.ID)
	capacity := float64(server.Slots) / (work.Seconds() * min(max(factor, minLatencyFactor), maxLatencyFactor))
	if limit := c.limiter.Table.Find(server.Process()); limit.IsActive() {
		return min(capacity, limit.Rate)
	}
	return capacity
}

// Bounds of the latency factor in capacity estimates. Short slowdowns beyond them end
// before keys could be moved.
const minLatencyFactor, maxLatencyFactor = 0.5, 3.0

// openAdmin serves readiness, metrics and explanations.
func (g *Gateway) openAdmin(readyPath string, explanations http.Handler) error {
	mux := http.NewServeMux()
	mux.HandleFunc(readyPath, g.serveReadiness)
	if err := g.listen(g.node.ReadyAddress, mux); err != nil {
		return err
	}
	operators := http.NewServeMux()
	operators.Handle("/", g.metrics)
	operators.Handle(WherePath, explanations)
	return g.listen(net.JoinHostPort(g.node.IP, MetricsPort), operators)
}

// presenceTTL is how long a crashed instance is still counted when budgets are divided
// among the instances. Until then, the others have smaller shares.
const presenceTTL = 8 * time.Second

// presenceRenewalInterval leaves time for three lost renewals within presenceTTL.
const presenceRenewalInterval = 2 * time.Second

const (
	adminHeaderTimeout = 2 * time.Second
	// adminTimeout bounds the time of one request of an operator or a load balancer, and
	// adminIdleTimeout that between two.
	adminTimeout     = 10 * time.Second
	adminIdleTimeout = time.Minute
	// maxAdminHeaderBytes bounds the header of such a request, less 4 KB that net/http adds.
	maxAdminHeaderBytes = 4 << 10
)

func (g *Gateway) listen(address string, handler http.Handler) error {
	listener, err := sockets.Listen(address)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	listener = eviction.NewListener(listener, eviction.NewTable(adminConnections), func(name string) { g.metrics.Count("admin." + name) })
	server := &http.Server{
		Handler: eviction.Track(handler), ConnContext: eviction.SaveConnection, ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: maxAdminHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0), // about clients, without a bound of their rate
	}
	g.adminServers = append(g.adminServers, server)
	g.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("admin HTTP server failed", "address", address, "error", err.Error())
		}
	})
	return nil
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.isShuttingDown.Load() || !g.view.IsComplete() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Done returns a channel that is closed when Run returns.
func (g *Gateway) Done() <-chan struct{} { return g.done }

const (
	expiryInterval = time.Second
	// deregistrationDelay lets the load balancer detect that the instance is not ready: it
	// checks once a second and removes the instance after two failed checks.
	deregistrationDelay = 2600 * time.Millisecond
)

// requestGrace returns how long after the start of a shutdown the requests in progress may
// run: into the last sixth of the grace time, in which the platform accepts that they are
// ended. The rest is for answering those and for revoking leases.
func requestGrace(shutdownGrace time.Duration) time.Duration { return shutdownGrace * 17 / 20 }

// Run serves until the context ends, then finishes the requests in progress.
func (g *Gateway) Run(ctx context.Context) {
	defer close(g.done)
	componentCtx, stop := context.WithCancel(context.Background())
	defer stop()
	leaderCtx, resign := context.WithCancel(componentCtx)
	defer resign()
	g.background.Go(func() { g.follower.Run(componentCtx, g.presence.Acquired()) })
	g.background.Go(func() { g.presence.Run(componentCtx) })
	g.background.Go(func() { g.view.WatchEra(componentCtx, g.registerAgain) })
	g.background.Go(func() { g.leader.Run(leaderCtx) })
	g.background.Go(func() { g.exchange.Run(componentCtx) })
	g.background.Go(func() { g.runSweeper(componentCtx) })
	g.background.Go(func() { g.configureQuotas(componentCtx) })
	g.background.Go(g.callers.Run)
	g.log.Info("started", "front", g.node.FrontAddress, "failureDomain", g.node.FailureDomain)
	<-ctx.Done()
	g.shutDown(resign)
	stop()
	g.background.Wait()
	g.log.Info("stopped", "counters", g.metrics.Counters())
}

// registerAgain renews the lease of the instance's record, which a store that was recovered
// from an older copy may not have.
func (g *Gateway) registerAgain(ctx context.Context, era redwingstall.Era) {
	delay := registrationDelay(len(g.view.Snapshot().Peers), rand.Float64)
	g.log.Info("registering again", "era", era, "delay", delay.String())
	select {
	case <-time.After(delay):
		g.presence.RenewNow()
	case <-ctx.Done():
	}
}

// registrationDelayPerPeer spreads the registrations of a fleet, of three calls each, below
// the store's limit of calls.
const registrationDelayPerPeer = 2 * time.Millisecond

// registrationDelay returns the delay before an instance registers again, at the same time
// as the others.
func registrationDelay(peers int, random func() float64) time.Duration {
	return time.Duration(random() * float64(peers) * float64(registrationDelayPerPeer))
}

// stopTime returns when the remaining requests are canceled, or the zero time.
func (g *Gateway) stopTime() time.Time {
	if at := g.stopAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// shutDown stops accepting clients, and completes the requests of those connected.
func (g *Gateway) shutDown(resign context.CancelFunc) {
	stopAt := time.Now().Add(requestGrace(g.node.Bounds.ShutdownGrace))
	g.stopAt.Store(&stopAt)
	g.log.Info("leaving", "requestsCanceledAt", stopAt)
	g.isShuttingDown.Store(true)
	g.callers.Drain()
	resign()
	g.background.Go(g.announceLeaving)
	time.Sleep(deregistrationDelay)
	ctx, cancel := context.WithDeadline(context.Background(), stopAt)
	defer cancel()
	g.callers.Close(ctx)
	for _, server := range g.adminServers {
		_ = server.Close() // no requests are left to complete
	}
}

// announceLeaving lets instances with an equal link take over the tasks that send to all
// others, which would delay the last responses on a slow link.
func (g *Gateway) announceLeaving() {
	self := g.exchange.Self()
	self.IsLeaving = true
	record, err := view.PeerRecord(self)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), deregistrationDelay)
		defer cancel()
		err = g.presence.Announce(ctx, record.Value)
	}
	if err != nil {
		g.log.Warn("cannot announce that the instance leaves", "error", err.Error())
	}
}

// configureQuotas keeps the limits of client accounts those of the current configuration.
func (g *Gateway) configureQuotas(ctx context.Context) {
	var configured *redwingstall.Configuration
	for {
		s := g.view.Snapshot()
		if s.Config != nil && s.Config != configured {
			configured = s.Config
			g.quotas.Configure(time.Now(), s.Config.Accounts)
		}
		select {
		case <-s.Changed:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) runSweeper(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	clients := &clientReport{}
	for {
		select {
		case now := <-ticker.C:
			g.reportClients(now, clients)
			g.pool.CloseExpired()
			s := g.view.Snapshot()
			isListed := func(id string) bool { return s.ByID[id] != nil }
			g.estimator.RemoveUnlisted(isListed)
			g.limiter.RemoveUnlisted(isListed)
		case <-ctx.Done():
			return
		}
	}
}
