package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/journal"
)

// Reasons in error responses to requests with an idempotency key.
const (
	reasonJournalUnavailable     = "journalUnavailable"
	reasonInProgress             = "inProgress"
	reasonOutcomeUnknown         = "outcomeUnknown"
	reasonIdempotencyKeyMismatch = "keyBelongsToAnotherRequest"
	reasonResponseNotRecorded    = "answerNotRecorded"
)

// serveJournaled executes a request on the instance that holds the journal bucket of
// its idempotency key, which may be this one. It retries a response that was lost
// between instances: the journal prevents a second run.
func (r *Router) serveJournaled(ctx context.Context, w http.ResponseWriter, q *request) {
	for n := 0; ; n++ {
		response, err := r.routeJournaled(ctx, q)
		if err == nil {
			r.relayResponse(ctx, w, q, response)
			return
		}
		attemptErr := asAttemptError(err)
		if !canRetryJournaled(attemptErr) || waitBackoff(ctx, n) != nil {
			r.writeJournaledError(w, attemptErr)
			return
		}
		r.common.Count("retries.journal." + attemptErr.Reason)
	}
}

// canRetryJournaled reports whether the journal may return a different result
// shortly.
func canRetryJournaled(attemptErr *backend.AttemptError) bool {
	switch attemptErr.Reason {
	case reasonInProgress, reasonPeerConnectionLost, reasonPeerUnreachable:
		return true
	}
	return isTransient(attemptErr)
}

func (r *Router) writeJournaledError(w http.ResponseWriter, attemptErr *backend.AttemptError) {
	switch attemptErr.Reason {
	case reasonIdempotencyKeyMismatch:
		r.writeRefusal(w, refusal{attemptErr.Outcome, attemptErr.Reason, http.StatusUnprocessableEntity, ""})
	case reasonInProgress, reasonOutcomeUnknown, reasonResponseNotRecorded:
		r.writeRefusal(w, refusal{attemptErr.Outcome, attemptErr.Reason, http.StatusConflict, ""})
	default:
		r.writeAttemptError(w, attemptErr)
	}
}

// routeJournaled sends the request to the instance that holds the bucket, or executes
// it here if that instance cannot be reached. If both execute it, the store's
// compare-and-swap lets one of them proceed.
func (r *Router) routeJournaled(ctx context.Context, q *request) (*http.Response, error) {
	job := r.config.Journal.JobName(q.account, q.service.Name, q.idempotencyKey)
	member, found := r.config.Voter.Home(job, "")
	if !found || member.ID == r.common.Self.ID {
		return r.executeJournaled(ctx, q)
	}
	r.common.Count("hops.journal")
	response, err := r.forwardToPeer(ctx, q, member, roleJournal, "", q.header)
	if err != nil && asAttemptError(err).Reason == reasonPeerUnreachable {
		return r.executeJournaled(ctx, q)
	}
	return response, err
}

// executeJournaled runs a request at most once for its idempotency key. The journal
// entry is durable before the request is sent.
func (r *Router) executeJournaled(ctx context.Context, q *request) (*http.Response, error) {
	entry := journal.Request{
		Account: q.account,
		Service: q.service.Name,
		Key:     q.idempotencyKey,
		Digest:  q.digest(),
		Path:    q.method + " " + q.key,
		Expires: q.deadline,
	}
	verdict, stored, err := r.config.Journal.Start(ctx, entry)
	if err != nil {
		r.common.Count("journal.unavailable")
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: reasonJournalUnavailable, Cause: err}
	}
	r.common.Count("journal." + string(verdict))
	switch verdict {
	case journal.VerdictRun:
		return r.sendJournaled(ctx, q, entry, stored.Attempt)
	case journal.VerdictReplay:
		return replayResponse(q, stored)
	case journal.VerdictInProgress:
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonInProgress}
	case journal.VerdictMismatch:
		return nil, backend.NewNotRunError(reasonIdempotencyKeyMismatch)
	}
	return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonOutcomeUnknown}
}

// sendJournaled sends a request whose journal entry is stored, and records the
// outcome. It continues after the caller disconnects, so that the entry gets an
// outcome.
func (r *Router) sendJournaled(ctx context.Context, q *request, entry journal.Request, attempt string) (*http.Response, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	response, err := r.send(ctx, q, q.header)
	if err != nil {
		attemptErr := asAttemptError(err)
		r.recordFailedAttempt(entry, attempt, attemptErr)
		return nil, attemptErr
	}
	body, reserved, err := r.buffers.readResponse(ctx, q.account+"/"+q.service.Name, response, r.common.Settings.Limits.MaxBodyBytes)
	_ = response.Body.Close()
	if err != nil {
		// The server ran the request, but its response cannot be recovered.
		r.recordOutcome(func(ctx context.Context) error {
			return r.config.Journal.Complete(ctx, entry, attempt, journal.Response{Truncated: true})
		})
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonResponseNotRecorded, Cause: err}
	}
	recorded := journal.Response{Status: response.StatusCode, Header: replayedHeader(response.Header), Body: body}
	r.recordOutcome(func(ctx context.Context) error {
		return r.config.Journal.Complete(ctx, entry, attempt, recorded)
	})
	answer := responseFromRecord(q, recorded, response.Header.Get(redwingstall.HeaderServer))
	answer.Body = newReleasingBody(ctx, answer.Body, reserved)
	return answer, nil
}

// recordFailedAttempt releases the idempotency key if the request did not run, and
// otherwise marks its outcome as unknown.
func (r *Router) recordFailedAttempt(entry journal.Request, attempt string, attemptErr *backend.AttemptError) {
	if attemptErr.Outcome == redwingstall.OutcomeNotRun {
		r.recordOutcome(func(ctx context.Context) error { return r.config.Journal.Release(ctx, entry, attempt) })
		return
	}
	r.common.Count("journal.doubted." + attemptErr.Reason)
	r.recordOutcome(func(ctx context.Context) error { return r.config.Journal.MarkUnknown(ctx, entry, attempt) })
}

// recordRetryDelay is the time between two tries to write an outcome.
const recordRetryDelay = 250 * time.Millisecond

// recordOutcome writes an outcome to the journal. If the store fails, it returns and
// retries the write in the background, so that the response is not delayed. Until
// the write succeeds, a retry by the caller gets "in progress".
func (r *Router) recordOutcome(write func(context.Context) error) {
	if write(context.Background()) == nil {
		return
	}
	r.common.Count("journal.recordDelayed")
	r.inFlight.Go(func() {
		for r.recordCtx.Err() == nil {
			timer := time.NewTimer(recordRetryDelay)
			select {
			case <-r.recordCtx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			if write(r.recordCtx) == nil {
				return
			}
		}
	})
}

// replayedHeader returns the headers of a response that are recorded for replays.
func replayedHeader(header http.Header) map[string]string {
	replayed := map[string]string{}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "ETag"} {
		if value := header.Get(name); value != "" {
			replayed[name] = value
		}
	}
	return replayed
}

// replayResponse returns the recorded response, or an error if it was not recorded in
// full.
func replayResponse(q *request, entry journal.Entry) (*http.Response, error) {
	if entry.Response == nil || entry.Response.Truncated {
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonResponseNotRecorded}
	}
	response := responseFromRecord(q, *entry.Response, "")
	response.Header.Set(redwingstall.HeaderReplayed, "true")
	return response, nil
}
