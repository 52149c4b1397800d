// Package store is the client of the platform's key-value store.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// The wire types of the store's protocol.
type (
	// GetRequest requests one value.
	GetRequest struct {
		Name string `json:"name"`
	}
	// ListRequest requests all values under a prefix.
	ListRequest struct {
		Prefix string `json:"prefix"`
	}
	// WatchRequest waits for changes under a prefix that are later than a revision.
	WatchRequest struct {
		Prefix     string                `json:"prefix"`
		After      redwingstall.Revision `json:"after"`
		WaitMillis int64                 `json:"waitMillis"`
	}
	// SwapRequest writes a value if its revision is still Old.
	SwapRequest struct {
		Name  string                `json:"name"`
		Old   redwingstall.Revision `json:"old"`
		Value []byte                `json:"value"`
	}
	// SwapResponse has the new revision, or the current one if nothing was swapped.
	SwapResponse struct {
		Swapped  bool                  `json:"swapped"`
		Revision redwingstall.Revision `json:"revision"`
	}
	// Item is a stored value with its revision.
	Item struct {
		Name     string                `json:"name"`
		Revision redwingstall.Revision `json:"revision"`
		Value    []byte                `json:"value"`
	}
	// ItemsResponse has the stored values that a request selected.
	ItemsResponse struct {
		Items []Item `json:"items"`
	}
)

// ConflictError reports that a compare-and-swap failed because another writer had
// changed the value.
type ConflictError struct {
	Name            string
	CurrentRevision redwingstall.Revision
}

// Error returns a message with the current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conflict on %s: current revision is %d", e.Name, e.CurrentRevision)
}

// Is makes the error match [redwingstall.ErrConflict].
func (e *ConflictError) Is(target error) bool { return target == redwingstall.ErrConflict }

// envelope is the format in which the client stores a value. Operations has the ids of
// the latest writes, oldest first. With them a writer whose response was lost finds out
// whether its write took effect.
type envelope struct {
	Operations []string `json:"operations"`
	Value      []byte   `json:"value"`
}

// maxOperations bounds the operations in an envelope. A writer whose response was lost
// cannot recognize its write after that many later writes.
const maxOperations = 8

// Client is a [redwingstall.Store] over HTTP. It is safe for concurrent use. Once a response
// shows that the store was recovered from an older copy, all calls fail with
// [RecoveredError].
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
	metrics metrics.Registry
	lineage lineage
}

const (
	idleConnsPerHost = 16
	watchWait        = 20 * time.Second
)

// NewClient returns a client of the store at an address. The timeout bounds each request;
// for Watch it is added to the time that the store waits for changes.
func NewClient(address string, timeout time.Duration, registry metrics.Registry) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
	return &Client{
		baseURL: "http://" + address + "/v1/",
		timeout: timeout,
		http:    &http.Client{CheckRedirect: http1.NoRedirects, Transport: http1.NewTransport(transport)},
		metrics: registry,
	}
}

var _ redwingstall.Store = (*Client)(nil)

// beginCall counts a call, or returns an error if the store was recovered from an older copy.
func (c *Client) beginCall(call string) error {
	if err := c.lineage.err(); err != nil {
		return c.countFailure(call, err)
	}
	metrics.GetOrRegisterCounter("store.calls."+call, c.metrics).Inc(1)
	return nil
}

// countFailure counts a failed call and returns its error with the call's name.
func (c *Client) countFailure(call string, err error) error {
	metrics.GetOrRegisterCounter("store.failures."+call, c.metrics).Inc(1)
	return errors.Wrapf(err, "store %s", call)
}

// Get returns a record, or one with revision zero if the name does not exist.
func (c *Client) Get(ctx context.Context, name string) (redwingstall.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	record, _, err := c.read(ctx, name)
	return record, err
}

// read returns a record and the envelope in which it is stored.
func (c *Client) read(ctx context.Context, name string) (redwingstall.Record, envelope, error) {
	if err := c.beginCall("get"); err != nil {
		return redwingstall.Record{}, envelope{}, err
	}
	known := c.lineage.history(name)
	item, err := wire.PostJSON[GetRequest, Item](ctx, c.http, c.baseURL+"get", GetRequest{name})
	if err != nil {
		return redwingstall.Record{}, envelope{}, c.countFailure("get", err)
	}
	item.Name = name
	return c.decodeItem(item, known)
}

// List returns the records under a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]redwingstall.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.beginCall("list"); err != nil {
		return nil, err
	}
	known := c.lineage.below(prefix)
	items, err := wire.PostJSON[ListRequest, ItemsResponse](ctx, c.http, c.baseURL+"list", ListRequest{prefix})
	if err != nil {
		return nil, c.countFailure("list", err)
	}
	records, err := c.decodeItems(items.Items, known)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		delete(known, record.Name)
	}
	for name, missing := range known {
		return nil, c.lineage.breakAt(name, missing.revision, 0)
	}
	return records, nil
}

// Watch waits for changes under a prefix and returns the changed records. It returns no
// records if nothing changes within watchWait.
func (c *Client) Watch(ctx context.Context, prefix string, after redwingstall.Revision) ([]redwingstall.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+c.timeout)
	defer cancel()
	if err := c.beginCall("watch"); err != nil {
		return nil, err
	}
	known := c.lineage.below(prefix)
	request := WatchRequest{prefix, after, watchWait.Milliseconds()}
	items, err := wire.PostJSON[WatchRequest, ItemsResponse](ctx, c.http, c.baseURL+"watch", request)
	if err != nil {
		return nil, c.countFailure("watch", err)
	}
	return c.decodeItems(items.Items, known)
}

