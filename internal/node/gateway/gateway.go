// Package gateway wires one instance on a platform together.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/entry/callers"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
	"github.com/redwingstall/redwingstall/internal/fleet/peers"
	"github.com/redwingstall/redwingstall/internal/fleet/presence"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/node/boottime"
	"github.com/redwingstall/redwingstall/internal/node/settings"
	"github.com/redwingstall/redwingstall/internal/observe/metrics"
	"github.com/redwingstall/redwingstall/internal/ownership/leader"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
	"github.com/redwingstall/redwingstall/internal/traffic/budget"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
	"github.com/redwingstall/redwingstall/internal/traffic/pace"
)

// Platform is what an instance is connected to the outside with.
type Platform struct {
	Store    redwingstall.MetadataStore
	Decoder  redwingstall.Decoder
	Orders   redwingstall.KeyOwner
	Protocol redwingstall.GatewayProtocol
	// ReadyPath is where the balancer asks.
	ReadyPath string
}

// MetricsPort is the port of the metrics address.
const MetricsPort = "9464"

// Gateway is one instance.
type Gateway struct {
	node      settings.Node
	log       *slog.Logger
	metrics   *metrics.Registry
	view      *view.View
	estimator *placement.Estimator
	pool      *backends.Pool
	follower  *follow.Follower
	presence  *presence.Lease
	leader    *leader.Leader
	exchange  *peers.Exchange
	callers   *callers.Server
	admin     []*http.Server
	running   sync.WaitGroup
	isLeaving atomic.Bool
	done      chan struct{}
}

// NewGateway opens all listeners.
func NewGateway(node settings.Node, platform Platform, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{
		node:      node,
		log:       log,
		metrics:   metrics.NewRegistry(),
		view:      view.NewView(log, node.Bounds.DiscoveryReturn),
		estimator: &placement.Estimator{},
		done:      make(chan struct{}),
	}
	g.pool = backends.NewPool(platform.Protocol, g.metrics.Count)
	var err error
	g.exchange, err = peers.NewExchange(node, g.view, g.estimator, g.metrics, g.metrics.Add, log)
	if err != nil {
		return nil, err
	}
	record, err := view.PeerRecord(g.exchange.Self())
	if err != nil {
		return nil, err
	}
	g.follower = follow.NewFollower(node.Name, platform.Store, platform.Decoder, g.view, g.exchange, log)
	g.presence = presence.NewLease(platform.Store, record, false, presenceLease, boottime.Now, log)
	g.leader = leader.NewLeader(leader.Parts{
		Name: node.Name, Store: platform.Store, OwnerClient: platform.Orders, View: g.view,
		Load: capacities{g}, Clock: boottime.Now, MaxGrantTTL: node.Bounds.HoldMax, Log: log,
	})
	g.callers, err = callers.NewServer(node.Front, callers.Config{
		Handler: g.newDispatcher(platform),
		Limits:  func() redwingstall.CallerLimits { return callers.LimitsOf(g.view.Snapshot().Config) },
		Count:   g.metrics.Count,
		Log:     log,
		// Answers and the rest of the process need the other three quarters.
		MaxBuffered: node.MemoryBytes / 4,
	})
	if err != nil {
		return nil, err
	}
	return g, g.openAdmin(platform.ReadyPath)
}

func (g *Gateway) newDispatcher(platform Platform) *dispatch.Dispatcher {
	bounds := g.node.Bounds
	return dispatch.NewDispatcher(dispatch.Parts{
		Self:          g.node.Name,
		FailureDomain: g.node.FailureDomain,
		View:          g.view,
		Backends:      g.pool,
		Protocol:      platform.Protocol,
		Estimator:     g.estimator,
		Budget:        budget.NewBudget(bounds.RetryRatio, bounds.RetryExtra, bounds.RetryWindow),
		Pace:          &pace.Limiter{},
		Keys:          g.metrics,
		Counter:       g.metrics,
		Log:           g.log,
		WarmupOverrun: bounds.WarmupOverrun,
		WarmupSlack:   bounds.WarmupSlack,
		// The other half is left for the news of the leaving to arrive.
		DrainLimit:    bounds.Drain / 2,
		EvacuateLimit: bounds.Evacuate / 2,
		Random:        rand.Float64,
	})
}

