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

// ForwardHandler returns the handler of requests that other instances forward.
func (r *Router) ForwardHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(peer.ForwardPrefix+roleHome, r.forwardedHandler(r.serveAsHome))
	mux.HandleFunc(peer.ForwardPrefix+roleJournal, r.forwardedHandler(r.serveAsJournal))
	return mux
}

// forwardedHandler returns a handler that parses a forwarded request and passes it to
// serveRole. The sending instance cancels a request by closing the connection.
func (r *Router) forwardedHandler(serveRole func(w http.ResponseWriter, incoming *http.Request, q *request)) http.HandlerFunc {
	return func(w http.ResponseWriter, incoming *http.Request) {
		r.inFlight.Add(1)
		defer r.inFlight.Done()
		q, invalid := r.parseForwarded(incoming)
		if invalid == nil {
			defer q.release()
			invalid = r.readBody(w, incoming, q)
		}
		if invalid != nil {
			r.writeRefusal(w, refusal{redwingstall.OutcomeNotRun, invalid.reason, invalid.status, invalid.detail})
			return
		}
		serveRole(w, incoming, q)
	}
}

// serveAsHome executes one attempt as the home instance of its pool.
func (r *Router) serveAsHome(w http.ResponseWriter, incoming *http.Request, q *request) {
	ctx, cancel := context.WithDeadline(incoming.Context(), q.deadline)
	defer cancel()
	ctx, release := r.responseContext(incoming.Context(), ctx)
	defer release()
	pool := incoming.Header.Get(redwingstall.HeaderPool)
	response, err := r.config.Pools.Do(ctx, q.homeAttempt(pool, q.header))
	w.Header().Set(redwingstall.HeaderCost, r.formatCost(pool))
	if err != nil {
		r.writeAttemptError(w, asAttemptError(err))
		return
	}
	defer response.Body.Close()
	markResponseStarted(ctx)
	writeHeader(w, response)
	progress := newProgress(response)
	progress.pool = pool
	if err := r.copyBody(ctx, w, response, progress); err != nil {
		r.common.Count("answers.cutAtHome")
		panic(http.ErrAbortHandler)
	}
}

func (r *Router) formatCost(pool string) string {
	return strconv.FormatFloat(r.config.Pools.Cost(pool), 'g', 4, 64)
}

// serveAsJournal executes a request as the instance that holds the journal bucket of
// its idempotency key.
func (r *Router) serveAsJournal(w http.ResponseWriter, incoming *http.Request, q *request) {
	ctx, cancel := context.WithDeadline(incoming.Context(), q.deadline)
	defer cancel()
	response, err := r.executeJournaled(ctx, q)
	if err != nil {
		r.writeJournaledError(w, asAttemptError(err))
		return
	}
	defer response.Body.Close()
	writeHeader(w, response)
	_, _ = io.Copy(w, response.Body)
}

// parseForwarded parses the header of a request that another instance forwarded.
func (r *Router) parseForwarded(incoming *http.Request) (*request, *requestError) {
	account, service, _ := strings.Cut(incoming.Header.Get(redwingstall.HeaderRole), "/")
	found, ok := r.config.View.Snapshot().Service(account, service)
	if !ok {
		return nil, &requestError{http.StatusServiceUnavailable, home.ReasonNotHome, "this instance does not know the service"}
	}
	q := &request{
		account:        account,
		service:        found,
		key:            incoming.Header.Get(headerKey),
		query:          incoming.URL.RawQuery,
		method:         incoming.Method,
		header:         endToEndHeader(incoming.Header),
		requestID:      incoming.Header.Get(redwingstall.HeaderRequestID),
		idempotencyKey: incoming.Header.Get(redwingstall.HeaderIdempotencyKey),
		isBackground:   incoming.Header.Get(redwingstall.HeaderPriority) == redwingstall.PriorityBackground,
	}
	if invalid := r.setForwardedDeadline(q, incoming.Header); invalid != nil {
		return nil, invalid
	}
	return q, nil
}

// setForwardedDeadline sets the deadline from the time left that the sender states.
// For at-most-once services the deadline on the wall clock, plus the clock skew bound,
// limits it too, so that a request does not run late after its sender was paused.
func (r *Router) setForwardedDeadline(q *request, header http.Header) *requestError {
	timeLeft, err := time.ParseDuration(header.Get(redwingstall.HeaderTimeout))
	if err != nil || timeLeft > r.common.Settings.Policy.MaxTimeout {
		return &requestError{http.StatusBadRequest, "badTimeout", "a forwarded request needs a valid Redwing-Timeout header"}
	}
	now := r.now()
	q.deadline = now.Add(timeLeft)
	if q.service.Kind != templates.KindAtMostOnce {
		return nil
	}
	deadlineNanos, err := strconv.ParseInt(header.Get(redwingstall.HeaderDeadline), 10, 64)
	if err != nil {
		return &requestError{http.StatusBadRequest, "badDeadline", "a forwarded request needs a valid Redwing-Deadline header"}
	}
	wallDeadline := time.Unix(0, deadlineNanos).Add(r.common.Settings.Timing.ClockSkewBound)
	if now.After(wallDeadline) {
		return &requestError{http.StatusServiceUnavailable, home.ReasonDeadlineExceeded, "the deadline has passed"}
	}
	if wallDeadline.Before(q.deadline) {
		q.deadline = now.Add(wallDeadline.Sub(now.Round(0)))
	}
	return nil
}

// responseFromRecord returns the HTTP response that a journal record describes. An
// empty server name sets no server header.
func responseFromRecord(q *request, recorded journal.Response, server string) *http.Response {
	response := &http.Response{
		StatusCode:    recorded.Status,
		Status:        fmt.Sprintf("%d %s", recorded.Status, http.StatusText(recorded.Status)),
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(recorded.Body)),
		ContentLength: int64(len(recorded.Body)),
		Request:       &http.Request{Method: q.method},
	}
	for name, value := range recorded.Header {
		response.Header.Set(name, value)
	}
	if server != "" {
		response.Header.Set(redwingstall.HeaderServer, server)
	}
	return response
}
