package dispatch

import (
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/routing/placement"
)

// verdict says what an attempt means for its request and its server.
type verdict struct {
	// name is counted and logged.
	name string
	// isFinal passes the answer on.
	isFinal bool
	// isFailure is an answer that a repeat may better.
	isFailure bool
	// isMisdirected is a server that does not own the key, or another server.
	isMisdirected bool
	mayHaveRun    bool
	// isReset is a connection that the server reset before an answer.
	isReset bool
	teaches placement.OutcomeKind
}

// judge reads the outcome of an attempt. Only a server that says so has not run
// what was sent to it.
func judge(answer backends.Answer, err error, isOver bool) verdict {
	failed := &backends.Error{}
	switch {
	case errors.As(err, &failed) && !failed.IsSent:
		v := verdict{name: failed.Reason, teaches: placement.Failed}
		if isOver || failed.Reason == backends.ReasonConnections {
			v.teaches = placement.Neutral
		}
		return v
	case err != nil && isOver:
		return verdict{name: "abandoned", mayHaveRun: true, teaches: placement.Abandoned}
	case err != nil:
		return verdict{name: "noAnswer", mayHaveRun: true, isReset: errors.Is(err, syscall.ECONNRESET), teaches: placement.Failed}
	case answer.Meta.NotExecuted && answer.Status == http.StatusMisdirectedRequest:
		return verdict{name: "misdirected", isMisdirected: true}
	case answer.Status == http.StatusMisdirectedRequest && !answer.Meta.IsSigned:
		return verdict{name: "misdirected", isMisdirected: true}
	case answer.Meta.NotExecuted:
		return verdict{name: "shed", teaches: placement.Shed}
	case answer.Header.Get("Content-Encoding") != "":
		return verdict{name: "encoded", mayHaveRun: true, teaches: placement.Failed}
	case !answer.Meta.IsSigned && answer.Status < http.StatusBadRequest:
		return verdict{name: "unsigned", mayHaveRun: true, teaches: placement.Failed}
	case !answer.Meta.IsSigned:
		// A failure without a signature could not be told from one of the
		// router's own, which would promise more than is known.
		return verdict{name: "unsignedFailure", mayHaveRun: true, teaches: placement.Failed}
	case answer.Status >= http.StatusInternalServerError:
		return verdict{name: "serverError", isFailure: true, mayHaveRun: true, teaches: placement.Failed}
	}
	return verdict{name: "success", isFinal: true, teaches: placement.Served}
}
