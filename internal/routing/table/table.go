// Package table selects the route of a request, and the service that the route sends it
// to.
package table

import (
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/redwingstall/redwingstall"
)

// Table holds the routes of one configuration by host, those with the longest prefix
// first.
type Table struct {
	byHost map[string][]*Route
}

// Route is a route with the state of its traffic split.
type Route struct {
	redwingstall.Route
	splitter splitter
}

// NewTable returns a table of the given routes.
func NewTable(routes []redwingstall.Route) *Table {
	t := &Table{byHost: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &Route{Route: r})
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the route of a host and path, or nil. The host may include a port.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	routes := t.byHost[host]
	if routes == nil {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			routes = t.byHost[hostname]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NextService returns the service for the next request of the route, and advances the
// traffic split.
func (r *Route) NextService() string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	return r.Parts[r.splitter.next(r.Parts)].Service
}

// PeekService returns what NextService would return, without advancing the traffic split.
func (r *Route) PeekService() string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	return r.Parts[r.splitter.peek(r.Parts)].Service
}

// splitter splits requests among the parts of a route in proportion to their weights. It
// uses smooth weighted round robin, which keeps the proportion even in short runs.
type splitter struct {
	mu             sync.Mutex
	currentWeights []float64
}

func (s *splitter) next(parts []redwingstall.WeightedService) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentWeights == nil {
		s.currentWeights = make([]float64, len(parts))
	}
	total := 0.0
	for i, p := range parts {
		s.currentWeights[i] += p.Weight
		total += p.Weight
	}
	best := largest(s.currentWeights)
	s.currentWeights[best] -= total
	return best
}

func (s *splitter) peek(parts []redwingstall.WeightedService) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	weights := make([]float64, len(parts))
	copy(weights, s.currentWeights)
	for i, p := range parts {
		weights[i] += p.Weight
	}
	return largest(weights)
}

// largest returns the index of the largest weight, the first one of equal ones.
func largest(weights []float64) int {
	best := 0
	for i, weight := range weights {
		if weight > weights[best] {
			best = i
		}
	}
	return best
}
