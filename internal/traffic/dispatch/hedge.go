package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// hedgeCheckInterval is the interval of the checks whether to hedge an attempt.
const hedgeCheckInterval = 100 * time.Millisecond

// errSuperseded cancels an attempt after another one got the final response.
var errSuperseded = errors.New("dispatch: another attempt was answered")

// hedgedRequest is a request that runs at one or more servers at the same time. Its
// fields and the job belong to one goroutine, which the attempts send their ends to.
type hedgedRequest struct {
	*Dispatcher
	job     *job
	running []*attempt
	ended   chan *attempt
}

// canHedge reports whether the request may run at another server at the same time.
func canHedge(j *job) bool {
	return !j.isKeyed() && !j.isolation.needsTrial && j.route.Kind.IsIdempotent() && j.attempts < j.route.MaxAttempts && j.request.BodyRest == nil
}

// sendHedged makes an attempt, and further ones while the servers of all running ones are
// unresponsive. It does not hedge attempts at servers that are merely slow, since copies
// add load and slow down all servers. The first final response wins; no attempt is
// canceled before that. It reports whether the response is final.
func (d *Dispatcher) sendHedged(ctx context.Context, j *job, first *attempt) (*backends.Response, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errSuperseded)
	h := &hedgedRequest{Dispatcher: d, job: j, ended: make(chan *attempt, j.route.MaxAttempts)}
	h.start(ctx, first)
	timer := time.NewTimer(placement.MinUnresponsiveTime)
	defer timer.Stop()
	for {
		select {
		case a := <-h.ended:
			h.running = slices.DeleteFunc(h.running, func(r *attempt) bool { return r == a })
			answer, isFinal := d.finish(j, a)
			if a.result.isFinal && a != first {
				d.Counter.Count("hedges.won")
			}
			if a.result.isFinal || len(h.running) == 0 {
				return answer, isFinal
			}
		case now := <-timer.C:
			if !h.isHedgePossible(now) {
				continue
			}
			if h.areAllUnresponsive(now) && !h.hedge(ctx) {
				continue
			}
			timer.Reset(hedgeCheckInterval)
		}
	}
}

func (h *hedgedRequest) start(ctx context.Context, a *attempt) {
	h.running = append(h.running, a)
	go func() {
		h.run(ctx, h.job, a)
		h.ended <- a
	}()
}

// isHedgePossible reports whether another attempt is allowed and could still be answered.
func (h *hedgedRequest) isHedgePossible(now time.Time) bool {
	return canHedge(h.job) && h.job.deadline.Sub(now) >= 2*h.Estimator.RouteExecutionTime(h.job.route.Name)
}

// areAllUnresponsive reports whether the servers of all running attempts answer no
// instance.
func (h *hedgedRequest) areAllUnresponsive(now time.Time) bool {
	return !slices.ContainsFunc(h.running, func(a *attempt) bool {
		return now.Sub(a.began) < placement.MinUnresponsiveTime || !h.Estimator.IsUnresponsive(now, h.job.route.Name, a.choice.candidate())
	})
}

// hedge starts another attempt if a server admits it and the retry budget allows it.
// Otherwise the running ones go on. It reports whether a further hedge may be tried: not
// without budget, since each choice of a server takes from its warm-up rate.
func (h *hedgedRequest) hedge(ctx context.Context) bool {
	c, rejected := h.chooseForHedge(ctx)
	if c == nil {
		h.Counter.Count("hedges.refused." + rejected.reason)
		return true
	}
	if !h.takeRetryBudget(h.job, true) {
		h.Counter.Count("hedges.refused.budget")
		return false
	}
	h.Counter.Count("hedges.sent")
	h.start(ctx, h.begin(h.job, c))
	return true
}

// chooseForHedge selects the server of a hedge without a wait: answers of the running
// attempts are not handled meanwhile.
func (h *hedgedRequest) chooseForHedge(ctx context.Context) (*choice, rejection) {
	ctx, cancel := context.WithTimeout(ctx, hedgeChoiceTimeout)
	defer cancel()
	h.job.isHedging = true
	defer func() { h.job.isHedging = false }()
	return h.choose(ctx, h.job)
}

// hedgeChoiceTimeout bounds the query for a permit; a round trip takes 2 ms.
const hedgeChoiceTimeout = 20 * time.Millisecond
