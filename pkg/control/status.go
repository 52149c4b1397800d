package control

import (
	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/home"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// Status is the state of the coordination, for operators.
type Status struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	Ready         bool   `json:"ready"`
	StoreHealthy  bool   `json:"storeHealthy"`
	// Confirmed is set while the last confirmed voting round allows this instance
	// to act.
	Confirmed      bool                  `json:"confirmed"`
	MemberRevision redwingstall.Revision `json:"memberRevision"`
	ConfigRevision redwingstall.Revision `json:"configRevision"`
	Members        []MemberStatus        `json:"members"`
	// FailureDomainsOut says of each failure domain whether it is out of service,
	// so that its servers get no new requests.
	FailureDomainsOut map[string]bool                  `json:"failureDomainsOut"`
	Services          []ServiceStatus                  `json:"services"`
	Pools             []home.PoolStatus                `json:"pools"`
	Moves             []AssignmentChange               `json:"moves"`
	RecordRevisions   map[string]redwingstall.Revision `json:"recordRevisions"`
}

// MemberStatus is the state of one member as this instance knows it.
type MemberStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	// AppliedConfig is the configuration revision that the member has applied.
	AppliedConfig redwingstall.Revision `json:"appliedConfig"`
	// IsConfigStale is set if that revision is older than this instance's.
	IsConfigStale bool `json:"lags"`
}

// ServiceStatus counts the shards of a keyed service by state.
type ServiceStatus struct {
	Name     string                `json:"name"`
	Revision redwingstall.Revision `json:"revision"`
	Shards   map[string]int        `json:"shards"`
	// HotKeys is the number of keys with an entry of their own.
	HotKeys int `json:"hotKeys"`
}

// Status returns the state of the coordination as this instance knows it.
func (c *Coordinator) Status() Status {
	now := c.now()
	snapshot := c.config.View.Snapshot()
	members, memberRevision := c.config.Voter.Members()
	status := Status{
		Instance:          c.common.Self.ID,
		FailureDomain:     c.common.Self.FailureDomain,
		Ready:             c.IsReady(),
		StoreHealthy:      c.IsStoreHealthy(),
		Confirmed:         c.config.Candidate.IsConfirmed(now),
		MemberRevision:    memberRevision,
		ConfigRevision:    snapshot.Revision,
		FailureDomainsOut: map[string]bool{},
		Pools:             c.config.Pools.Status(now),
		RecordRevisions:   c.config.Voter.Revisions(),
	}
	states, applied := c.config.Voter.States()
	for _, member := range members.Current {
		state, revision := string(states[member.ID]), applied[member.ID]
		if member.ID == c.common.Self.ID {
			state, revision = "self", snapshot.Revision
		}
		status.Members = append(status.Members, MemberStatus{
			ID:            member.ID,
			FailureDomain: member.FailureDomain,
			State:         state,
			AppliedConfig: revision,
			IsConfigStale: revision < snapshot.Revision,
		})
	}
	for account, deployment := range snapshot.Deployments {
		for _, domain := range deployment.FailureDomains() {
			status.FailureDomainsOut[domain] = c.config.View.IsDomainOut(domain, now)
		}
		for _, service := range deployment.Services {
			if service.Kind == templates.KindKeyed {
				status.Services = append(status.Services, c.serviceStatus(account, service.Name))
			}
		}
	}
	c.assigner.mu.Lock()
	defer c.assigner.mu.Unlock()
	status.Moves = append(status.Moves, c.assigner.recentChanges...)
	return status
}

func (c *Coordinator) serviceStatus(account, service string) ServiceStatus {
	record, revision := c.config.View.Assignment(account, service)
	status := ServiceStatus{
		Name:     account + "/" + service,
		Revision: revision,
		Shards:   map[string]int{},
		HotKeys:  len(record.Hot),
	}
	for _, entry := range record.Shards {
		state := string(entry.State)
		if entry.State == assignment.ShardUnowned {
			state = "unowned"
		}
		status.Shards[state]++
	}
	return status
}
