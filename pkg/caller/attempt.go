package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/admission"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/home"
	"github.com/redwingstall/redwingstall/pkg/membership"
	"github.com/redwingstall/redwingstall/pkg/view"
)

const (
	// headerKey is the header of a forwarded request that carries its key.
	headerKey = "Redwing-Key"
	// The role paths follow peer.ForwardPrefix in the path of a forwarded request.
	roleHome    = "/home"
	roleJournal = "/journal"
)

// Reasons of attempts that got no response from a home instance.
const (
	reasonNoHome             = "noHome"
	reasonNoPool             = "noPool"
	reasonPeerUnreachable    = "peerFailed"
	reasonPeerConnectionLost = "peerCut"
)

// target is the pool and the home instance of one attempt.
type target struct {
	pool   view.Pool
	member membership.Member
}

// attempt sends a request to a pool's home instance, which may be this instance, and
// records the cost of the pool. Errors are *[backend.AttemptError].
func (r *Router) attempt(ctx context.Context, q *request, pool view.Pool, header http.Header) (*http.Response, error) {
	member, found := r.config.Voter.Home(pool.JobName(), pool.FailureDomain)
	if !found {
		return nil, backend.NewNotRunError(reasonNoHome)
	}
	costs := r.policies.forService(q.account, q.service.Name).costs
	costs.addInFlight(pool.Name)
	response, err := r.sendToHome(ctx, q, target{pool, member}, header)
	if err != nil {
		costs.removeInFlight(pool.Name)
		r.recordFailedAttemptCost(costs, target{pool, member}, err)
		return nil, err
	}
	costs.recordHeader(pool.Name, response.Header.Get(redwingstall.HeaderCost), r.now())
	response.Header.Set(redwingstall.HeaderPool, pool.Name)
	response.Body = &closeHookBody{ReadCloser: response.Body, onClose: func() { costs.removeInFlight(pool.Name) }}
	return response, nil
}

// recordFailedAttemptCost records the cost of a pool after a failed attempt: the
// cost that the home instance reported, or the maximum if that instance could not be
// reached.
func (r *Router) recordFailedAttemptCost(costs *poolCosts, to target, err error) {
	peerErr := &peerRefusalError{}
	switch {
	case to.member.ID == r.common.Self.ID:
		costs.record(to.pool.Name, r.config.Pools.Cost(to.pool.Name), r.now())
	case errors.As(err, &peerErr):
		costs.recordHeader(to.pool.Name, peerErr.cost, r.now())
	case asAttemptError(err).Reason == reasonPeerUnreachable:
		costs.record(to.pool.Name, maxCostSeconds, r.now())
	}
}

// peerRefusalError is the cause of an attempt that another instance refused.
type peerRefusalError struct {
	// cost is the cost that the home instance reported for its pool, in seconds.
	cost string
}

// Error returns a fixed text; the reason is in the AttemptError that wraps it.
func (e *peerRefusalError) Error() string { return "refused by the home instance" }

func (r *Router) sendToHome(ctx context.Context, q *request, to target, header http.Header) (*http.Response, error) {
	if to.member.ID == r.common.Self.ID {
		return r.config.Pools.Do(ctx, q.homeAttempt(to.pool.Name, header))
	}
	r.common.Count("hops.home")
	return r.forwardToPeer(ctx, q, to.member, roleHome, to.pool.Name, header)
}

// homeAttempt returns the request as an attempt for a home instance.
func (q *request) homeAttempt(pool string, header http.Header) home.Attempt {
	return home.Attempt{
		Pool:       pool,
		Key:        q.key,
		Background: q.isBackground,
		Deadline:   q.deadline,
		Method:     q.method,
		Query:      q.query,
		Header:     header,
		Body:       q.body(),
		Length:     q.bodyLength,
		RequestID:  q.requestID,
	}
}

