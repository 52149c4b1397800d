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
	// hedgeRank is the quantile of recent answers after which a hedge goes out.
	hedgeRank     = 0.95
	shortestHedge = 2 * time.Millisecond
	// costHalves is the time in which a pool's own word loses half its weight.
	costHalves = time.Second
	// worstCost in seconds is that of a pool that takes nothing.
	worstCost = 2.0
)

// policies keeps one policy for each service. It is safe for concurrent use.
type policies struct {
	settings settings.Policy

	mu       sync.Mutex
	services map[string]*policy
}

// policy is the budgets and the measurements of one service.
type policy struct {
	retries *balance.Budget
	hedges  *balance.Budget
	latency *balance.Quantile
	costs   *poolCosts
}

func newPolicies(s settings.Policy) *policies {
	return &policies{settings: s, services: map[string]*policy{}}
}

func (p *policies) of(account, service string) *policy {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := account + "/" + service
	found := p.services[key]
	if found == nil {
		found = &policy{
			retries: balance.NewBudget(p.settings.RetryBudget),
			hedges:  balance.NewBudget(p.settings.HedgeBudget),
			latency: balance.NewQuantile(hedgeRank),
			costs:   &poolCosts{known: map[string]poolCost{}, sent: map[string]int{}},
		}
		p.services[key] = found
	}
	return found
}

// hedgeDelay returns how long to wait for the first attempt's answer.
func (p *policy) hedgeDelay() (time.Duration, bool) {
	value, known := p.latency.Value()
	return max(value, shortestHedge), known
}

// poolCosts is what an entry instance knows of the load of pools: each home
// instance's word, which rides on its answers, and its own requests under way.
type poolCosts struct {
	mu    sync.Mutex
	known map[string]poolCost
	sent  map[string]int
}

type poolCost struct {
	seconds float64
	at      time.Time
}

// learnText takes a home instance's word from an answer's header.
func (c *poolCosts) learnText(pool, text string, now time.Time) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		c.learn(pool, seconds, now)
	}
}

// learn takes a home instance's word; a negative cost is a pool that takes
// nothing.
func (c *poolCosts) learn(pool string, seconds float64, now time.Time) {
	if seconds < 0 {
		seconds = worstCost
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[pool] = poolCost{seconds, now}
}

func (c *poolCosts) start(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[pool]++
}

func (c *poolCosts) end(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[pool]--
}

// cost returns the expected time at a pool. What a home instance said loses
// half of its weight each second, so that a pool that was bad is tried again.
func (c *poolCosts) cost(pool string, now time.Time) float64 {
	const smallest = 0.0001
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[pool]
	age := now.Sub(known.at).Seconds() / costHalves.Seconds()
	seconds := max(known.seconds*math.Exp2(-age), smallest)
	return seconds * float64(1+c.sent[pool])
}

// refused is one refusal as callers are told.
type refused struct {
	outcome redwingstall.Outcome
	reason  string
	status  int
	detail  string
}
