package redwingstall

import (
	"context"
	"net/http"
	"time"
)

// RouteKind says how often a request of a route may run.
type RouteKind string

// The kinds of routes.
const (
	// KindSafe is idempotent and may be sent to a second backend server.
	KindSafe RouteKind = "safe"
	// KindUnsafe runs at most once for each client attempt.
	KindUnsafe RouteKind = "unsafe"
	// KindDownload is idempotent with a large answer.
	KindDownload RouteKind = "download"
)

// Idempotent reports whether a request may run more than once.
func (k RouteKind) Idempotent() bool { return k != KindUnsafe }

// RoutePart is one service of a route with its share of the requests.
type RoutePart struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash; the longest match wins.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the latency objective.
	Target time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Priority is the rank of the route; 0 goes first.
	Priority int
	Parts    []RoutePart
}

// ServiceSpec is what the operator says of one service.
type ServiceSpec struct {
	Name       string
	HealthPath string
	// MaxConnections that one backend server accepts from all callers.
	MaxConnections int
	// Warmup is how long a backend server is slow after its start.
	Warmup time.Duration
	// WarmupRate is what a cold backend server bears, in requests a second.
	WarmupRate float64
	// Sharded services run a request only at the owner of its key.
	Sharded bool
}

// CallerLimits bound what a client may send, and how slowly.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what the operator wrote.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceSpec
	Limits   CallerLimits
}

// BackendEntry is what a backend server says of itself in service discovery.
type BackendEntry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// WarmupLeft is counted from the writing of the entry.
	WarmupLeft time.Duration
	// StartedAtMillis is the Unix millisecond of the start of the process.
	StartedAtMillis int64
}

// Item is one value of the metadata store.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease that the item lives as long as, or 0.
	Lease int64
}

// Change is one event of a watch. A deleted item has no value.
type Change struct {
	Item
	Deleted bool
}

// Expectation is a condition of a transaction: the key has this revision, or
// does not exist where it is zero.
type Expectation struct {
	Key      string
	Revision Revision
}

// Transaction is written as a whole or not at all.
type Transaction struct {
	Expect []Expectation
	Writes []Item
	Remove []string
}

// MetadataStore is a key-value store with transactions, watches and leases.
// Errors are marked with [ErrConflict], [ErrUnavailable], [ErrCompacted] or
// [ErrLeaseEnded]. A call without an answer may still take effect.
type MetadataStore interface {
	// Range returns all items below a prefix and the revision that a watch
	// continues from.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes after a revision, at most for the wait given.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
	Commit(ctx context.Context, change Transaction) (Revision, error)
	OpenLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepLease(ctx context.Context, lease int64) error
	EndLease(ctx context.Context, lease int64) error
}

// KeyRange is a range of keys, both ends inclusive.
type KeyRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Keys is the number of keys that a sharded service is divided into.
const Keys = 1 << 16

// Len is the number of keys in the range.
func (r KeyRange) Len() int { return r.To - r.From + 1 }

// KeyGrant lets a backend server run requests on a range of keys for a time.
type KeyGrant struct {
	KeyRange
	Fence int64
	TTL   time.Duration
	// Handover is what the former owner returned on release, or empty.
	Handover string
}

// KeyOwner takes orders about keys. An order without an answer is marked with
// [ErrUnavailable] and may be applied seconds later. [ErrFenced] is a grant
// below a token that the server has seen; [ErrConnectionRefused] is a connection that
// nothing listens to; [ErrOtherServer] is an address that another server has
// taken over, which ignores the order.
type KeyOwner interface {
	Grant(ctx context.Context, server, address string, grant KeyGrant) error
	// Release returns the handover once the work on the keys has ended.
	Release(ctx context.Context, server, address string, keys KeyRange, fence int64) (handover string, err error)
}

// RequestMeta is what a request's headers say to the router.
type RequestMeta struct {
	ID string
	// ClientTimeout is how long the client waits; zero where it does not say.
	ClientTimeout time.Duration
	// Key of a request to a sharded service.
	Key    int
	HasKey bool
}

// ServerLoad is what a backend server tells about itself on an answer.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes now against the usual time.
	Slowdown float64
}

// AnswerMeta is what an answer's headers say to the router.
type AnswerMeta struct {
	ID          string
	IsSigned    bool
	NotExecuted bool
	Load        ServerLoad
	HasLoad     bool
	// WarmupLeft is how much longer the server stays cold.
	WarmupLeft time.Duration
	HasWarmup  bool
}

// GatewayProtocol reads and writes the headers of the request path.
type GatewayProtocol interface {
	// Request reads a request's headers; the error names the bad one.
	Request(header http.Header) (RequestMeta, error)
	// Attempt sets the headers of one attempt at a backend server.
	Attempt(header http.Header, server string, left time.Duration)
	Answer(header http.Header) AnswerMeta
	// RetryAfter sets when the client should come back.
	RetryAfter(header http.Header, pause time.Duration)
	// Echo sets the request id on an answer of the router's own.
	Echo(header http.Header, id string)
}

// Event is a change of the outside world in the router's own types.
type Event interface{ isEvent() }

// ConfigurationChanged is a new configuration.
type ConfigurationChanged struct{ Configuration Configuration }

// EvacuationChanged takes a failure domain out of use, or back.
type EvacuationChanged struct {
	FailureDomain string
	IsActive      bool
}

// EntryChanged is what a backend server says of itself now.
type EntryChanged struct{ Entry BackendEntry }

// EntryRemoved is a backend server whose entry is gone or unreadable.
type EntryRemoved struct{ ID string }

// RecordChanged is a change of one of the router's own records.
type RecordChanged struct{ Change Change }

func (ConfigurationChanged) isEvent() {}
func (EvacuationChanged) isEvent()    {}
func (EntryChanged) isEvent()         {}
func (EntryRemoved) isEvent()         {}
func (RecordChanged) isEvent()        {}

// Decoder turns changes of the metadata store into events. A change that
// cannot be read may come with both an event and an error.
type Decoder interface {
	Decode(change Change) (Event, error)
}
