package backend

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

// AttemptError reports an attempt that returned no usable response.
type AttemptError struct {
	// Outcome is whether a backend server ran the request, as far as is known.
	Outcome redwingstall.Outcome
	// Reason is the cause in camel case. It is part of counter names and is returned
	// to callers.
	Reason string
	// Cause is the underlying error, or nil.
	Cause error
	// RetryAfter is how long the backend server wants no requests, or zero. It is at most
	// MaxRetryAfter.
	RetryAfter time.Duration
}

// MaxRetryAfter bounds the time for which a server may keep requests away, since without
// requests it could not end a longer one itself.
const MaxRetryAfter = 5 * time.Minute

// Error returns the outcome and the reason.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// NewNotRunError returns the error of an attempt that reached no backend server.
func NewNotRunError(reason string) *AttemptError {
	return &AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: reason}
}

// Reasons of attempts without a usable response.
const (
	ReasonConnectFailed     = "connectFailed"
	ReasonUnwritten         = "requestUnwritten"
	ReasonNoResponse        = "noAnswer"
	ReasonTimeout           = "timeout"
	ReasonRequestIDMismatch = "wrongAnswer"
	ReasonCloseDelimited    = "unboundedAnswer"
	ReasonInvalidResponse   = "invalidAnswer"
)

// Request is one attempt to run a request on a backend server.
type Request struct {
	Method string
	// Path is the path and query as sent to the server.
	Path   string
	Header http.Header
	Body   io.Reader
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64
	// ID is sent as Request-Id. A response with another Request-Id is rejected.
	ID string
	// AtMostOnce sends the request on a new connection. The server may close an
	// idle connection just as a request is sent on it, and the outcome would then be
	// unknown.
	AtMostOnce bool
}

// Do sends a request and returns the response, whose body the caller must close.
// Errors are *[AttemptError].
func (c *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	gotConnection := atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	outgoing, err := c.newHTTPRequest(ctx, request)
	if err != nil {
		return nil, &AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: "badRequest", Cause: err}
	}
	transport := c.singleUseTransport
	if !request.AtMostOnce {
		transport = c.keepAlive.transportFor(request.ID)
	}
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		err = classifyError(ctx, gotConnection.Load(), err)
	} else {
		response, err = checkResponse(response, request)
	}
	if isOutOfSequence(err) {
		// A response to another request, or an invalid one, leaves its connection in the pool
		// if it has no body, so that the next request could also get a wrong response.
		transport.CloseIdleConnections()
	}
	return response, err
}

// isOutOfSequence reports whether it is unknown which bytes the server sends next.
func isOutOfSequence(err error) bool {
	attemptErr := &AttemptError{}
	return errors.As(err, &attemptErr) && (attemptErr.Reason == ReasonRequestIDMismatch || attemptErr.Reason == ReasonInvalidResponse)
}

// newHTTPRequest builds a request that net/http never retries by itself: the body
// cannot be read again (GetBody is nil), and the idempotency key has a spelling
// that the retry logic of net/http does not look for.
func (c *Client) newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	body := request.Body
	if request.Length == 0 {
		body = nil
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+request.Path, body)
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

// HideIdempotencyKey stores the idempotency key under its lower-case header name.
// The server reads the same header, as names are case-insensitive, but net/http
// looks for the canonical name only and so does not treat the request as safe to
// retry.
func HideIdempotencyKey(header http.Header) {
	values := header.Values(redwingstall.HeaderIdempotencyKey)
	if len(values) == 0 {
		return
	}
	header.Del(redwingstall.HeaderIdempotencyKey)
	header[strings.ToLower(redwingstall.HeaderIdempotencyKey)] = values
}

// classifyError returns the outcome and reason of a request without a response. Once
// a connection was obtained, the request may have been written wholly or in part.
func classifyError(ctx context.Context, gotConnection bool, err error) *AttemptError {
	switch {
	case errors.Is(err, http1.ErrInvalid):
		return &AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: ReasonInvalidResponse, Cause: err}
	case !gotConnection && ctx.Err() != nil:
		return &AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: ReasonTimeout, Cause: err}
	case !gotConnection:
		return &AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: ReasonConnectFailed, Cause: err}
	case ctx.Err() != nil:
		return &AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: ReasonTimeout, Cause: err}
	}
	return &AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: ReasonNoResponse, Cause: err}
}

// checkResponse returns an error for three kinds of response: a response to another
// request; a known refusal by the server, whose outcome is "not run"; and a
// close-delimited body, whose end cannot be distinguished from a lost connection.
func checkResponse(response *http.Response, request Request) (*http.Response, error) {
	if response.Header.Get(redwingstall.HeaderRequestID) != request.ID {
		_ = response.Body.Close()
		return nil, &AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: ReasonRequestIDMismatch}
	}
	refusal := redwingstall.Refusal(response.Header.Get(redwingstall.HeaderRefusal))
	if response.StatusCode >= http.StatusBadRequest && refusal.IsKnown() {
		drainAndClose(response)
		return nil, &AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: string(refusal), RetryAfter: parseRetryAfter(response.Header.Get("Retry-After"))}
	}
	isChunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	if response.ContentLength < 0 && !isChunked {
		_ = response.Body.Close()
		return nil, &AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: ReasonCloseDelimited}
	}
	return response, nil
}

// parseRetryAfter parses a number of seconds. One that cannot be read, or is negative, is zero.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(min(max(seconds, 0), MaxRetryAfter.Seconds()) * float64(time.Second))
}

// maxDrainBytes bounds how much of a refusal's body is read.
const maxDrainBytes = 4 << 10

// drainAndClose reads a short refusal to its end, so that the connection can be
// reused.
func drainAndClose(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	_ = response.Body.Close()
}
