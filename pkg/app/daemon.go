// Package app wires an entry instance and the operators' commands together.
package app

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
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
	common  *common.Common
	control *control.Coordinator
	homes   *home.Manager
	router  *caller.Router
	journal *journal.Journal
	callers *listen.Server
	admin   *listen.Server
	peers   *listen.Server
	stop    context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}
}

// NewCommon returns what the parts of an instance are made with.
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
	// The settings were checked, so the level is one that slog knows.
	_ = level.UnmarshalText([]byte(s.Level))
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(logs, options))
	}
	return slog.New(slog.NewTextHandler(logs, options))
}

// NewDaemon wires the parts and opens the listeners.
func NewDaemon(c *common.Common) (*Daemon, error) {
	token, err := readToken(c.Settings.Operator.TokenFile)
	if err != nil {
		return nil, err
	}
	peerCertificates, err := listen.NewCertificates(c.Settings.TLS.Peers)
	if err != nil {
		return nil, err
	}
	adminCertificates, err := listen.NewCertificates(c.Settings.TLS.Operators)
	if err != nil {
		return nil, err
	}
	timing := c.Timing()
	platform := c.Settings.Platform
	storeClient := store.NewClient(platform.Store, platform.StoreTimeout, c.Metrics)
	clients := peer.NewClients(peerCertificates.ClientConfig())
	voter := membership.NewVoter(c.Self.ID, timing)
	candidate := membership.NewCandidate(voter, timing)
	v := view.NewView(voter, c.Settings.Timing.QuietLead, c.Settings.Timing.ClockSkewBound)
	homes := home.NewManager(c, candidate, v)
	keeper := newJournal(c, storeClient, voter)
	coordination := control.NewCoordinator(c, control.Config{
		Store:     storeClient,
		LiveList:  livelist.NewClient(platform.LiveList, platform.StoreTimeout),
		Peers:     clients,
		Voter:     voter,
		Candidate: candidate,
		View:      v,
		Pools:     homes,
	})
	router := caller.NewRouter(c, caller.Config{
		Voter:     voter,
		View:      v,
		Pools:     homes,
		Peers:     clients,
		Journal:   keeper,
		Readiness: coordination,
	})
	api := operator.NewAPI(c, operator.Config{
		Store:   storeClient,
		Control: coordination,
		View:    v,
		Journal: keeper,
		Token:   token,
	})
	d := &Daemon{common: c, control: coordination, homes: homes, router: router, journal: keeper, done: make(chan struct{})}
	if err := d.open(api, peerCertificates, adminCertificates); err != nil {
		return nil, err
	}
	return d, nil
}

func newJournal(c *common.Common, keeper redwingstall.Store, voter *membership.Voter) *journal.Journal {
	policy := c.Settings.Policy
	return journal.NewJournal(journal.Config{
		Store: keeper,
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

const maxPeerMessageBytes = 32 << 20

func (d *Daemon) open(api *operator.API, peerCertificates, adminCertificates *listen.Certificates) error {
	addresses := d.common.Settings.Listen
	var err error
	d.callers, err = listen.NewServer(d.common, "callers", addresses.Callers, d.router.Handler(), nil)
	if err != nil {
		return err
	}
	d.admin, err = listen.NewServer(d.common, "operators", addresses.Operators, api.Handler(), adminCertificates.ServerConfig())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(d.control.Responder(), maxPeerMessageBytes))
	mux.Handle(peer.ForwardPrefix+"/", d.router.ForwardHandler())
	d.peers, err = listen.NewServer(d.common, "peers", addresses.Peers, mux, peerCertificates.ServerConfig())
	return err
}

// Done is closed when Close has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Start makes the parts act.
func (d *Daemon) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	d.running.Go(func() { d.homes.Run(ctx) })
	d.running.Go(func() { d.control.Run(ctx) })
	d.running.Go(func() { d.journal.Run(ctx) })
	d.common.Log.Info("started", "id", d.common.Self.ID, "callers", d.common.Settings.Listen.Callers)
}

// Close leaves: the balancer and the peers are told, pools are handed over, and
// everything under way finishes, within the settings' bound.
func (d *Daemon) Close() {
	defer close(d.done)
	ctx, cancel := context.WithTimeout(context.Background(), d.common.Settings.Limits.ShutdownTimeout)
	defer cancel()
	d.common.Log.Info("leaving")
	d.leave(ctx)
	d.callers.Close(ctx)
	d.router.Close(ctx)
	d.peers.Close(ctx)
	d.admin.Close(ctx)
	d.control.LeaveAsLastMember(ctx)
	d.stop()
	d.running.Wait()
	d.common.Log.Info("ended")
}

// leave gives the pools up while the listeners still answer: requests of peers
// that have not heard yet are refused as not run, and go to the next home.
// Callers are served until the balancer has had time to see the health check.
func (d *Daemon) leave(ctx context.Context) {
	grace := time.NewTimer(d.common.Settings.Limits.LeaveGrace)
	defer grace.Stop()
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout(d.common.Settings.Timing))
	defer cancel()
	d.control.Leave(bounded)
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
}

// leaveTimeout is how long other members may take to settle former changes.
func leaveTimeout(timing settings.Timing) time.Duration {
	const lifetimes = 5
	return lifetimes * timing.GrantLifetime
}

// Serve runs an entry instance until it is told to end.
func Serve(s settings.Settings, logs io.Writer) error {
	d, err := NewDaemon(NewCommon(s, logs))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d.Start()
	<-signals
	go func() {
		<-signals
		d.common.Log.Warn("ended at once by a second signal")
		os.Exit(ExitRefused)
	}()
	d.Close()
	return nil
}
