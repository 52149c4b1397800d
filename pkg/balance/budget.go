// Package balance holds the policies of the request path: budgets for retries
// and hedges, the delay before a hedge, and the choice between pools. It takes
// randomness from outside.
package balance

import "sync"

// Budget allows a fraction of extra attempts. Every first attempt earns the
// ratio, every extra one spends one; a small reserve lets a quiet service retry.
// (Kin to the retry budgets of Finagle and of SRE practice, "Addressing
// Cascading Failures", 2016.) It is safe for concurrent use.
type Budget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

const budgetReserve = 10

// NewBudget returns a budget of extra attempts per first attempt, with its
// reserve full.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: budgetReserve}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, budgetReserve)
}

// TryWithdraw reports whether an extra attempt may be made, and counts it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
