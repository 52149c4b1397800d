// Package accounts finds the client account that holds an API key.
package accounts

import (
	"crypto/sha256"
	"crypto/subtle"
	"unsafe"

	"github.com/redwingstall/redwingstall"
)

// Account is a client account without its keys.
type Account struct {
	Name string
	// Priority takes precedence over that of a route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in requests per second from all instances together. Zero means no limit.
	Rate  float64
	Burst float64
}

// PriorityOr returns the priority of the account, or that of the route if it has none. The
// account may be nil.
func (a *Account) PriorityOr(route int) int {
	if a == nil || !a.HasPriority {
		return route
	}
	return a.Priority
}

type digest = [sha256.Size]byte

// holder is a key's digest and the account that holds the key.
type holder struct {
	digest  digest
	account *Account
}

// Directory finds accounts by their keys, of which it keeps digests only. It is immutable. The
// zero value and nil hold no account.
type Directory struct {
	holders map[digest]holder
	// longest is the length of the longest key.
	longest int
}

// NewDirectory returns a directory of the accounts.
func NewDirectory(list []redwingstall.ClientAccount) *Directory {
	d := &Directory{holders: make(map[digest]holder, len(list))}
	for _, a := range list {
		account := &Account{Name: a.Name, Priority: a.Priority, HasPriority: a.HasPriority, Rate: a.Rate, Burst: a.Burst}
		for _, key := range a.Keys {
			sum := digestOf(key)
			d.holders[sum] = holder{sum, account}
			d.longest = max(d.longest, len(key))
		}
	}
	return d
}

// Len returns the number of keys.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.holders)
}

// Find returns the account that holds a key. The time it takes does not tell how much of an
// unknown key is right: keys are looked up by digest, and digests are compared in constant time.
func (d *Directory) Find(key string) (*Account, bool) {
	if d == nil || len(key) > d.longest {
		return nil, false // spares the digest of a long key that cannot be known
	}
	sum := digestOf(key)
	found, isKnown := d.holders[sum]
	if !isKnown || subtle.ConstantTimeCompare(found.digest[:], sum[:]) != 1 {
		return nil, false
	}
	return found.account, true
}

// digestOf returns the digest of a key without a copy of it.
func digestOf(key string) digest {
	return sha256.Sum256(unsafe.Slice(unsafe.StringData(key), len(key)))
}
