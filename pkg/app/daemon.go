// Package app assembles an entry instance from its components and implements the
// command line of operators.
package app

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/caller"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/control"
	"github.com/redwingstall/redwingstall/pkg/home"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/listen"
	"github.com/redwingstall/redwingstall/pkg/livelist"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/operator"
	"github.com/redwingstall/redwingstall/pkg/peer"
	"github.com/redwingstall/redwingstall/pkg/settings"
	"github.com/redwingstall/redwingstall/pkg/store"
	"github.com/redwingstall/redwingstall/pkg/view"
)

// Daemon is one entry instance.
type Daemon struct {
	common    *common.Common
	control   *control.Coordinator
	pools     *home.Manager
	router    *caller.Router
	journal   *journal.Journal
	callers   *listen.Server
	operators *listen.Server
	peers     *listen.Server
	stopLoops context.CancelFunc
	loops     sync.WaitGroup
	done      chan struct{}
}

// NewCommon returns the dependencies that the components of an instance share. The
// member ID is new with every process.
func NewCommon(s settings.Settings, logs io.Writer) *common.Common {
	return &common.Common{
		Log:      newLogger(s.Log, logs).With("instance", s.Name),
		Metrics:  metrics.NewRegistry(),
		Settings: s,
		Clock:    redwingstall.SystemClock{},
		Self: membership.Member{
			ID:            s.Name + "@" + uuid.NewString()[:8],
			Name:          s.Name,
			FailureDomain: s.FailureDomain,
			Peer:          s.Listen.Peers,
			Callers:       s.Listen.Callers,
		},
	}
}

func newLogger(s settings.Log, logs io.Writer) *slog.Logger {
	level := slog.LevelInfo
	// Parsing cannot fail, because the level was checked when the settings were loaded.
	_ = level.UnmarshalText([]byte(s.Level))
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(logs, options))
	}
	return slog.New(slog.NewTextHandler(logs, options))
}

// softLimitShare is the part of the memory above which the garbage collector runs more often.
const softLimitShare = 0.8

// NewDaemon creates the components of an instance and opens its listeners.
func NewDaemon(c *common.Common) (*Daemon, error) {
	if bytes := c.Settings.Limits.MemoryBytes; bytes > 0 {
		debug.SetMemoryLimit(int64(softLimitShare * float64(bytes)))
	}
	token, err := readToken(c.Settings.Operator.TokenFile)
	if err != nil {
		return nil, err
	}
	peerCertificates, err := listen.NewCertificates(c.Settings.TLS.Peers)
	if err != nil {
		return nil, err
	}
	operatorCertificates, err := listen.NewCertificates(c.Settings.TLS.Operators)
	if err != nil {
		return nil, err
	}
	timing := c.Timing()
	platform := c.Settings.Platform
	storeClient := store.NewClient(platform.Store, platform.StoreTimeout, c.Metrics)
	peers := peer.NewClients(peerCertificates.ClientTLSConfig())
	voter := membership.NewVoter(c.Self.ID, timing)
	candidate := membership.NewCandidate(voter, timing)
	v := view.NewView(voter, c.Settings.Timing.QuietLead, c.Settings.Timing.ClockSkewBound)
	pools := home.NewManager(c, candidate, v)
	requestJournal := newJournal(c, storeClient, voter)
	coordinator := control.NewCoordinator(c, control.Config{
		Store:     storeClient,
		LiveList:  livelist.NewClient(platform.LiveList, platform.StoreTimeout),
		Peers:     peers,
		Voter:     voter,
		Candidate: candidate,
		View:      v,
		Pools:     pools,
	})
	router := caller.NewRouter(c, caller.Config{
		Voter:     voter,
		View:      v,
		Pools:     pools,
		Peers:     peers,
		Journal:   requestJournal,
		Readiness: coordinator,
	})
	api := operator.NewAPI(c, operator.Config{
		Store:   storeClient,
		Control: coordinator,
		View:    v,
		Journal: requestJournal,
		Token:   token,
	})
	d := &Daemon{common: c, control: coordinator, pools: pools, router: router, journal: requestJournal, done: make(chan struct{})}
	if err := d.openListeners(api, peerCertificates, operatorCertificates); err != nil {
		return nil, err
	}
	return d, nil
}

func newJournal(c *common.Common, journalStore redwingstall.Store, voter *membership.Voter) *journal.Journal {
	policy := c.Settings.Policy
	return journal.NewJournal(journal.Config{
		Store: journalStore,
		Clock: c.Clock,
		Self:  c.Self.ID,
		IsAlive: func(id string) bool {
			members, _ := voter.Members()
			return id == c.Self.ID || members.Has(id)
		},
		Retention:        policy.JournalRetention,
		Buckets:          journal.BucketsPerService,
		MaxResponseBytes: policy.JournalMaxAnswerBytes,
		SkewBound:        c.Settings.Timing.ClockSkewBound,
	})
}

