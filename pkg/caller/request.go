// Package caller serves the callers: it finds the pool and the home instance
// for a request, retries and hedges within budgets, and passes on whole answers
// only. docs/CALLERS.md describes the interface.
package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/settings"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// pathPrefix starts the path of every caller's request.
const pathPrefix = "/v1/"

const (
	maxKeyBytes       = 1024
	maxBufferedBytes  = 256 << 10
	shortestTimeout   = time.Millisecond
	maxPathComponents = 16
)

var tokenPattern = regexp.MustCompile(`^[!-~]{1,200}$`)

// request is one caller's request, checked.
type request struct {
	account        string
	service        templates.Service
	key            string
	query          string
	method         string
	header         http.Header
	id             string
	idempotencyKey string
	background     bool
	deadline       time.Time
	// avoid is a pool that is taken only if there is no other.
	avoid string
	// buffered has the body where it is small enough to send again; else
	// stream has it.
	buffered []byte
	stream   *onceBody
	length   int64
}

// problem is a request that is refused before anything is done.
type problem struct {
	status int
	reason string
	detail string
}

// Lookup finds a service.
type lookup func(account, service string) (templates.Service, bool)

// parse checks a request.
func parse(r *http.Request, find lookup, policy settings.Policy, limits settings.Limits, now time.Time) (*request, *problem) {
	account, service, key, bad := splitPath(r.URL)
	if bad != nil {
		return nil, bad
	}
	found, ok := find(account, service)
	if !ok {
		return nil, &problem{http.StatusNotFound, "unknownService", "no service " + account + "/" + service}
	}
	q := &request{
		account:        account,
		service:        found,
		key:            key,
		query:          r.URL.RawQuery,
		method:         r.Method,
		header:         cleanHeader(r.Header),
		id:             r.Header.Get(redwingstall.HeaderRequestID),
		idempotencyKey: r.Header.Get(redwingstall.HeaderIdempotencyKey),
		background:     r.Header.Get(redwingstall.HeaderPriority) == redwingstall.PriorityBackground,
	}
	if bad := q.checkTokens(); bad != nil {
		return nil, bad
	}
	if bad := q.setDeadline(r, policy, now); bad != nil {
		return nil, bad
	}
	return q, q.takeBody(r, limits)
}

// splitPath returns the parts of /v1/account/service/key with the key in its
// canonical escaping. Path tricks are refused, not cleaned.
func splitPath(address *url.URL) (account, service, key string, bad *problem) {
	rest, found := strings.CutPrefix(address.EscapedPath(), pathPrefix)
	parts := strings.Split(rest, "/")
	if !found || len(parts) < 3 || len(parts) > maxPathComponents || len(rest) > maxKeyBytes {
		return "", "", "", &problem{http.StatusNotFound, "badPath", "the path is /v1/account/service/key"}
	}
	for i, part := range parts {
		text, err := url.PathUnescape(part)
		if err != nil || text == "" || text == "." || text == ".." || strings.ContainsAny(text, "\x00\r\n") {
			return "", "", "", &problem{http.StatusBadRequest, "badPath", "a part of the path is empty, a dot, or not text"}
		}
		parts[i] = url.PathEscape(text)
	}
	return parts[0], parts[1], strings.Join(parts[2:], "/"), nil
}

func (q *request) checkTokens() *problem {
	if q.id == "" {
		q.id = uuid.NewString()
	}
	if !tokenPattern.MatchString(q.id) {
		return &problem{http.StatusBadRequest, "badRequestId", "Request-Id has 1 to 200 visible ASCII characters"}
	}
	if !q.isJournaled() {
		return nil
	}
	if q.idempotencyKey == "" {
		return &problem{http.StatusBadRequest, "noIdempotencyKey", "this service needs an Idempotency-Key"}
	}
	if !tokenPattern.MatchString(q.idempotencyKey) {
		return &problem{http.StatusBadRequest, "badIdempotencyKey", "Idempotency-Key has 1 to 200 visible ASCII characters"}
	}
	return nil
}

func (q *request) setDeadline(r *http.Request, policy settings.Policy, now time.Time) *problem {
	timeout := policy.DefaultTimeout
	if text := r.Header.Get(redwingstall.HeaderTimeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < shortestTimeout || parsed > policy.MaxTimeout {
			return &problem{http.StatusBadRequest, "badTimeout", "Redwing-Timeout is a duration like 250ms, up to the limit"}
		}
		timeout = parsed
	}
	q.deadline = now.Add(timeout)
	return nil
}

// takeBody buffers a small body and leaves a large one to be streamed.
func (q *request) takeBody(r *http.Request, limits settings.Limits) *problem {
	if r.ContentLength > limits.MaxBodyBytes {
		return &problem{http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is above the limit"}
	}
	q.length = r.ContentLength
	mayStream := !q.isJournaled() && (r.ContentLength < 0 || r.ContentLength > maxBufferedBytes)
	if mayStream {
		q.stream = &onceBody{source: io.LimitReader(r.Body, limits.MaxBodyBytes+1), left: limits.MaxBodyBytes}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limits.MaxBodyBytes+1))
	if err != nil {
		return &problem{http.StatusBadRequest, "bodyCut", "the body could not be read"}
	}
	if int64(len(body)) > limits.MaxBodyBytes {
		return &problem{http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is above the limit"}
	}
	q.buffered = body
	q.length = int64(len(body))
	return nil
}

// body returns the body for one attempt.
func (q *request) body() io.Reader {
	if q.stream != nil {
		return q.stream
	}
	return bytes.NewReader(q.buffered)
}

// isSpent reports whether the body cannot be sent again.
func (q *request) isSpent() bool {
	return q.stream != nil && q.stream.used
}

// isIdempotent reports whether running the request twice does no harm.
func (q *request) isIdempotent() bool {
	switch q.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	case http.MethodPut, http.MethodDelete:
		return q.service.Kind != templates.KindAtMostOnce
	}
	return false
}

// isJournaled reports whether the request must run at most once for its key.
func (q *request) isJournaled() bool {
	isRead := q.method == http.MethodGet || q.method == http.MethodHead || q.method == http.MethodOptions
	return q.service.Kind == templates.KindAtMostOnce && !isRead
}

// digest tells two requests under one idempotency key apart.
func (q *request) digest() string {
	sum := sha256.New()
	for _, part := range []string{q.method, q.account, q.service.Name, q.key, q.query} {
		_, _ = io.WriteString(sum, part+"\x00")
	}
	_, _ = sum.Write(q.buffered)
	return hex.EncodeToString(sum.Sum(nil))
}

// errBodyTooLarge is a streamed body above the limit.
var errBodyTooLarge = errors.New("caller: body is above the limit")

// onceBody is a streamed body, which can be sent once.
type onceBody struct {
	source io.Reader
	left   int64
	used   bool
}

func (b *onceBody) Read(p []byte) (int, error) {
	b.used = true
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

const ownPrefix = "Redwing-"

// cleanHeader drops what concerns one connection only, and what only the
// system itself may say.
func cleanHeader(header http.Header) http.Header {
	clean := http.Header{}
	named := map[string]bool{}
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range header {
		if strings.HasPrefix(name, ownPrefix) || named[name] {
			continue
		}
		clean[name] = values
	}
	for _, name := range hopHeaders {
		clean.Del(name)
	}
	return clean
}
