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

func (a *API) registerQueries(mux *flow.Mux) {
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
	mux.HandleFunc("/counters", a.countersText, http.MethodGet)
}

// Names is a sorted list of names.
type Names struct {
	Names []string `json:"names"`
}

// sortedNames returns the sorted keys of a map.
func sortedNames[V any](values map[string]V) Names {
	names := Names{Names: []string{}}
	for name := range values {
		names.Names = append(names.Names, name)
	}
	sort.Strings(names.Names)
	return names
}

// document returns the configuration document as this instance has it.
func (a *API) document() templates.Document { return a.config.View.Snapshot().Document }

func (a *API) listTemplates(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, sortedNames(a.document().Templates))
}

func (a *API) showTemplate(w http.ResponseWriter, r *http.Request) {
	writeNamed(a, w, "template", r.PathValue("name"), a.document().Templates)
}

// writeNamed responds with the value of a name, or with an error if there is none.
func writeNamed[V any](a *API, w http.ResponseWriter, kind, name string, values map[string]V) {
	value, found := values[name]
	if !found {
		a.writeError(w, errors.Wrapf(ErrNotFound, "%s %q", kind, name))
		return
	}
	wire.WriteJSON(w, http.StatusOK, value)
}

func (a *API) listAccounts(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, sortedNames(a.document().Accounts))
}

func (a *API) showAccount(w http.ResponseWriter, r *http.Request) {
	writeNamed(a, w, "account", r.PathValue("name"), a.document().Accounts)
}

func (a *API) renderAccount(w http.ResponseWriter, r *http.Request) {
	deployment, err := a.document().Deployment(r.PathValue("name"))
	if err != nil {
		a.writeError(w, errors.Mark(err, ErrNotFound))
		return
	}
	wire.WriteJSON(w, http.StatusOK, deployment)
}

// DomainRow is the state of one failure domain.
type DomainRow struct {
	Name string `json:"name"`
	// IsOut reports that the domain receives no new requests.
	IsOut bool `json:"out"`
	// IsTakenOut reports that an operator took the domain out of service. A domain
	// that is out without it is in quiet hours or close to them.
	IsTakenOut bool `json:"takenOut"`
}

func (a *API) listDomains(w http.ResponseWriter, _ *http.Request) {
	snapshot := a.config.View.Snapshot()
	now := a.common.Clock.Now()
	domains := map[string]bool{}
	for _, deployment := range snapshot.Deployments {
		for _, name := range deployment.FailureDomains() {
			domains[name] = true
		}
	}
	rows := []DomainRow{}
	for _, name := range sortedNames(domains).Names {
		rows = append(rows, DomainRow{name, a.config.View.IsDomainOut(name, now), snapshot.Document.DomainsOut[name]})
	}
	wire.WriteJSON(w, http.StatusOK, rows)
}

// ServerRow is the state of one backend server.
type ServerRow struct {
	Account       string `json:"account"`
	Service       string `json:"service"`
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// IsEligible reports that the server may receive new requests, as far as
	// operators and the platform determine that.
	IsEligible bool `json:"mayWork"`
	// Entries is the number of shards and hot keys that the server owns.
	Entries int `json:"entries"`
}

func (a *API) listServers(w http.ResponseWriter, _ *http.Request) {
	snapshot := a.config.View.Snapshot()
	now := a.common.Clock.Now()
	rows := []ServerRow{}
	for _, account := range sortedNames(snapshot.Deployments).Names {
		for _, service := range snapshot.Deployments[account].Services {
			record, _ := a.config.View.Assignment(account, service.Name)
			for _, server := range service.Servers {
				rows = append(rows, ServerRow{
					Account:       account,
					Service:       service.Name,
					Name:          server.Name,
					Address:       server.Address,
					FailureDomain: server.FailureDomain,
					IsEligible:    a.config.View.IsEligible(account, server, now),
					Entries:       len(record.Grants(server.Name)),
				})
			}
		}
	}
	wire.WriteJSON(w, http.StatusOK, rows)
}

// KeyRow is the shard and the owner of one key.
type KeyRow struct {
	Key   string                `json:"key"`
	Shard string                `json:"shard"`
	Owner string                `json:"owner"`
	Fence int64                 `json:"fence"`
	State assignment.ShardState `json:"state"`
}

func (a *API) locateKey(w http.ResponseWriter, r *http.Request) {
	account, service, key := r.PathValue("account"), r.PathValue("service"), r.PathValue("...")
	record, _ := a.config.View.Assignment(account, service)
	name, entry, found := record.Locate(key)
	if !found {
		a.writeError(w, errors.Wrapf(ErrNotFound, "keyed service %s/%s", account, service))
		return
	}
	wire.WriteJSON(w, http.StatusOK, KeyRow{key, name, entry.Owner, entry.Fence, entry.State})
}

func (a *API) listOutcomes(w http.ResponseWriter, r *http.Request) {
	rows, err := a.config.Journal.ListUnknown(r.Context(), r.PathValue("account"), r.PathValue("service"))
	if err != nil {
		a.writeError(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, struct {
		Unknown []journal.UnknownOutcome `json:"unknown"`
	}{rows})
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, a.config.Control.Status())
}

// Counters returns the values of all counters and gauges by name.
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

// countersText responds with one counter per line.
func (a *API) countersText(w http.ResponseWriter, _ *http.Request) {
	values := a.Counters()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range sortedNames(values).Names {
		_, _ = fmt.Fprintf(w, "%s %d\n", name, values[name])
	}
}
