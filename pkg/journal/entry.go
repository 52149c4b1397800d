// Package journal ensures that a request runs at most once per idempotency key.
// An entry is stored before the request is sent. Concurrent writers are serialized by
// the store's compare-and-swap. (The order of steps is that of Galtier, Makassikis,
// Vialle: "A task does not leave a node till it is safely checkpointed".)
package journal

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"

	"github.com/redwingstall/redwingstall"
)

// EntryState is the state of one idempotency key.
type EntryState string

// The states of an idempotency key.
const (
	// EntryNew was never started, or was started and did not run.
	EntryNew EntryState = ""
	// EntryStarted may be running, or may have run.
	EntryStarted EntryState = "started"
	// EntryCompleted has run; its response is recorded.
	EntryCompleted EntryState = "completed"
	// EntryUnknown may or may not have run; an operator has to resolve it.
	EntryUnknown EntryState = "unknown"
	// EntryResolvedRun and EntryResolvedNotRun are the outcomes that operators found.
	EntryResolvedRun    EntryState = "resolvedRun"
	EntryResolvedNotRun EntryState = "resolvedNotRun"
)

type entryTrigger string

const (
	triggerStart       entryTrigger = "start"
	triggerComplete    entryTrigger = "complete"
	triggerRelease     entryTrigger = "release"
	triggerMarkUnknown entryTrigger = "doubt"
	triggerFoundRun    entryTrigger = "foundRun"
	triggerFoundNotRun entryTrigger = "foundNotRun"
)

// Response is the recorded HTTP response to a completed request.
type Response struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Truncated is set if the body was too large to record.
	Truncated bool `json:"truncated,omitempty"`
}

// Entry is the record of one idempotency key.
type Entry struct {
	State EntryState `json:"state"`
	// Digest is the digest of the request's method, path and body.
	Digest string `json:"digest"`
	// Attempt identifies the attempt that started the entry, and its process.
	Attempt string `json:"attempt"`
	// Owner is the member id of the process that started the entry.
	Owner   string    `json:"owner"`
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
	// Expires is the time after which no backend server accepts the attempt.
	Expires time.Time `json:"expires"`
	// Changed is the time of the last transition.
	Changed  time.Time `json:"changed"`
	Response *Response `json:"answer,omitempty"`
}

// ErrTransition rejects a transition that is invalid in the entry's state.
var ErrTransition = errors.New("journal: invalid transition")

// fire applies a trigger to the entry's state machine.
func (e *Entry) fire(trigger entryTrigger, now time.Time) error {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return e.State, nil },
		func(_ context.Context, state stateless.State) error {
			e.State = state.(EntryState)
			return nil
		},
		stateless.FiringImmediate,
	)
	machine.Configure(EntryNew).Permit(triggerStart, EntryStarted)
	machine.Configure(EntryResolvedNotRun).Permit(triggerStart, EntryStarted)
	machine.Configure(EntryStarted).
		Permit(triggerComplete, EntryCompleted).
		Permit(triggerRelease, EntryNew).
		Permit(triggerMarkUnknown, EntryUnknown)
	machine.Configure(EntryUnknown).
		Permit(triggerComplete, EntryCompleted).
		Permit(triggerRelease, EntryNew).
		Permit(triggerFoundRun, EntryResolvedRun).
		Permit(triggerFoundNotRun, EntryResolvedNotRun)
	if err := machine.Fire(trigger); err != nil {
		return errors.Mark(errors.Wrap(err, "journal"), ErrTransition)
	}
	e.Changed = now
	return nil
}

// Bucket holds the entries that share one record of the store, by idempotency key.
type Bucket struct {
	Entries map[string]Entry `json:"entries"`
}

// DecodeBucket decodes a bucket. An empty value yields an empty bucket.
func DecodeBucket(value []byte) (Bucket, error) {
	bucket := Bucket{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &bucket); err != nil {
			return bucket, errors.Wrap(err, "journal bucket")
		}
	}
	if bucket.Entries == nil {
		bucket.Entries = map[string]Entry{}
	}
	return bucket, nil
}

// MaxBucketBytes is the store's limit on the size of a value.
const MaxBucketBytes = 1 << 20

// ErrBucketFull means that the encoded bucket would exceed [MaxBucketBytes].
var ErrBucketFull = errors.New("journal: bucket is full")

// Encode returns the bucket as a value for the store.
func (b Bucket) Encode() ([]byte, error) {
	value, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "journal bucket")
	}
	if len(value) > MaxBucketBytes {
		return nil, errors.Wrapf(ErrBucketFull, "%d bytes", len(value))
	}
	return value, nil
}

// Expire deletes the entries that were settled longer ago than the retention. Entries
// that are started or unknown are kept until an operator resolves them.
func (b Bucket) Expire(now time.Time, retention time.Duration) {
	for key, entry := range b.Entries {
		isSettled := entry.State != EntryStarted && entry.State != EntryUnknown
		if isSettled && now.Sub(entry.Changed) > retention {
			delete(b.Entries, key)
		}
	}
}

// RecordPrefix is the prefix of the names of journal buckets in the store.
const RecordPrefix = "journal/"

// BucketsPerService is the number of buckets of a service's journal. It is not a setting
// and must never change: if two instances looked up a key in different buckets, its
// request could run twice.
const BucketsPerService = 256

// BucketOf returns the index of the bucket that holds a key.
func BucketOf(key string, buckets int) int {
	return int(xxhash.Sum64String(key) % uint64(buckets))
}

// cachedBucket is a bucket and the revision of its record.
type cachedBucket struct {
	revision redwingstall.Revision
	bucket   Bucket
}
