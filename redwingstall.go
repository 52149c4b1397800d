// Package redwingstall defines the interfaces between the components of the
// router and the value types that they share.
// Implementations are in packages below pkg.
//
// Times come from a [Clock]. Components that decide take the time as an argument,
// so that tests can run them with simulated time.
package redwingstall

import (
	"context"
	"time"
)

// Revision is the version of a value in the store. It grows with every write to
// the store under any name. Zero means that the value does not exist.
type Revision int64

// ControlPrefix is the prefix of the names of the records that are replicated to
// every instance.
const ControlPrefix = "control/"

// Record is a named, versioned value of the platform's store.
type Record struct {
	// Name of the value, slash separated.
	Name string
	// Revision of the write that made this value.
	Revision Revision
	// Value as written, at most 1 MiB.
	Value []byte
}

// Store is the platform's key-value store. Implementations are safe for concurrent
// use and return errors of their own package.
type Store interface {
	// Get returns the record, or one with revision zero where none exists.
	Get(ctx context.Context, name string) (Record, error)
	// List returns every record whose name starts with the prefix.
	List(ctx context.Context, prefix string) ([]Record, error)
	// CompareAndSwap writes the value if the record still has the given revision,
	// and returns the new revision. If the response to a write is lost, the
	// implementation reads the record back. The result is therefore certain if
	// the error is nil or a conflict; with any other error it is unknown.
	CompareAndSwap(ctx context.Context, name string, old Revision, value []byte) (Revision, error)
	// Watch blocks until a record under the prefix has a revision above after, or
	// until the context ends. It returns the changed records.
	Watch(ctx context.Context, prefix string, after Revision) ([]Record, error)
}

// InstanceState is the state of an instance in the platform's live list.
type InstanceState string

// The states in the platform's live list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is one row of the platform's live list.
type ListedInstance struct {
	Name  string        `json:"name"`
	Boot  string        `json:"boot"`
	Peer  string        `json:"peer"`
	State InstanceState `json:"state"`
}

// LiveList is the platform's list of live and leaving instances. It lags behind
// the actual state.
type LiveList interface {
	// Instances returns the current rows of the list.
	Instances(ctx context.Context) ([]ListedInstance, error)
	// Announce adds or updates the caller's own row.
	Announce(ctx context.Context, row ListedInstance) error
}

// Grant gives one backend server the right to serve one shard.
type Grant struct {
	// Shard is the name of the shard within its service.
	Shard string `json:"shard"`
	// Fence is the fencing token, which grows with each change of the shard's owner.
	Fence int64 `json:"fence"`
	// Except lists the keys of the shard that are granted separately.
	Except []string `json:"except,omitempty"`
}

// GrantOrder extends the grants of one backend server.
type GrantOrder struct {
	Service string `json:"service"`
	// Boot identifies the server process that the order is for.
	Boot string `json:"boot"`
	// ValidUntil is a reading of the server's own clock, so that a delayed or
	// duplicated order does not extend the grants.
	ValidUntil time.Duration `json:"validUntilNanos"`
	Grants     []Grant       `json:"grants"`
}

// ReleaseOrder ends grants before they expire.
type ReleaseOrder struct {
	Service string `json:"service"`
	Boot    string `json:"boot"`
	// Grants lists the shards, each with the highest fencing token to release.
	Grants []Grant `json:"grants"`
}

// OrderResponse is a backend server's response to an order.
type OrderResponse struct {
	// Boot identifies the server process; a new process starts cold.
	Boot string `json:"boot"`
	// Clock is the reading of the server's monotonic clock when it answered.
	Clock time.Duration `json:"clockNanos"`
	// InFlight has the number of requests in the server's slots by home instance.
	InFlight map[string]int `json:"inFlight,omitempty"`
	// Refused lists the shards whose grant or release was refused.
	Refused []string `json:"refused,omitempty"`
	// Draining is set while the server drains by its own decision.
	Draining bool `json:"draining,omitempty"`
}

// BackendServer is the control interface of a backend server. Client requests are
// sent by package backend.
type BackendServer interface {
	// Grant extends grants. The response lists the shards that were refused.
	Grant(ctx context.Context, order GrantOrder) (OrderResponse, error)
	// Release ends grants. It returns after the requests under them have ended.
	Release(ctx context.Context, order ReleaseOrder) (OrderResponse, error)
	// Status returns the server's boot id, clock reading and requests in flight.
	Status(ctx context.Context) (OrderResponse, error)
}

// Vote is one voter's response to a candidate.
type Vote struct {
	Voter     string
	Granted   bool
	Refusal   string
	Revisions map[string]Revision
	// Excluded has the time since the voter excluded each excluded member.
	Excluded map[string]time.Duration
}

// Candidacy is one instance's request for a vote.
type Candidacy struct {
	Candidate      string
	MemberRevision Revision
	// HasReachedMajority is set if a majority answered the candidate's previous round.
	HasReachedMajority bool
	// AppliedConfig is the configuration revision that the candidate has applied.
	AppliedConfig Revision
}

// HandOver transfers pools of backend servers to their next home instance.
type HandOver struct {
	From           string
	MemberRevision Revision
	Pools          []string
	Limits         []ServerLimit
}

// ServerLimit is the admission state of one backend server.
type ServerLimit struct {
	Server string
	// Limit is the server's limit of concurrent requests.
	Limit float64
	Boot  string
}

// ServerReport is the state of one backend server as observed by its home instance.
type ServerReport struct {
	Server   string
	Lost     bool
	Draining bool
	Boot     string
	// ShardLoads and KeyLoads are in requests a second.
	ShardLoads map[string]float64
	KeyLoads   map[string]float64
}

// Peer is another entry instance.
type Peer interface {
	// Confirm requests a vote.
	Confirm(ctx context.Context, candidacy Candidacy) (Vote, error)
	// Learn sends records to the peer and returns the peer's id and the revisions
	// that it knows afterwards. Complete is set if the sender knows no other
	// records.
	Learn(ctx context.Context, records []Record, complete bool) (voter string, known map[string]Revision, err error)
	// Fetch returns all records that the peer knows.
	Fetch(ctx context.Context) ([]Record, error)
	// HandOver offers pools to the peer and reports whether it accepted them.
	HandOver(ctx context.Context, offer HandOver) (bool, error)
	// Report sends the home instance's observations to the mover of a service.
	Report(ctx context.Context, from string, servers []ServerReport) error
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's clock. Its times include a monotonic reading. The
// zero value is ready to use.
type SystemClock struct{}

// Now returns the machine's current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Balancer selects one of several candidates by cost.
type Balancer interface {
	// Pick returns the index of the selected candidate, or -1 if there is none.
	Pick(costs []float64) int
}
