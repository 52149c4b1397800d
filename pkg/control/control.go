// Package control runs an instance's part in the coordination: voting rounds,
// the records of the platform's store, the member record, and the moves of
// shards. The decisions are made by packages membership and assignment.
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

// Config are what the control of an instance works with.
type Config struct {
	Store     redwingstall.Store
	LiveList  redwingstall.LiveList
	Peers     *peer.Clients
	Voter     *membership.Voter
	Candidate *membership.Candidate
	View      *view.View
	Pools     *home.Manager
}

// Coordinator is an instance's part in the coordination.
type Coordinator struct {
	common *common.Common
	parts  Config
	movers *movers
	done   chan struct{}

	mu           sync.Mutex
	leaving      bool
	storeHealthy time.Time
	lastConfirm  bool
}

// NewCoordinator returns a control; Run makes it act.
func NewCoordinator(c *common.Common, parts Config) *Coordinator {
	control := &Coordinator{common: c, parts: parts, done: make(chan struct{})}
	control.movers = newMovers(control)
	return control
}

// Done is closed when Run has ended.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

const (
	listEvery     = 2 * time.Second
	membersEvery  = 300 * time.Millisecond
	reportEvery   = 500 * time.Millisecond
	moveEvery     = 200 * time.Millisecond
	refreshEvery  = 5 * time.Second
	learnTimeout  = 500 * time.Millisecond
	releaseBounds = 300 * time.Millisecond
)

// Run acts until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	running := sync.WaitGroup{}
	running.Go(func() { every(ctx, c.common.Settings.Timing.ConfirmEvery, c.round) })
	running.Go(func() { every(ctx, membersEvery, c.tendMembers) })
	running.Go(func() { every(ctx, listEvery, c.readLiveList) })
	running.Go(func() { everyOr(ctx, reportEvery, c.parts.Pools.ServerLossSignal(), c.movers.report) })
	running.Go(func() { everyOr(ctx, moveEvery, c.movers.losses, c.movers.step) })
	running.Go(func() { every(ctx, refreshEvery, c.refresh) })
	running.Go(func() { c.watch(ctx) })
	running.Wait()
}

// every calls a step at once and then once a period.
func every(ctx context.Context, period time.Duration, step func(context.Context)) {
	everyOr(ctx, period, nil, step)
}

// everyOr also calls the step when the signal says so.
func everyOr(ctx context.Context, period time.Duration, signal <-chan struct{}, step func(context.Context)) {
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

// IsReady reports whether the instance may take requests.
func (c *Coordinator) IsReady() bool {
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	return !leaving && c.parts.Candidate.IsFresh(c.now())
}

// IsStoreHealthy reports whether the store answered lately.
func (c *Coordinator) IsStoreHealthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.storeHealthy.IsZero() && c.now().Sub(c.storeHealthy) < 2*refreshEvery
}

// noteStore keeps when the store last answered.
func (c *Coordinator) noteStore(err error) {
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeHealthy = c.now()
}

// learn takes records over and wakes whoever they concern.
func (c *Coordinator) learn(records []redwingstall.Record, complete bool) {
	before, _ := c.parts.Voter.Members()
	changed := c.parts.Voter.Learn(c.now(), records, complete)
	if len(changed) == 0 {
		return
	}
	c.common.Count("records.learned")
	for _, name := range changed {
		if name == membership.RecordName {
			c.noteMembers(before)
		}
	}
	c.parts.Pools.TriggerHeartbeats()
}

// noteMembers logs a change of members and gives up what others now do.
func (c *Coordinator) noteMembers(before membership.MemberRecord) {
	members, revision := c.parts.Voter.Members()
	if len(before.Current) != len(members.Current) || before.IsSettled() != members.IsSettled() {
		c.common.Log.Info("members", "revision", revision, "count", len(members.Current), "settled", members.IsSettled())
	}
	keep := map[string]bool{}
	for _, member := range append(members.Current, members.Previous...) {
		keep[member.Peer] = true
	}
	c.parts.Peers.Retain(keep)
	go c.handOver(members, revision)
}

// Responder answers other instances.
type Responder struct {
	control *Coordinator
}

// Responder returns the answers to other instances' calls.
func (c *Coordinator) Responder() *Responder { return &Responder{c} }

var _ peer.Responder = (*Responder)(nil)

// Confirm votes.
func (r *Responder) Confirm(candidacy redwingstall.Candidacy) redwingstall.Vote {
	vote := r.control.parts.Voter.Vote(r.control.now(), candidacy)
	if !vote.Granted {
		r.control.common.Count("votes.refused." + vote.Refusal)
	}
	return vote
}

// Learn takes records over.
func (r *Responder) Learn(records []redwingstall.Record, complete bool) (string, map[string]redwingstall.Revision) {
	r.control.learn(records, complete)
	return r.control.common.Self.ID, r.control.parts.Voter.Revisions()
}

// Fetch returns every known record.
func (r *Responder) Fetch() []redwingstall.Record {
	return r.control.parts.Voter.Records()
}

// HandOver takes pools over.
func (r *Responder) HandOver(offer redwingstall.HandOver) bool {
	return r.control.parts.Pools.AcceptHandOver(offer)
}

// Report takes in what a home instance sees.
func (r *Responder) Report(_ string, servers []redwingstall.ServerReport) {
	r.control.movers.noteReports(servers)
}
