package dispatch

import (
	"sync"
	"time"
)

// patience learns how long the clients of a route wait at first. What a request
// waits less than that has gone by in earlier attempts of its client.
type patience struct {
	mu   sync.Mutex
	most map[string]time.Duration
}

const (
	// returnShare of the longest patience of a route: clients differ by less in
	// what they wait for a first attempt.
	returnShare = 0.85
	// usualShare of the longest patience is the middle of a first attempt's.
	usualShare = (1 + returnShare) / 2
)

// gone is the time that a client has waited before this request.
func (p *patience) gone(route string, left time.Duration) time.Duration {
	if left == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == nil {
		p.most = map[string]time.Duration{}
	}
	if left > p.most[route] {
		p.most[route] = left
	}
	most := p.most[route]
	if float64(left) >= returnShare*float64(most) {
		return 0
	}
	return time.Duration(usualShare*float64(most)) - left
}
