package templates

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// RecordName is the name of the configuration document in the store.
const RecordName = redwingstall.ControlPrefix + "config"

// Document is the whole configuration: one value of the store, so that one
// compare-and-swap accepts a change and one revision names it.
type Document struct {
	Templates map[string]Template `json:"templates,omitempty"`
	Accounts  map[string]Account  `json:"accounts,omitempty"`
	// DomainsOut has the failure domains that operators took out.
	DomainsOut map[string]bool `json:"domainsOut,omitempty"`
	// ServersLeaving has the backend servers, by account/name, that operators
	// told to leave.
	ServersLeaving map[string]bool `json:"serversLeaving,omitempty"`
}

// MaxDocumentBytes is the size of the largest value that the store holds.
const MaxDocumentBytes = 1 << 20

// DecodeDocument reads a document; no bytes make an empty one.
func DecodeDocument(value []byte) (Document, error) {
	document := Document{}
	if len(value) == 0 {
		return document, nil
	}
	err := json.Unmarshal(value, &document)
	return document, errors.Wrap(err, "configuration document")
}

// Encode writes the document.
func (d Document) Encode() ([]byte, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "configuration document")
	}
	if len(value) > MaxDocumentBytes {
		return nil, errors.Newf("configuration document has %d bytes, above %d", len(value), MaxDocumentBytes)
	}
	return value, nil
}

// Copy returns a document that can be changed apart from this one.
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

// Deployments renders every account.
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
	source, found := d.Templates[account.Template]
	if !found {
		return Deployment{}, errors.Newf("account %q: no template %q", name, account.Template)
	}
	return source.Render(account)
}

// Check renders every account and refuses clashes between them and, unless
// forced, quiet hours that leave a service without a failure domain.
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

func checkAddresses(deployment Deployment, owners map[string]string) error {
	for _, service := range deployment.Services {
		for _, server := range service.Servers {
			if other, taken := owners[server.Address]; taken {
				return errors.Newf("account %s: address %s of server %s belongs to account %s",
					deployment.Account, server.Address, server.Name, other)
			}
			owners[server.Address] = deployment.Account
		}
	}
	return nil
}