// capacities tells the leader what servers bear.
type capacities struct{ *Gateway }

// KeyRates are in requests a second.
func (c capacities) KeyRates(service string) []float32 { return c.metrics.KeyRates(service) }

// Capacity of a server from its slots and learned speed.
func (c capacities) Capacity(server *view.Server) float64 {
	work := c.estimator.ServiceExecutionTime(server.Service)
	factor := c.estimator.LatencyFactor(time.Now(), server.ID)
	return float64(server.Slots) / (work.Seconds() * min(max(factor, leastFactor), mostFactor))
}

// Bounds of a server's speed as far as ownership follows it: moments in which
// it is slower still pass before keys have moved.
const leastFactor, mostFactor = 0.5, 3.0

// openAdmin serves readiness and metrics.
func (g *Gateway) openAdmin(readyPath string) error {
	mux := http.NewServeMux()
	mux.HandleFunc(readyPath, g.ready)
	if err := g.listen(g.node.Ready, mux); err != nil {
		return err
	}
	return g.listen(net.JoinHostPort(g.node.IP, MetricsPort), g.metrics)
}

// presenceLease is how long an instance that has died counts as one of those
// that share budgets; the shares of the others are smaller meanwhile.
const presenceLease = 8 * time.Second

const adminHeaderTimeout = 2 * time.Second

func (g *Gateway) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminHeaderTimeout}
	g.admin = append(g.admin, server)
	g.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener ended", "address", address, "error", err.Error())
		}
	})
	return nil
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.isLeaving.Load() || !g.view.IsComplete() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Done is closed when Run has ended.
func (g *Gateway) Done() <-chan struct{} { return g.done }

const (
	sweepEvery = time.Second
	// leaveFor lets the balancer see the instance as not ready: it asks once a
	// second and takes it out after two misses.
	leaveFor = 2600 * time.Millisecond
	// closeMargin before the platform kills the process; leases are given up in it.
	closeMargin = 1300 * time.Millisecond
)

// Run serves until the context ends, then finishes what is under way.
func (g *Gateway) Run(ctx context.Context) {
	defer close(g.done)
	parts, stop := context.WithCancel(context.Background())
	defer stop()
	leading, resign := context.WithCancel(parts)
	defer resign()
	g.running.Go(func() { g.follower.Run(parts) })
	g.running.Go(func() { g.presence.Run(parts) })
	g.running.Go(func() { g.leader.Run(leading) })
	g.running.Go(func() { g.exchange.Run(parts) })
	g.running.Go(func() { g.sweep(parts) })
	g.running.Go(g.callers.Run)
	g.log.Info("started", "front", g.node.Front, "failureDomain", g.node.FailureDomain)
	<-ctx.Done()
	g.leave(resign)
	stop()
	g.running.Wait()
	g.log.Info("stopped", "counters", g.metrics.Counters())
}

// leave takes no new clients, and answers those that are there.
func (g *Gateway) leave(resign context.CancelFunc) {
	began := time.Now()
	g.log.Info("leaving")
	g.isLeaving.Store(true)
	g.callers.Leave()
	resign()
	time.Sleep(leaveFor)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.node.Bounds.Grace-closeMargin))
	defer cancel()
	g.callers.Close(ctx)
	for _, server := range g.admin {
		_ = server.Close() // there is nothing to answer any more
	}
}

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.pool.Sweep()
			s := g.view.Snapshot()
			g.estimator.RemoveUnlisted(func(id string) bool { return s.ByID[id] != nil })
		case <-ctx.Done():
			return
		}
	}
}
