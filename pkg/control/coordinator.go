// Package control coordinates an entry instance with the other instances. It runs
// the voting rounds, replicates the control records of the platform's store,
// maintains the member record and assigns shards to backend servers. Packages
// membership and assignment make the decisions; this package does the I/O.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/home"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/peer"
	"github.com/redwingstall/redwingstall/pkg/view"
)

// Config holds the components that a coordinator uses.
type Config struct {
	Store     redwingstall.Store
	LiveList  redwingstall.LiveList
	Peers     *peer.Clients
	Voter     *membership.Voter
	Candidate *membership.Candidate
	View      *view.View
	Pools     *home.Manager
}

// Coordinator runs the coordination of one instance with the other instances.
type Coordinator struct {
	common   *common.Common
	config   Config
	assigner *shardAssigner
	done     chan struct{}

	mu                 sync.Mutex
	leaving            bool
	lastStoreResponse  time.Time
	lastRoundConfirmed bool
}

// NewCoordinator returns a coordinator. Run starts its background loops.
func NewCoordinator(c *common.Common, config Config) *Coordinator {
	coordinator := &Coordinator{common: c, config: config, done: make(chan struct{})}
	coordinator.assigner = newShardAssigner(coordinator)
	return coordinator
}

// Done is closed when Run has ended.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

// Periods of the background loops, and timeouts of one call to another instance
// and of one release at a backend server.
const (
	liveListInterval = 2 * time.Second
	memberInterval   = 300 * time.Millisecond
	reportInterval   = 500 * time.Millisecond
	assignInterval   = 200 * time.Millisecond
	syncInterval     = 5 * time.Second
	peerTimeout      = 500 * time.Millisecond
	releaseTimeout   = 300 * time.Millisecond
)

// Run runs the background loops until the context ends and they have returned.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	loops := sync.WaitGroup{}
	loops.Go(func() { runPeriodically(ctx, c.common.Settings.Timing.ConfirmEvery, c.runVotingRound) })
	loops.Go(func() { runPeriodically(ctx, memberInterval, c.maintainMembers) })
	loops.Go(func() { runPeriodically(ctx, liveListInterval, c.syncLiveList) })
	loops.Go(func() {
		runPeriodicallyOrOn(ctx, reportInterval, c.config.Pools.ServerLossSignal(), c.assigner.sendReports)
	})
	loops.Go(func() { runPeriodicallyOrOn(ctx, assignInterval, c.assigner.serverLoss, c.assigner.assignAll) })
	loops.Go(func() { runPeriodically(ctx, syncInterval, c.syncPeriodically) })
	loops.Go(func() { c.watch(ctx) })
	loops.Wait()
}

// runPeriodically calls the step immediately and then once per period, until the
// context ends.
func runPeriodically(ctx context.Context, period time.Duration, step func(context.Context)) {
	runPeriodicallyOrOn(ctx, period, nil, step)
}

// runPeriodicallyOrOn is runPeriodically, and also calls the step each time that a
// value arrives on the signal channel.
func runPeriodicallyOrOn(ctx context.Context, period time.Duration, signal <-chan struct{}, step func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-signal:
		}
	}
}

func (c *Coordinator) now() time.Time { return c.common.Clock.Now() }

// IsReady reports whether the instance may take requests: it is not leaving, and a
// majority of the members answered it recently.
func (c *Coordinator) IsReady() bool {
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	return !leaving && c.config.Candidate.IsFresh(c.now())
}

// IsStoreHealthy reports whether the store answered recently.
func (c *Coordinator) IsStoreHealthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lastStoreResponse.IsZero() && c.now().Sub(c.lastStoreResponse) < 2*syncInterval
}

// recordStoreResult notes the time if a call to the store succeeded.
func (c *Coordinator) recordStoreResult(err error) {
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastStoreResponse = c.now()
}

// applyRecords applies the records that are newer than the known ones, and
// triggers what depends on them. The flag complete is set when the records are all
// that the sender knows.
func (c *Coordinator) applyRecords(records []redwingstall.Record, complete bool) {
	before, _ := c.config.Voter.Members()
	changed := c.config.Voter.Learn(c.now(), records, complete)
	if len(changed) == 0 {
		return
	}
	c.common.Count("records.learned")
	for _, name := range changed {
		if name == membership.RecordName {
			c.handleMemberChange(before)
		}
	}
	c.config.Pools.TriggerHeartbeats()
}

// handleMemberChange logs a change of members, closes the clients of removed
// members, and hands over the pools whose home instance has changed.
func (c *Coordinator) handleMemberChange(before membership.MemberRecord) {
	members, revision := c.config.Voter.Members()
	if len(before.Current) != len(members.Current) || before.IsSettled() != members.IsSettled() {
		c.common.Log.Info("members", "revision", revision, "count", len(members.Current), "settled", members.IsSettled())
	}
	keep := map[string]bool{}
	for _, member := range append(members.Current, members.Previous...) {
		keep[member.Peer] = true
	}
	c.config.Peers.Retain(keep)
	go c.handOverPools(members, revision)
}

// Responder answers the calls of other instances.
type Responder struct {
	coordinator *Coordinator
}

// Responder returns the responder to the calls of other instances.
func (c *Coordinator) Responder() *Responder { return &Responder{c} }

var _ peer.Responder = (*Responder)(nil)

// Confirm votes on a candidacy.
func (r *Responder) Confirm(candidacy redwingstall.Candidacy) redwingstall.Vote {
	vote := r.coordinator.config.Voter.Vote(r.coordinator.now(), candidacy)
	if !vote.Granted {
		r.coordinator.common.Count("votes.refused." + vote.Refusal)
	}
	return vote
}

// Learn applies records, and returns this instance's ID and the revisions that it
// then knows.
func (r *Responder) Learn(records []redwingstall.Record, complete bool) (string, map[string]redwingstall.Revision) {
	r.coordinator.applyRecords(records, complete)
	return r.coordinator.common.Self.ID, r.coordinator.config.Voter.Revisions()
}

// Fetch returns all known records.
func (r *Responder) Fetch() []redwingstall.Record {
	return r.coordinator.config.Voter.Records()
}

// HandOver accepts or refuses an offer of pools, and reports which.
func (r *Responder) HandOver(offer redwingstall.HandOver) bool {
	return r.coordinator.config.Pools.AcceptHandOver(offer)
}

// Report stores a home instance's reports of its backend servers.
func (r *Responder) Report(_ string, reports []redwingstall.ServerReport) {
	r.coordinator.assigner.storeReports(reports)
}
