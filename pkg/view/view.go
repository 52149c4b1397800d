// Package view derives from the records that an instance knows what its components need:
// services, pools, shard owners, and the backend servers that are eligible for new work.
package view

import (
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// Pool is the set of backend servers of one service in one failure domain.
type Pool struct {
	// Name is account/service/failureDomain.
	Name          string
	Account       string
	Service       templates.Service
	FailureDomain string
	Servers       []templates.Server
}

// JobName returns the pool's job name, by which instances are ranked.
func (p Pool) JobName() string { return "pool/" + p.Name }

// PoolName returns the name of a pool.
func PoolName(account, service, failureDomain string) string {
	return account + "/" + service + "/" + failureDomain
}

// Snapshot is one revision of the configuration with its templates rendered.
type Snapshot struct {
	Revision    redwingstall.Revision
	Document    templates.Document
	Deployments map[string]templates.Deployment
	Pools       map[string]Pool
	services    map[string]templates.Service
	// poolNames maps account/service to the names of the service's pools.
	poolNames map[string][]string
}

// Service returns a service of an account.
func (s *Snapshot) Service(account, service string) (templates.Service, bool) {
	found, ok := s.services[account+"/"+service]
	return found, ok
}

// PoolsOf returns the names of a service's pools.
func (s *Snapshot) PoolsOf(account, service string) []string {
	return s.poolNames[account+"/"+service]
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

// View caches the decoded records of a voter. It is safe for concurrent use.
type View struct {
	voter     *membership.Voter
	quietLead time.Duration
	skewBound time.Duration

	mu             sync.Mutex
	snapshot       *Snapshot
	quietDomains   map[string]bool
	quietDomainsAt time.Time
	assignments    map[string]cachedAssignment
	leavingServers map[string]bool
}

// cachedAssignment is a decoded assignment record and its revision.
type cachedAssignment struct {
	revision redwingstall.Revision
	record   assignment.Record
}

// NewView returns a view of a voter's records. Quiet hours take effect quietLead before
// they begin, so that work has moved away by then.
func NewView(voter *membership.Voter, quietLead, skewBound time.Duration) *View {
	return &View{
		voter:          voter,
		quietLead:      quietLead,
		skewBound:      skewBound,
		snapshot:       render(redwingstall.Record{}, nil),
		assignments:    map[string]cachedAssignment{},
		leavingServers: map[string]bool{},
	}
}

// Snapshot returns the configuration in effect.
func (v *View) Snapshot() *Snapshot {
	record := v.voter.Record(templates.RecordName)
	v.mu.Lock()
	defer v.mu.Unlock()
	if record.Revision > v.snapshot.Revision {
		v.snapshot = render(record, v.snapshot)
		v.quietDomainsAt = time.Time{}
	}
	return v.snapshot
}

// render returns the snapshot of a record. A document is validated before it is accepted.
// If one fails to render nevertheless, the snapshot keeps the previous deployments, but
// has DomainsOut and ServersLeaving of the new document.
func render(record redwingstall.Record, previous *Snapshot) *Snapshot {
	next := &Snapshot{Revision: record.Revision}
	document, err := templates.DecodeDocument(record.Value)
	if err == nil {
		next.Document = document
		next.Deployments, err = document.Deployments()
	}
	if err != nil && previous != nil {
		next.Deployments = previous.Deployments
	}
	next.index()
	return next
}

func (s *Snapshot) index() {
	s.Pools = map[string]Pool{}
	s.services = map[string]templates.Service{}
	s.poolNames = map[string][]string{}
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
			s.poolNames[key] = append(s.poolNames[key], name)
		}
		pool.Servers = append(pool.Servers, server)
		s.Pools[name] = pool
	}
}

// SetLeavingServers sets the backend servers, by account/name, that are leaving according
// to the platform's live list.
func (v *View) SetLeavingServers(leaving map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leavingServers = leaving
}

// quietRefreshInterval is how long the result of evaluating the quiet hours is cached.
const quietRefreshInterval = 200 * time.Millisecond

// IsDomainOut reports whether a failure domain gets no new work, because operators took it
// out of service, or because its quiet hours are near or in effect.
func (v *View) IsDomainOut(failureDomain string, now time.Time) bool {
	snapshot := v.Snapshot()
	v.mu.Lock()
	defer v.mu.Unlock()
	if snapshot.Document.DomainsOut[failureDomain] {
		return true
	}
	if v.quietDomains == nil || v.quietDomainsAt.IsZero() || now.Sub(v.quietDomainsAt) >= quietRefreshInterval || now.Before(v.quietDomainsAt) {
		v.quietDomains = quietDomainsOf(snapshot, now, v.quietLead, v.skewBound)
		v.quietDomainsAt = now
	}
	return v.quietDomains[failureDomain]
}

func quietDomainsOf(snapshot *Snapshot, now time.Time, quietLead, skewBound time.Duration) map[string]bool {
	quiet := map[string]bool{}
	for _, deployment := range snapshot.Deployments {
		for domain := range deployment.QuietDomains(now, quietLead, skewBound) {
			quiet[domain] = true
		}
	}
	return quiet
}

// IsEligible reports whether operators and the platform allow new work on a backend
// server. It does not consider the server's health or load.
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
	return !v.leavingServers[id]
}

// Assignment returns the shard owners of a keyed service and the revision of their record.
// If the latest record cannot be decoded, it returns the one before.
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
	v.assignments[name] = cachedAssignment{stored.Revision, record}
	return record, stored.Revision
}
