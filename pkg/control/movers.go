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

// movers moves the shards of the keyed services that this instance comes first
// for. The store's compare-and-swap decides should two do so at once.
type movers struct {
	control *Coordinator
	losses  chan struct{}

	mu       sync.Mutex
	reports  map[string]reported
	services map[string]*serviceMover
	moves    []AssignmentChange
}

// reported is a home instance's report of one backend server.
type reported struct {
	report redwingstall.ServerReport
	at     time.Time
}

// AssignmentChange is one change of a service's assignments, for operators.
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

// serviceMover is the memory for one keyed service.
type serviceMover struct {
	mover *assignment.Mover
	// spread is the revision that a blocking set last acknowledged.
	spread    redwingstall.Revision
	balancing bool
	clients   map[string]*backend.Client
}

const (
	reportLasts  = 3 * time.Second
	keptMoves    = 50
	releaseConns = 4
)

func newMovers(control *Coordinator) *movers {
	return &movers{
		control:  control,
		losses:   make(chan struct{}, 1),
		reports:  map[string]reported{},
		services: map[string]*serviceMover{},
	}
}

// moverJob names the job of moving a service's shards.
func moverJob(account, service string) string { return "mover/" + account + "/" + service }

func (m *movers) noteReports(servers []redwingstall.ServerReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, server := range servers {
		wasLost := m.reports[server.Server].report.Lost
		m.reports[server.Server] = reported{server, m.control.now()}
		if server.Lost && !wasLost {
			m.signalLoss()
		}
	}
}

func (m *movers) signalLoss() {
	select {
	case m.losses <- struct{}{}:
	default:
	}
}

// report sends what this instance sees as home to the movers.
func (m *movers) report(ctx context.Context) {
	c := m.control
	for key, servers := range c.parts.Pools.ServerReports(c.now()) {
		service, found := c.parts.View.Snapshot().Service(key[0], key[1])
		if !found || service.Kind != templates.KindKeyed {
			continue
		}
		for i := range servers {
			servers[i].Server = key[0] + "/" + servers[i].Server
		}
		mover, found := c.parts.Voter.Home(moverJob(key[0], key[1]), "")
		switch {
		case !found:
		case mover.ID == c.common.Self.ID:
			m.noteReports(servers)
		default:
			bounded, cancel := context.WithTimeout(ctx, learnTimeout)
			if c.parts.Peers.ClientFor(mover.Peer).Report(bounded, c.common.Self.ID, servers) != nil {
				c.common.Count("reports.missed")
			}
			cancel()
		}
	}
}

// step moves what has to move.
func (m *movers) step(ctx context.Context) {
	c := m.control
	if !c.parts.Candidate.IsConfirmed(c.now()) {
		return
	}
	for account, deployment := range c.parts.View.Snapshot().Deployments {
		for _, service := range deployment.Services {
			if service.Kind != templates.KindKeyed {
				continue
			}
			mover, found := c.parts.Voter.Home(moverJob(account, service.Name), "")
			if found && mover.ID == c.common.Self.ID {
				m.stepService(ctx, account, service)
			}
		}
	}
}

func (m *movers) service(name string) *serviceMover {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		s = &serviceMover{
			mover:   assignment.NewMover(m.control.common.Timing().Wait()),
			clients: map[string]*backend.Client{},
		}
		m.services[name] = s
	}
	return s
}

func (m *movers) stepService(ctx context.Context, account string, service templates.Service) {
	c := m.control
	name := assignment.RecordName(account, service.Name)
	s := m.service(name)
	record, revision := c.parts.View.Assignment(account, service.Name)
	if !m.acknowledge(ctx, s, name, record, revision) {
		return
	}
	m.release(ctx, s, account, service, record)
	plan := assignment.MakePlan(record, m.view(s, account, service, record, revision))
	s.balancing = plan.Balanced > 0
	if plan.IsEmpty() {
		return
	}
	m.publish(ctx, name, revision, plan)
	// What was published is spread at once: the waits count from then.
	record, revision = c.parts.View.Assignment(account, service.Name)
	m.acknowledge(ctx, s, name, record, revision)
}

// acknowledge makes a record known to a blocking set and reports whether it is.
func (m *movers) acknowledge(ctx context.Context, s *serviceMover, name string, record assignment.Record, revision redwingstall.Revision) bool {
	if revision == 0 || s.spread == revision {
		return true
	}
	if !m.control.ReplicateRecord(ctx, name, revision) {
		m.control.common.Count("moves.notSpread")
		return false
	}
	s.spread = revision
	s.mover.Acknowledge(m.control.now(), record)
	return true
}

