package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// shardAssigner assigns the shards of those keyed services for which this instance
// ranks first. If two instances assign at the same time, the store's
// compare-and-swap accepts only one of the writes.
type shardAssigner struct {
	coordinator *Coordinator
	serverLoss  chan struct{}

	mu            sync.Mutex
	reports       map[string]receivedReport
	states        map[string]*serviceState
	recentChanges []AssignmentChange
}

// receivedReport is a home instance's report of one backend server, with the time
// of its arrival.
type receivedReport struct {
	report     redwingstall.ServerReport
	receivedAt time.Time
}

// AssignmentChange counts the entries of a service's assignment record that one
// write changed, by cause. It is shown to operators.
type AssignmentChange struct {
	At       time.Time `json:"at"`
	Service  string    `json:"service"`
	Assigned int       `json:"assigned"`
	Lost     int       `json:"lost"`
	Leaving  int       `json:"leaving"`
	Balanced int       `json:"balanced"`
	Split    int       `json:"split"`
	Merged   int       `json:"merged"`
}

// serviceState is the assigner's state for one keyed service.
type serviceState struct {
	// tracker remembers which changes of the record a blocking set knows, and since
	// when.
	tracker *assignment.Mover
	// replicated is the last revision that a blocking set acknowledged.
	replicated     redwingstall.Revision
	isBalancing    bool
	releaseClients map[string]*backend.Client
}

const (
	// reportTTL is the age from which a report is ignored.
	reportTTL        = 3 * time.Second
	maxRecentChanges = 50
	// connectionsPerServer bounds the connections for release orders to one server.
	connectionsPerServer = 4
)

func newShardAssigner(coordinator *Coordinator) *shardAssigner {
	return &shardAssigner{
		coordinator: coordinator,
		serverLoss:  make(chan struct{}, 1),
		reports:     map[string]receivedReport{},
		states:      map[string]*serviceState{},
	}
}

// assignerJob returns the name of the job of assigning a service's shards.
func assignerJob(account, service string) string { return "mover/" + account + "/" + service }

// storeReports keeps the reports, and signals when one of them newly declares a
// server lost.
func (a *shardAssigner) storeReports(reports []redwingstall.ServerReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, report := range reports {
		wasLost := a.reports[report.Server].report.Lost
		a.reports[report.Server] = receivedReport{report, a.coordinator.now()}
		if report.Lost && !wasLost {
			a.signalServerLoss()
		}
	}
}

func (a *shardAssigner) signalServerLoss() {
	select {
	case a.serverLoss <- struct{}{}:
	default:
	}
}

// sendReports sends the reports of the servers whose home is this instance to the
// assigner of each keyed service.
func (a *shardAssigner) sendReports(ctx context.Context) {
	c := a.coordinator
	for key, reports := range c.config.Pools.ServerReports(c.now()) {
		service, found := c.config.View.Snapshot().Service(key[0], key[1])
		if !found || service.Kind != templates.KindKeyed {
			continue
		}
		for i := range reports {
			reports[i].Server = key[0] + "/" + reports[i].Server
		}
		assigner, found := c.config.Voter.Home(assignerJob(key[0], key[1]), "")
		switch {
		case !found:
		case assigner.ID == c.common.Self.ID:
			a.storeReports(reports)
		default:
			reportCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			if c.config.Peers.ClientFor(assigner.Peer).Report(reportCtx, c.common.Self.ID, reports) != nil {
				c.common.Count("reports.missed")
			}
			cancel()
		}
	}
}

// assignAll updates the assignments of the services that this instance assigns.
func (a *shardAssigner) assignAll(ctx context.Context) {
	c := a.coordinator
	if !c.config.Candidate.IsConfirmed(c.now()) {
		return
	}
	for account, deployment := range c.config.View.Snapshot().Deployments {
		for _, service := range deployment.Services {
			if service.Kind != templates.KindKeyed {
				continue
			}
			assigner, found := c.config.Voter.Home(assignerJob(account, service.Name), "")
			if found && assigner.ID == c.common.Self.ID {
				a.assignService(ctx, account, service)
			}
		}
	}
}

