// Package leader maintains the owner maps of all sharded services on the instance that
// holds the leader record in the metadata store.
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
	"github.com/redwingstall/redwingstall/internal/node/features"
	"github.com/redwingstall/redwingstall/internal/ownership/assign"
	"github.com/redwingstall/redwingstall/internal/ownership/shardmap"
)

const (
	// stepInterval is the longest pause between two steps of the leader. Other instances
	// look for a missing leader record as often.
	stepInterval = 50 * time.Millisecond
	// LeaseTTL is the time to live of the leader's lease. A leader that crashed is replaced
	// after it.
	LeaseTTL = 3 * time.Second
	// shortLeaseTTL is the same with the feature KeyRecovery. The store's shortest lease is
	// 1 s; a leader whose processor is busy for 1.3 s loses one of 1.5 s.
	shortLeaseTTL = 1500 * time.Millisecond
	// leaseRenewals leaves time for seven lost renewals within a lease. The more recent the
	// last one, the longer an outage of the store may be after which the leader knows that
	// no other one has led.
	leaseRenewals = 8
	// writeIntervalPerInstance is the minimum interval between two writes of a map, for
	// each instance that receives the map: a map of 300 ranges takes 8 KB, and 80
	// instances receive 2 MB/s at most. In larger fleets a map spreads through the
	// reporters of the failure domains, so that its sender's link no longer bounds the
	// writes: maxWriteInterval bounds how long hot keys wait for a move, which takes two
	// writes.
	writeIntervalPerInstance = 5 * time.Millisecond
	maxWriteInterval         = 400 * time.Millisecond
	// usageLogInterval is how often the load of the servers is logged. maxLoggedServers
	// is how many of the most utilized servers a log line lists.
	usageLogInterval = 2 * time.Second
	maxLoggedServers = 4
	// writeRetryDelay is the pause after a write of a map that failed.
	writeRetryDelay = 200 * time.Millisecond
	// keyRatesInterval is how often the rates of all keys are read: twice per
	// rebalancing interval.
	keyRatesInterval = 300 * time.Millisecond
	// campaignTimeout bounds one attempt to acquire leadership.
	campaignTimeout = 2 * time.Second
	// campaignStagger separates the campaigns of the instances in time.
	campaignStagger = 120 * time.Millisecond
	// GrantTimeout bounds one grant call. It is far above a round trip with one lost
	// packet.
	GrantTimeout = 700 * time.Millisecond
	// releaseTimeout bounds one release call, which waits for the requests that run on
	// the keys.
	releaseTimeout = 3 * time.Second
	// maxGrantTTL caps the time to live of grants. The keys of a server that crashed are
	// not served for that long. Less one renewal, it leaves time for the lease of a leader
	// that crashed to expire, and for the next one to renew the grants.
	maxGrantTTL = 5 * time.Second
	// maxOutageGrantTTL is the same for grants that are sent while the store does not
	// renew the leader's lease. With it, servers keep serving for over eight seconds
	// without the store: the leader's lease plus the grant, less one renewal.
	maxOutageGrantTTL = 7 * time.Second
	// shortGrantTTL, longCalmGrantTTL and longOutageGrantTTL are those limits with the
	// feature KeyRecovery. A grant in calm times bridges two renewals and a change of leader
	// within shortLeaseTTL; it is longer where many ranges make renewals less frequent. With
	// a short lease the last grants of an outage are sent earlier, 1.1 s after the last
	// renewal of the lease in place of 2.5 s, so that they have to last longer.
	shortGrantTTL      = 3 * time.Second
	longCalmGrantTTL   = 4500 * time.Millisecond
	longOutageGrantTTL = 8 * time.Second
	// maxRenewalsPerSecond bounds the calls of a leader with short grants: with 250 ranges
	// each is renewed every 500 ms, from 625 on every 1.25 s as without the feature.
	maxRenewalsPerSecond = 500
	// unavailableLeft is how long the lease is still certain when the store counts as
	// unavailable, and shortUnavailableLeft the same for a short lease: its last renewal was
	// 0.8 or 0.5 s ago, so that two in a row were lost.
	unavailableLeft      = 2 * time.Second
	shortUnavailableLeft = 800 * time.Millisecond
)

