package redwingstall

import (
	"cmp"
	"context"
	"net/http"
	"time"
)

// RouteKind classifies routes by whether a request may run more than once.
type RouteKind string

// The kinds of routes.
const (
	// KindSafe requests are idempotent and may be sent to a second backend server.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests run at most once for each client attempt.
	KindUnsafe RouteKind = "unsafe"
	// KindDownload requests are idempotent and have large responses.
	KindDownload RouteKind = "download"
	// KindUpload requests have large bodies and run at most once for each client attempt.
	KindUpload RouteKind = "upload"
)

// IsIdempotent reports whether a request of this kind may run more than once. A request
// of an unknown kind may not.
func (k RouteKind) IsIdempotent() bool { return k == KindSafe || k == KindDownload }

// IsKnown reports whether the kind is one of those defined here.
func (k RouteKind) IsKnown() bool {
	return k.IsIdempotent() || k == KindUnsafe || k == KindUpload
}

// WeightedService is one service of a route and its weight in the traffic split.
type WeightedService struct {
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
	// Timeout bounds the time that a caller waits for a response.
	Timeout time.Duration
	// Target is the latency objective.
	Target time.Duration
	// MaxAttempts limits the number of backend servers that one request is sent to.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	Parts    []WeightedService
}

// ServiceSpec is the operator's configuration of one service.
type ServiceSpec struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts
	// from all callers together.
	MaxConnections int
	// Warmup is how long a backend server is slow after its start.
	Warmup time.Duration
	// WarmupRate is the capacity of a cold backend server, in requests per second.
	WarmupRate float64
	// Sharded is set if only the owner of a request's key may run the request.
	Sharded bool
}

// CallerLimits limit the size and the duration of a client's requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceSpec
	Limits   CallerLimits
	// Accounts are the client accounts. HasAccounts is set if the configuration names any.
	Accounts    []ClientAccount
	HasAccounts bool
}

// ClientAccount is a client account with its API keys.
type ClientAccount struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the limit in requests per second, and 0 means none. Burst is the number of
	// requests that an idle account may send at once.
	Rate  float64
	Burst float64
}

// BackendEntry is a backend server's own entry in service discovery.
type BackendEntry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// WarmupLeft is the remaining warm-up time when the entry was written.
	WarmupLeft time.Duration
	// StartedAtMillis is the start time of the process in Unix milliseconds.
	StartedAtMillis int64
	// Sequence rises with each entry that the process writes. It restarts with the process.
	Sequence int64
}

// IsOlderThan reports whether the entry was written before another one of the same server.
func (e BackendEntry) IsOlderThan(other BackendEntry) bool {
	return cmp.Or(cmp.Compare(e.StartedAtMillis, other.StartedAtMillis), cmp.Compare(e.Sequence, other.Sequence)) < 0
}

// Era numbers the times between two recoveries of the metadata store from an older
// copy. A recovery loses what was written after the copy, and raises the era by one.
// Revisions and lease ids are assigned again in each era: those of different eras cannot
// be compared. A store that never goes back may report no era, which is zero.
type Era int64

// Position is a revision of the metadata store, in the era that assigned it.
type Position struct {
	Era      Era
	Revision Revision
}

// Lease is a lease of the metadata store, in the era that assigned its id.
type Lease struct {
	Era Era
	ID  int64
}

// Item is one value of the metadata store.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease is the id of the lease with which the item expires, or 0.
	Lease int64
}

// Change is one event of a watch. A deleted item has no value.
type Change struct {
	Item
	Deleted bool
}

// Expectation is a condition of a transaction: the key has the given revision, or
// does not exist if the revision is zero.
type Expectation struct {
	Key      string
	Revision Revision
}

// Transaction is a set of conditions and writes that is applied atomically.
type Transaction struct {
	// Era is the era of the revisions and leases in the transaction.
	Era    Era
	Expect []Expectation
	Writes []Item
	Remove []string
}

// MetadataStore is a key-value store with transactions, watches and leases.
// Errors are marked with [ErrConflict], [ErrUnavailable], [ErrCompacted],
// [ErrLeaseEnded] or [ErrEraChanged]. A call without a response may still take effect,
// even in a later era.
type MetadataStore interface {
	// Range returns all items under a prefix, and the position from which a watch
	// continues.
	Range(ctx context.Context, prefix string) ([]Item, Position, error)
	// Watch waits up to wait for changes after a position. It returns the changes and
	// the position from which the next watch continues. It fails with ErrEraChanged if
	// the store has left the era of the position.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Change, Position, error)
	// Commit applies a transaction and returns its revision. With ErrEraChanged the store
	// has left the era of the transaction, which may have been applied in another one.
	Commit(ctx context.Context, change Transaction) (Revision, error)
	OpenLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease fails with ErrEraChanged if the store has left the era of the lease.
	RenewLease(ctx context.Context, lease Lease) error
}