func (c *Client) decodeItems(items []Item, known map[string]writeHistory) ([]redwingstall.Record, error) {
	records := make([]redwingstall.Record, 0, len(items))
	for _, item := range items {
		record, _, err := c.decodeItem(item, known[item.Name])
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// decodeItem decodes the envelope of a stored value and caches its operations. It fails if
// the value cannot follow what was known before the call.
func (c *Client) decodeItem(item Item, known writeHistory) (redwingstall.Record, envelope, error) {
	record := redwingstall.Record{Name: item.Name, Revision: item.Revision}
	content := envelope{}
	if item.Revision > 0 {
		if err := json.Unmarshal(item.Value, &content); err != nil {
			return record, content, errors.Wrapf(err, "store: value of %s", item.Name)
		}
	}
	next := writeHistory{item.Revision, content.Operations}
	if err := c.lineage.checkNext(item.Name, known, next); err != nil {
		return redwingstall.Record{Name: item.Name}, envelope{}, err
	}
	record.Value = content.Value
	if item.Revision > 0 {
		c.lineage.add(item.Name, next)
	}
	return record, content, nil
}

// CompareAndSwap writes a value. If the response is lost, it reads the value back to find
// out whether the write took effect.
func (c *Client) CompareAndSwap(ctx context.Context, name string, old redwingstall.Revision, value []byte) (redwingstall.Revision, error) {
	operations, err := c.operationsAt(ctx, name, old)
	if err != nil {
		return 0, err
	}
	operation := uuid.NewString()
	operations = append(slices.Clone(operations), operation)
	operations = operations[max(0, len(operations)-maxOperations):]
	body, err := json.Marshal(envelope{operations, value})
	if err != nil {
		return 0, errors.Wrap(err, "store: encode")
	}
	request := SwapRequest{name, old, body}
	highest := c.lineage.highestRevision()
	revision, err := c.swap(ctx, request)
	if errors.Is(err, redwingstall.ErrUnavailable) {
		revision, err = c.resolveOutcome(ctx, request, operation)
	}
	if err != nil {
		return 0, err
	}
	if revision <= highest {
		return 0, c.lineage.breakAt(name, highest, revision)
	}
	c.lineage.add(name, writeHistory{revision, operations})
	return revision, nil
}

// operationsAt returns the operations of the revision that a write replaces.
func (c *Client) operationsAt(ctx context.Context, name string, old redwingstall.Revision) ([]string, error) {
	if old == 0 {
		return nil, nil
	}
	if history := c.lineage.history(name); history.revision == old {
		return history.operations, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	record, content, err := c.read(ctx, name)
	switch {
	case err != nil:
		return nil, err
	case record.Revision < old:
		return nil, c.lineage.breakAt(name, old, record.Revision)
	case record.Revision > old:
		return nil, &ConflictError{name, record.Revision}
	}
	return content.Operations, nil
}

func (c *Client) swap(ctx context.Context, request SwapRequest) (redwingstall.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.beginCall("swap"); err != nil {
		return 0, err
	}
	response, err := wire.PostJSON[SwapRequest, SwapResponse](ctx, c.http, c.baseURL+"swap", request)
	if err != nil {
		return 0, c.countFailure("swap", err)
	}
	switch {
	case !response.Swapped && response.Revision < request.Old:
		return 0, c.lineage.breakAt(request.Name, request.Old, response.Revision)
	case !response.Swapped:
		return 0, &ConflictError{request.Name, response.Revision}
	}
	return response.Revision, nil
}

const (
	resolveAttempts = 4
	resolveInterval = 50 * time.Millisecond
)

// resolveOutcome finds out whether a write whose response was lost took effect. While the
// value still has the old revision, it sends the write again. That is safe, because at
// most one write to the same old revision takes effect.
func (c *Client) resolveOutcome(ctx context.Context, request SwapRequest, operation string) (redwingstall.Revision, error) {
	metrics.GetOrRegisterCounter("store.lostAnswers", c.metrics).Inc(1)
	var lastErr error
	for range resolveAttempts {
		if err := sleep(ctx, resolveInterval); err != nil {
			return 0, err
		}
		record, content, err := c.readBack(ctx, request.Name)
		if err != nil {
			lastErr = err
			continue
		}
		if record.Revision != request.Old {
			return findOperation(record, content, request, operation)
		}
		revision, err := c.swap(ctx, request)
		if err == nil {
			return revision, nil
		}
		lastErr = err
	}
	return 0, errors.Mark(errors.Wrap(lastErr, "store: write outcome unknown"), redwingstall.ErrUnavailable)
}

func (c *Client) readBack(ctx context.Context, name string) (redwingstall.Record, envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.read(ctx, name)
}

// findOperation looks for a write in the operations of a later revision. If it is the
// latest operation, the write took effect and the revision is its own. If other writes
// followed, the write's own revision is unknown, and the error has the later revision,
// whose history includes the write.
func findOperation(record redwingstall.Record, content envelope, request SwapRequest, operation string) (redwingstall.Revision, error) {
	if len(content.Operations) > 0 && content.Operations[len(content.Operations)-1] == operation {
		return record.Revision, nil
	}
	if slices.Contains(content.Operations, operation) {
		return 0, errors.Mark(&SupersededError{request.Name, record.Revision}, redwingstall.ErrConflict)
	}
	return 0, &ConflictError{request.Name, record.Revision}
}

// SupersededError reports that a write took effect, that its response was lost, and that
// another write has replaced it since. It is marked as [redwingstall.ErrConflict]: the
// writer must read the value again, whose history includes the write.
type SupersededError struct {
	Name            string
	CurrentRevision redwingstall.Revision
}

// Error returns a message with the revision that replaced the write.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("store: write of %s was replaced by revision %d", e.Name, e.CurrentRevision)
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "store"), redwingstall.ErrUnavailable)
	}
}
