package dispatch

import (
	"sync"
	"time"
)

// clientTimeouts estimates the full client timeout of each route. A request with
// less time left than that is a retry by its client.
type clientTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

const (
	// firstAttemptShare is the fraction of the longest timeout of a route above
	// which a request is a first attempt. Timeouts of first attempts vary by less
	// than this allows for.
	firstAttemptShare = 0.85
	// typicalShare is the middle of the range of first attempts, as a fraction of
	// the longest timeout.
	typicalShare = (1 + firstAttemptShare) / 2
)

// elapsedBefore returns how long the client has waited in earlier attempts, or zero
// for a first attempt. A preview does not change what later requests are compared with.
func (c *clientTimeouts) elapsedBefore(route string, timeout time.Duration, isPreview bool) time.Duration {
	if timeout == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longest == nil {
		c.longest = map[string]time.Duration{}
	}
	longest := max(timeout, c.longest[route])
	if !isPreview {
		c.longest[route] = longest
	}
	if float64(timeout) >= firstAttemptShare*float64(longest) {
		return 0
	}
	return time.Duration(typicalShare*float64(longest)) - timeout
}
