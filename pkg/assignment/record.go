// Package assignment decides which backend server owns which shard. It does no
// I/O: from a record and the state of the servers it computes the next record,
// which the caller writes to the platform's store by compare-and-swap.
package assignment

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// RecordPrefix is the prefix of the names of assignment records in the store.
const RecordPrefix = redwingstall.ControlPrefix + "assignment/"

// RecordName returns the name of a service's assignment record.
func RecordName(account, service string) string {
	return RecordPrefix + account + "/" + service
}

// SplitName returns the account and the service of a record name.
func SplitName(name string) (account, service string, found bool) {
	rest, found := strings.CutPrefix(name, RecordPrefix)
	if !found {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// Entry is the ownership of one shard or of one hot key.
type Entry struct {
	// Owner is the server that has the grant, or had it last while it is revoked.
	Owner string `json:"owner,omitempty"`
	// Fence is the fencing token, which grows with every change of owner.
	Fence int64      `json:"fence,omitempty"`
	State ShardState `json:"state,omitempty"`
}

// HotKey is a key with its own entry.
type HotKey struct {
	Entry
	// Shard is the shard that the key hashes to.
	Shard int `json:"shard"`
}

// Record is the assignment of one service's shards and hot keys to owners.
type Record struct {
	Shards []Entry           `json:"shards"`
	Hot    map[string]HotKey `json:"hot,omitempty"`
}

// DecodeRecord decodes a record. An empty value decodes to an empty record.
func DecodeRecord(value []byte) (Record, error) {
	record := Record{}
	if len(value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "assignment record")
}

// Encode encodes the record as JSON.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "assignment record")
}

// Copy returns a record that shares no slice or map with this one.
func (r Record) Copy() Record {
	return Record{Shards: slices.Clone(r.Shards), Hot: maps.Clone(r.Hot)}
}

// ShardOf returns the shard that a key hashes to.
func ShardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

const (
	shardPrefix = "s"
	keyPrefix   = "k:"
)

// ShardName returns the name of a shard's entry.
func ShardName(shard int) string { return shardPrefix + strconv.Itoa(shard) }

// KeyName returns the name of a hot key's entry.
func KeyName(key string) string { return keyPrefix + key }

// Locate returns the name and the entry that cover a key. It returns false if the
// record has no shards.
func (r Record) Locate(key string) (string, Entry, bool) {
	if hot, found := r.Hot[key]; found {
		return KeyName(key), hot.Entry, true
	}
	if len(r.Shards) == 0 {
		return "", Entry{}, false
	}
	shard := ShardOf(key, len(r.Shards))
	return ShardName(shard), r.Shards[shard], true
}

// Entries returns every entry by name.
func (r Record) Entries() map[string]Entry {
	entries := make(map[string]Entry, len(r.Shards)+len(r.Hot))
	for shard, entry := range r.Shards {
		entries[ShardName(shard)] = entry
	}
	for key, hot := range r.Hot {
		entries[KeyName(key)] = hot.Entry
	}
	return entries
}

// set replaces the entry with the given name. It panics if the name is invalid.
func (r *Record) set(name string, entry Entry) {
	if key, found := strings.CutPrefix(name, keyPrefix); found {
		hot := r.Hot[key]
		hot.Entry = entry
		r.Hot[key] = hot
		return
	}
	shard, err := strconv.Atoi(strings.TrimPrefix(name, shardPrefix))
	if err != nil {
		panic("assignment: invalid entry name " + name)
	}
	r.Shards[shard] = entry
}

// Grants returns the grants of all entries that a server owns. The grant of a
// shard excludes the shard's hot keys.
func (r Record) Grants(server string) []redwingstall.Grant {
	except := map[int][]string{}
	grants := []redwingstall.Grant{}
	for _, key := range slices.Sorted(maps.Keys(r.Hot)) {
		hot := r.Hot[key]
		except[hot.Shard] = append(except[hot.Shard], key)
		if hot.Owner == server && hot.State == ShardOwned {
			grants = append(grants, redwingstall.Grant{Shard: KeyName(key), Fence: hot.Fence})
		}
	}
	for shard, entry := range r.Shards {
		if entry.Owner == server && entry.State == ShardOwned {
			grant := redwingstall.Grant{Shard: ShardName(shard), Fence: entry.Fence, Except: except[shard]}
			grants = append(grants, grant)
		}
	}
	return grants
}
