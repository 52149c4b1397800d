package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/balance"
	"github.com/redwingstall/redwingstall/pkg/templates"
	"github.com/redwingstall/redwingstall/pkg/view"
)

// send makes attempts until one succeeds or the service kind, the budgets or the
// deadline allow no more. Errors are *[backend.AttemptError].
func (r *Router) send(ctx context.Context, q *request, header http.Header) (*http.Response, error) {
	policy := r.policies.forService(q.account, q.service.Name)
	policy.retries.Deposit()
	policy.hedges.Deposit()
	triedPools := map[string]bool{q.avoidPool: true}
	for n := 0; ; n++ {
		response, err := r.sendOnce(ctx, q, policy, header, triedPools)
		if err == nil {
			return response, nil
		}
		attemptErr := asAttemptError(err)
		if !r.awaitRetry(ctx, q, policy, attemptErr, n) {
			return nil, attemptErr
		}
	}
}

// awaitRetry reports whether to make another attempt. After a transient failure it
// first waits for the backoff; after any other it withdraws from the retry budget.
func (r *Router) awaitRetry(ctx context.Context, q *request, policy *servicePolicy, attemptErr *backend.AttemptError, n int) bool {
	isSafeToRetry := attemptErr.Outcome == redwingstall.OutcomeNotRun || q.isIdempotent()
	if !isSafeToRetry || q.isBodyConsumed() || ctx.Err() != nil {
		return false
	}
	if isTransient(attemptErr) {
		r.common.Count("retries.waiting." + attemptErr.Reason)
		return waitBackoff(ctx, n) == nil
	}
	if q.service.Kind == templates.KindKeyed && attemptErr.Outcome == redwingstall.OutcomeNotRun {
		// A retry would reach the same server, as the key has a single owner, and its
		// queue would refuse the request again.
		return false
	}
	if !policy.retries.TryWithdraw() {
		r.common.Count("retries.refused.budget")
		return false
	}
	r.common.Count("retries.sent." + attemptErr.Reason)
	return true
}

// sendOnce makes one attempt, and a hedge if the request allows one.
func (r *Router) sendOnce(ctx context.Context, q *request, policy *servicePolicy, header http.Header, triedPools map[string]bool) (*http.Response, error) {
	pool, found := r.choosePool(q, policy, triedPools)
	if !found {
		return nil, backend.NewNotRunError(reasonNoPool)
	}
	triedPools[pool.Name] = true
	delay, known := policy.hedgeDelay()
	canHedge := known && q.service.Kind != templates.KindKeyed && q.isIdempotent() && len(q.bufferedBody) == 0 && q.streamedBody == nil
	if !canHedge {
		return r.attemptTimed(ctx, q, policy, pool, header)
	}
	return r.hedged(ctx, q, policy, pool, header, delay)
}

// attemptTimed makes one attempt and records the latency of its response.
func (r *Router) attemptTimed(ctx context.Context, q *request, policy *servicePolicy, pool view.Pool, header http.Header) (*http.Response, error) {
	started := r.now()
	response, err := r.attempt(ctx, q, pool, header)
	if err == nil {
		policy.latency.Add(r.now().Sub(started))
	}
	return response, err
}

// hedgedAttempt is one of two concurrent attempts for the same request.
type hedgedAttempt struct {
	cancel   context.CancelFunc
	response *http.Response
	err      error
}

