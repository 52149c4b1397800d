package operator

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/alexedwards/flow"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall/pkg/assignment"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/templates"
	"github.com/redwingstall/redwingstall/pkg/wire"
)

func (a *API) addQueries(mux *flow.Mux) {
	mux.HandleFunc("/v1/templates", a.listTemplates, http.MethodGet)
	mux.HandleFunc("/v1/templates/:name", a.showTemplate, http.MethodGet)
	mux.HandleFunc("/v1/accounts", a.listAccounts, http.MethodGet)
	mux.HandleFunc("/v1/accounts/:name", a.showAccount, http.MethodGet)
	mux.HandleFunc("/v1/accounts/:name/render", a.renderAccount, http.MethodGet)
	mux.HandleFunc("/v1/domains", a.listDomains, http.MethodGet)
	mux.HandleFunc("/v1/servers", a.listServers, http.MethodGet)
	mux.HandleFunc("/v1/keys/:account/:service/...", a.locateKey, http.MethodGet)
	mux.HandleFunc("/v1/outcomes/:account/:service", a.listOutcomes, http.MethodGet)
	mux.HandleFunc("/v1/status", a.status, http.MethodGet)
	mux.HandleFunc("/v1/counters", a.counters, http.MethodGet)
	mux.HandleFunc("/counters", a.countersPage, http.MethodGet)
}

// Names is a list of names.
type Names struct {
	Names []string `json:"names"`
}

func namesOf[V any](values map[string]V) Names {
	names := Names{Names: []string{}}
	for name := range values {
		names.Names = append(names.Names, name)
	}
	sort.Strings(names.Names)
	return names
}

func (a *API) document() templates.Document { return a.parts.View.Snapshot().Document }

func (a *API) listTemplates(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, namesOf(a.document().Templates))
}

func (a *API) showTemplate(w http.ResponseWriter, r *http.Request) {
	showNamed(a, w, "template", r.PathValue("name"), a.document().Templates)
}

// showNamed answers with the value of a name, or refuses.
func showNamed[V any](a *API, w http.ResponseWriter, kind, name string, values map[string]V) {
	value, found := values[name]
	if !found {
		a.refuse(w, errors.Wrapf(ErrNotFound, "%s %q", kind, name))
		return
	}
	wire.WriteJSON(w, http.StatusOK, value)
}

func (a *API) listAccounts(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, namesOf(a.document().Accounts))
}

func (a *API) showAccount(w http.ResponseWriter, r *http.Request) {
	showNamed(a, w, "account", r.PathValue("name"), a.document().Accounts)
}

func (a *API) renderAccount(w http.ResponseWriter, r *http.Request) {
	deployment, err := a.document().Deployment(r.PathValue("name"))
	if err != nil {
		a.refuse(w, errors.Mark(err, ErrNotFound))
		return
	}
	wire.WriteJSON(w, http.StatusOK, deployment)
}

// DomainRow is the state of a failure domain.
type DomainRow struct {
	Name string `json:"name"`
	// IsOut is set while the domain gets no new work.
	IsOut bool `json:"out"`
	// IsTakenOut is set if an operator took it out; else quiet hours may have.
	IsTakenOut bool `json:"takenOut"`
}

func (a *API) listDomains(w http.ResponseWriter, _ *http.Request) {
	snapshot := a.parts.View.Snapshot()
	now := a.common.Clock.Now()
	found := map[string]bool{}
	for _, deployment := range snapshot.Deployments {
		for _, name := range deployment.FailureDomains() {
			found[name] = true
		}
	}
	rows := []DomainRow{}
	for _, name := range namesOf(found).Names {
		rows = append(rows, DomainRow{name, a.parts.View.IsDomainOut(name, now), snapshot.Document.DomainsOut[name]})
	}
	wire.WriteJSON(w, http.StatusOK, rows)
}

// ServerRow is the state of a backend server.
type ServerRow struct {
	Account       string `json:"account"`
	Service       string `json:"service"`
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// IsEligible is set if operators and the platform let it have new work.
	IsEligible bool `json:"mayWork"`
	// Entries is the number of shards and hot keys that it owns.
	Entries int `json:"entries"`
}

func (a *API) listServers(w http.ResponseWriter, _ *http.Request) {
	snapshot := a.parts.View.Snapshot()
	now := a.common.Clock.Now()
	rows := []ServerRow{}
	for _, account := range namesOf(snapshot.Deployments).Names {
		for _, service := range snapshot.Deployments[account].Services {
			record, _ := a.parts.View.Assignment(account, service.Name)
			for _, server := range service.Servers {
				rows = append(rows, ServerRow{
					Account:       account,
					Service:       service.Name,
					Name:          server.Name,
					Address:       server.Address,
					FailureDomain: server.FailureDomain,
					IsEligible:    a.parts.View.IsEligible(account, server, now),
					Entries:       len(record.Grants(server.Name)),
				})
			}
		}
	}
	wire.WriteJSON(w, http.StatusOK, rows)
}

// KeyRow is the owner of a key.
type KeyRow struct {
	Key   string                `json:"key"`
	Shard string                `json:"shard"`
	Owner string                `json:"owner"`
	Fence int64                 `json:"fence"`
	State assignment.ShardState `json:"state"`
}

func (a *API) locateKey(w http.ResponseWriter, r *http.Request) {
	account, service, key := r.PathValue("account"), r.PathValue("service"), r.PathValue("...")
	record, _ := a.parts.View.Assignment(account, service)
	name, entry, found := record.Locate(key)
	if !found {
		a.refuse(w, errors.Wrapf(ErrNotFound, "keyed service %s/%s", account, service))
		return
	}
	wire.WriteJSON(w, http.StatusOK, KeyRow{key, name, entry.Owner, entry.Fence, entry.State})
}

func (a *API) listOutcomes(w http.ResponseWriter, r *http.Request) {
	rows, err := a.parts.Journal.ListUnknown(r.Context(), r.PathValue("account"), r.PathValue("service"))
	if err != nil {
		a.refuse(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, struct {
		Unknown []journal.UnknownOutcome `json:"unknown"`
	}{rows})
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, a.parts.Control.Status())
}

// Counters returns every counter by name.
func (a *API) Counters() map[string]int64 {
	values := map[string]int64{}
	a.common.Metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			values[name] = m.Count()
		case metrics.Gauge:
			values[name] = m.Value()
		}
	})
	return values
}

func (a *API) counters(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, a.Counters())
}

func (a *API) countersPage(w http.ResponseWriter, _ *http.Request) {
	values := a.Counters()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range namesOf(values).Names {
		_, _ = fmt.Fprintf(w, "%s %d\n", name, values[name])
	}
}
