// Package operator implements the operators' HTTP API, which is protected by a bearer
// token, and its client. Commands change state; queries do not.
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

// Config holds the dependencies of an [API] and the bearer token of operators.
type Config struct {
	Store   redwingstall.Store
	Control *control.Coordinator
	View    *view.View
	Journal *journal.Journal
	Token   string
}

// API is the operators' HTTP API of one instance.
type API struct {
	common *common.Common
	config Config
}

// NewAPI returns the API of one instance.
func NewAPI(c *common.Common, config Config) *API {
	return &API{common: c, config: config}
}

const maxRequestBytes = 256 << 10

// Handler returns the handler of all commands and queries.
func (a *API) Handler() http.Handler {
	mux := flow.New()
	mux.Use(a.authorize)
	a.registerCommands(mux)
	a.registerQueries(mux)
	return mux
}

// authorize rejects requests without the bearer token. It compares hashes in constant
// time, so that the response time reveals neither the token nor its length.
func (a *API) authorize(next http.Handler) http.Handler {
	wantHash := sha256.Sum256([]byte(a.config.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		gotHash := sha256.Sum256([]byte(token))
		if !isBearer || subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) != 1 {
			a.common.Count("operators.unauthorized")
			w.Header().Set("WWW-Authenticate", "Bearer")
			wire.WriteJSON(w, http.StatusUnauthorized, ErrorResponse{Reason: "unauthorized", Detail: "a valid bearer token is required"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ErrorResponse is the body of the response to a command or a query that failed.
type ErrorResponse struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// CurrentRevision is the stored revision if the expected one is outdated.
	CurrentRevision redwingstall.Revision `json:"winner,omitempty"`
}

// CommandResult is the response to a command whose change is durable in the store.
type CommandResult struct {
	Revision redwingstall.Revision `json:"revision"`
	// IsInEffect reports that no instance can act on an older revision for longer
	// than the grant lifetime. Otherwise the change is still being replicated to
	// the instances.
	IsInEffect bool `json:"inForce"`
}

// writeError responds with the status and the reason of an error.
func (a *API) writeError(w http.ResponseWriter, err error) {
	response := ErrorResponse{Reason: "refused", Detail: err.Error()}
	status := http.StatusBadRequest
	conflict := &ConflictError{}
	switch {
	case errors.As(err, &conflict):
		response.Reason, response.CurrentRevision, status = "conflict", conflict.CurrentRevision, http.StatusConflict
	case errors.Is(err, ErrNotFound):
		response.Reason, status = "notFound", http.StatusNotFound
	case errors.Is(err, journal.ErrTransition):
		response.Reason, status = "alreadySettled", http.StatusConflict
	case errors.Is(err, journal.ErrTooEarly):
		response.Reason, status = "tooEarly", http.StatusConflict
	case errors.Is(err, redwingstall.ErrUnavailable), errors.Is(err, journal.ErrUnavailable):
		response.Reason, status = "storeUnavailable", http.StatusServiceUnavailable
	}
	a.common.Count("operators.refused." + response.Reason)
	wire.WriteJSON(w, status, response)
}

// ErrNotFound marks errors about a name that does not exist.
var ErrNotFound = errors.New("operator: not found")

// ConflictError reports that the expected revision is not the newest one, since a
// concurrent change was stored first.
type ConflictError struct {
	CurrentRevision redwingstall.Revision
}

// Error does not name the revision, which is a field of [ErrorResponse].
func (e *ConflictError) Error() string { return "the configuration was changed concurrently" }