// LoadSource provides the load of keys and the capacity of servers.
type LoadSource interface {
	// KeyRates returns the request rate of each key, in requests per second.
	KeyRates(service string) []float32
	// Capacity returns how many requests per second a server can handle.
	Capacity(server *view.Server) float64
}

// Config holds the dependencies and settings of a Leader.
type Config struct {
	Name string
	// IsFirstStart is set if the whole system starts for the first time, so that no server
	// holds keys.
	IsFirstStart bool
	Store        redwingstall.MetadataStore
	// OwnerClient sends grants and releases to backend servers.
	OwnerClient redwingstall.KeyOwner
	View        *view.View
	Load        LoadSource
	// Clock is a monotonic clock that includes the time in which the machine is
	// suspended.
	Clock func() time.Duration
	// ObserveResponse gets what a server process says in its response to an order, or zero.
	// It may be nil.
	ObserveResponse func(server shardmap.Server, meta redwingstall.ResponseMeta, sentAt time.Time)
	// ObserveOwnerGap gets how long keys had no owner, for each release that has ended. It
	// counts from when this leader has stored or found the release. It may be nil.
	ObserveOwnerGap func(gap time.Duration)
	// MaxGrantTTL is the configured limit of a grant's time to live.
	MaxGrantTTL time.Duration
	// Features returns the optional features in use. Nil means none.
	Features func() features.Set
	Log      *slog.Logger
}

// Leader campaigns for leadership, and writes the owner maps while it leads.
type Leader struct {
	Config
	done chan struct{}
	// wakeUps starts a step at once after a map was stored or a release has ended, so
	// that the commands that follow from it are sent without delay.
	wakeUps chan struct{}
	// startedAt is when Run was called.
	startedAt time.Duration
	// history is what this instance has observed of the store and the servers. Only the
	// goroutine of Run uses it.
	history  history
	replaced replacedServers
	// leaseTTL is the time to live of the current term's lease, and isRecoveryFast whether
	// the feature KeyRecovery was in use when it began. Only the goroutine of Run uses them.
	leaseTTL       time.Duration
	isRecoveryFast bool
	// suspended is the last term, if it ended with the era while the lease was valid.
	suspended *suspendedTerm

	mu        sync.Mutex
	services  map[string]*serviceState
	isLeading bool
}

// serviceState is the state of one sharded service while this instance leads.
type serviceState struct {
	// assigner is nil while recovery is not done, which is nil afterwards.
	assigner *assign.Assigner
	recovery *assign.Recovery
	// position is that of the stored map. Its revision is zero while there is none.
	position redwingstall.Position
	// superseded are the keys of maps of earlier eras, which the first write removes.
	superseded []string
	addresses  map[string]string
	// processAddresses are those that the store listed the processes at.
	processAddresses processAddresses
	// releasedSince is since when ranges have no owner, by the fencing token of the release.
	releasedSince  map[int64]time.Duration
	usageLoggedAt  time.Duration
	writeStartedAt time.Duration
	// retryWriteAt is the earliest time of the next write after one that failed.
	retryWriteAt time.Duration
	// keyRates are the rates of the keys as read at keyRatesAt.
	keyRates   []float32
	keyRatesAt time.Duration
	isWriting  bool
	// isRevisionUnknown is set while neither the result of the last write nor the stored
	// map could be read.
	isRevisionUnknown bool
	// continuableIn is the era in which the next term has found no map of the service.
	continuableIn redwingstall.Era
}

// NewLeader returns a Leader that does nothing until Run is called.
func NewLeader(parts Config) *Leader {
	return &Leader{Config: parts, done: make(chan struct{}), wakeUps: make(chan struct{}, 1)}
}

func (l *Leader) features() features.Set {
	if l.Features == nil {
		return features.Set{}
	}
	return l.Features()
}

// Done is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// IsLeading reports whether this instance acts as the leader.
func (l *Leader) IsLeading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLeading
}

