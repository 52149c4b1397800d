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

// Headers of a request that another instance forwards.
const (
	headerKey = "Redwing-Key"
	// rolePath parts follow peer.ForwardPrefix.
	roleHome    = "/home"
	roleJournal = "/journal"
)

// Reasons for which an attempt does not reach a home instance.
const (
	reasonNoHome     = "noHome"
	reasonNoPool     = "noPool"
	reasonPeerFailed = "peerFailed"
	reasonPeerCut    = "peerCut"
)

// target is where one attempt goes.
type target struct {
	pool   view.Pool
	member membership.Member
}

// attempt sends a request to a pool's home instance, which may be this one.
// Errors are *[backend.AttemptError].
func (r *Router) attempt(ctx context.Context, q *request, pool view.Pool, header http.Header) (*http.Response, error) {
	member, found := r.parts.Voter.Home(pool.JobName(), pool.FailureDomain)
	if !found {
		return nil, backend.NewNotRunError(reasonNoHome)
	}
	costs := r.policies.of(q.account, q.service.Name).costs
	costs.start(pool.Name)
	answer, err := r.dispatch(ctx, q, target{pool, member}, header)
	if err != nil {
		costs.end(pool.Name)
		r.learnFailure(costs, target{pool, member}, err)
		return nil, err
	}
	costs.learnText(pool.Name, answer.Header.Get(redwingstall.HeaderCost), r.now())
	answer.Header.Set(redwingstall.HeaderPool, pool.Name)
	answer.Body = &closeHook{ReadCloser: answer.Body, hook: func() { costs.end(pool.Name) }}
	return answer, nil
}

// learnFailure takes in what a pool without an answer costs.
func (r *Router) learnFailure(costs *poolCosts, to target, err error) {
	failed := &hopError{}
	switch {
	case to.member.ID == r.common.Self.ID:
		costs.learn(to.pool.Name, r.parts.Pools.Cost(to.pool.Name), r.now())
	case errors.As(err, &failed):
		costs.learnText(to.pool.Name, failed.cost, r.now())
	case asAttempt(err).Reason == reasonPeerFailed:
		costs.learn(to.pool.Name, worstCost, r.now())
	}
}

// hopError is the cause of a refusal by another instance.
type hopError struct {
	// cost is the home instance's word on its pool, in seconds.
	cost string
}

// Error names the layer.
func (e *hopError) Error() string { return "refused by the home instance" }

func (r *Router) dispatch(ctx context.Context, q *request, to target, header http.Header) (*http.Response, error) {
	if to.member.ID == r.common.Self.ID {
		return r.parts.Pools.Do(ctx, q.call(to.pool.Name, header))
	}
	r.common.Count("hops.home")
	return r.forward(ctx, q, to.member, roleHome, to.pool.Name, header)
}

// call is the request as the home instance's part takes it.
func (q *request) call(pool string, header http.Header) home.Attempt {
	return home.Attempt{
		Pool:       pool,
		Key:        q.key,
		Background: q.background,
		Deadline:   q.deadline,
		Method:     q.method,
		Query:      q.query,
		Header:     header,
		Body:       q.body(),
		Length:     q.length,
		RequestID:  q.id,
	}
}

// forward sends a request to another instance, in the role that it shall act in.
func (r *Router) forward(ctx context.Context, q *request, to membership.Member, role, pool string, header http.Header) (*http.Response, error) {
	client, base := r.parts.Peers.Forwarder(to.Peer)
	address := base + role
	if q.query != "" {
		address += "?" + q.query
	}
	isSent := atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { isSent.Store(true) },
	})
	body := q.body()
	if q.length == 0 {
		body = nil
	}
	outgoing, err := http.NewRequestWithContext(ctx, q.method, address, body)
	if err != nil {
		return nil, backend.NewNotRunError("badRequest")
	}
	outgoing.GetBody = nil
	outgoing.ContentLength = q.length
	outgoing.Header = r.forwardHeader(q, pool, header)
	answer, err := client.Do(outgoing)
	if err != nil {
		return nil, classifyHop(ctx, isSent.Load(), err)
	}
	return checkHop(answer)
}

func (r *Router) forwardHeader(q *request, pool string, header http.Header) http.Header {
	next := header.Clone()
	next.Set(headerKey, q.key)
	next.Set(redwingstall.HeaderPool, pool)
	next.Set(redwingstall.HeaderRequestID, q.id)
	next.Set(redwingstall.HeaderTimeout, q.deadline.Sub(r.now()).String())
	next.Set(redwingstall.HeaderDeadline, strconv.FormatInt(q.deadline.UnixNano(), 10))
	next.Set(redwingstall.HeaderRole, q.account+"/"+q.service.Name)
	if q.background {
		next.Set(redwingstall.HeaderPriority, redwingstall.PriorityBackground)
	}
	backend.HideIdempotencyKey(next)
	return next
}

func classifyHop(ctx context.Context, isSent bool, cause error) error {
	switch {
	case !isSent:
		return &backend.AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: reasonPeerFailed, Cause: cause}
	case ctx.Err() != nil:
		return &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: backend.ReasonTimeout, Cause: cause}
	}
	return &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonPeerCut, Cause: cause}
}

// checkHop turns another instance's refusal into the error that it stands for.
func checkHop(answer *http.Response) (*http.Response, error) {
	outcome := redwingstall.Outcome(answer.Header.Get(redwingstall.HeaderOutcome))
	if outcome == "" {
		return answer, nil
	}
	reason := answer.Header.Get(redwingstall.HeaderReason)
	_, _ = io.CopyN(io.Discard, answer.Body, maxRefusalBytes)
	_ = answer.Body.Close()
	if outcome != redwingstall.OutcomeNotRun {
		outcome = redwingstall.OutcomeUnknown
	}
	return nil, &backend.AttemptError{
		Outcome: outcome,
		Reason:  reason,
		Cause:   &hopError{answer.Header.Get(redwingstall.HeaderCost)},
	}
}

const maxRefusalBytes = 4 << 10

// closeHook calls a hook once when the body is closed.
type closeHook struct {
	io.ReadCloser
	once sync.Once
	hook func()
}

// Close closes the body and calls the hook.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.hook)
	return err
}

// asAttempt returns the error of an attempt.
func asAttempt(err error) *backend.AttemptError {
	attempt := &backend.AttemptError{}
	if errors.As(err, &attempt) {
		return attempt
	}
	return &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: "internal", Cause: err}
}

// isTransient reports whether a refusal ends by itself within moments, as while
// a shard or a pool changes hands; waiting for that costs no server anything.
func isTransient(attempt *backend.AttemptError) bool {
	if attempt.Outcome != redwingstall.OutcomeNotRun {
		return false
	}
	switch attempt.Reason {
	case home.ReasonNotHome, home.ReasonNoOwner, home.ReasonLeaseExpired, reasonNoHome, reasonPeerFailed,
		admission.ReasonPoolClosed, admission.ReasonServerClosed, admission.ReasonNoServer, admission.ReasonBackoff, string(redwingstall.RefusalNotOwner), string(redwingstall.RefusalDraining),
		backend.ReasonConnectFailed:
		return true
	}
	return false
}

const (
	firstPause   = 10 * time.Millisecond
	longestPause = 160 * time.Millisecond
)

// pauseFor waits before attempt n, or until the context ends.
func pauseFor(ctx context.Context, n int) error {
	duration := min(firstPause<<min(n, 8), longestPause)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("pause: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
