package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// AttemptError is an attempt without an answer.
type AttemptError struct {
	// Outcome says whether a backend server ran the request.
	Outcome redwingstall.Outcome
	// Reason is a word in camel case that counters and callers are told.
	Reason string
	// Cause is the error of the layer below, or nil.
	Cause error
}

// Error names the outcome and the reason.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// NewNotRunError returns the error of an attempt that no server has seen.
func NewNotRunError(reason string) *AttemptError {
	return &AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: reason}
}

// Reasons for which an attempt has no answer.
const (
	ReasonConnectFailed     = "connectFailed"
	ReasonUnwritten         = "requestUnwritten"
	ReasonNoResponse        = "noAnswer"
	ReasonTimeout           = "timeout"
	ReasonRequestIDMismatch = "wrongAnswer"
	ReasonCloseDelimited    = "unboundedAnswer"
)

// Request is one attempt at a backend server.
type Request struct {
	Method string
	// Path with its query, as sent to the server.
	Path   string
	Header http.Header
	Body   io.Reader
	// Length of the body in bytes, or -1.
	Length int64
	// ID must be echoed by the answer.
	ID string
	// AtMostOnce takes a fresh connection: an idle one that the server closes
	// at the same moment would leave the outcome unknown.
	AtMostOnce bool
}

// Do sends a request and returns the answer, whose body must be closed, or an
// *[AttemptError].
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	written := atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	outgoing, err := c.build(ctx, request)
	if err != nil {
		return nil, &AttemptError{redwingstall.OutcomeNotRun, "badRequest", err}
	}
	transport := c.reusing
	if request.AtMostOnce {
		transport = c.fresh
	}
	answer, err := transport.RoundTrip(outgoing)
	if err != nil {
		return nil, classify(ctx, written.Load(), err)
	}
	checked, err := check(answer, request)
	if err != nil && checked == nil && isWrong(err) {
		// A crossed answer without a body leaves its connection in the pool.
		transport.CloseIdleConnections()
	}
	return checked, err
}

func isWrong(err error) bool {
	failed := &AttemptError{}
	return errors.As(err, &failed) && failed.Reason == ReasonRequestIDMismatch
}

// build makes the request in a shape that net/http never sends twice by
// itself: a body without a way to read it again, and the idempotency key under
// a name that its own retries do not look for.
func (c *Client) build(ctx context.Context, request Request) (*http.Request, error) {
	body := request.Body
	if request.Length == 0 {
		body = nil
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, c.base+request.Path, body)
	if err != nil {
		return nil, err
	}
	outgoing.GetBody = nil
	outgoing.ContentLength = request.Length
	outgoing.Header = request.Header.Clone()
	outgoing.Header.Set(redwingstall.HeaderRequestID, request.ID)
	HideIdempotencyKey(outgoing.Header)
	return outgoing, nil
}

// HideIdempotencyKey stores the key in a spelling that goes over the wire all
// the same, but that net/http does not take for leave to send the request again.
func HideIdempotencyKey(header http.Header) {
	values := header.Values(redwingstall.HeaderIdempotencyKey)
	if len(values) == 0 {
		return
	}
	header.Del(redwingstall.HeaderIdempotencyKey)
	header[strings.ToLower(redwingstall.HeaderIdempotencyKey)] = values
}

// classify tells what became of a request without an answer. Once a connection
// was got the request may have been written, wholly or in part.
func classify(ctx context.Context, written bool, err error) *AttemptError {
	switch {
	case !written && ctx.Err() != nil:
		return &AttemptError{redwingstall.OutcomeNotRun, ReasonTimeout, err}
	case !written:
		return &AttemptError{redwingstall.OutcomeNotRun, ReasonConnectFailed, err}
	case ctx.Err() != nil:
		return &AttemptError{redwingstall.OutcomeUnknown, ReasonTimeout, err}
	}
	return &AttemptError{redwingstall.OutcomeUnknown, ReasonNoResponse, err}
}

// check refuses an answer to another request and one whose end could not be
// told from a cut, and turns a server's own refusal into a true "not run".
func check(answer *http.Response, request Request) (*http.Response, error) {
	if answer.Header.Get(redwingstall.HeaderRequestID) != request.ID {
		_ = answer.Body.Close()
		return nil, &AttemptError{redwingstall.OutcomeUnknown, ReasonRequestIDMismatch, nil}
	}
	refusal := redwingstall.Refusal(answer.Header.Get(redwingstall.HeaderRefusal))
	if answer.StatusCode >= http.StatusBadRequest && refusal.IsKnown() {
		drain(answer)
		return nil, &AttemptError{redwingstall.OutcomeNotRun, string(refusal), nil}
	}
	isChunked := len(answer.TransferEncoding) > 0 && answer.TransferEncoding[0] == "chunked"
	if answer.ContentLength < 0 && !isChunked {
		_ = answer.Body.Close()
		return nil, &AttemptError{redwingstall.OutcomeUnknown, ReasonCloseDelimited, nil}
	}
	return answer, nil
}

const drainBytes = 4 << 10

// drain reads a short refusal to its end, so that the connection stays usable.
func drain(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, drainBytes)
	_ = answer.Body.Close()
}
