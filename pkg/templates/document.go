package templates

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// RecordName is the name of the configuration document in the store.
const RecordName = redwingstall.ControlPrefix + "config"

// Document is the whole configuration. It is a single value of the store, so that
// one compare-and-swap commits a change and one revision identifies it.
type Document struct {
	Templates map[string]Template `json:"templates,omitempty"`
	Accounts  map[string]Account  `json:"accounts,omitempty"`
	// DomainsOut is the set of failure domains that operators took out of service.
	DomainsOut map[string]bool `json:"domainsOut,omitempty"`
	// ServersLeaving is the set of backend servers, as account/name, that operators
	// ordered to leave.
	ServersLeaving map[string]bool `json:"serversLeaving,omitempty"`
}

// MaxDocumentBytes is the size of the largest value that the store accepts.
const MaxDocumentBytes = 1 << 20

// DecodeDocument decodes a document. An empty value is an empty document.
func DecodeDocument(value []byte) (Document, error) {
	document := Document{}
	if len(value) == 0 {
		return document, nil
	}
	err := json.Unmarshal(value, &document)
	return document, errors.Wrap(err, "configuration document")
}

// Encode returns the document as JSON, or an error if it exceeds
// [MaxDocumentBytes].
func (d Document) Encode() ([]byte, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "configuration document")
	}
	if len(value) > MaxDocumentBytes {
		return nil, errors.Newf("configuration document has %d bytes; the limit is %d", len(value), MaxDocumentBytes)
	}
	return value, nil
}

// Copy returns a copy whose maps can be modified without affecting d.
func (d Document) Copy() Document {
	return Document{
		Templates:      copyMap(d.Templates),
		Accounts:       copyMap(d.Accounts),
		DomainsOut:     copyMap(d.DomainsOut),
		ServersLeaving: copyMap(d.ServersLeaving),
	}
}

func copyMap[V any](source map[string]V) map[string]V {
	target := make(map[string]V, len(source))
	for key, value := range source {
		target[key] = value
	}
	return target
}

// Deployments renders every account and returns the deployments by account name.
func (d Document) Deployments() (map[string]Deployment, error) {
	deployments := make(map[string]Deployment, len(d.Accounts))
	for _, name := range sortedKeys(d.Accounts) {
		deployment, err := d.Deployment(name)
		if err != nil {
			return nil, err
		}
		deployments[name] = deployment
	}
	return deployments, nil
}

// Deployment renders one account.
func (d Document) Deployment(name string) (Deployment, error) {
	account, found := d.Accounts[name]
	if !found {
		return Deployment{}, errors.Newf("no account %q", name)
	}
	template, found := d.Templates[account.Template]
	if !found {
		return Deployment{}, errors.Newf("account %q: no template %q", name, account.Template)
	}
	return template.Render(account)
}

// Check renders every account. It returns an error if two accounts share a server
// address or, unless force is set, if quiet hours leave a service without a failure
// domain.
func (d Document) Check(from time.Time, lead, skew time.Duration, force bool) error {
	deployments, err := d.Deployments()
	if err != nil {
		return err
	}
	owners := map[string]string{}
	for _, name := range sortedKeys(deployments) {
		deployment := deployments[name]
		if err := checkAddresses(deployment, owners); err != nil {
			return err
		}
		if force {
			continue
		}
		if err := deployment.CheckQuietHours(from, lead, skew); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses adds the server addresses of a deployment to owners, a map from
// address to account. It returns an error if an address has an owner already.
func checkAddresses(deployment Deployment, owners map[string]string) error {
	for _, service := range deployment.Services {
		for _, server := range service.Servers {
			if owner, isTaken := owners[server.Address]; isTaken {
				return errors.Newf("account %s: address %s of server %s belongs to account %s",
					deployment.Account, server.Address, server.Name, owner)
			}
			owners[server.Address] = deployment.Account
		}
	}
	return nil
}
