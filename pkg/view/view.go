// Package view turns the records that an instance knows into what its parts
// ask for: services, pools, owners and who may get new work.
package view

import (
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// Pool is the backend servers of one service in one failure domain.
type Pool struct {
	// Name is account/service/failureDomain.
	Name          string
	Account       string
	Service       templates.Service
	FailureDomain string
	Servers       []templates.Server
}

// JobName is the name under which the instances rank themselves for the pool.
func (p Pool) JobName() string { return "pool/" + p.Name }

// PoolName names a pool.
func PoolName(account, service, failureDomain string) string {
	return account + "/" + service + "/" + failureDomain
}

// Snapshot is one revision of the configuration, rendered.
type Snapshot struct {
	Revision    redwingstall.Revision
	Document    templates.Document
	Deployments map[string]templates.Deployment
	Pools       map[string]Pool
	services    map[string]templates.Service
	// pools has the names of a service's pools, by account/service.
	pools map[string][]string
}

// Service returns a service of an account.
func (s *Snapshot) Service(account, service string) (templates.Service, bool) {
	found, ok := s.services[account+"/"+service]
	return found, ok
}

// PoolsOf returns the names of a service's pools.
func (s *Snapshot) PoolsOf(account, service string) []string {
	return s.pools[account+"/"+service]
}

// Server returns a server of a service.
func (s *Snapshot) Server(account, service, name string) (templates.Server, bool) {
	for _, server := range s.services[account+"/"+service].Servers {
		if server.Name == name {
			return server, true
		}
	}
	return templates.Server{}, false
}

// View caches what the voter's records say. It is safe for concurrent use.
type View struct {
	voter *membership.Voter
	lead  time.Duration
	skew  time.Duration

	mu          sync.Mutex
	snapshot    *Snapshot
	silent      map[string]bool
	silentAt    time.Time
	assignments map[string]decoded
	leaving     map[string]bool
}

// decoded is an assignment record at a revision.
type decoded struct {
	revision redwingstall.Revision
	record   assignment.Record
}

// NewView returns a view of a voter's records. Quiet hours begin the lead
// earlier, so that work has left when they do.
func NewView(voter *membership.Voter, lead, skew time.Duration) *View {
	return &View{
		voter:       voter,
		lead:        lead,
		skew:        skew,
		snapshot:    render(redwingstall.Record{}, nil),
		assignments: map[string]decoded{},
		leaving:     map[string]bool{},
	}
}

// Snapshot returns the configuration in force.
func (v *View) Snapshot() *Snapshot {
	record := v.voter.Record(templates.RecordName)
	v.mu.Lock()
	defer v.mu.Unlock()
	if record.Revision > v.snapshot.Revision {
		v.snapshot = render(record, v.snapshot)
		v.silentAt = time.Time{}
	}
	return v.snapshot
}

// render makes a snapshot. A document is checked before it is accepted; should
// one not render all the same, the deployments before it stay in force and the
// failure domains and servers taken out are those of the new one.
func render(record redwingstall.Record, last *Snapshot) *Snapshot {
	next := &Snapshot{Revision: record.Revision}
	document, err := templates.DecodeDocument(record.Value)
	if err == nil {
		next.Document = document
		next.Deployments, err = document.Deployments()
	}
	if err != nil && last != nil {
		next.Deployments = last.Deployments
	}
	next.index()
	return next
}

func (s *Snapshot) index() {
	s.Pools = map[string]Pool{}
	s.services = map[string]templates.Service{}
	s.pools = map[string][]string{}
	for account, deployment := range s.Deployments {
		for _, service := range deployment.Services {
			s.indexService(account, service)
		}
	}
}

func (s *Snapshot) indexService(account string, service templates.Service) {
	key := account + "/" + service.Name
	s.services[key] = service
	for _, server := range service.Servers {
		name := PoolName(account, service.Name, server.FailureDomain)
		pool, found := s.Pools[name]
		if !found {
			pool = Pool{Name: name, Account: account, Service: service, FailureDomain: server.FailureDomain}
			s.pools[key] = append(s.pools[key], name)
		}
		pool.Servers = append(pool.Servers, server)
		s.Pools[name] = pool
	}
}

// SetLeavingServers notes which backend servers, by account/name, the platform's live
// list names as leaving.
func (v *View) SetLeavingServers(leaving map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = leaving
}

const silenceRefresh = 200 * time.Millisecond

// IsDomainOut reports whether a failure domain gets no new work: operators took it
// out, or its quiet hours are near or on.
func (v *View) IsDomainOut(failureDomain string, now time.Time) bool {
	snapshot := v.Snapshot()
	v.mu.Lock()
	defer v.mu.Unlock()
	if snapshot.Document.DomainsOut[failureDomain] {
		return true
	}
	if v.silent == nil || v.silentAt.IsZero() || now.Sub(v.silentAt) >= silenceRefresh || now.Before(v.silentAt) {
		v.silent = silentDomains(snapshot, now, v.lead, v.skew)
		v.silentAt = now
	}
	return v.silent[failureDomain]
}

func silentDomains(snapshot *Snapshot, now time.Time, lead, skew time.Duration) map[string]bool {
	silent := map[string]bool{}
	for _, deployment := range snapshot.Deployments {
		for domain := range deployment.QuietDomains(now, lead, skew) {
			silent[domain] = true
		}
	}
	return silent
}

// IsEligible reports whether a backend server may get new work, as far as
// operators and the platform say.
func (v *View) IsEligible(account string, server templates.Server, now time.Time) bool {
	if v.IsDomainOut(server.FailureDomain, now) {
		return false
	}
	id := account + "/" + server.Name
	if v.Snapshot().Document.ServersLeaving[id] {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.leaving[id]
}

// Assignment returns the owners of a keyed service and their revision.
func (v *View) Assignment(account, service string) (assignment.Record, redwingstall.Revision) {
	name := assignment.RecordName(account, service)
	stored := v.voter.Record(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	cached := v.assignments[name]
	if stored.Revision <= cached.revision {
		return cached.record, cached.revision
	}
	record, err := assignment.DecodeRecord(stored.Value)
	if err != nil {
		return cached.record, cached.revision
	}
	v.assignments[name] = decoded{stored.Revision, record}
	return record, stored.Revision
}
