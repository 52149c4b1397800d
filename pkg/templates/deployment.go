package templates

import (
	"fmt"
	"sort"

	"github.com/redwingstall/redwingstall/pkg/tomlfile"
)

// Kind selects how the requests of a service are routed to its backend servers.
type Kind string

// The kinds of services.
const (
	// KindKeyed routes each key to the one backend server that owns it.
	KindKeyed Kind = "keyed"
	// KindReplicated routes a request to any of the service's backend servers.
	KindReplicated Kind = "replicated"
	// KindAtMostOnce routes a request to any of the service's backend servers and
	// runs each idempotency key at most once.
	KindAtMostOnce Kind = "atMostOnce"
)

// Deployment is the rendered configuration of one client account.
type Deployment struct {
	Account    string       `toml:"-" json:"account"`
	Services   []Service    `toml:"services" json:"services"`
	QuietHours []QuietHours `toml:"quietHours" json:"quietHours,omitempty"`
}

// Service is one named service of a client account.
type Service struct {
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// Shards is the number of shards that the keys of a keyed service hash to.
	Shards int `toml:"shards" json:"shards,omitempty"`
	// Background gives the service's requests a lower priority: they wait for the
	// requests of other services and callers.
	Background bool `toml:"background" json:"background,omitempty"`
	// HotKeys bounds the number of keys that are assigned on their own, apart from
	// their shards.
	HotKeys int      `toml:"hotKeys" json:"hotKeys,omitempty"`
	Servers []Server `toml:"servers" json:"servers"`
}

// Server is one backend server.
type Server struct {
	Name          string `toml:"name" json:"name"`
	Address       string `toml:"address" json:"address"`
	FailureDomain string `toml:"failureDomain" json:"failureDomain"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the number of connections that the server accepts.
	Connections int `toml:"connections" json:"connections"`
	// ColdLimit is the number of concurrent requests that the server can handle
	// directly after a cold start.
	ColdLimit int `toml:"coldLimit" json:"coldLimit"`
	// ChecksFences reports whether the server rejects grant and release orders
	// with an older fencing token.
	ChecksFences bool `toml:"checksFences" json:"checksFences"`
}

// Limits and defaults of one deployment.
const (
	MaxServices      = 64
	MaxServers       = 1024
	MaxShards        = 4096
	MaxHotKeys       = 256
	DefaultShards    = 128
	maxSlots         = 4096
	defaultColdLimit = 1
)

// ParseDeployment decodes and checks the rendered body of a template.
func ParseDeployment(account, text string) (Deployment, error) {
	deployment := Deployment{Account: account}
	file := tomlfile.NewFile("account "+account, []byte(text))
	if err := file.Decode(&deployment); err != nil {
		return deployment, err
	}
	deployment.setDefaults()
	deployment.check(file)
	return deployment, file.Err()
}

func (d *Deployment) setDefaults() {
	for i := range d.Services {
		service := &d.Services[i]
		if service.Kind == KindKeyed && service.Shards == 0 {
			service.Shards = DefaultShards
		}
		for j := range service.Servers {
			if service.Servers[j].ColdLimit == 0 {
				service.Servers[j].ColdLimit = defaultColdLimit
			}
		}
	}
}

func (d *Deployment) check(file *tomlfile.File) {
	if len(d.Services) == 0 || len(d.Services) > MaxServices {
		file.AddError("services", "the number of services, %d, is not between 1 and %d", len(d.Services), MaxServices)
	}
	names := map[string]bool{}
	servers := map[string]bool{}
	addresses := map[string]bool{}
	for i := range d.Services {
		service := &d.Services[i]
		key := fmt.Sprintf("services[%d]", i)
		if names[service.Name] {
			file.AddError(key+".name", "%q appears more than once", service.Name)
		}
		names[service.Name] = true
		service.check(file, key)
		for j, server := range service.Servers {
			server.check(file, fmt.Sprintf("%s.servers[%d]", key, j), servers, addresses)
		}
	}
	if len(servers) > MaxServers {
		file.AddError("services", "%d backend servers exceed the limit of %d", len(servers), MaxServers)
	}
	domains := d.FailureDomains()
	for i := range d.QuietHours {
		d.QuietHours[i].check(file, fmt.Sprintf("quietHours[%d]", i), domains)
	}
}

func (s *Service) check(file *tomlfile.File, key string) {
	if !namePattern.MatchString(s.Name) {
		file.AddError(key+".name", "%q is not a name of letters, digits, '_' and '-'", s.Name)
	}
	switch s.Kind {
	case KindKeyed, KindReplicated, KindAtMostOnce:
	default:
		file.AddError(key+".kind", "%q is none of keyed, replicated, atMostOnce", s.Kind)
	}
	if s.Kind != KindKeyed && (s.Shards != 0 || s.HotKeys != 0) {
		file.AddError(key+".kind", "shards and hotKeys are allowed for keyed services only")
	}
	if s.Shards < 0 || s.Shards > MaxShards {
		file.AddError(key+".shards", "%d is not between 1 and %d", s.Shards, MaxShards)
	}
	if s.HotKeys < 0 || s.HotKeys > MaxHotKeys {
		file.AddError(key+".hotKeys", "%d is not between 0 and %d", s.HotKeys, MaxHotKeys)
	}
	if len(s.Servers) == 0 {
		file.AddError(key+".servers", "a service needs at least one backend server")
	}
}

func (s *Server) check(file *tomlfile.File, key string, names, addresses map[string]bool) {
	if !namePattern.MatchString(s.Name) {
		file.AddError(key+".name", "%q is not a name of letters, digits, '_' and '-'", s.Name)
	}
	if names[s.Name] {
		file.AddError(key+".name", "%q appears more than once", s.Name)
	}
	names[s.Name] = true
	if !isAddressPort(s.Address) {
		file.AddError(key+".address", "%q is not an IP number with a port", s.Address)
	}
	if addresses[s.Address] {
		file.AddError(key+".address", "%q appears more than once", s.Address)
	}
	addresses[s.Address] = true
	if s.FailureDomain == "" {
		file.AddError(key+".failureDomain", "must be set")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		file.AddError(key+".slots", "%d is not between 1 and %d", s.Slots, maxSlots)
	}
	if s.Connections < s.Slots {
		file.AddError(key+".connections", "%d is less than the %d slots", s.Connections, s.Slots)
	}
	if s.ColdLimit < 1 || s.ColdLimit > s.Slots {
		file.AddError(key+".coldLimit", "%d is not between 1 and the %d slots", s.ColdLimit, s.Slots)
	}
}

// FailureDomains returns the sorted failure domains of the backend servers.
func (d *Deployment) FailureDomains() []string {
	domains := map[string]bool{}
	for _, service := range d.Services {
		for _, server := range service.Servers {
			domains[server.FailureDomain] = true
		}
	}
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Service returns the service with this name.
func (d *Deployment) Service(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
