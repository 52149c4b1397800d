package caller

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/balance"
	"github.com/redwingstall/redwingstall/pkg/settings"
)

const (
	// hedgeQuantile is the quantile of recent latencies after which a hedge is sent.
	hedgeQuantile = 0.95
	minHedgeDelay = 2 * time.Millisecond
	// costHalfLife is the time in which a reported cost decays by half.
	costHalfLife = time.Second
	// maxCostSeconds is the cost of a pool that accepts no requests.
	maxCostSeconds = 2.0
)

// servicePolicies holds one policy per service. It is safe for concurrent use.
type servicePolicies struct {
	settings settings.Policy

	mu       sync.Mutex
	services map[string]*servicePolicy
}

// servicePolicy holds the retry and hedge budgets and the measurements of one service.
type servicePolicy struct {
	retries *balance.Budget
	hedges  *balance.Budget
	latency *balance.Quantile
	costs   *poolCosts
}

func newServicePolicies(s settings.Policy) *servicePolicies {
	return &servicePolicies{settings: s, services: map[string]*servicePolicy{}}
}

func (p *servicePolicies) forService(account, service string) *servicePolicy {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := account + "/" + service
	found := p.services[key]
	if found == nil {
		found = &servicePolicy{
			retries: balance.NewBudget(p.settings.RetryBudget),
			hedges:  balance.NewBudget(p.settings.HedgeBudget),
			latency: balance.NewQuantile(hedgeQuantile),
			costs:   &poolCosts{reported: map[string]reportedCost{}, inFlight: map[string]int{}},
		}
		p.services[key] = found
	}
	return found
}

// hedgeDelay returns how long to wait for the first attempt before a hedge is sent,
// or false if too few latencies are known.
func (p *servicePolicy) hedgeDelay() (time.Duration, bool) {
	value, known := p.latency.Value()
	return max(value, minHedgeDelay), known
}

// poolCosts tracks the load of pools as seen by an entry instance: the cost that
// each home instance reports in its responses, and this instance's own requests in
// flight. It is safe for concurrent use.
type poolCosts struct {
	mu       sync.Mutex
	reported map[string]reportedCost
	inFlight map[string]int
}

type reportedCost struct {
	seconds    float64
	reportedAt time.Time
}

// recordHeader records the cost in a response header of a home instance. A value
// that is not a number is ignored.
func (c *poolCosts) recordHeader(pool, value string, now time.Time) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		c.record(pool, seconds, now)
	}
}

// record stores the cost that a home instance reported. A negative cost means that
// the pool accepts no requests.
func (c *poolCosts) record(pool string, seconds float64, now time.Time) {
	if seconds < 0 {
		seconds = maxCostSeconds
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported[pool] = reportedCost{seconds, now}
}

func (c *poolCosts) addInFlight(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[pool]++
}

func (c *poolCosts) removeInFlight(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[pool]--
}

// cost returns the expected time of a request at a pool, weighted by the requests in
// flight there. The reported cost halves every second, so that a pool that was
// overloaded is tried again.
func (c *poolCosts) cost(pool string, now time.Time) float64 {
	const minCostSeconds = 0.0001
	c.mu.Lock()
	defer c.mu.Unlock()
	reported := c.reported[pool]
	age := now.Sub(reported.reportedAt).Seconds() / costHalfLife.Seconds()
	seconds := max(reported.seconds*math.Exp2(-age), minCostSeconds)
	return seconds * float64(1+c.inFlight[pool])
}

// refusal is the content of an error response to a caller.
type refusal struct {
	outcome redwingstall.Outcome
	reason  string
	status  int
	detail  string
}
