package backends

import (
	"hash/maphash"
	"slices"
)

// maxRequests bounds the requests of a connection, and so the memory of its history.
const maxRequests = 1024

// history holds the ids of the requests that a connection carried. A server may send a
// response once more, late, on the connection on which it sent it before. All attempts at a
// request have the same id, so that the response to an earlier one on the same connection
// could not be told from that to the next. The zero value is empty.
type history struct {
	hashes []idHash
}

// historySeed keeps clients from choosing ids with the same hash.
var historySeed = maphash.MakeSeed()

// idHash is the hash of a request id.
type idHash uint64

func hashID(id string) idHash { return idHash(maphash.String(historySeed, id)) }

func (h *history) add(id idHash) { h.hashes = append(h.hashes, id) }

// contains reports whether the connection carried a request with the id. Two ids with the same
// hash cost no more than another connection.
func (h *history) contains(id idHash) bool { return slices.Contains(h.hashes, id) }

// isFull reports whether the connection must not carry another request.
func (h *history) isFull() bool { return len(h.hashes) >= maxRequests }
