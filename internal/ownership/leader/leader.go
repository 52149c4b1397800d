// Package leader runs the owner maps of all sharded services on the instance
// that holds the leader's record.
package leader

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/presence"
	"github.com/redwingstall/redwingstall/internal/fleet/view"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	tick = 50 * time.Millisecond
	// LeaseTTL of the leader: it outlives three lost renewals, and a leader that
	// died is replaced after it.
	LeaseTTL = 3 * time.Second
	// writePause between writes of a map, for each instance that must be told of
	// it: a map of 300 ranges takes 8 KB, and 80 instances 2 MB/s at most.
	writePause = 5 * time.Millisecond
	// levelsEvery is how often the servers' load is logged, and mostLevels how many
	// of the most used servers a line names.
	levelsEvery = 2 * time.Second
	mostLevels  = 4
	// ratesEvery is how often the rates of all keys are looked at: twice for each
	// time that keys are leveled.
	ratesEvery = 300 * time.Millisecond
	// standFor is how long a try to become leader lasts.
	standFor = 2 * time.Second
	// rankPause spreads the instances' tries to become leader.
	rankPause = 120 * time.Millisecond
	// GrantTimeout is far above a round trip with a lost packet.
	GrantTimeout = 700 * time.Millisecond
	// releaseTimeout lets the work on the keys end.
	releaseTimeout = 3 * time.Second
	// maxHold serves on for about nine seconds without a leader (the lease, the
	// hold, less a renewal), and bounds how long a silent server keeps its keys.
	maxHold = 7 * time.Second
)

// LoadSource of the load that keys and servers bear.
type LoadSource interface {
	// KeyRates are in requests a second, by key.
	KeyRates(service string) []float32
	// Capacity of a server in requests a second.
	Capacity(server *view.Server) float64
}

// Parts that a leader works with.
type Parts struct {
	Name        string
	Store       redwingstall.MetadataStore
	OwnerClient redwingstall.KeyOwner
	View        *view.View
	Load        LoadSource
	// Clock counts suspensions.
	Clock       func() time.Duration
	MaxGrantTTL time.Duration
	Log         *slog.Logger
}

// Leader tries to become the writer of the owner maps, and acts while it is.
type Leader struct {
	Parts
	done chan struct{}
	// adopted wakes the leader when a map was stored, so that the orders that
	// follow from it are sent at once.
	adopted chan struct{}

	mu       sync.Mutex
	services map[string]*service
	leads    bool
}

// service is one sharded service while this process leads.
type service struct {
	assigner  *assign.Assigner
	revision  redwingstall.Revision
	addresses map[string]string
	toldAt    time.Duration
	wroteAt   time.Duration
	// rates of the keys as measured at a time.
	rates   []float32
	ratesAt time.Duration
	// sending counts the orders under way.
	sending   int
	isWriting bool
	isUnclear bool
}

// NewLeader returns a leader that is not running.
func NewLeader(parts Parts) *Leader {
	return &Leader{Parts: parts, done: make(chan struct{}), adopted: make(chan struct{}, 1)}
}

// Done is closed when Run has ended.
func (l *Leader) Done() <-chan struct{} { return l.done }

// IsLeading reports whether this process acts as the leader.
func (l *Leader) IsLeading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leads
}

// Run stands for leader until the context ends.
func (l *Leader) Run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		if s := l.View.Snapshot(); s.Leader.Key == "" && l.hasWork(s) {
			l.stand(ctx)
		}
		l.pause(ctx, tick)
	}
}

func (l *Leader) pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (l *Leader) holdsRecord(lease int64) bool {
	record := l.View.Snapshot().Leader
	return record.Lease == lease && string(record.Value) == l.Name
}

