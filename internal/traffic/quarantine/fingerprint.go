// Package quarantine keeps requests away that end the servers which run them ("queries of
// death"). Clients repeat such a request at other instances, and each repetition ends another
// server together with all that runs there.
//
// A request under which a server ended is suspected, with all others that ran there. It may
// run again only on trial: once in the whole fleet, at a server that runs no other one on trial.
// If it succeeds it is cleared. If it ends that server too, it is convicted, and rejected by all
// instances for a while.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies requests that are the same one for the servers.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. What clients change when they repeat a
// request is no part of it: its id, its deadline and other headers.
func NewFingerprint(method, host, target string, key int, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, target} {
		_ = binary.Write(h, binary.LittleEndian, int64(len(part))) // writes to a hash never fail
		_, _ = io.WriteString(h, part)
	}
	_ = binary.Write(h, binary.LittleEndian, int64(key))
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// MarshalText returns the fingerprint in hexadecimal, for logs.
func (f Fingerprint) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, f[:]), nil }
