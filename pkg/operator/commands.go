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

func (a *API) addCommands(mux *flow.Mux) {
	mux.HandleFunc("/v1/templates", a.publishTemplate, http.MethodPost)
	mux.HandleFunc("/v1/accounts", a.setAccount, http.MethodPost)
	mux.HandleFunc("/v1/domains/:name/:action", a.orderDomain, http.MethodPost)
	mux.HandleFunc("/v1/servers/:account/:name/:action", a.orderServer, http.MethodPost)
	mux.HandleFunc("/v1/outcomes/:account/:service/resolve", a.resolveOutcome, http.MethodPost)
	mux.HandleFunc("/v1/members/:id/gone", a.vouchGone, http.MethodPost)
}

// edit changes a copy of the configuration document.
type edit func(document *templates.Document) error

const maxEditAttempts = 8

// change applies an edit to the newest document and stores it. With If-Match
// the edit is refused unless that revision is the newest; without, it is applied
// again on whatever was faster.
func (a *API) change(ctx context.Context, expected redwingstall.Revision, force bool, apply edit) (CommandResult, error) {
	for range maxEditAttempts {
		revision, err := a.changeOnce(ctx, expected, force, apply)
		if errors.Is(err, redwingstall.ErrConflict) {
			a.common.Count("operators.conflicts")
			continue
		}
		if err != nil {
			return CommandResult{}, err
		}
		inForce := a.parts.Control.ReplicateRecord(ctx, templates.RecordName, revision)
		return CommandResult{revision, inForce}, nil
	}
	return CommandResult{}, errors.New("too many changes at once; try again")
}

func (a *API) changeOnce(ctx context.Context, expected redwingstall.Revision, force bool, apply edit) (redwingstall.Revision, error) {
	stored, err := a.parts.Store.Get(ctx, templates.RecordName)
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
	next := document.Copy()
	if err := apply(&next); err != nil {
		return 0, err
	}
	timing := a.common.Settings.Timing
	if err := next.Check(a.common.Clock.Now(), timing.QuietLead, timing.ClockSkewBound, force); err != nil {
		return 0, err
	}
	value, err := next.Encode()
	if err != nil {
		return 0, err
	}
	return a.parts.Control.Publish(ctx, templates.RecordName, stored.Revision, value)
}

// command runs an edit for a request and answers it.
func (a *API) command(w http.ResponseWriter, r *http.Request, apply edit) {
	expected := redwingstall.Revision(0)
	if text := r.Header.Get("If-Match"); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			a.refuse(w, errors.Newf("If-Match: %q is not a revision", text))
			return
		}
		expected = redwingstall.Revision(number)
	}
	accepted, err := a.change(r.Context(), expected, r.URL.Query().Get("force") == "true", apply)
	if err != nil {
		a.refuse(w, err)
		return
	}
	a.common.Count("operators.accepted")
	a.common.Log.Info("configuration accepted", "revision", accepted.Revision, "inForce", accepted.IsInEffect, "command", r.URL.Path)
	wire.WriteJSON(w, http.StatusOK, accepted)
}

func (a *API) publishTemplate(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		a.refuse(w, err)
		return
	}
	template, err := templates.ParseTemplate(fileName(r), text)
	if err != nil {
		a.refuse(w, err)
		return
	}
	a.command(w, r, func(document *templates.Document) error {
		document.Templates[template.Name] = template
		return nil
	})
}

// fileName is the name of the operator's file, for messages.
func fileName(r *http.Request) string {
	if name := r.URL.Query().Get("file"); name != "" {
		return name
	}
	return "request body"
}

func (a *API) setAccount(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		a.refuse(w, err)
		return
	}
	account, err := templates.ParseAccount(fileName(r), text)
	if err != nil {
		a.refuse(w, err)
		return
	}
	a.command(w, r, func(document *templates.Document) error {
		document.Accounts[account.Name] = account
		return nil
	})
}

func (a *API) orderDomain(w http.ResponseWriter, r *http.Request) {
	name, action := r.PathValue("name"), r.PathValue("action")
	a.command(w, r, func(document *templates.Document) error {
		if !a.knowsDomain(*document, name) {
			return errors.Wrapf(ErrNotFound, "failure domain %q", name)
		}
		return setFlag(document.DomainsOut, name, action, "take-out")
	})
}

func (a *API) knowsDomain(document templates.Document, name string) bool {
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

// setFlag sets or takes back a flag; "return" is the way back of every action.
func setFlag(flags map[string]bool, name, action, set string) error {
	switch action {
	case set:
		flags[name] = true
	case "return":
		delete(flags, name)
	default:
		return errors.Wrapf(ErrNotFound, "action %q; there are %q and %q", action, set, "return")
	}
	return nil
}

func (a *API) orderServer(w http.ResponseWriter, r *http.Request) {
	account, name, action := r.PathValue("account"), r.PathValue("name"), r.PathValue("action")
	a.command(w, r, func(document *templates.Document) error {
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
		a.refuse(w, err)
		return
	}
	err = a.parts.Journal.Resolve(r.Context(), r.PathValue("account"), r.PathValue("service"), request.Key, request.Ran)
	if err != nil {
		a.refuse(w, err)
		return
	}
	a.common.Count("operators.resolved")
	wire.WriteJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
		Ran bool   `json:"ran"`
	}{request.Key, request.Ran})
}

// vouchGone takes an operator's word that the process of a member has ended.
func (a *API) vouchGone(w http.ResponseWriter, r *http.Request) {
	revision, err := a.parts.Control.MarkMemberTerminated(r.Context(), r.PathValue("id"))
	if err != nil {
		a.refuse(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, CommandResult{Revision: revision})
}
