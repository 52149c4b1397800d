package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/backend"
	"github.com/redwingstall/redwingstall/pkg/journal"
)

// Reasons in the answers to requests with an idempotency key.
const (
	reasonJournal    = "journalUnavailable"
	reasonInProgress = "inProgress"
	reasonUnknown    = "outcomeUnknown"
	reasonMismatch   = "keyBelongsToAnotherRequest"
	reasonNoReplay   = "answerNotRecorded"
)

// serveJournaled passes a request to the instance that keeps the bucket of its
// key, or acts as that instance. Asking twice does no harm: the journal sees to
// that, so that an answer lost between instances is asked for again.
func (r *Router) serveJournaled(ctx context.Context, w http.ResponseWriter, q *request) {
	for n := 0; ; n++ {
		answer, err := r.journalOnce(ctx, q)
		if err == nil {
			r.pass(ctx, w, q, answer)
			return
		}
		attempt := asAttempt(err)
		if !mayAskAgain(attempt) || pauseFor(ctx, n) != nil {
			r.refuseJournaled(w, attempt)
			return
		}
		r.common.Count("retries.journal." + attempt.Reason)
	}
}

// mayAskAgain reports whether the journal may tell more in a moment.
func mayAskAgain(attempt *backend.AttemptError) bool {
	switch attempt.Reason {
	case reasonInProgress, reasonPeerCut, reasonPeerFailed:
		return true
	}
	return isTransient(attempt)
}

func (r *Router) refuseJournaled(w http.ResponseWriter, attempt *backend.AttemptError) {
	switch attempt.Reason {
	case reasonMismatch:
		r.refuse(w, refused{attempt.Outcome, attempt.Reason, http.StatusUnprocessableEntity, ""})
	case reasonInProgress, reasonUnknown, reasonNoReplay:
		r.refuse(w, refused{attempt.Outcome, attempt.Reason, http.StatusConflict, ""})
	default:
		r.refuseAttempt(w, attempt)
	}
}

// journalOnce asks the instance that keeps the bucket, or this one if that one
// cannot be reached: the store's compare-and-swap decides between the two.
func (r *Router) journalOnce(ctx context.Context, q *request) (*http.Response, error) {
	job := r.parts.Journal.JobName(q.account, q.service.Name, q.idempotencyKey)
	member, found := r.parts.Voter.Home(job, "")
	if !found || member.ID == r.common.Self.ID {
		return r.journaled(ctx, q)
	}
	r.common.Count("hops.journal")
	answer, err := r.forward(ctx, q, member, roleJournal, "", q.header)
	if err != nil && asAttempt(err).Reason == reasonPeerFailed {
		return r.journaled(ctx, q)
	}
	return answer, err
}

// journaled runs a request at most once for its key: the journal's entry is
// durable before the request is sent.
func (r *Router) journaled(ctx context.Context, q *request) (*http.Response, error) {
	entry := journal.Request{
		Account: q.account,
		Service: q.service.Name,
		Key:     q.idempotencyKey,
		Digest:  q.digest(),
		Path:    q.method + " " + q.key,
		Expires: q.deadline,
	}
	verdict, stored, err := r.parts.Journal.Start(ctx, entry)
	if err != nil {
		r.common.Count("journal.unavailable")
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeNotRun, Reason: reasonJournal, Cause: err}
	}
	r.common.Count("journal." + string(verdict))
	switch verdict {
	case journal.VerdictRun:
		return r.runJournaled(ctx, q, entry, stored.Attempt)
	case journal.VerdictReplay:
		return replay(q, stored)
	case journal.VerdictInProgress:
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonInProgress}
	case journal.VerdictMismatch:
		return nil, backend.NewNotRunError(reasonMismatch)
	}
	return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonUnknown}
}

// runJournaled sends a request whose entry is stored. It goes on when the
// caller has gone, so that the entry gets its outcome.
func (r *Router) runJournaled(ctx context.Context, q *request, entry journal.Request, attempt string) (*http.Response, error) {
	r.active.Add(1)
	defer r.active.Done()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	answer, err := r.send(ctx, q, q.header)
	if err != nil {
		failed := asAttempt(err)
		r.recordFailure(entry, attempt, failed)
		return nil, failed
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, r.common.Settings.Limits.MaxBodyBytes))
	_ = answer.Body.Close()
	if err != nil {
		// The server ran it, and its answer is lost for good.
		r.record(func(ctx context.Context) error {
			return r.parts.Journal.Complete(ctx, entry, attempt, journal.Response{Truncated: true})
		})
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonNoReplay, Cause: err}
	}
	kept := journal.Response{Status: answer.StatusCode, Header: keptHeader(answer.Header), Body: body}
	r.record(func(ctx context.Context) error {
		return r.parts.Journal.Complete(ctx, entry, attempt, kept)
	})
	return rebuild(q, kept, answer.Header.Get(redwingstall.HeaderServer)), nil
}

// recordFailure frees the key if nothing ran, and else marks it as unknown.
func (r *Router) recordFailure(entry journal.Request, attempt string, failed *backend.AttemptError) {
	if failed.Outcome == redwingstall.OutcomeNotRun {
		r.record(func(ctx context.Context) error { return r.parts.Journal.Release(ctx, entry, attempt) })
		return
	}
	r.common.Count("journal.doubted." + failed.Reason)
	r.record(func(ctx context.Context) error { return r.parts.Journal.MarkUnknown(ctx, entry, attempt) })
}

const recordPause = 250 * time.Millisecond

// record writes an outcome. If the store does not take it now, the answer goes
// out all the same and the writing goes on; until then a retry is told that the
// request is in progress.
func (r *Router) record(write func(context.Context) error) {
	if write(context.Background()) == nil {
		return
	}
	r.common.Count("journal.recordDelayed")
	r.active.Go(func() {
		for r.stop.Err() == nil {
			timer := time.NewTimer(recordPause)
			select {
			case <-r.stop.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			if write(r.stop) == nil {
				return
			}
		}
	})
}

// keptHeader is the part of an answer's header that a replay needs.
func keptHeader(header http.Header) map[string]string {
	kept := map[string]string{}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "ETag"} {
		if value := header.Get(name); value != "" {
			kept[name] = value
		}
	}
	return kept
}

// replay returns the recorded answer, whole, or none.
func replay(q *request, entry journal.Entry) (*http.Response, error) {
	if entry.Response == nil || entry.Response.Truncated {
		return nil, &backend.AttemptError{Outcome: redwingstall.OutcomeUnknown, Reason: reasonNoReplay}
	}
	answer := rebuild(q, *entry.Response, "")
	answer.Header.Set(redwingstall.HeaderReplayed, "true")
	return answer, nil
}