// readToken returns the content of a token file without surrounding white space.
func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "operators' token")
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", errors.Newf("operators' token: %s is empty", file)
	}
	return token, nil
}

func (d *Daemon) openListeners(api *operator.API, peerCertificates, operatorCertificates *listen.Certificates) error {
	addresses := d.common.Settings.Listen
	var err error
	d.callers, err = listen.NewServer(d.common, "callers", addresses.Callers, d.router.Handler(), nil)
	if err != nil {
		return err
	}
	d.operators, err = listen.NewServer(d.common, "operators", addresses.Operators, api.Handler(), operatorCertificates.ServerConfig())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(d.control.Responder(), peer.MaxMessageBytes))
	mux.Handle(peer.ForwardPrefix+"/", d.router.ForwardHandler())
	d.peers, err = listen.NewServer(d.common, "peers", addresses.Peers, mux, peerCertificates.ServerConfig())
	return err
}

// Done returns a channel that is closed when [Daemon.Close] has finished.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Start starts the background loops. The listeners are open already.
func (d *Daemon) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopLoops = cancel
	d.loops.Go(func() { d.pools.Run(ctx) })
	d.loops.Go(func() { d.control.Run(ctx) })
	d.loops.Go(func() { d.journal.Run(ctx) })
	d.common.Log.Info("started", "id", d.common.Self.ID, "callers", d.common.Settings.Listen.Callers)
}

// Close shuts the instance down within the shutdown timeout of the settings. It fails
// the health check, leaves the member record, hands the pools over to other instances
// and waits for the requests in flight.
func (d *Daemon) Close() {
	defer close(d.done)
	ctx, cancel := context.WithTimeout(context.Background(), d.common.Settings.Limits.ShutdownTimeout)
	defer cancel()
	stopAt, _ := ctx.Deadline()
	d.router.StopAt(stopAt)
	d.common.Log.Info("leaving", "connectionsClosedAt", stopAt)
	d.leaveMembership(ctx)
	d.callers.Close(ctx)
	d.router.Close(ctx)
	d.peers.Close(ctx)
	d.operators.Close(ctx)
	d.control.LeaveAsLastMember(ctx)
	d.stopLoops()
	d.loops.Wait()
	d.common.Log.Info("ended")
}

// leaveMembership hands the pools over while the listeners still respond. Requests of
// peers that have not learned of the change are rejected as not run; the peers retry
// them at the next home instance. Callers are served until the leave grace has passed,
// so that the balancer has time to see the health check fail.
func (d *Daemon) leaveMembership(ctx context.Context) {
	grace := time.NewTimer(d.common.Settings.Limits.LeaveGrace)
	defer grace.Stop()
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout(d.common.Settings.Timing))
	defer cancel()
	d.control.Leave(leaveCtx)
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
}

// leaveTimeout bounds how long the instance tries to leave, since other members must
// first complete earlier changes of the member record.
func leaveTimeout(timing settings.Timing) time.Duration {
	const grantLifetimes = 5
	return grantLifetimes * timing.GrantLifetime
}

// Serve runs an entry instance until SIGTERM or SIGINT, and then shuts it down. A
// second SIGINT exits without waiting for the shutdown.
func Serve(s settings.Settings, logs io.Writer) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := NewDaemon(NewCommon(s, logs))
	if err != nil {
		return err
	}
	d.Start()
	awaitStopSignal(signals, d.common.Log)
	go func() {
		awaitForcedStop(signals, d.common.Log)
		os.Exit(ExitRefused)
	}()
	d.Close()
	return nil
}

// awaitStopSignal returns after SIGTERM or SIGINT. The settings of a running instance
// cannot change, so that SIGHUP is only logged.
func awaitStopSignal(signals <-chan os.Signal, log *slog.Logger) {
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		log.Warn("SIGHUP ignored, settings are read at start only")
	}
}

// awaitForcedStop returns after SIGINT. Process managers repeat SIGTERM and send SIGHUP
// to a process that is draining, which must not cut its requests.
func awaitForcedStop(signals <-chan os.Signal, log *slog.Logger) {
	for received := range signals {
		if received == syscall.SIGINT {
			log.Warn("SIGINT while shutting down, exiting immediately")
			return
		}
		log.Info("signal ignored while shutting down", "signal", received.String())
	}
}