// Run campaigns whenever there is no leader, and leads once elected, until the context
// ends.
func (l *Leader) Run(ctx context.Context) {
	defer close(l.done)
	l.startedAt = l.Clock()
	for ctx.Err() == nil {
		if s := l.observe(); s.Leader.Key == "" && l.hasShardedService(s) {
			l.campaign(ctx)
		}
		l.sleep(ctx, stepInterval)
	}
}

func (l *Leader) sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (l *Leader) holdsRecord(held redwingstall.Lease) bool {
	s := l.View.Snapshot()
	record := s.Leader
	return s.Era == held.Era && record.Lease == held.ID && string(record.Value) == l.Name
}

// awaitTurn waits until this instance may campaign. It returns false if there is a leader
// by then, or another era.
func (l *Leader) awaitTurn(ctx context.Context) bool {
	s := l.observe()
	delay := time.Duration(l.campaignRank(s))*campaignStagger + l.history.headStart(l.Clock())
	if l.history.predecessor == l.Name {
		delay = 0
	}
	for turn := l.Clock() + delay; l.Clock() < turn && ctx.Err() == nil; {
		l.sleep(ctx, min(stepInterval, turn-l.Clock()))
		if now := l.observe(); now.Leader.Key != "" || now.Era != s.Era {
			return false
		}
	}
	return ctx.Err() == nil
}