// stand tries to write the leader's record, and leads if that succeeds. The
// lease is opened for it, and is short: what leads is needed by all.
func (l *Leader) stand(ctx context.Context) {
	l.pause(ctx, time.Duration(l.rank(l.View.Snapshot()))*rankPause)
	if l.View.Snapshot().Leader.Key != "" || ctx.Err() != nil {
		return
	}
	record := redwingstall.Item{Key: view.LeaderKey, Value: []byte(l.Name)}
	term := presence.NewLease(l.Store, record, true, LeaseTTL, l.Clock, l.Log)
	running, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		<-term.Done()
	}()
	go term.Run(running)
	for attempt := time.Duration(0); attempt < standFor; attempt += tick {
		l.pause(ctx, tick)
		if lease, isCertain := term.Lease(); isCertain && l.holdsRecord(lease) {
			l.lead(ctx, term, lease)
			return
		}
		if leader := l.View.Snapshot().Leader; leader.Key != "" && string(leader.Value) != l.Name {
			return
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (l *Leader) hasWork(s *view.Snapshot) bool {
	if s.Config == nil {
		return false
	}
	for _, spec := range s.Config.Services {
		if spec.Sharded {
			return true
		}
	}
	return false
}

// rank orders the instances so that they do not all write at once.
func (l *Leader) rank(s *view.Snapshot) int {
	for i, p := range view.ByStrength(s.Peers) {
		if p.Name == l.Name {
			return i
		}
	}
	return 0
}

// lead acts until the lease is not certain any more or the record is gone.
func (l *Leader) lead(ctx context.Context, term *presence.Lease, lease int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.Log.Info("leading", "lease", lease)
	l.setLeads(true)
	reason := l.act(ctx, term, lease)
	if reason == reasonStopping {
		cancel()
		l.resign()
	}
	l.setLeads(false)
	l.Log.Info("not leading any more", "lease", lease, "reason", reason)
}

func (l *Leader) setLeads(leads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leads = leads
	l.services = map[string]*service{}
}

func (l *Leader) act(ctx context.Context, term *presence.Lease, lease int64) string {
	for ctx.Err() == nil {
		if current, isCertain := term.Lease(); !isCertain || current != lease {
			return "lease not certain"
		}
		if !l.holdsRecord(lease) {
			return "record gone"
		}
		if !l.step(ctx, term) {
			return "owner map written by another leader"
		}
		snapshot := l.View.Snapshot()
		timer := time.NewTimer(tick)
		select {
		case <-timer.C:
		case <-snapshot.Changed:
			timer.Stop()
		case <-l.adopted:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return reasonStopping
}

const (
	reasonStopping = "stopping"
	// resignTimeout keeps a stop within its grace time.
	resignTimeout = 500 * time.Millisecond
)

// resign tells the next leader that no order of this one is under way: those
// that were have been cut off with their connections.
func (l *Leader) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.services {
		if s.isWriting || s.isUnclear || s.sending > 0 {
			continue // the next leader waits for the lease instead
		}
		m := s.assigner.Map().Clone()
		m.IsResigned = true
		_, err := l.write(ctx, name, s.revision, m)
		l.Log.Info("resigned", "service", name, "revision", s.revision, "error", errorText(err))
	}
}

// step plans, writes and sends for every sharded service. It reports false once
// another leader has written a map.
func (l *Leader) step(ctx context.Context, term *presence.Lease) bool {
	s := l.View.Snapshot()
	if s.Config == nil {
		return true
	}
	for name, spec := range s.Config.Services {
		if !spec.Sharded {
			continue
		}
		if l.find(name) == nil {
			if !l.takeOver(ctx, name) {
				continue
			}
		}
		if !l.stepService(ctx, term, s, name) {
			return false
		}
	}
	return true
}

func (l *Leader) find(name string) *service {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.services[name]
}

func (l *Leader) timing() assign.Timing {
	return assign.Timing{GrantTTL: min(l.MaxGrantTTL, maxHold), LeaderLeaseTTL: LeaseTTL, GrantTimeout: GrantTimeout}
}

// takeOver reads a map and writes it under a new term.
func (l *Leader) takeOver(ctx context.Context, name string) bool {
	stored, revision, err := l.read(ctx, name)
	if err != nil {
		l.Log.Warn("owner map not read", "service", name, "error", err.Error())
		return false
	}
	resigned := stored.IsResigned
	stored.Term++
	stored.IsResigned = false
	next, err := l.write(ctx, name, revision, stored)
	if err != nil {
		l.Log.Warn("owner map not taken over", "service", name, "revision", revision, "error", err.Error())
		return false
	}
	l.Log.Info("owner map taken over", "afterResignation", resigned, "service", name, "term", stored.Term, "revision", next, "ranges", len(stored.Ranges))
	stored.IsResigned = resigned
	l.mu.Lock()
	defer l.mu.Unlock()
	l.services[name] = &service{
		assigner:  assign.NewAssigner(l.Clock(), l.timing(), stored),
		revision:  next,
		addresses: map[string]string{},
	}
	return true
}

func (l *Leader) read(ctx context.Context, name string) (shardmap.Map, redwingstall.Revision, error) {
	items, _, err := l.Store.Range(ctx, view.MapPrefix+name)
	if err != nil {
		return shardmap.Map{}, 0, err
	}
	for _, i := range items {
		if i.Key == view.MapPrefix+name {
			m, err := shardmap.Decode(i.Value)
			return m, i.Revision, err
		}
	}
	return shardmap.Map{}, 0, nil
}

func (l *Leader) write(ctx context.Context, name string, old redwingstall.Revision, m shardmap.Map) (redwingstall.Revision, error) {
	key := view.MapPrefix + name
	return l.Store.Commit(ctx, redwingstall.Transaction{
		Expect: []redwingstall.Expectation{{Key: key, Revision: old}},
		Writes: []redwingstall.Item{{Key: key, Value: m.Encode()}},
	})
}

func (l *Leader) world(s *view.Snapshot, name string, state *service) assign.ClusterState {
	if clock := l.Clock(); state.rates == nil || clock-state.ratesAt >= ratesEvery {
		state.rates, state.ratesAt = l.Load.KeyRates(name), clock
	}
	world := assign.ClusterState{Servers: map[string]assign.Server{}, KeyRates: state.rates}
	now := time.Now()
	for _, server := range s.Servers[name] {
		state.addresses[server.ID] = server.Address
		world.Servers[server.ID] = assign.Server{
			Server:   server.Process(),
			Address:  server.Address,
			IsUsable: s.IsUsable(server),
			IsCold:   server.IsCold(now),
			Capacity: l.Load.Capacity(server),
		}
	}
	return world
}

func (l *Leader) stepService(ctx context.Context, term *presence.Lease, s *view.Snapshot, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.services[name]
	if state == nil {
		return false
	}
	world := l.world(s, name, state)
	now := l.Clock()
	for _, o := range state.assigner.DueCommands(now, world, state.addresses) {
		state.sending++
		go l.send(ctx, term, name, state, o)
	}
	if now-state.toldAt >= levelsEvery {
		state.toldAt = now
		l.tellLevels(name, state, world)
	}
	if state.isWriting || now-state.wroteAt < time.Duration(len(s.Peers))*writePause {
		return true
	}
	if draft, changed := state.assigner.Plan(now, world); changed || state.isUnclear {
		state.isWriting = true
		state.wroteAt = now
		go l.store(ctx, name, state, draft, state.revision)
	}
	return true
}

// tellLevels logs what moves of keys are decided from.
func (l *Leader) tellLevels(name string, state *service, world assign.ClusterState) {
	levels := state.assigner.ServerUsages(world)
	slices.SortFunc(levels, func(a, b assign.ServerUsage) int { return cmp.Compare(b.Utilization(), a.Utilization()) })
	rate, capacity := 0.0, 0.0
	for _, level := range levels {
		rate += level.Rate
		capacity += level.Capacity
	}
	median := 0.0
	if len(levels) > 0 {
		median = levels[len(levels)/2].Utilization()
	}
	l.Log.Info("levels", "service", name, "revision", state.revision, "ranges", len(state.assigner.Map().Ranges), "servers", len(levels),
		"ratePerSecond", rate, "capacityPerSecond", capacity, "median", median, "most", levels[:min(len(levels), mostLevels)])
}

// store writes a map and adopts it. A write without an answer is settled by
// reading: the map that is found is either the former one or that write.
func (l *Leader) store(ctx context.Context, name string, state *service, draft shardmap.Map, old redwingstall.Revision) {
	revision, err := l.write(ctx, name, old, draft)
	if err != nil {
		l.Log.Warn("owner map not written", "service", name, "revision", old, "error", err.Error())
		draft, revision, err = l.read(ctx, name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state.isWriting = false
	state.isUnclear = err != nil
	if err != nil {
		return
	}
	if draft.Term != state.assigner.Map().Term {
		l.Log.Warn("owner map has another leader", "service", name, "term", draft.Term, "own", state.assigner.Map().Term)
		delete(l.services, name)
		return
	}
	state.assigner.Adopt(draft)
	state.revision = revision
	l.wake()
	l.Log.Info("owner map written", "service", name, "revision", revision, "ranges", len(draft.Ranges), "lastFence", draft.LastFence)
}

func (l *Leader) wake() {
	select {
	case l.adopted <- struct{}{}:
	default:
	}
}

// send sends one order, unless the lease has become uncertain by now.
func (l *Leader) send(ctx context.Context, term *presence.Lease, name string, state *service, o assign.Command) {
	var result assign.Result
	if _, isCertain := term.Lease(); !isCertain {
		result.IsUnanswered = true
	} else {
		result = l.deliver(ctx, name, o)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state.sending--
	state.assigner.RecordResult(l.Clock(), o, result)
	if o.Kind == assign.CommandRelease {
		l.wake()
	}
}

func (l *Leader) deliver(ctx context.Context, name string, o assign.Command) assign.Result {
	var err error
	var result assign.Result
	switch o.Kind {
	case assign.CommandGrant:
		bounded, cancel := context.WithTimeout(ctx, GrantTimeout)
		defer cancel()
		err = l.OwnerClient.Grant(bounded, o.Owner.ID, o.Address, redwingstall.KeyGrant{KeyRange: o.Keys, Fence: o.Fence, TTL: o.GrantTTL, Handover: o.Handover})
	case assign.CommandRelease:
		bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		result.Handover, err = l.OwnerClient.Release(bounded, o.Owner.ID, o.Address, o.Keys, o.Fence)
	}
	result.IsFenced = errors.Is(err, redwingstall.ErrFenced)
	result.IsConnectionRefused = errors.Is(err, redwingstall.ErrConnectionRefused)
	result.IsReplaced = errors.Is(err, redwingstall.ErrOtherServer)
	result.IsUnanswered = err != nil && !result.IsFenced
	if err != nil || o.Kind == assign.CommandRelease {
		l.Log.Info("order", "kind", o.Kind, "service", name, "server", o.Owner.ID, "from", o.Keys.From, "to", o.Keys.To,
			"fence", o.Fence, "handover", result.Handover != "", "error", errorText(err))
	}
	return result
}
