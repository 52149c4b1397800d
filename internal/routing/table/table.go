// Package table selects the route of a request and the service of its part.
package table

import (
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/redwingstall/redwingstall"
)

// Table holds the routes of one configuration by host, longest prefix first.
type Table struct {
	byHost map[string][]*Route
}

// Route is a route with the state of its split.
type Route struct {
	redwingstall.Route
	split splitter
}

// NewTable compiles routes.
func NewTable(routes []redwingstall.Route) *Table {
	t := &Table{byHost: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &Route{Route: r})
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the route of a host and path, or nil.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	list := t.byHost[host]
	if list == nil {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			list = t.byHost[bare]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NextService returns the service that the next request of the route goes to.
func (r *Route) NextService() string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	return r.Parts[r.split.next(r.Parts)].Service
}

// splitter spreads requests over parts in proportion to their weights: smooth
// weighted round robin, so that even short runs keep the proportion.
type splitter struct {
	mu      sync.Mutex
	credits []float64
}

func (s *splitter) next(parts []redwingstall.RoutePart) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil {
		s.credits = make([]float64, len(parts))
	}
	total := 0.0
	best := 0
	for i, p := range parts {
		s.credits[i] += p.Weight
		total += p.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return best
}