func (a *shardAssigner) findState(name string) *serviceState {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.states[name]
	if s == nil {
		s = &serviceState{
			tracker:        assignment.NewMover(a.coordinator.common.Timing().Wait()),
			releaseClients: map[string]*backend.Client{},
		}
		a.states[name] = s
	}
	return s
}

// assignService plans changes of one service's assignments and writes them to the
// store. It makes no plan until a blocking set knows the current record.
func (a *shardAssigner) assignService(ctx context.Context, account string, service templates.Service) {
	c := a.coordinator
	name := assignment.RecordName(account, service.Name)
	s := a.findState(name)
	record, revision := c.config.View.Assignment(account, service.Name)
	if !a.ensureReplicated(ctx, s, name, record, revision) {
		return
	}
	a.releaseGrants(ctx, s, account, service, record)
	plan := assignment.MakePlan(record, a.makeView(s, account, service, record, revision))
	s.isBalancing = plan.Balanced > 0
	if plan.IsEmpty() {
		return
	}
	a.publishPlan(ctx, name, revision, plan)
	// The new record is replicated immediately, since the waits for the expiry of
	// old grants start when a blocking set knows it.
	record, revision = c.config.View.Assignment(account, service.Name)
	a.ensureReplicated(ctx, s, name, record, revision)
}

// ensureReplicated sends a record to the members unless a blocking set knows it
// already, and reports whether a blocking set knows it.
func (a *shardAssigner) ensureReplicated(ctx context.Context, s *serviceState, name string, record assignment.Record, revision redwingstall.Revision) bool {
	if revision == 0 || s.replicated == revision {
		return true
	}
	if !a.coordinator.ReplicateRecord(ctx, name, revision) {
		a.coordinator.common.Count("moves.notSpread")
		return false
	}
	s.replicated = revision
	s.tracker.Acknowledge(a.coordinator.now(), record)
	return true
}

func (a *shardAssigner) publishPlan(ctx context.Context, name string, oldRevision redwingstall.Revision, plan assignment.Plan) {
	c := a.coordinator
	value, err := plan.Record.Encode()
	if err != nil {
		c.common.Log.Error("encoding the assignment record failed", "error", err)
		return
	}
	_, err = c.Publish(ctx, name, oldRevision, value)
	if err != nil {
		reason := "unavailable"
		if errors.Is(err, redwingstall.ErrConflict) {
			reason = "conflict"
			_, _ = c.Read(ctx, name) // the client counts a failure; the next run retries
		}
		c.common.Count("moves.refused." + reason)
		return
	}
	a.recordChange(name, plan)
}

// recordChange keeps, logs and counts a change that was written to the store.
func (a *shardAssigner) recordChange(name string, plan assignment.Plan) {
	change := AssignmentChange{
		At:       a.coordinator.now(),
		Service:  name,
		Assigned: plan.Assigned,
		Lost:     plan.Lost,
		Leaving:  plan.Leaving,
		Balanced: plan.Balanced,
		Split:    plan.Split,
		Merged:   plan.Merged,
	}
	a.mu.Lock()
	a.recentChanges = append(a.recentChanges, change)
	a.recentChanges = a.recentChanges[max(0, len(a.recentChanges)-maxRecentChanges):]
	a.mu.Unlock()
	a.coordinator.common.Log.Info("moved", "service", name, "assigned", change.Assigned, "lost", change.Lost,
		"leaving", change.Leaving, "balanced", change.Balanced, "split", change.Split, "merged", change.Merged)
	for reason, count := range map[string]int{
		"assigned": change.Assigned, "lost": change.Lost, "leaving": change.Leaving,
		"balanced": change.Balanced, "split": change.Split, "merged": change.Merged,
	} {
		for range count {
			a.coordinator.common.Count("moves." + reason)
		}
	}
}