// forwardToPeer sends a request to another instance. The role is the path under
// peer.ForwardPrefix that selects what that instance does with it.
func (r *Router) forwardToPeer(ctx context.Context, q *request, to membership.Member, role, pool string, header http.Header) (*http.Response, error) {
	client, baseURL := r.config.Peers.Forwarder(to.Peer)
	address := baseURL + role
	if q.query != "" {
		address += "?" + q.query
	}
	gotConnection := atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	body := q.body()
	if q.bodyLength == 0 {
		body = nil
	}
	outgoing, err := http.NewRequestWithContext(ctx, q.method, address, body)
	if err != nil {
		return nil, backend.NewNotRunError("badRequest")
	}
	outgoing.GetBody = nil
	outgoing.ContentLength = q.bodyLength
	outgoing.Header = r.forwardedHeader(q, pool, header)
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, classifyForwardError(ctx, gotConnection.Load(), err)
	}
	return checkForwardedResponse(response)
}

func (r *Router) forwardedHeader(q *request, pool string, header http.Header) http.Header {
	forwarded := header.Clone()
	forwarded.Set(headerKey, q.key)
	forwarded.Set(redwingstall.HeaderPool, pool)
	forwarded.Set(redwingstall.HeaderRequestID, q.requestID)
	forwarded.Set(redwingstall.HeaderTimeout, q.deadline.Sub(r.now()).String())
	forwarded.Set(redwingstall.HeaderDeadline, strconv.FormatInt(q.deadline.UnixNano(), 10))
	forwarded.Set(redwingstall.HeaderRole, q.account+"/"+q.service.Name)
	if q.isBackground {
		forwarded.Set(redwingstall.HeaderPriority, redwingstall.PriorityBackground)
	}
	backend.HideIdempotencyKey(forwarded)
	return forwarded
}

func classifyForwardError(ctx context.Context, gotConnection bool, cause error) error {
	switch {
	case !gotConnection:
		return &backend.AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: reasonPeerUnreachable, Cause: cause}
	case ctx.Err() != nil:
		return &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: backend.ReasonTimeout, Cause: cause}
	}
	return &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonPeerConnectionLost, Cause: cause}
}

// checkForwardedResponse returns another instance's refusal as an *[backend.AttemptError].
func checkForwardedResponse(response *http.Response) (*http.Response, error) {
	outcome := redwingstall.Outcome(response.Header.Get(redwingstall.HeaderOutcome))
	if outcome == "" {
		return response, nil
	}
	reason := response.Header.Get(redwingstall.HeaderReason)
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	_ = response.Body.Close()
	if outcome != redwingstall.OutcomeNotRun {
		outcome = redwingstall.OutcomeUnknown
	}
	return nil, &backend.AttemptError{
		Outcome: outcome,
		Reason:  reason,
		Cause:   &peerRefusalError{response.Header.Get(redwingstall.HeaderCost)},
	}
}

// maxDrainBytes bounds how much of a refusal's body is read, so that the connection
// can be reused.
const maxDrainBytes = 4 << 10

// closeHookBody is a response body that calls onClose when it is first closed.
type closeHookBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the body and, the first time, calls onClose.
func (c *closeHookBody) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.onClose)
	return err
}

// asAttemptError returns the *[backend.AttemptError] in err. Any other error gets the
// outcome unknown and the reason "internal".
func asAttemptError(err error) *backend.AttemptError {
	attemptErr := &backend.AttemptError{}
	if errors.As(err, &attemptErr) {
		return attemptErr
	}
	return &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: "internal", Cause: err}
}

// isTransient reports whether the cause of a failed attempt ends by itself within
// moments, as while a shard or a pool is handed over. Waiting for that adds no load
// to any server, so these retries need no budget.
func isTransient(attemptErr *backend.AttemptError) bool {
	if attemptErr.Outcome != redwingstall.OutcomeNotRun {
		return false
	}
	switch attemptErr.Reason {
	case home.ReasonNotHome, home.ReasonNoOwner, home.ReasonLeaseExpired, reasonNoHome, reasonPeerUnreachable,
		admission.ReasonPoolClosed, admission.ReasonServerClosed, admission.ReasonNoServer, admission.ReasonBackoff, string(redwingstall.RefusalNotOwner), string(redwingstall.RefusalDraining),
		backend.ReasonConnectFailed:
		return true
	}
	return false
}

// Bounds of the delay before a retry, which doubles with each retry.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 160 * time.Millisecond
)

// waitBackoff waits before retry n, with exponential backoff. It returns an error if
// the context ends first.
func waitBackoff(ctx context.Context, n int) error {
	backoff := min(initialBackoff<<min(n, 8), maxBackoff)
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("backoff: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
