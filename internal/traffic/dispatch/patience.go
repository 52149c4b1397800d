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

// returnShare of the usual patience: clients of a first attempt differ by less.
const returnShare = 0.95

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
	return most - left
}
