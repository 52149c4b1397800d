package standin

import (
	"fmt"
	"io"
	"net/http"

	"github.com/redwingstall/redwingstall"
)

// copies are what a server with the fault CopyRefusals has refused. The zero value is empty.
type copies struct {
	// refused holds the ids of the requests of which an attempt was refused.
	refused map[string]bool
	// owed are the refusals that are sent once more, by the address of their connection.
	owed map[string]string
}

// serveWithCopies refuses the first attempt at each request, and sends the refusal once more as
// the next request arrives on its connection, which runs.
func (b *Backend) serveWithCopies(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(redwingstall.HeaderRequestID)
	b.mu.Lock()
	isFirst, owed := !b.copies.refused[id], b.copies.owed[r.RemoteAddr]
	if b.copies.refused == nil {
		b.copies = copies{refused: map[string]bool{}, owed: map[string]string{}}
	}
	b.copies.refused[id] = true
	delete(b.copies.owed, r.RemoteAddr)
	if isFirst {
		b.copies.owed[r.RemoteAddr] = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			redwingstall.HeaderRequestID, id, redwingstall.HeaderRefusal, redwingstall.RefusalNotOwner)
	}
	b.mu.Unlock()
	w.Header().Set(redwingstall.HeaderRequestID, id)
	if isFirst {
		w.Header().Set(redwingstall.HeaderRefusal, string(redwingstall.RefusalNotOwner))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.recordExecution(r)
	if owed == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, owed)
}
