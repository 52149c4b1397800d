package dispatch

import (
	"context"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// attemptResult is the classification of an attempt.
type attemptResult struct {
	// name is used in metrics and logs.
	name string
	// isFinal is set if the response is passed on to the client.
	isFinal bool
	// isFailure is set for an error response after which a retry may succeed.
	isFailure bool
	// isMisdirected is set if the server does not own the key, or another server has
	// the address.
	isMisdirected bool
	mayHaveRun    bool
	// isReset is set if the server reset the connection before it answered.
	isReset bool
	// isAnswered is set if the server sent a whole response, an invalid one, or one that exceeded
	// its bound.
	isAnswered bool
	// isEndless is set if the response exceeded its bound.
	isEndless bool
	outcome   placement.OutcomeKind
}

// resultNoAnswer is the name of an attempt that was sent and whose connection broke off.
const resultNoAnswer = "noAnswer"

// classifyAttempt classifies the response or error of an attempt. A request that was
// sent counts as not executed only if the server says so.
func classifyAttempt(answer backends.Response, err error, isCanceled bool, kind redwingstall.RouteKind) attemptResult {
	if err != nil {
		return classifyError(err, isCanceled)
	}
	result := classifyResponse(answer, kind)
	result.isAnswered = true
	return result
}

// classifyError classifies an attempt without a response.
func classifyError(err error, isCanceled bool) attemptResult {
	attemptError := &backends.Error{}
	switch {
	case errors.As(err, &attemptError) && !attemptError.IsSent:
		result := attemptResult{name: attemptError.Reason, outcome: placement.Failed}
		if isCanceled || attemptError.Reason == backends.ReasonConnectionLimit {
			result.outcome = placement.Neutral
		}
		return result
	case attemptError.Reason == backends.ReasonMemoryRevoked:
		// Of all servers, this one held the most memory and had not finished.
		return attemptResult{name: attemptError.Reason, mayHaveRun: true, outcome: placement.Failed}
	case attemptError.Reason == backends.ReasonNoMemory:
		return attemptResult{name: attemptError.Reason, mayHaveRun: true, outcome: placement.Abandoned}
	case attemptError.Reason == backends.ReasonEndless:
		return attemptResult{name: attemptError.Reason, mayHaveRun: true, isAnswered: true, isEndless: true, outcome: placement.Failed}
	case attemptError.Reason == backends.ReasonInvalid:
		return attemptResult{name: attemptError.Reason, mayHaveRun: true, isAnswered: true, outcome: placement.Failed}
	case isCanceled:
		return attemptResult{name: "abandoned", mayHaveRun: true, outcome: placement.Abandoned}
	}
	return attemptResult{name: resultNoAnswer, mayHaveRun: true, isReset: errors.Is(err, syscall.ECONNRESET), outcome: placement.Failed}
}

func classifyResponse(answer backends.Response, kind redwingstall.RouteKind) attemptResult {
	switch {
	case answer.Meta.NotExecuted && answer.Status == http.StatusMisdirectedRequest:
		return attemptResult{name: "misdirected", isMisdirected: true}
	case answer.Status == http.StatusMisdirectedRequest && !answer.Meta.IsSigned:
		return attemptResult{name: "misdirected", isMisdirected: true}
	case answer.Meta.NotExecuted:
		return attemptResult{name: "shed", outcome: placement.Shed}
	case answer.Header.Get("Content-Encoding") != "":
		return attemptResult{name: "encoded", mayHaveRun: true, outcome: placement.Failed}
	case !answer.Meta.IsSigned && answer.Status < http.StatusBadRequest:
		return attemptResult{name: "unsigned", mayHaveRun: true, outcome: placement.Failed}
	case !answer.Meta.IsSigned:
		// Without a signature, the error response could not be distinguished from
		// one of the router's own, which makes stronger promises about execution.
		return attemptResult{name: "unsignedFailure", mayHaveRun: true, outcome: placement.Failed}
	case !kind.IsIdempotent() && promisesNotExecuted(answer.Status):
		return attemptResult{name: "unprovenRefusal", mayHaveRun: true, outcome: placement.Failed}
	case answer.Status >= http.StatusInternalServerError:
		return attemptResult{name: "serverError", isFailure: true, mayHaveRun: true, outcome: placement.Failed}
	}
	return attemptResult{name: "success", isFinal: true, outcome: placement.Served}
}

// cancelCause returns the name of the reason why an attempt was canceled, for metrics and
// logs.
func cancelCause(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSuperseded):
		return "superseded"
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	}
	return "clientGone"
}

// promisesNotExecuted reports whether clients take a status as the promise that the
// request did not run and never will.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
