package admission

import "time"

// waiter is one request that waits for room.
type waiter struct {
	server     string
	avoid      string
	background bool
	deadline   time.Time
	// ready gets the lease, or the refusal, once.
	ready chan result
}

type result struct {
	lease *Lease
	err   error
}

// queue keeps waiters in order, those of the foreground before the others.
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

// ahead counts the waiters that a new one would wait behind.
func (q *queue) ahead(background bool) int {
	if background {
		return q.len()
	}
	return len(q.foreground)
}

// remove takes a waiter out and reports whether it was in.
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

// first returns the first waiter that the test takes.
func (q *queue) first(takes func(*waiter) bool) *waiter {
	for _, list := range [][]*waiter{q.foreground, q.background} {
		for _, w := range list {
			if takes(w) {
				return w
			}
		}
	}
	return nil
}

// drain empties the queue and returns what was in it.
func (q *queue) drain() []*waiter {
	all := append(q.foreground, q.background...)
	q.foreground, q.background = nil, nil
	return all
}