// releaseGrants asks the servers that check fencing tokens to release revoked
// grants before these expire.
func (a *shardAssigner) releaseGrants(ctx context.Context, s *serviceState, account string, service templates.Service, record assignment.Record) {
	now := a.coordinator.now()
	requests := sync.WaitGroup{}
	results := make(chan releaseResult, len(service.Servers))
	for serverName, grants := range s.tracker.PendingReleases(now, record) {
		server, found := a.coordinator.config.View.Snapshot().Server(account, service.Name, serverName)
		boot := a.findReport(account, serverName).Boot
		if !found || !server.ChecksFences || boot == "" {
			continue
		}
		client := s.releaseClient(server)
		order := redwingstall.ReleaseOrder{Service: service.Name, Boot: boot, Grants: grants}
		requests.Go(func() {
			releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			response, err := client.Release(releaseCtx, order)
			results <- releaseResult{grants, response, err}
		})
	}
	requests.Wait()
	close(results)
	for result := range results {
		a.recordRelease(s, result)
	}
}

type releaseResult struct {
	grants   []redwingstall.Grant
	response redwingstall.OrderResponse
	err      error
}

func (a *shardAssigner) recordRelease(s *serviceState, result releaseResult) {
	if result.err != nil {
		a.coordinator.common.Count("releases.missed")
		return
	}
	refused := map[string]bool{}
	for _, shard := range result.response.Refused {
		refused[shard] = true
	}
	for _, grant := range result.grants {
		if refused[grant.Shard] {
			a.coordinator.common.Count("releases.refused")
			continue
		}
		s.tracker.AcknowledgeRelease(grant.Shard, grant.Fence)
		a.coordinator.common.Count("releases.acknowledged")
	}
}

func (s *serviceState) releaseClient(server templates.Server) *backend.Client {
	client := s.releaseClients[server.Address]
	if client == nil {
		client = backend.NewClient(server.Address, connectionsPerServer)
		s.releaseClients[server.Address] = client
	}
	return client
}

// findReport returns the last report of a server, or an empty one if that is older
// than reportTTL.
func (a *shardAssigner) findReport(account, server string) redwingstall.ServerReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	received := a.reports[account+"/"+server]
	if a.coordinator.now().Sub(received.receivedAt) > reportTTL {
		return redwingstall.ServerReport{}
	}
	return received.report
}

// makeView collects the input of a plan.
func (a *shardAssigner) makeView(s *serviceState, account string, service templates.Service, record assignment.Record, revision redwingstall.Revision) assignment.View {
	c := a.coordinator
	now := c.now()
	view := assignment.View{
		Revision:  revision,
		Servers:   map[string]assignment.ServerView{},
		Shards:    service.Shards,
		Lapsed:    s.tracker.Lapsed(now, record),
		Unmovable: s.tracker.Unmovable(now, record),
		Loads:     map[string]float64{},
		KeyLoads:  map[string]float64{},
		MaxMoves:  c.common.Settings.Policy.MovesPerTick,
		Balance:   DefaultBalance(service.HotKeys, s.isBalancing),
	}
	for _, server := range service.Servers {
		report := a.findReport(account, server.Name)
		view.Servers[server.Name] = assignment.ServerView{
			Slots:    server.Slots,
			Eligible: c.config.View.IsEligible(account, server, now) && !report.Draining,
			Lost:     report.Lost,
		}
		for shard, rate := range report.ShardLoads {
			view.Loads[shard] += rate
		}
		for key, rate := range report.KeyLoads {
			view.KeyLoads[key] += rate
		}
	}
	return view
}

// DefaultBalance returns the balancing parameters of a service with the given limit
// of hot keys. The flag active is set while balancing is in progress.
func DefaultBalance(hotKeys int, active bool) assignment.Balance {
	const (
		start       = 1.3
		stop        = 1.1
		hotShare    = 0.1
		maxMoves    = 4
		unavailable = 300 * time.Millisecond
		horizon     = 30 * time.Second
	)
	return assignment.Balance{
		MaxMoves:    maxMoves,
		Start:       start,
		Stop:        stop,
		Unavailable: unavailable,
		Horizon:     horizon,
		HotShare:    hotShare,
		MaxHot:      hotKeys,
		Active:      active,
	}
}
