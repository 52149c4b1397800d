// Package caller serves the requests of callers. It finds the pool and the home
// instance for a request, retries and hedges within budgets, and either delivers a
// complete response or aborts the connection. docs/CALLERS.md describes the interface.
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/entry/memory"
	"github.com/redwingstall/redwingstall/pkg/settings"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// pathPrefix is the start of the path of every caller's request.
const pathPrefix = "/v1/"

const (
	// maxKeyBytes bounds the escaped path after pathPrefix.
	maxKeyBytes = 1024
	// maxBufferedBytes is the largest body that is buffered so that it can be resent.
	maxBufferedBytes  = 256 << 10
	minTimeout        = time.Millisecond
	maxPathComponents = 16
)

// tokenPattern matches valid request IDs and idempotency keys.
var tokenPattern = regexp.MustCompile(`^[!-~]{1,200}$`)

// request is a validated request of a caller.
type request struct {
	account        string
	service        templates.Service
	key            string
	query          string
	method         string
	header         http.Header
	requestID      string
	idempotencyKey string
	isBackground   bool
	deadline       time.Time
	// avoidPool is a pool that is chosen only if there is no other.
	avoidPool string
	// bufferedBody holds the body if it is small enough to be sent again. Otherwise
	// streamedBody holds it.
	bufferedBody []byte
	streamedBody *singleUseBody
	bodyLength   int64
	reserved     *memory.Reservation
	// connection is the context of the caller's connection, for which the body is held.
	connection context.Context
}

// requestError describes why a request is invalid.
type requestError struct {
	status int
	reason string
	detail string
}

// serviceLookup finds a service by account and name.
type serviceLookup func(account, service string) (templates.Service, bool)

// parseRequest parses and validates the header of a caller's request.
func parseRequest(r *http.Request, findService serviceLookup, policy settings.Policy, now time.Time) (*request, *requestError) {
	account, service, key, invalid := splitPath(r.URL)
	if invalid != nil {
		return nil, invalid
	}
	found, ok := findService(account, service)
	if !ok {
		return nil, &requestError{http.StatusNotFound, "unknownService", "no service " + account + "/" + service}
	}
	q := &request{
		account:        account,
		service:        found,
		key:            key,
		query:          r.URL.RawQuery,
		method:         r.Method,
		header:         endToEndHeader(r.Header),
		requestID:      r.Header.Get(redwingstall.HeaderRequestID),
		idempotencyKey: r.Header.Get(redwingstall.HeaderIdempotencyKey),
		isBackground:   r.Header.Get(redwingstall.HeaderPriority) == redwingstall.PriorityBackground,
	}
	if invalid := q.checkIDs(); invalid != nil {
		return nil, invalid
	}
	if invalid := q.setDeadline(r, policy, now); invalid != nil {
		return nil, invalid
	}
	return q, nil
}

// splitPath returns the parts of /v1/account/service/key, with canonical escaping.
// Paths with empty or dot components are refused rather than normalized.
func splitPath(address *url.URL) (account, service, key string, invalid *requestError) {
	subpath, found := strings.CutPrefix(address.EscapedPath(), pathPrefix)
	parts := strings.Split(subpath, "/")
	if !found || len(parts) < 3 || len(parts) > maxPathComponents || len(subpath) > maxKeyBytes {
		return "", "", "", &requestError{http.StatusNotFound, "badPath", "the path must be /v1/account/service/key"}
	}
	for i, part := range parts {
		component, err := url.PathUnescape(part)
		if err != nil || component == "" || component == "." || component == ".." || strings.ContainsAny(component, "\x00\r\n") {
			return "", "", "", &requestError{http.StatusBadRequest, "badPath", "a path component is empty, is . or .., or has invalid characters"}
		}
		parts[i] = url.PathEscape(component)
	}
	return parts[0], parts[1], strings.Join(parts[2:], "/"), nil
}

func (q *request) checkIDs() *requestError {
	if q.requestID == "" {
		q.requestID = uuid.NewString()
	}
	if !tokenPattern.MatchString(q.requestID) {
		return &requestError{http.StatusBadRequest, "badRequestId", "Request-Id must be 1 to 200 visible ASCII characters"}
	}
	if !q.isJournaled() {
		return nil
	}
	if q.idempotencyKey == "" {
		return &requestError{http.StatusBadRequest, "noIdempotencyKey", "this service requires an Idempotency-Key"}
	}
	if !tokenPattern.MatchString(q.idempotencyKey) {
		return &requestError{http.StatusBadRequest, "badIdempotencyKey", "Idempotency-Key must be 1 to 200 visible ASCII characters"}
	}
	return nil
}

