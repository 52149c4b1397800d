package dispatch

import (
	"sync"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
)

// responses are those of a request of which one is passed on. The zero value is empty. It is safe
// for concurrent use, since attempts may end after their request.
type responses struct {
	mu       sync.Mutex
	isDone   bool
	received []*backends.Response
}

// add adds a response, or releases it if the request has its final one.
func (r *responses) add(response *backends.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone {
		response.Release()
		return
	}
	r.received = append(r.received, response)
}

// releaseOthers releases all responses but the final one.
func (r *responses) releaseOthers(final backends.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDone = true
	for _, response := range r.received {
		if !response.IsSame(final) {
			response.Release()
		}
	}
	r.received = nil
}
