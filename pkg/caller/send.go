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

// send carries a request out with as many attempts as its kind, the budgets and
// the deadline allow, and returns the answer. Errors are *[backend.AttemptError].
func (r *Router) send(ctx context.Context, q *request, header http.Header) (*http.Response, error) {
	policy := r.policies.of(q.account, q.service.Name)
	policy.retries.Deposit()
	policy.hedges.Deposit()
	tried := map[string]bool{q.avoid: true}
	for n := 0; ; n++ {
		answer, err := r.sendOnce(ctx, q, policy, header, tried)
		if err == nil {
			return answer, nil
		}
		attempt := asAttempt(err)
		if !r.mayRetry(ctx, q, policy, attempt, n) {
			return nil, attempt
		}
	}
}

// mayRetry waits, or spends from the budget, and reports whether to try again.
func (r *Router) mayRetry(ctx context.Context, q *request, policy *policy, attempt *backend.AttemptError, n int) bool {
	isSafe := attempt.Outcome == redwingstall.OutcomeNotRun || q.isIdempotent()
	if !isSafe || q.isSpent() || ctx.Err() != nil {
		return false
	}
	if isTransient(attempt) {
		r.common.Count("retries.waiting." + attempt.Reason)
		return pauseFor(ctx, n) == nil
	}
	if q.service.Kind == templates.KindKeyed && attempt.Outcome == redwingstall.OutcomeNotRun {
		// There is one owner: what its queue refuses, asking again does not mend.
		return false
	}
	if !policy.retries.TryWithdraw() {
		r.common.Count("retries.refused.budget")
		return false
	}
	r.common.Count("retries.sent." + attempt.Reason)
	return true
}

// sendOnce makes one attempt, with a hedge where the request allows it.
func (r *Router) sendOnce(ctx context.Context, q *request, policy *policy, header http.Header, tried map[string]bool) (*http.Response, error) {
	pool, found := r.choose(q, policy, tried)
	if !found {
		return nil, backend.NewNotRunError(reasonNoPool)
	}
	tried[pool.Name] = true
	delay, known := policy.hedgeDelay()
	mayHedge := known && q.service.Kind != templates.KindKeyed && q.isIdempotent() && len(q.buffered) == 0 && q.stream == nil
	if !mayHedge {
		return r.timed(ctx, q, policy, pool, header)
	}
	return r.hedged(ctx, q, policy, pool, header, delay)
}

// timed makes one attempt and notes how long its answer took.
func (r *Router) timed(ctx context.Context, q *request, policy *policy, pool view.Pool, header http.Header) (*http.Response, error) {
	started := r.now()
	answer, err := r.attempt(ctx, q, pool, header)
	if err == nil {
		policy.latency.Add(r.now().Sub(started))
	}
	return answer, err
}

// racer is one of two racing attempts.
type racer struct {
	cancel context.CancelFunc
	answer *http.Response
	err    error
}

// hedged makes an attempt and, if its answer is late and the budget allows, a
// second one at another pool. The loser is canceled.
// (Dean, Barroso, "The Tail at Scale", 2013.)
func (r *Router) hedged(ctx context.Context, q *request, policy *policy, pool view.Pool, header http.Header, delay time.Duration) (*http.Response, error) {
	finished := make(chan *racer, 2)
	first := r.race(ctx, q, policy, pool, header, finished)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case winner := <-finished:
		return winner.take()
	case <-timer.C:
	}
	other, found := r.choose(q, policy, map[string]bool{pool.Name: true, q.avoid: true})
	isOther := found && other.Name != pool.Name && other.Name != q.avoid
	if !isOther || !policy.hedges.TryWithdraw() {
		return (<-finished).take()
	}
	r.common.Count("hedges.sent")
	second := r.race(ctx, q, policy, other, header, finished)
	winner := <-finished
	if winner.err != nil {
		winner.cancel()
		return (<-finished).take()
	}
	loser := first
	if winner == first {
		loser = second
	} else {
		r.common.Count("hedges.won")
	}
	loser.cancel()
	go dropLoser(finished)
	return winner.take()
}

// race starts an attempt that is sent to the channel when it has ended.
func (r *Router) race(ctx context.Context, q *request, policy *policy, pool view.Pool, header http.Header, finished chan<- *racer) *racer {
	racing, cancel := context.WithCancel(ctx)
	racer := &racer{cancel: cancel}
	go func() {
		racer.answer, racer.err = r.timed(racing, q, policy, pool, header)
		finished <- racer
	}()
	return racer
}

// dropLoser closes an answer that came although its attempt was canceled.
func dropLoser(finished <-chan *racer) {
	loser := <-finished
	if loser.answer != nil {
		_ = loser.answer.Body.Close()
	}
}

// take returns the result; its context lives until the body is closed.
func (r *racer) take() (*http.Response, error) {
	if r.err != nil {
		r.cancel()
		return nil, r.err
	}
	r.answer.Body = &closeHook{ReadCloser: r.answer.Body, hook: r.cancel}
	return r.answer, nil
}

// choose returns the pool for an attempt: the owner's for a keyed service, and
// else the cheaper of two at random, one that was not tried where there is one.
func (r *Router) choose(q *request, policy *policy, tried map[string]bool) (view.Pool, bool) {
	snapshot := r.parts.View.Snapshot()
	if q.service.Kind == templates.KindKeyed {
		return r.ownerPool(q, snapshot)
	}
	names := snapshot.PoolsOf(q.account, q.service.Name)
	costs := make([]float64, len(names))
	fresh := false
	for i, name := range names {
		costs[i] = r.costOf(snapshot.Pools[name], policy)
		fresh = fresh || costs[i] >= 0 && !tried[name]
	}
	for i, name := range names {
		if fresh && tried[name] {
			costs[i] = -1
		}
	}
	at := balance.TwoChoices{}.Pick(costs)
	if at < 0 {
		return view.Pool{}, false
	}
	return snapshot.Pools[names[at]], true
}

// costOf is negative for a pool whose servers may get no new work.
func (r *Router) costOf(pool view.Pool, policy *policy) float64 {
	now := r.now()
	slots := 0
	for _, server := range pool.Servers {
		if r.parts.View.IsEligible(pool.Account, server, now) {
			slots += server.Slots
		}
	}
	if slots == 0 {
		return -1
	}
	return policy.costs.cost(pool.Name, now) / float64(slots)
}

func (r *Router) ownerPool(q *request, snapshot *view.Snapshot) (view.Pool, bool) {
	record, _ := r.parts.View.Assignment(q.account, q.service.Name)
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
