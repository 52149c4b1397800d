package admission

import "time"

// waiter is one request that waits for a slot.
type waiter struct {
	server     string
	avoid      string
	background bool
	deadline   time.Time
	// ready receives the lease or the refusal, exactly once.
	ready chan result
}

type result struct {
	lease *Lease
	err   error
}

// queue is a first-in, first-out queue in which foreground waiters go before
// background waiters.
type queue struct {
	foreground []*waiter
	background []*waiter
}

func (q *queue) len() int { return len(q.foreground) + len(q.background) }

func (q *queue) push(w *waiter) {
	if w.background {
		q.background = append(q.background, w)
		return
	}
	q.foreground = append(q.foreground, w)
}

// ahead counts the waiters that go before a new one.
func (q *queue) ahead(background bool) int {
	if background {
		return q.len()
	}
	return len(q.foreground)
}

// remove deletes a waiter and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	return removeFrom(&q.foreground, w) || removeFrom(&q.background, w)
}

func removeFrom(list *[]*waiter, w *waiter) bool {
	for i, other := range *list {
		if other == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// first returns the first waiter that matches, or nil.
func (q *queue) first(matches func(*waiter) bool) *waiter {
	for _, list := range [][]*waiter{q.foreground, q.background} {
		for _, w := range list {
			if matches(w) {
				return w
			}
		}
	}
	return nil
}

// drain empties the queue and returns its waiters in order.
func (q *queue) drain() []*waiter {
	all := append(q.foreground, q.background...)
	q.foreground, q.background = nil, nil
	return all
}
