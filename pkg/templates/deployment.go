package templates

import (
	"fmt"
	"sort"

	"github.com/redwingstall/redwingstall/pkg/tomlfile"
)

// Kind says how a service's requests find their backend server.
type Kind string

// The kinds of services.
const (
	// KindKeyed has one owner for each key.
	KindKeyed Kind = "keyed"
	// KindReplicated may be answered by any server.
	KindReplicated Kind = "replicated"
	// KindAtMostOnce may be answered by any server, and runs each idempotency
	// key at most once.
	KindAtMostOnce Kind = "atMostOnce"
)

// Deployment is what one account asks for.
type Deployment struct {
	Account    string       `toml:"-" json:"account"`
	Services   []Service    `toml:"services" json:"services"`
	QuietHours []QuietHours `toml:"quietHours" json:"quietHours,omitempty"`
}

// Service is one named service of an account.
type Service struct {
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// Shards divides the keys of a keyed service.
	Shards int `toml:"shards" json:"shards,omitempty"`
	// Background work waits for the requests of other services and callers.
	Background bool `toml:"background" json:"background,omitempty"`
	// HotKeys is the number of keys that may have an entry of their own.
	HotKeys int      `toml:"hotKeys" json:"hotKeys,omitempty"`
	Servers []Server `toml:"servers" json:"servers"`
}

// Server is one backend server.
type Server struct {
	Name          string `toml:"name" json:"name"`
	Address       string `toml:"address" json:"address"`
	FailureDomain string `toml:"failureDomain" json:"failureDomain"`
	// Slots is the number of requests that it runs at one time.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the number of connections that it takes.
	Connections int `toml:"connections" json:"connections"`
	// ColdLimit is the number of requests that it bears in a cold start.
	ColdLimit int `toml:"coldLimit" json:"coldLimit"`
	// ChecksFences is set if it refuses orders under an older fence.
	ChecksFences bool `toml:"checksFences" json:"checksFences"`
}

// Limits of one deployment.
const (
	MaxServices      = 64
	MaxServers       = 1024
	MaxShards        = 4096
	MaxHotKeys       = 256
	DefaultShards    = 128
	maxSlots         = 4096
	defaultColdLimit = 1
)

// ParseDeployment decodes and checks a filled-in body.
func ParseDeployment(account, text string) (Deployment, error) {
	deployment := Deployment{Account: account}
	file := tomlfile.NewFile("account "+account, []byte(text))
	if err := file.Decode(&deployment); err != nil {
		return deployment, err
	}
	deployment.fillIn()
	deployment.check(file)
	return deployment, file.Err()
}

func (d *Deployment) fillIn() {
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
		file.AddError("services", "%d services, not between 1 and %d", len(d.Services), MaxServices)
	}
	names := map[string]bool{}
	servers := map[string]bool{}
	addresses := map[string]bool{}
	for i := range d.Services {
		service := &d.Services[i]
		key := fmt.Sprintf("services[%d]", i)
		if names[service.Name] {
			file.AddError(key+".name", "%q stands twice", service.Name)
		}
		names[service.Name] = true
		service.check(file, key)
		for j, server := range service.Servers {
			server.check(file, fmt.Sprintf("%s.servers[%d]", key, j), servers, addresses)
		}
	}
	if len(servers) > MaxServers {
		file.AddError("services", "%d backend servers, above %d", len(servers), MaxServers)
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
		file.AddError(key+".kind", "shards and hotKeys belong to keyed services only")
	}
	if s.Shards < 0 || s.Shards > MaxShards {
		file.AddError(key+".shards", "%d is not between 1 and %d", s.Shards, MaxShards)
	}
	if s.HotKeys < 0 || s.HotKeys > MaxHotKeys {
		file.AddError(key+".hotKeys", "%d is not between 0 and %d", s.HotKeys, MaxHotKeys)
	}
	if len(s.Servers) == 0 {
		file.AddError(key+".servers", "a service needs a backend server")
	}
}

func (s *Server) check(file *tomlfile.File, key string, names, addresses map[string]bool) {
	if !namePattern.MatchString(s.Name) {
		file.AddError(key+".name", "%q is not a name of letters, digits, '_' and '-'", s.Name)
	}
	if names[s.Name] {
		file.AddError(key+".name", "%q stands twice", s.Name)
	}
	names[s.Name] = true
	if !addressOK(s.Address) {
		file.AddError(key+".address", "%q is not an IP number with a port", s.Address)
	}
	if addresses[s.Address] {
		file.AddError(key+".address", "%q stands twice", s.Address)
	}
	addresses[s.Address] = true
	if s.FailureDomain == "" {
		file.AddError(key+".failureDomain", "must be set")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		file.AddError(key+".slots", "%d is not between 1 and %d", s.Slots, maxSlots)
	}
	if s.Connections < s.Slots {
		file.AddError(key+".connections", "%d is below the %d slots", s.Connections, s.Slots)
	}
	if s.ColdLimit < 1 || s.ColdLimit > s.Slots {
		file.AddError(key+".coldLimit", "%d is not between 1 and the %d slots", s.ColdLimit, s.Slots)
	}
}

// FailureDomains returns the domains of the backend servers, sorted.
func (d *Deployment) FailureDomains() []string {
	found := map[string]bool{}
	for _, service := range d.Services {
		for _, server := range service.Servers {
			found[server.FailureDomain] = true
		}
	}
	names := make([]string, 0, len(found))
	for name := range found {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Service returns the service of the name.
func (d *Deployment) Service(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