// campaign tries to write the leader record, and leads if that succeeds. It opens a
// lease of its own for the record. That lease is short, since all sharded services
// depend on a leader.
func (l *Leader) campaign(ctx context.Context) {
	if !l.awaitTurn(ctx) {
		return
	}
	record := func(era redwingstall.Era) redwingstall.Item {
		return redwingstall.Item{Key: view.LeaderKey(era), Value: []byte(l.Name)}
	}
	l.leaseTTL, l.isRecoveryFast = LeaseTTL, l.features().KeyRecovery
	if l.isRecoveryFast {
		l.leaseTTL = shortLeaseTTL
	}
	lease := presence.NewLease(presence.Config{
		Store: l.Store, Record: record, IsExclusive: true,
		TTL: l.leaseTTL, RenewalInterval: l.leaseTTL / leaseRenewals, Clock: l.Clock, Log: l.Log,
	})
	leaseCtx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		<-lease.Done()
	}()
	go lease.Run(leaseCtx)
	for attempt := time.Duration(0); attempt < campaignTimeout; attempt += stepInterval {
		l.sleep(ctx, stepInterval)
		if held, isCertain := lease.Lease(); isCertain && l.holdsRecord(held) {
			l.lead(ctx, lease, held)
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

func (l *Leader) hasShardedService(s *view.Snapshot) bool {
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

// campaignRank returns the position of this instance in the order in which instances
// campaign, so that they do not all write at once.
func (l *Leader) campaignRank(s *view.Snapshot) int {
	for i, p := range view.SortedByBandwidth(s.Peers) {
		if p.Name == l.Name {
			return i
		}
	}
	return 0
}

// lead acts as the leader until its term ends, and resigns if a shutdown ended the term.
func (l *Leader) lead(ctx context.Context, lease *presence.Lease, held redwingstall.Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.Log.Info("leading", "lease", held.ID)
	l.setLeading(true)
	reason := l.runTerm(ctx, lease, held)
	suspended := l.suspendTerm(held.Era)
	l.suspended = nil
	if reason == reasonEraChanged {
		l.suspended = suspended
	}
	if reason == reasonStopping {
		cancel()
		l.resign()
	}
	l.setLeading(false)
	l.Log.Info("not leading any more", "lease", held.ID, "reason", reason)
}

func (l *Leader) setLeading(isLeading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLeading = isLeading
	l.services = map[string]*serviceState{}
}

// runTerm runs steps while the lease is certain to last and the record is this
// instance's, and returns why it ended.
func (l *Leader) runTerm(ctx context.Context, lease *presence.Lease, held redwingstall.Lease) string {
	for ctx.Err() == nil {
		if s := l.observe(); (s.Era != held.Era || lease.HasEraEnded()) && l.Clock() < lease.ValidUntil() {
			return reasonEraChanged
		}
		if current, isCertain := lease.Lease(); !isCertain || current != held {
			return "lease may have expired"
		}
		if !l.holdsRecord(held) {
			return "leader record is lost"
		}
		if !l.stepServices(ctx, lease, held) {
			return "owner map was written by another leader"
		}
		snapshot := l.View.Snapshot()
		timer := time.NewTimer(stepInterval)
		select {
		case <-timer.C:
		case <-snapshot.Changed:
			timer.Stop()
		case <-l.wakeUps:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return reasonStopping
}

const (
	reasonStopping   = "stopping"
	reasonEraChanged = "the store was recovered from an older copy"
	// resignTimeout bounds a resignation, so that a shutdown stays within its grace
	// period.
	resignTimeout = 500 * time.Millisecond
	// cancellationTimeout bounds the wait for the results of canceled commands.
	cancellationTimeout  = 200 * time.Millisecond
	cancellationInterval = 5 * time.Millisecond
)

// resign marks the maps as resigned. The mark shows the next leader that no command of
// this one is in flight. Commands that still ran at the shutdown were cut off with their
// connections.
func (l *Leader) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	for wait := time.Duration(0); wait < cancellationTimeout && l.hasCommandInFlight(); wait += cancellationInterval {
		l.sleep(ctx, cancellationInterval)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.services {
		if s.recovery != nil || s.isWriting || s.isRevisionUnknown || s.assigner.HasCommandInFlight() {
			continue // the next leader waits for the lease to expire instead
		}
		m := s.assigner.Map().Clone()
		m.IsResigned = true
		s.assigner.SetEnds(l.Clock(), &m)
		_, err := l.writeMap(ctx, name, s.position, m, nil)
		l.Log.Info("resigned", "service", name, "revision", s.position.Revision, "error", errorText(err))
	}
}

func (l *Leader) hasCommandInFlight() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.services {
		if s.assigner != nil && s.assigner.HasCommandInFlight() {
			return true
		}
	}
	return false
}

// stepServices plans, writes and sends commands for every sharded service. It returns
// false once another leader has written a map.
func (l *Leader) stepServices(ctx context.Context, lease *presence.Lease, held redwingstall.Lease) bool {
	s := l.View.Snapshot()
	if s.Config == nil {
		return true
	}
	for name, spec := range s.Config.Services {
		if !spec.Sharded {
			continue
		}
		if l.service(name) == nil {
			if !l.takeOver(ctx, held, name) {
				continue
			}
		}
		if !l.stepService(ctx, lease, s, name) {
			return false
		}
	}
	return true
}

func (l *Leader) service(name string) *serviceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.services[name]
}

func (l *Leader) grantTiming() assign.Timing {
	timing := assign.Timing{
		GrantTTL: min(l.MaxGrantTTL, maxGrantTTL), OutageGrantTTL: min(l.MaxGrantTTL, maxOutageGrantTTL),
		LeaderLeaseTTL: l.leaseTTL, GrantTimeout: GrantTimeout,
		MaxLeaderLeaseTTL: LeaseTTL, MaxGrantTTL: min(l.MaxGrantTTL, longOutageGrantTTL),
	}
	if l.isRecoveryFast {
		timing.GrantTTL, timing.LongCalmGrantTTL = min(l.MaxGrantTTL, shortGrantTTL), min(l.MaxGrantTTL, longCalmGrantTTL)
		timing.OutageGrantTTL = min(l.MaxGrantTTL, longOutageGrantTTL)
		timing.MaxRenewalsPerSecond = maxRenewalsPerSecond
	}
	return timing
}

func (l *Leader) clusterState(s *view.Snapshot, name string, state *serviceState) assign.ClusterState {
	if clock := l.Clock(); state.keyRates == nil || clock-state.keyRatesAt >= keyRatesInterval {
		state.keyRates, state.keyRatesAt = l.Load.KeyRates(name), clock
	}
	cluster := assign.ClusterState{Servers: map[string]assign.Server{}, KeyRates: state.keyRates, EvenLoad: l.features().EvenLoad}
	now := time.Now()
	for _, server := range s.Servers[name] {
		state.addresses[server.ID] = server.Address
		state.processAddresses.add(server.Process(), server.Address)
		cluster.Servers[server.ID] = assign.Server{
			Server:   server.Process(),
			Address:  server.Address,
			IsUsable: s.IsUsable(server),
			IsCold:   server.IsWarmingUp(now),
			Capacity: l.Load.Capacity(server),
		}
	}
	return cluster
}

func (l *Leader) stepService(ctx context.Context, lease *presence.Lease, s *view.Snapshot, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.services[name]
	if state == nil {
		return false
	}
	cluster := l.clusterState(s, name, state)
	now := l.Clock()
	left := lease.ValidUntil() - now
	cluster.IsStoreUnavailable = left < unavailableLeft && lease.TTL == LeaseTTL || left < shortUnavailableLeft
	if state.recovery != nil {
		l.stepRecovery(ctx, lease, name, state, cluster)
		return true
	}
	for _, command := range state.assigner.DueCommands(now, cluster, state.addresses) {
		go l.execute(ctx, lease, name, state.assigner, command)
	}
	if now-state.usageLoggedAt >= usageLogInterval {
		state.usageLoggedAt = now
		l.logUsage(name, state, cluster)
	}
	if state.isWriting || now < state.retryWriteAt || now-state.writeStartedAt < writeInterval(len(s.Peers)) {
		return true
	}
	if draft, changed := state.assigner.Plan(now, cluster); changed || state.isRevisionUnknown || state.assigner.HasWithheldGrants() {
		state.isWriting = true
		state.assigner.BeginWrite(draft)
		state.writeStartedAt = now
		go l.storeMap(ctx, lease, name, state, draft)
	}
	return true
}

// writeInterval returns the minimum interval between two writes of a map.
func writeInterval(instances int) time.Duration {
	return min(time.Duration(instances)*writeIntervalPerInstance, maxWriteInterval)
}

// logUsage logs the load of the servers, from which moves of keys are decided.
func (l *Leader) logUsage(name string, state *serviceState, cluster assign.ClusterState) {
	usages := state.assigner.ServerUsages(cluster)
	slices.SortFunc(usages, func(a, b assign.ServerUsage) int { return cmp.Compare(b.Utilization(), a.Utilization()) })
	rate, capacity := 0.0, 0.0
	for _, usage := range usages {
		rate += usage.Rate
		capacity += usage.Capacity
	}
	median := 0.0
	if len(usages) > 0 {
		median = usages[len(usages)/2].Utilization()
	}
	l.Log.Info("levels", "service", name, "revision", state.position.Revision, "ranges", len(state.assigner.Map().Ranges), "servers", len(usages),
		"ratePerSecond", rate, "capacityPerSecond", capacity, "median", median, "most", usages[:min(len(usages), maxLoggedServers)])
}

// storeMap writes a map and adopts it. After a write without an answer it reads the
// stored map, which is either the previous one or the one that was written.
func (l *Leader) storeMap(ctx context.Context, lease *presence.Lease, name string, state *serviceState, draft shardmap.Map) {
	expected := state.position
	position, err := l.writeMap(ctx, name, expected, draft, state.superseded)
	if err != nil {
		l.Log.Warn("cannot write owner map", "service", name, "era", expected.Era, "revision", expected.Revision, "error", err.Error())
		if errors.Is(err, redwingstall.ErrEraChanged) {
			lease.RenewNow()
		}
		var stored storedMap
		stored, err = l.readMap(ctx, name)
		draft, position = stored.Map, stored.position
		if err == nil && position.Era != expected.Era {
			err = errors.Mark(errors.Newf("owner map: era %d in place of %d", position.Era, expected.Era), redwingstall.ErrEraChanged)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state.isWriting = false
	state.isRevisionUnknown = err != nil
	if err != nil {
		state.retryWriteAt = l.Clock() + writeRetryDelay
	}
	if err != nil || l.services[name] != state {
		return
	}
	if position.Revision != 0 && draft.Term != state.assigner.Map().Term {
		l.Log.Warn("owner map was written by another leader", "service", name, "term", draft.Term, "own", state.assigner.Map().Term)
		delete(l.services, name)
		return
	}
	state.position = position
	if position == expected {
		return // not written, but a late write may still take effect: see Assigner.BeginWrite
	}
	state.assigner.Adopt(draft)
	state.superseded = nil
	l.wakeUp()
	longestGap := l.observeGaps(state, draft)
	l.Log.Info("owner map written", "service", name, "era", position.Era, "revision", position.Revision, "ranges", len(draft.Ranges), "lastFence", draft.LastFence,
		"withoutOwner", len(state.releasedSince), "longestGapMillis", longestGap.Milliseconds())
}

// observeGaps updates which ranges have no owner, and returns the longest time for which one
// that has an owner again had none. The lock must be held.
func (l *Leader) observeGaps(state *serviceState, stored shardmap.Map) time.Duration {
	now, longest := l.Clock(), time.Duration(0)
	since := map[int64]time.Duration{}
	for _, r := range stored.Ranges {
		if r.State == shardmap.StateAssigned {
			continue
		}
		since[r.Fence] = now
		if began, found := state.releasedSince[r.Fence]; found {
			since[r.Fence] = began
		}
	}
	for fence, began := range state.releasedSince {
		if _, found := since[fence]; found {
			continue
		}
		longest = max(longest, now-began)
		if l.ObserveOwnerGap != nil {
			l.ObserveOwnerGap(now - began)
		}
	}
	state.releasedSince = since
	return longest
}

func (l *Leader) wakeUp() {
	select {
	case l.wakeUps <- struct{}{}:
	default:
	}
}

// resultRecorder takes the results of commands.
type resultRecorder interface {
	BeginSend(now time.Duration, c assign.Command) bool
	RecordResult(now time.Duration, c assign.Command, result assign.Result)
}

// execute sends one command and records its result. It sends nothing once the lease may
// have expired.
func (l *Leader) execute(ctx context.Context, lease *presence.Lease, name string, recorder resultRecorder, command assign.Command) {
	var result assign.Result
	if !l.beginSend(recorder, command) {
		return
	}
	if _, isCertain := lease.Lease(); !isCertain {
		result.IsUnanswered, result.IsUnsent = true, true
	} else {
		result = l.callOwner(ctx, name, command)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	recorder.RecordResult(l.Clock(), command, result)
	if command.Kind == assign.CommandRelease {
		l.wakeUp()
	}
}

func (l *Leader) beginSend(recorder resultRecorder, command assign.Command) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return recorder.BeginSend(l.Clock(), command)
}

func (l *Leader) callOwner(ctx context.Context, name string, command assign.Command) assign.Result {
	var err error
	var result assign.Result
	var meta redwingstall.ResponseMeta
	sentAt := time.Now()
	switch command.Kind {
	case assign.CommandGrant:
		bounded, cancel := context.WithTimeout(ctx, GrantTimeout)
		defer cancel()
		meta, err = l.OwnerClient.Grant(bounded, command.Owner.ID, command.Address, redwingstall.KeyGrant{KeyRange: command.Keys, Fence: command.Fence, TTL: command.GrantTTL, Handover: command.Handover})
	case assign.CommandRelease:
		bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		result.Handover, meta, err = l.OwnerClient.Release(bounded, command.Owner.ID, command.Address, command.Keys, command.Fence)
	}
	isOtherServer := errors.Is(err, redwingstall.ErrAddressReassigned)
	if l.ObserveResponse != nil && !isOtherServer {
		l.ObserveResponse(command.Owner, meta, sentAt)
	}
	result.IsFenced = errors.Is(err, redwingstall.ErrFenced)
	result.IsUnanswered = err != nil && !result.IsFenced
	result.IsUnsent = errors.Is(err, redwingstall.ErrNotSent)
	result.IsReplaced = isOtherServer && command.Kind == assign.CommandRelease && l.features().KeyRecovery && l.isReplaced(ctx, name, command)
	if err != nil || command.Kind == assign.CommandRelease {
		l.Log.Info("order", "kind", command.Kind, "service", name, "server", command.Owner.ID, "from", command.Keys.From, "to", command.Keys.To,
			"fence", command.Fence, "handover", result.Handover != "", "isReplaced", result.IsReplaced, "error", errorText(err))
	}
	return result
}