// KeyRange is a range of keys, both ends inclusive.
type KeyRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// KeyCount is the number of keys that a sharded service is divided into.
const KeyCount = 1 << 16

// Len is the number of keys in the range.
func (r KeyRange) Len() int { return r.To - r.From + 1 }

// KeyGrant permits a backend server to run requests on a range of keys for a
// limited time.
type KeyGrant struct {
	KeyRange
	Fence int64
	TTL   time.Duration
	// Handover is the data that the previous owner returned on release, or empty.
	Handover string
}

// KeyOwner grants keys to backend servers and releases them. Errors are marked:
// [ErrUnavailable] means that the server did not answer, and may still apply the
// command seconds later, unless [ErrNotSent] is added. [ErrFenced] means that the server has seen a higher
// fencing token. [ErrAddressReassigned] means that another server answers at the address; it
// ignores the command. The meta is what the server's response says, if there is one, also
// beside an error.
type KeyOwner interface {
	Grant(ctx context.Context, server, address string, grant KeyGrant) (ResponseMeta, error)
	// Release returns the handover data after all requests on the keys have ended.
	Release(ctx context.Context, server, address string, keys KeyRange, fence int64) (handover string, meta ResponseMeta, err error)
}

// RequestMeta is the information in a request's headers for the router.
type RequestMeta struct {
	ID string
	// ClientTimeout is zero if the request does not state one.
	ClientTimeout time.Duration
	// Key of a request to a sharded service.
	Key    int
	HasKey bool
}

// ServerLoad is the load that a backend server reports with a response.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the ratio of the current processing time to the usual one.
	Slowdown float64
}

// ResponseMeta is the information in a response's headers for the router.
type ResponseMeta struct {
	ID          string
	IsSigned    bool
	NotExecuted bool
	Load        ServerLoad
	HasLoad     bool
	// WarmupLeft is the remaining warm-up time of the server.
	WarmupLeft time.Duration
	HasWarmup  bool
	// Limit is the limit that the server names for all instances together.
	Limit RateLimit
	// IsLeaving is set if the server announces that it leaves.
	IsLeaving bool
	// RetryAfter is how long the server wants no requests from this instance, or zero.
	RetryAfter time.Duration
}

// RateLimit is what a backend server's response says about the rate of requests that the
// server takes from all instances together.
type RateLimit struct {
	// Rate is in requests per second. It counts only if IsNamed is set.
	Rate    float64
	IsNamed bool
	// IsUnreadable is set if the response names a limit that cannot be read: it neither
	// changes nor ends the limit.
	IsUnreadable bool
}

// GatewayProtocol reads and writes the HTTP headers of the request path.
type GatewayProtocol interface {
	// ParseRequest parses a request's headers. The error names the invalid header.
	ParseRequest(header http.Header) (RequestMeta, error)
	// SetAttempt sets the headers of one attempt at a backend server.
	SetAttempt(header http.Header, server string, left time.Duration)
	// ParseResponse parses a response's headers.
	ParseResponse(header http.Header) ResponseMeta
	// SetRetryAfter sets the time after which the client should retry.
	SetRetryAfter(header http.Header, pause time.Duration)
	// SetRequestID sets the request id on a response that the router itself generates.
	SetRequestID(header http.Header, id string)
}

// Event is a change in an external system, decoded to the router's own types.
type Event interface{ isEvent() }

// ConfigurationChanged reports a new configuration.
type ConfigurationChanged struct{ Configuration Configuration }

// EvacuationChanged reports that the evacuation of a failure domain started or
// ended.
type EvacuationChanged struct {
	FailureDomain string
	IsActive      bool
}

// EntryChanged reports a new or changed entry of a backend server.
type EntryChanged struct{ Entry BackendEntry }

// EntryRemoved reports that a backend server's entry was deleted or is unreadable.
type EntryRemoved struct{ ID string }

// RecordChanged reports a change of one of the router's own records.
type RecordChanged struct{ Change Change }

func (ConfigurationChanged) isEvent() {}
func (EvacuationChanged) isEvent()    {}
func (EntryChanged) isEvent()         {}
func (EntryRemoved) isEvent()         {}
func (RecordChanged) isEvent()        {}

// Decoder decodes changes of the metadata store to events. For an unreadable
// change it may return both an event and an error.
type Decoder interface {
	Decode(change Change) (Event, error)
}
