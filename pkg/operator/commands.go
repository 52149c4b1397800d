package operator

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/alexedwards/flow"
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/templates"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

func (a *API) registerCommands(mux *flow.Mux) {
	mux.HandleFunc("/v1/templates", a.publishTemplate, http.MethodPost)
	mux.HandleFunc("/v1/accounts", a.setAccount, http.MethodPost)
	mux.HandleFunc("/v1/domains/:name/:action", a.setDomainState, http.MethodPost)
	mux.HandleFunc("/v1/servers/:account/:name/:action", a.setServerState, http.MethodPost)
	mux.HandleFunc("/v1/outcomes/:account/:service/resolve", a.resolveOutcome, http.MethodPost)
	mux.HandleFunc("/v1/members/:id/gone", a.markMemberTerminated, http.MethodPost)
}

// documentEdit modifies a copy of the configuration document.
type documentEdit func(document *templates.Document) error

const maxEditAttempts = 8

// commitEdit applies an edit to the newest document and stores the result. Unless
// expected is zero, it fails with [ConflictError] if expected is not the newest
// revision. If a concurrent change is stored first, it reapplies the edit to that.
func (a *API) commitEdit(ctx context.Context, expected redwingstall.Revision, force bool, apply documentEdit) (CommandResult, error) {
	for range maxEditAttempts {
		revision, err := a.tryCommitEdit(ctx, expected, force, apply)
		if errors.Is(err, redwingstall.ErrConflict) {
			a.common.Count("operators.conflicts")
			continue
		}
		if err != nil {
			return CommandResult{}, err
		}
		isInEffect := a.config.Control.ReplicateRecord(ctx, templates.RecordName, revision)
		return CommandResult{revision, isInEffect}, nil
	}
	return CommandResult{}, errors.New("too many concurrent changes; try again")
}

// tryCommitEdit makes one attempt of commitEdit. It returns
// [redwingstall.ErrConflict] if a concurrent change was stored since the read.
func (a *API) tryCommitEdit(ctx context.Context, expected redwingstall.Revision, force bool, apply documentEdit) (redwingstall.Revision, error) {
	stored, err := a.config.Store.Get(ctx, templates.RecordName)
	if err != nil {
		return 0, err
	}
	if expected != 0 && stored.Revision != expected {
		return 0, &ConflictError{stored.Revision}
	}
	document, err := templates.DecodeDocument(stored.Value)
	if err != nil {
		return 0, err
	}
	edited := document.Copy()
	if err := apply(&edited); err != nil {
		return 0, err
	}
	timing := a.common.Settings.Timing
	if err := edited.Check(a.common.Clock.Now(), timing.QuietLead, timing.ClockSkewBound, force); err != nil {
		return 0, err
	}
	value, err := edited.Encode()
	if err != nil {
		return 0, err
	}
	return a.config.Control.Publish(ctx, templates.RecordName, stored.Revision, value)
}

// handleEdit commits an edit for a request and writes the response. The If-Match
// header holds the expected revision.
func (a *API) handleEdit(w http.ResponseWriter, r *http.Request, apply documentEdit) {
	expected := redwingstall.Revision(0)
	if text := r.Header.Get("If-Match"); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			a.writeError(w, errors.Newf("If-Match: %q is not a revision", text))
			return
		}
		expected = redwingstall.Revision(number)
	}
	result, err := a.commitEdit(r.Context(), expected, r.URL.Query().Get("force") == "true", apply)
	if err != nil {
		a.writeError(w, err)
		return
	}
	a.common.Count("operators.accepted")
	a.common.Log.Info("configuration accepted", "revision", result.Revision, "inForce", result.IsInEffect, "command", r.URL.Path)
	wire.WriteJSON(w, http.StatusOK, result)
}

func (a *API) publishTemplate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		a.writeError(w, err)
		return
	}
	template, err := templates.ParseTemplate(fileName(r), body)
	if err != nil {
		a.writeError(w, err)
		return
	}
	a.handleEdit(w, r, func(document *templates.Document) error {
		document.Templates[template.Name] = template
		return nil
	})
}

// fileName returns the name of the uploaded file for use in error messages.
func fileName(r *http.Request) string {
	if name := r.URL.Query().Get("file"); name != "" {
		return name
	}
	return "request body"
}

func (a *API) setAccount(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		a.writeError(w, err)
		return
	}
	account, err := templates.ParseAccount(fileName(r), body)
	if err != nil {
		a.writeError(w, err)
		return
	}
	a.handleEdit(w, r, func(document *templates.Document) error {
		document.Accounts[account.Name] = account
		return nil
	})
}

func (a *API) setDomainState(w http.ResponseWriter, r *http.Request) {
	name, action := r.PathValue("name"), r.PathValue("action")
	a.handleEdit(w, r, func(document *templates.Document) error {
		if !a.hasDomain(*document, name) {
			return errors.Wrapf(ErrNotFound, "failure domain %q", name)
		}
		return setFlag(document.DomainsOut, name, action, "take-out")
	})
}

func (a *API) hasDomain(document templates.Document, name string) bool {
	deployments, err := document.Deployments()
	if err != nil {
		return false
	}
	for _, deployment := range deployments {
		for _, domain := range deployment.FailureDomains() {
			if domain == name {
				return true
			}
		}
	}
	return false
}

// setFlag sets the flag of a name if the action is setAction, and clears it if the
// action is "return".
func setFlag(flags map[string]bool, name, action, setAction string) error {
	switch action {
	case setAction:
		flags[name] = true
	case "return":
		delete(flags, name)
	default:
		return errors.Wrapf(ErrNotFound, "action %q; the actions are %q and %q", action, setAction, "return")
	}
	return nil
}

func (a *API) setServerState(w http.ResponseWriter, r *http.Request) {
	account, name, action := r.PathValue("account"), r.PathValue("name"), r.PathValue("action")
	a.handleEdit(w, r, func(document *templates.Document) error {
		deployment, err := document.Deployment(account)
		if err != nil {
			return errors.Mark(err, ErrNotFound)
		}
		if !hasServer(deployment, name) {
			return errors.Wrapf(ErrNotFound, "backend server %s/%s", account, name)
		}
		return setFlag(document.ServersLeaving, account+"/"+name, action, "leave")
	})
}

func hasServer(deployment templates.Deployment, name string) bool {
	for _, service := range deployment.Services {
		for _, server := range service.Servers {
			if server.Name == name {
				return true
			}
		}
	}
	return false
}

func (a *API) resolveOutcome(w http.ResponseWriter, r *http.Request) {
	request, err := wire.ReadJSON[struct {
		Key string `json:"key"`
		Ran bool   `json:"ran"`
	}](w, r, maxRequestBytes)
	if err != nil {
		a.writeError(w, err)
		return
	}
	err = a.config.Journal.Resolve(r.Context(), r.PathValue("account"), r.PathValue("service"), request.Key, request.Ran)
	if err != nil {
		a.writeError(w, err)
		return
	}
	a.common.Count("operators.resolved")
	wire.WriteJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
		Ran bool   `json:"ran"`
	}{request.Key, request.Ran})
}

// markMemberTerminated records an operator's confirmation that the process of a member
// has terminated.
func (a *API) markMemberTerminated(w http.ResponseWriter, r *http.Request) {
	revision, err := a.config.Control.MarkMemberTerminated(r.Context(), r.PathValue("id"))
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, CommandResult{Revision: revision})
}
