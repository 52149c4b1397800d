// Package store speaks to the platform's key-value service.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// Wire types of the store's protocol.
type (
	// GetRequest asks for one value.
	GetRequest struct {
		Name string `json:"name"`
	}
	// ListRequest asks for all values under a prefix.
	ListRequest struct {
		Prefix string `json:"prefix"`
	}
	// WatchRequest waits for changes under a prefix.
	WatchRequest struct {
		Prefix     string                `json:"prefix"`
		After      redwingstall.Revision `json:"after"`
		WaitMillis int64                 `json:"waitMillis"`
	}
	// SwapRequest writes a value if its revision is still the old one.
	SwapRequest struct {
		Name  string                `json:"name"`
		Old   redwingstall.Revision `json:"old"`
		Value []byte                `json:"value"`
	}
	// SwapResponse has the new revision, or the one that won.
	SwapResponse struct {
		Swapped  bool                  `json:"swapped"`
		Revision redwingstall.Revision `json:"revision"`
	}
	// Item is a stored value.
	Item struct {
		Name     string                `json:"name"`
		Revision redwingstall.Revision `json:"revision"`
		Value    []byte                `json:"value"`
	}
	// ItemsResponse has stored values.
	ItemsResponse struct {
		Items []Item `json:"items"`
	}
)

// ConflictError is a compare-and-swap that another writer won.
type ConflictError struct {
	Name            string
	CurrentRevision redwingstall.Revision
}

// Error names the revision that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s: revision %d won", e.Name, e.CurrentRevision)
}

// Is makes the error match [redwingstall.ErrConflict].
func (e *ConflictError) Is(target error) bool { return target == redwingstall.ErrConflict }

// envelope is what the client stores: the value, and the operations of the
// last writes, by which a writer finds out whether its lost answer was a yes.
type envelope struct {
	Operations []string `json:"operations"`
	Value      []byte   `json:"value"`
}

// rememberedOperations is the number of later writes that a lost answer is
// still told apart from.
const rememberedOperations = 8

// known is the last envelope seen of a value.
type known struct {
	revision   redwingstall.Revision
	operations []string
}

// Client is a [redwingstall.Store] over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	metrics metrics.Registry

	mu    sync.Mutex
	known map[string]known
}

const (
	idleConnections = 16
	watchWait       = 20 * time.Second
)

// NewClient returns a client of the store at an address; the timeout bounds
// each call but Watch.
func NewClient(address string, timeout time.Duration, registry metrics.Registry) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
	}
	return &Client{
		base:    "http://" + address + "/v1/",
		timeout: timeout,
		http:    &http.Client{Transport: transport},
		metrics: registry,
		known:   map[string]known{},
	}
}

var _ redwingstall.Store = (*Client)(nil)

func (c *Client) count(call string) {
	metrics.GetOrRegisterCounter("store.calls."+call, c.metrics).Inc(1)
}

func (c *Client) fail(call string, err error) error {
	metrics.GetOrRegisterCounter("store.failures."+call, c.metrics).Inc(1)
	return errors.Wrapf(err, "store %s", call)
}

// Get returns a record.
func (c *Client) Get(ctx context.Context, name string) (redwingstall.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.count("get")
	item, err := wire.PostJSON[GetRequest, Item](ctx, c.http, c.base+"get", GetRequest{name})
	if err != nil {
		return redwingstall.Record{}, c.fail("get", err)
	}
	record, _, err := c.open(item)
	record.Name = name
	return record, err
}

// List returns the records under a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]redwingstall.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.count("list")
	items, err := wire.PostJSON[ListRequest, ItemsResponse](ctx, c.http, c.base+"list", ListRequest{prefix})
	if err != nil {
		return nil, c.fail("list", err)
	}
	return c.openAll(items.Items)
}

// Watch waits for changes; it returns no records when the wait ends quietly.
func (c *Client) Watch(ctx context.Context, prefix string, after redwingstall.Revision) ([]redwingstall.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+c.timeout)
	defer cancel()
	c.count("watch")
	request := WatchRequest{prefix, after, watchWait.Milliseconds()}
	items, err := wire.PostJSON[WatchRequest, ItemsResponse](ctx, c.http, c.base+"watch", request)
	if err != nil {
		return nil, c.fail("watch", err)
	}
	return c.openAll(items.Items)
}