// hedged makes an attempt. If no response arrives within the delay and the budget
// allows, it makes a second one at another pool, uses the first successful response
// and cancels the other attempt.
// (Dean, Barroso, "The Tail at Scale", 2013.)
func (r *Router) hedged(ctx context.Context, q *request, policy *servicePolicy, pool view.Pool, header http.Header, delay time.Duration) (*http.Response, error) {
	finished := make(chan *hedgedAttempt, 2)
	first := r.startAttempt(ctx, q, policy, pool, header, finished)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case winner := <-finished:
		return winner.result()
	case <-timer.C:
	}
	other, found := r.choosePool(q, policy, map[string]bool{pool.Name: true, q.avoidPool: true})
	hasOther := found && other.Name != pool.Name && other.Name != q.avoidPool
	if !hasOther || !policy.hedges.TryWithdraw() {
		return (<-finished).result()
	}
	r.common.Count("hedges.sent")
	second := r.startAttempt(ctx, q, policy, other, header, finished)
	winner := <-finished
	if winner.err != nil {
		winner.cancel()
		return (<-finished).result()
	}
	loser := first
	if winner == first {
		loser = second
	} else {
		r.common.Count("hedges.won")
	}
	loser.cancel()
	go closeLoser(finished)
	return winner.result()
}

// startAttempt starts an attempt in the background and sends it to the finished
// channel when it ends.
func (r *Router) startAttempt(ctx context.Context, q *request, policy *servicePolicy, pool view.Pool, header http.Header, finished chan<- *hedgedAttempt) *hedgedAttempt {
	attemptCtx, cancel := context.WithCancel(ctx)
	attempt := &hedgedAttempt{cancel: cancel}
	go func() {
		attempt.response, attempt.err = r.attemptTimed(attemptCtx, q, policy, pool, header)
		finished <- attempt
	}()
	return attempt
}

// closeLoser closes a response that arrived although its attempt was canceled.
func closeLoser(finished <-chan *hedgedAttempt) {
	loser := <-finished
	if loser.response != nil {
		_ = loser.response.Body.Close()
	}
}

// result returns the response or the error of the attempt. The attempt's context is
// canceled when the body is closed.
func (r *hedgedAttempt) result() (*http.Response, error) {
	if r.err != nil {
		r.cancel()
		return nil, r.err
	}
	r.response.Body = &closeHookBody{ReadCloser: r.response.Body, onClose: r.cancel}
	return r.response, nil
}

// choosePool returns the pool for an attempt. For a keyed service it is the pool of the
// key's owner. Otherwise it is the cheaper of two random pools, chosen among the pools
// not yet tried if any of them is available.
func (r *Router) choosePool(q *request, policy *servicePolicy, triedPools map[string]bool) (view.Pool, bool) {
	snapshot := r.config.View.Snapshot()
	if q.service.Kind == templates.KindKeyed {
		return r.poolOfOwner(q, snapshot)
	}
	names := snapshot.PoolsOf(q.account, q.service.Name)
	costs := make([]float64, len(names))
	hasUntried := false
	for i, name := range names {
		costs[i] = r.poolCost(snapshot.Pools[name], policy)
		hasUntried = hasUntried || costs[i] >= 0 && !triedPools[name]
	}
	for i, name := range names {
		if hasUntried && triedPools[name] {
			costs[i] = -1
		}
	}
	chosen := balance.TwoChoices{}.Pick(costs)
	if chosen < 0 {
		return view.Pool{}, false
	}
	return snapshot.Pools[names[chosen]], true
}

// poolCost returns the cost of a pool divided by the slots of its eligible servers. It
// is negative if no server may get new work.
func (r *Router) poolCost(pool view.Pool, policy *servicePolicy) float64 {
	now := r.now()
	slots := 0
	for _, server := range pool.Servers {
		if r.config.View.IsEligible(pool.Account, server, now) {
			slots += server.Slots
		}
	}
	if slots == 0 {
		return -1
	}
	return policy.costs.cost(pool.Name, now) / float64(slots)
}

func (r *Router) poolOfOwner(q *request, snapshot *view.Snapshot) (view.Pool, bool) {
	record, _ := r.config.View.Assignment(q.account, q.service.Name)
	_, entry, found := record.Locate(q.key)
	if !found {
		return view.Pool{}, false
	}
	server, found := snapshot.Server(q.account, q.service.Name, entry.Owner)
	if !found {
		return view.Pool{}, false
	}
	pool, found := snapshot.Pools[view.PoolName(q.account, q.service.Name, server.FailureDomain)]
	return pool, found
}
