package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/alexedwards/flow"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/home"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/peer"
	"github.com/redwingstall/redwingstall/pkg/templates"
)

// ForwardHandler serves requests that other instances forward.
func (r *Router) ForwardHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(peer.ForwardPrefix+roleHome, r.forwarded(r.asHome))
	mux.HandleFunc(peer.ForwardPrefix+roleJournal, r.forwarded(r.asJournal))
	return mux
}

// forwarded reads another instance's request back for a role. The sender ends
// it by closing the connection.
func (r *Router) forwarded(role func(w http.ResponseWriter, incoming *http.Request, q *request)) http.HandlerFunc {
	return func(w http.ResponseWriter, incoming *http.Request) {
		r.active.Add(1)
		defer r.active.Done()
		q, bad := r.parseForwarded(incoming)
		if bad != nil {
			r.refuse(w, refused{redwingstall.OutcomeNotRun, bad.reason, bad.status, bad.detail})
			return
		}
		role(w, incoming, q)
	}
}

// asHome carries out one attempt as home instance.
func (r *Router) asHome(w http.ResponseWriter, incoming *http.Request, q *request) {
	ctx, cancel := context.WithDeadline(incoming.Context(), q.deadline)
	defer cancel()
	ctx, release := r.answerContext(incoming.Context(), ctx)
	defer release()
	pool := incoming.Header.Get(redwingstall.HeaderPool)
	answer, err := r.parts.Pools.Do(ctx, q.call(pool, q.header))
	w.Header().Set(redwingstall.HeaderCost, r.costText(pool))
	if err != nil {
		r.refuseAttempt(w, asAttempt(err))
		return
	}
	defer answer.Body.Close()
	beginAnswer(ctx)
	writeHeader(w, answer)
	if err := r.copyBody(ctx, w, answer, newProgress(answer)); err != nil {
		r.common.Count("answers.cutAtHome")
		panic(http.ErrAbortHandler)
	}
}

func (r *Router) costText(pool string) string {
	return strconv.FormatFloat(r.parts.Pools.Cost(pool), 'g', 4, 64)
}

// asJournal carries out a request as the keeper of its bucket.
func (r *Router) asJournal(w http.ResponseWriter, incoming *http.Request, q *request) {
	ctx, cancel := context.WithDeadline(incoming.Context(), q.deadline)
	defer cancel()
	answer, err := r.journaled(ctx, q)
	if err != nil {
		r.refuseJournaled(w, asAttempt(err))
		return
	}
	writeHeader(w, answer)
	_, _ = io.Copy(w, answer.Body)
}

// parseForwarded reads the request of another instance back.
func (r *Router) parseForwarded(incoming *http.Request) (*request, *problem) {
	account, service, _ := strings.Cut(incoming.Header.Get(redwingstall.HeaderRole), "/")
	found, ok := r.parts.View.Snapshot().Service(account, service)
	if !ok {
		return nil, &problem{http.StatusServiceUnavailable, home.ReasonNotHome, "this instance does not know the service"}
	}
	q := &request{
		account:        account,
		service:        found,
		key:            incoming.Header.Get(headerKey),
		query:          incoming.URL.RawQuery,
		method:         incoming.Method,
		header:         cleanHeader(incoming.Header),
		id:             incoming.Header.Get(redwingstall.HeaderRequestID),
		idempotencyKey: incoming.Header.Get(redwingstall.HeaderIdempotencyKey),
		background:     incoming.Header.Get(redwingstall.HeaderPriority) == redwingstall.PriorityBackground,
	}
	if bad := r.setForwardedDeadline(q, incoming.Header); bad != nil {
		return nil, bad
	}
	return q, q.takeBody(incoming, r.common.Settings.Limits)
}

// setForwardedDeadline takes the time left, and for at-most-once services the
// instant on the wall clock too: a sender that was paused must not have its
// request run late.
func (r *Router) setForwardedDeadline(q *request, header http.Header) *problem {
	left, err := time.ParseDuration(header.Get(redwingstall.HeaderTimeout))
	if err != nil || left > r.common.Settings.Policy.MaxTimeout {
		return &problem{http.StatusBadRequest, "badTimeout", "a forwarded request has its time left"}
	}
	now := r.now()
	q.deadline = now.Add(left)
	if q.service.Kind != templates.KindAtMostOnce {
		return nil
	}
	nanos, err := strconv.ParseInt(header.Get(redwingstall.HeaderDeadline), 10, 64)
	if err != nil {
		return &problem{http.StatusBadRequest, "badDeadline", "a forwarded request has its deadline"}
	}
	latest := time.Unix(0, nanos).Add(r.common.Settings.Timing.ClockSkewBound)
	if now.After(latest) {
		return &problem{http.StatusServiceUnavailable, home.ReasonDeadlineExceeded, "the deadline has passed"}
	}
	if latest.Before(q.deadline) {
		q.deadline = now.Add(latest.Sub(now.Round(0)))
	}
	return nil
}

// rebuild makes an answer from its record.
func rebuild(q *request, kept journal.Response, server string) *http.Response {
	answer := &http.Response{
		StatusCode:    kept.Status,
		Status:        fmt.Sprintf("%d %s", kept.Status, http.StatusText(kept.Status)),
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(kept.Body)),
		ContentLength: int64(len(kept.Body)),
		Request:       &http.Request{Method: q.method},
	}
	for name, value := range kept.Header {
		answer.Header.Set(name, value)
	}
	if server != "" {
		answer.Header.Set(redwingstall.HeaderServer, server)
	}
	return answer
}
