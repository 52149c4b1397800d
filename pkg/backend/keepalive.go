package backend

import (
	"hash/maphash"
	"sync"

	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

// maxRememberedIDs bounds the ids that are remembered of the requests to a server.
const maxRememberedIDs = 4096

// keepAlive selects the transport of each request, so that no connection carries two requests
// with the same id. A server may send a response once more, late, on the connection on which it
// sent it before, and all attempts at a request have the same id.
type keepAlive struct {
	connections int
	// singleUse opens a connection for each repeated attempt.
	singleUse http1.Transport

	mu sync.Mutex
	// current keeps the connections of the requests in sent.
	current http1.Transport
	sent    map[uint64]bool
}

func newKeepAlive(connections int, singleUse http1.Transport) *keepAlive {
	return &keepAlive{connections: connections, singleUse: singleUse, current: newTransport(connections, false), sent: map[uint64]bool{}}
}

// idSeed keeps callers from choosing ids with the same hash.
var idSeed = maphash.MakeSeed()

// transportFor returns the transport for the next attempt at a request.
func (k *keepAlive) transportFor(id string) http1.Transport {
	hash := maphash.String(idSeed, id)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sent[hash] {
		return k.singleUse
	}
	if len(k.sent) == maxRememberedIDs {
		// Connections in use are closed as soon as they are idle.
		k.current.CloseIdleConnections()
		k.current, k.sent = newTransport(k.connections, false), map[uint64]bool{}
	}
	k.sent[hash] = true
	return k.current
}

// closeIdleConnections closes the idle connections.
func (k *keepAlive) closeIdleConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current.CloseIdleConnections()
}