func (c *Client) openAll(items []Item) ([]redwingstall.Record, error) {
	records := make([]redwingstall.Record, 0, len(items))
	for _, item := range items {
		record, _, err := c.open(item)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// open unpacks a stored value and remembers its operations.
func (c *Client) open(item Item) (redwingstall.Record, envelope, error) {
	record := redwingstall.Record{Name: item.Name, Revision: item.Revision}
	packed := envelope{}
	if item.Revision == 0 {
		return record, packed, nil
	}
	if err := json.Unmarshal(item.Value, &packed); err != nil {
		return record, packed, errors.Wrapf(err, "store: value of %s", item.Name)
	}
	record.Value = packed.Value
	c.remember(item.Name, item.Revision, packed.Operations)
	return record, packed, nil
}

func (c *Client) remember(name string, revision redwingstall.Revision, operations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision >= c.known[name].revision {
		c.known[name] = known{revision, operations}
	}
}

// CompareAndSwap writes a value, and settles a lost answer by reading back.
func (c *Client) CompareAndSwap(ctx context.Context, name string, old redwingstall.Revision, value []byte) (redwingstall.Revision, error) {
	operations, err := c.operationsAt(ctx, name, old)
	if err != nil {
		return 0, err
	}
	operation := uuid.NewString()
	operations = append(slices.Clone(operations), operation)
	operations = operations[max(0, len(operations)-rememberedOperations):]
	body, err := json.Marshal(envelope{operations, value})
	if err != nil {
		return 0, errors.Wrap(err, "store: encode")
	}
	request := SwapRequest{name, old, body}
	revision, err := c.swap(ctx, request)
	if errors.Is(err, redwingstall.ErrUnavailable) {
		revision, err = c.settle(ctx, request, operation)
	}
	if err == nil {
		c.remember(name, revision, operations)
	}
	return revision, err
}

// operationsAt returns the operations of the revision that a write replaces.
func (c *Client) operationsAt(ctx context.Context, name string, old redwingstall.Revision) ([]string, error) {
	if old == 0 {
		return nil, nil
	}
	c.mu.Lock()
	seen := c.known[name]
	c.mu.Unlock()
	if seen.revision == old {
		return seen.operations, nil
	}
	record, err := c.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	if record.Revision != old {
		return nil, &ConflictError{name, record.Revision}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[name].operations, nil
}

func (c *Client) swap(ctx context.Context, request SwapRequest) (redwingstall.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.count("swap")
	response, err := wire.PostJSON[SwapRequest, SwapResponse](ctx, c.http, c.base+"swap", request)
	if err != nil {
		return 0, c.fail("swap", err)
	}
	if !response.Swapped {
		return 0, &ConflictError{request.Name, response.Revision}
	}
	return response.Revision, nil
}

const (
	settleAttempts = 4
	settlePause    = 50 * time.Millisecond
)

// settle finds out whether a write took effect whose answer was lost. While
// the old revision stands the write is sent again: both cannot take effect.
func (c *Client) settle(ctx context.Context, request SwapRequest, operation string) (redwingstall.Revision, error) {
	metrics.GetOrRegisterCounter("store.lostAnswers", c.metrics).Inc(1)
	var last error
	for range settleAttempts {
		if err := pause(ctx, settlePause); err != nil {
			return 0, err
		}
		item, err := c.readBack(ctx, request.Name)
		if err != nil {
			last = err
			continue
		}
		if item.Revision != request.Old {
			return c.judge(item, request, operation)
		}
		revision, err := c.swap(ctx, request)
		if err == nil {
			return revision, nil
		}
		last = err
	}
	return 0, errors.Mark(errors.Wrap(last, "store: outcome of the write is not known"), redwingstall.ErrUnavailable)
}

func (c *Client) readBack(ctx context.Context, name string) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.count("get")
	item, err := wire.PostJSON[GetRequest, Item](ctx, c.http, c.base+"get", GetRequest{name})
	if err != nil {
		return item, c.fail("get", err)
	}
	item.Name = name
	return item, nil
}

// judge tells from the operations of a later revision whether the write is
// among them. The revision returned then is the later one: the write's own is
// not known any more, and what was written is part of its history.
func (c *Client) judge(item Item, request SwapRequest, operation string) (redwingstall.Revision, error) {
	_, packed, err := c.open(item)
	if err != nil {
		return 0, err
	}
	if len(packed.Operations) > 0 && packed.Operations[len(packed.Operations)-1] == operation {
		return item.Revision, nil
	}
	if slices.Contains(packed.Operations, operation) {
		return 0, errors.Mark(&SupersededError{request.Name, item.Revision}, redwingstall.ErrConflict)
	}
	return 0, &ConflictError{request.Name, item.Revision}
}

// SupersededError is a write that took effect, whose answer was lost, and that
// another write has replaced since. To its writer it is a conflict: the value
// must be read anew, and has the write in its history.
type SupersededError struct {
	Name            string
	CurrentRevision redwingstall.Revision
}

// Error names the revision that followed.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("store: %s: written, then replaced by revision %d", e.Name, e.CurrentRevision)
}

func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "store"), redwingstall.ErrUnavailable)
	}
}
