// Package operator serves operators over HTTP with a bearer token, and is the
// client of that interface. Commands change the configuration; queries do not.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/alexedwards/flow"
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/control"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/view"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

// Config are what the interface works with.
type Config struct {
	Store   redwingstall.Store
	Control *control.Coordinator
	View    *view.View
	Journal *journal.Journal
	Token   string
}

// API serves operators.
type API struct {
	common *common.Common
	parts  Config
}

// NewAPI returns the interface of one instance.
func NewAPI(c *common.Common, parts Config) *API {
	return &API{common: c, parts: parts}
}

const maxRequestBytes = 256 << 10

// Handler serves commands and queries.
func (a *API) Handler() http.Handler {
	mux := flow.New()
	mux.Use(a.authorize)
	a.addCommands(mux)
	a.addQueries(mux)
	return mux
}

// authorize compares hashes, so that neither the token nor its length shows in
// the time that a refusal takes.
func (a *API) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(a.parts.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if !isBearer || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			a.common.Count("operators.unauthorized")
			w.Header().Set("WWW-Authenticate", "Bearer")
			wire.WriteJSON(w, http.StatusUnauthorized, ErrorResponse{Reason: "unauthorized", Detail: "a bearer token is needed"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ErrorResponse is the answer to a command or a query that is refused.
type ErrorResponse struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// CurrentRevision is the revision that a conflicting change made.
	CurrentRevision redwingstall.Revision `json:"winner,omitempty"`
}

// CommandResult is the answer to a command that is durable in the store.
type CommandResult struct {
	Revision redwingstall.Revision `json:"revision"`
	// IsInEffect is set once no instance can act on an older revision for longer
	// than the grant lifetime; else the instances are still being told.
	IsInEffect bool `json:"inForce"`
}

// refuse answers with the reason that the error stands for.
func (a *API) refuse(w http.ResponseWriter, err error) {
	refusal := ErrorResponse{Reason: "refused", Detail: err.Error()}
	status := http.StatusBadRequest
	conflict := &ConflictError{}
	switch {
	case errors.As(err, &conflict):
		refusal.Reason, refusal.CurrentRevision, status = "conflict", conflict.CurrentRevision, http.StatusConflict
	case errors.Is(err, ErrNotFound):
		refusal.Reason, status = "notFound", http.StatusNotFound
	case errors.Is(err, journal.ErrTransition):
		refusal.Reason, status = "alreadySettled", http.StatusConflict
	case errors.Is(err, journal.ErrTooEarly):
		refusal.Reason, status = "tooEarly", http.StatusConflict
	case errors.Is(err, redwingstall.ErrUnavailable), errors.Is(err, journal.ErrUnavailable):
		refusal.Reason, status = "storeUnavailable", http.StatusServiceUnavailable
	}
	a.common.Count("operators.refused." + refusal.Reason)
	wire.WriteJSON(w, status, refusal)
}

// ErrNotFound is a name that does not exist.
var ErrNotFound = errors.New("operator: not found")

// ConflictError is a change that another operator's was faster than.
type ConflictError struct {
	CurrentRevision redwingstall.Revision
}

// Error names no revision; the answer has it.
func (e *ConflictError) Error() string { return "another change won" }
