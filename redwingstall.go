// Package redwingstall holds the interfaces between the parts of the router
// and the value types that they share. Implementations live below pkg.
//
// Times are taken from a [Clock]; the decision parts take them as arguments,
// so that tests run them in fake time.
package redwingstall

import (
	"context"
	"time"
)

// Revision is the store's version of one value. It grows with every write to
// the store, over all names. Zero means that the value does not exist.
type Revision int64

// ControlPrefix starts the names of the records that every instance knows.
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

// Store is the platform's key-value service. Implementations are safe for
// concurrent use and return the errors of their own package.
type Store interface {
	// Get returns the record, or one with revision zero where none exists.
	Get(ctx context.Context, name string) (Record, error)
	// List returns every record whose name starts with the prefix.
	List(ctx context.Context, prefix string) ([]Record, error)
	// CompareAndSwap writes the value if the record still has the revision
	// given, and returns the new revision. A write whose answer is lost is
	// settled by reading back, so that the result is always known on nil and
	// on a conflict; any other error leaves the outcome unknown.
	CompareAndSwap(ctx context.Context, name string, old Revision, value []byte) (Revision, error)
	// Watch blocks until a record under the prefix has a revision above the
	// one given, or the context ends, and returns the changed records.
	Watch(ctx context.Context, prefix string, after Revision) ([]Record, error)
}

// InstanceState is what the platform's live list says of an instance.
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

// LiveList is the platform's lagging list of live and leaving instances.
type LiveList interface {
	// Instances returns the rows as the platform knows them now.
	Instances(ctx context.Context) ([]ListedInstance, error)
	// Announce adds or changes the caller's own row.
	Announce(ctx context.Context, row ListedInstance) error
}

// Grant gives one backend server the right to serve one shard.
type Grant struct {
	// Shard is the name of the shard within its service.
	Shard string `json:"shard"`
	// Fence grows with each change of owner of the shard.
	Fence int64 `json:"fence"`
	// Except names the keys of the shard that have an entry of their own.
	Except []string `json:"except,omitempty"`
}

// GrantOrder extends the grants of one backend server.
type GrantOrder struct {
	Service string `json:"service"`
	// Boot is the process of the server that the order is meant for.
	Boot string `json:"boot"`
	// ValidUntil is in the server's own clock, so that an order that is
	// delayed or doubled extends nothing.
	ValidUntil time.Duration `json:"validUntilNanos"`
	Grants     []Grant       `json:"grants"`
}

// ReleaseOrder ends grants before they lapse.
type ReleaseOrder struct {
	Service string `json:"service"`
	Boot    string `json:"boot"`
	// Grants are ended up to and including their fence.
	Grants []Grant `json:"grants"`
}

// OrderAnswer is a backend server's answer to an order.
type OrderAnswer struct {
	// Boot names the server's process; a new one starts cold.
	Boot string `json:"boot"`
	// Clock is the server's monotonic clock when it answered.
	Clock time.Duration `json:"clockNanos"`
	// InFlight counts the requests in the server's slots by home instance.
	InFlight map[string]int `json:"inFlight,omitempty"`
	// Refused names the shards whose grant or release was refused.
	Refused []string `json:"refused,omitempty"`
	// Draining is set while the server leaves by its own decision.
	Draining bool `json:"draining,omitempty"`
}

// BackendServer takes orders. Requests go through the path of package backend.
type BackendServer interface {
	// Grant extends grants; the answer names the shards that it refused.
	Grant(ctx context.Context, order GrantOrder) (OrderAnswer, error)
	// Release ends grants; the answer comes after the requests under them end.
	Release(ctx context.Context, order ReleaseOrder) (OrderAnswer, error)
	// Status reads the server's boot, clock and requests in flight.
	Status(ctx context.Context) (OrderAnswer, error)
}

// Vote is one voter's answer to a candidate.
type Vote struct {
	Voter     string
	Granted   bool
	Refusal   string
	Revisions map[string]Revision
	// Excluded has the age of each exclusion that the voter holds.
	Excluded map[string]time.Duration
}

// Candidacy is one instance's request for a vote.
type Candidacy struct {
	Candidate      string
	MemberRevision Revision
	// HasReachedMajority is set when the previous round was answered by a majority.
	HasReachedMajority bool
	// AppliedConfig is the configuration revision in force at the candidate.
	AppliedConfig Revision
}

// HandOver gives up pools of backend servers to their next home instance.
type HandOver struct {
	From           string
	MemberRevision Revision
	Pools          []string
	Limits         []ServerLimit
}

// ServerLimit is the admission state of one backend server.
type ServerLimit struct {
	Server string
	// Limit is the number of requests that it bears at one time.
	Limit float64
	Boot  string
}

// ServerReport is what a home instance sees of one backend server.
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
	// Confirm asks for a vote.
	Confirm(ctx context.Context, candidacy Candidacy) (Vote, error)
	// Learn hands over records and returns the revisions known afterwards.
	// Complete is set when the records are all that the sender knows.
	Learn(ctx context.Context, records []Record, complete bool) (voter string, known map[string]Revision, err error)
	// Fetch returns every record that the peer knows.
	Fetch(ctx context.Context) ([]Record, error)
	// HandOver offers pools; it reports whether the peer took them.
	HandOver(ctx context.Context, offer HandOver) (bool, error)
	// Report tells the mover of a service what the home instance sees.
	Report(ctx context.Context, from string, servers []ServerReport) error
}

// Clock tells the time. The zero [SystemClock] is the machine's.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's clock; its times carry a monotonic reading.
type SystemClock struct{}

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }

// Balancer chooses among candidates by their cost.
type Balancer interface {
	// Pick returns the index of the choice, or -1 where no candidate is left.
	Pick(costs []float64) int
}