func (m *movers) publish(ctx context.Context, name string, old redwingstall.Revision, plan assignment.Plan) {
	c := m.control
	value, err := plan.Record.Encode()
	if err != nil {
		c.common.Log.Error("assignment record", "error", err)
		return
	}
	_, err = c.Publish(ctx, name, old, value)
	if err != nil {
		reason := "unavailable"
		if errors.Is(err, redwingstall.ErrConflict) {
			reason = "conflict"
			_, _ = c.Read(ctx, name) // counted by the client; the next step tries again
		}
		c.common.Count("moves.refused." + reason)
		return
	}
	m.note(name, plan)
}

func (m *movers) note(name string, plan assignment.Plan) {
	move := AssignmentChange{
		At:       m.control.now(),
		Service:  name,
		Assigned: plan.Assigned,
		Lost:     plan.Lost,
		Leaving:  plan.Leaving,
		Balanced: plan.Balanced,
		Split:    plan.Split,
		Merged:   plan.Merged,
	}
	m.mu.Lock()
	m.moves = append(m.moves, move)
	m.moves = m.moves[max(0, len(m.moves)-keptMoves):]
	m.mu.Unlock()
	m.control.common.Log.Info("moved", "service", name, "assigned", move.Assigned, "lost", move.Lost,
		"leaving", move.Leaving, "balanced", move.Balanced, "split", move.Split, "merged", move.Merged)
	for reason, n := range map[string]int{
		"assigned": move.Assigned, "lost": move.Lost, "leaving": move.Leaving,
		"balanced": move.Balanced, "split": move.Split, "merged": move.Merged,
	} {
		for range n {
			m.control.common.Count("moves." + reason)
		}
	}
}

// release asks servers that check fences to give grants back before they lapse.
func (m *movers) release(ctx context.Context, s *serviceMover, account string, service templates.Service, record assignment.Record) {
	now := m.control.now()
	releasing := sync.WaitGroup{}
	results := make(chan releaseResult, len(service.Servers))
	for name, grants := range s.mover.PendingReleases(now, record) {
		server, found := m.control.parts.View.Snapshot().Server(account, service.Name, name)
		boot := m.lastReport(account, name).Boot
		if !found || !server.ChecksFences || boot == "" {
			continue
		}
		client := s.client(server)
		order := redwingstall.ReleaseOrder{Service: service.Name, Boot: boot, Grants: grants}
		releasing.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, releaseBounds)
			defer cancel()
			answer, err := client.Release(bounded, order)
			results <- releaseResult{grants, answer, err}
		})
	}
	releasing.Wait()
	close(results)
	for result := range results {
		m.noteRelease(s, result)
	}
}

type releaseResult struct {
	grants []redwingstall.Grant
	answer redwingstall.OrderResponse
	err    error
}

func (m *movers) noteRelease(s *serviceMover, result releaseResult) {
	if result.err != nil {
		m.control.common.Count("releases.missed")
		return
	}
	refused := map[string]bool{}
	for _, name := range result.answer.Refused {
		refused[name] = true
	}
	for _, grant := range result.grants {
		if refused[grant.Shard] {
			m.control.common.Count("releases.refused")
			continue
		}
		s.mover.AcknowledgeRelease(grant.Shard, grant.Fence)
		m.control.common.Count("releases.acknowledged")
	}
}

func (s *serviceMover) client(server templates.Server) *backend.Client {
	client := s.clients[server.Address]
	if client == nil {
		client = backend.NewClient(server.Address, releaseConns)
		s.clients[server.Address] = client
	}
	return client
}

func (m *movers) lastReport(account, server string) redwingstall.ServerReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.reports[account+"/"+server]
	if m.control.now().Sub(last.at) > reportLasts {
		return redwingstall.ServerReport{}
	}
	return last.report
}

// view gathers what a plan is made from.
func (m *movers) view(s *serviceMover, account string, service templates.Service, record assignment.Record, revision redwingstall.Revision) assignment.View {
	c := m.control
	now := c.now()
	view := assignment.View{
		Revision:  revision,
		Servers:   map[string]assignment.ServerView{},
		Shards:    service.Shards,
		Lapsed:    s.mover.Lapsed(now, record),
		Unmovable: s.mover.Unmovable(now, record),
		Loads:     map[string]float64{},
		KeyLoads:  map[string]float64{},
		MaxMoves:  c.common.Settings.Policy.MovesPerTick,
		Balance:   DefaultBalance(service.HotKeys, s.balancing),
	}
	for _, server := range service.Servers {
		report := m.lastReport(account, server.Name)
		view.Servers[server.Name] = assignment.ServerView{
			Slots:    server.Slots,
			Eligible: c.parts.View.IsEligible(account, server, now) && !report.Draining,
			Lost:     report.Lost,
		}
		for name, rate := range report.ShardLoads {
			view.Loads[name] += rate
		}
		for key, rate := range report.KeyLoads {
			view.KeyLoads[key] += rate
		}
	}
	return view
}

// DefaultBalance is how the moves of a service are weighed.
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
