// Package balance implements the load-balancing policies of the request path:
// budgets for retries and hedges, the latency estimate that sets the hedge delay,
// and the choice between pools. Callers can supply the random source.
package balance

import "sync"

// Budget limits retries or hedges to a fraction of the first attempts. Each first
// attempt deposits that fraction of a token, and each extra attempt withdraws one
// token. The bucket starts full, so a service with little traffic can still retry.
// It is safe for concurrent use.
//
// It resembles the retry budgets of Finagle and of SRE practice ("Addressing
// Cascading Failures", 2016).
type Budget struct {
	tokensPerAttempt float64

	mu     sync.Mutex
	tokens float64
}

// maxTokens is the capacity of a budget and its initial balance.
const maxTokens = 10

// NewBudget returns a full budget that allows ratio extra attempts for each first
// attempt.
func NewBudget(ratio float64) *Budget {
	return &Budget{tokensPerAttempt: ratio, tokens: maxTokens}
}

// Deposit adds the tokens that one first attempt earns, up to the capacity.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.tokensPerAttempt, maxTokens)
}

// TryWithdraw takes one token for an extra attempt. It returns false, and takes
// nothing, if less than one token is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