func (q *request) setDeadline(r *http.Request, policy settings.Policy, now time.Time) *requestError {
	timeout := policy.DefaultTimeout
	if text := r.Header.Get(redwingstall.HeaderTimeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < minTimeout || parsed > policy.MaxTimeout {
			return &requestError{http.StatusBadRequest, "badTimeout", "Redwing-Timeout must be a duration such as 250ms, within the limit"}
		}
		timeout = parsed
	}
	q.deadline = now.Add(timeout)
	return nil
}

// readBody buffers a small body and sets up streaming of a large one. The body of a
// journaled request is always buffered, since its digest is needed. Its memory is reserved
// until release.
func (q *request) readBody(r *http.Request, limits settings.Limits, budget *memory.Budget) *requestError {
	if r.ContentLength > limits.MaxBodyBytes {
		return &requestError{http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body exceeds the size limit"}
	}
	q.bodyLength = r.ContentLength
	shouldStream := !q.isJournaled() && (r.ContentLength < 0 || r.ContentLength > maxBufferedBytes)
	if shouldStream {
		q.streamedBody = &singleUseBody{source: io.LimitReader(r.Body, limits.MaxBodyBytes+1), remaining: limits.MaxBodyBytes}
		return nil
	}
	length := r.ContentLength
	if length < 0 {
		length = limits.MaxBodyBytes
	}
	if length > 0 {
		if q.reserved = budget.TryReserve(q.account, length); q.reserved == nil {
			return errNoMemory
		}
		q.connection = r.Context()
		eviction.Hold(q.connection, length)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limits.MaxBodyBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &requestError{http.StatusRequestTimeout, "bodyLate", "the body was not sent before the deadline"}
	}
	if err != nil {
		return &requestError{http.StatusBadRequest, "bodyCut", "the body could not be read"}
	}
	if int64(len(body)) > limits.MaxBodyBytes {
		return &requestError{http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body exceeds the size limit"}
	}
	q.bufferedBody = body
	q.bodyLength = int64(len(body))
	if q.reserved != nil {
		eviction.Hold(q.connection, q.bodyLength-length)
		q.reserved.Keep(q.bodyLength)
	}
	return nil
}

// release ends the reservation of the memory for the body.
func (q *request) release() {
	if q.reserved != nil {
		eviction.Hold(q.connection, -q.reserved.Bytes())
		q.reserved.Release()
	}
}

// body returns a reader of the body for one attempt.
func (q *request) body() io.Reader {
	if q.streamedBody != nil {
		return q.streamedBody
	}
	return bytes.NewReader(q.bufferedBody)
}

// isBodyConsumed reports whether the body has been read and cannot be sent again.
func (q *request) isBodyConsumed() bool {
	return q.streamedBody != nil && q.streamedBody.hasBeenRead
}

// isIdempotent reports whether the request may run more than once.
func (q *request) isIdempotent() bool {
	switch q.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	case http.MethodPut, http.MethodDelete:
		return q.service.Kind != templates.KindAtMostOnce
	}
	return false
}

// isJournaled reports whether the request may run at most once for its idempotency
// key.
func (q *request) isJournaled() bool {
	isRead := q.method == http.MethodGet || q.method == http.MethodHead || q.method == http.MethodOptions
	return q.service.Kind == templates.KindAtMostOnce && !isRead
}

// digest returns a hash of the request, which detects an idempotency key that is
// reused for a different request.
func (q *request) digest() string {
	sum := sha256.New()
	for _, part := range []string{q.method, q.account, q.service.Name, q.key, q.query} {
		_, _ = io.WriteString(sum, part+"\x00")
	}
	_, _ = sum.Write(q.bufferedBody)
	return hex.EncodeToString(sum.Sum(nil))
}

// errBodyTooLarge reports a streamed body that exceeds the size limit.
var errBodyTooLarge = errors.New("caller: body exceeds the size limit")

// singleUseBody is a streamed body, which can be sent only once.
type singleUseBody struct {
	source      io.Reader
	remaining   int64
	hasBeenRead bool
	// hasEnded is set at the end of the body.
	hasEnded atomic.Bool
}

func (b *singleUseBody) Read(p []byte) (int, error) {
	b.hasBeenRead = true
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.hasEnded.Store(true)
	}
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// internalHeaderPrefix starts the names of headers that only instances and servers
// set.
const internalHeaderPrefix = "Redwing-"

// endToEndHeader returns the header without the fields that apply to a single
// connection and without the Redwing-* fields, which callers must not set.
func endToEndHeader(header http.Header) http.Header {
	kept := http.Header{}
	connectionHeaders := map[string]bool{}
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range header {
		if strings.HasPrefix(name, internalHeaderPrefix) || connectionHeaders[name] {
			continue
		}
		kept[name] = values
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}
