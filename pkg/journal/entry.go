// Package journal makes requests run at most once for their idempotency key.
// An entry is stored before the request is sent; the store's compare-and-swap
// decides between writers. ("A task does not leave a node till it is safely
// checkpointed", Galtier, Makassikis, Vialle, is the same order of steps.)
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

// EntryState is where one idempotency key stands.
type EntryState string

// The states of a key.
const (
	// EntryNew has never been started, or was started and did not run.
	EntryNew EntryState = ""
	// EntryStarted may be running, or may have run.
	EntryStarted EntryState = "started"
	// EntryCompleted ran, and its answer is recorded.
	EntryCompleted EntryState = "completed"
	// EntryUnknown may or may not have run; operators resolve it.
	EntryUnknown EntryState = "unknown"
	// EntryResolvedRun and EntryResolvedNotRun are what operators found.
	EntryResolvedRun    EntryState = "resolvedRun"
	EntryResolvedNotRun EntryState = "resolvedNotRun"
)

type entryTrigger string

const (
	triggerStart    entryTrigger = "start"
	triggerComplete entryTrigger = "complete"
	triggerRelease  entryTrigger = "release"
	triggerDoubt    entryTrigger = "doubt"
	triggerFoundRun entryTrigger = "foundRun"
	triggerFoundNot entryTrigger = "foundNotRun"
)

// Response is what a completed request was answered with.
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
	// Digest is of the request's method, path and body.
	Digest string `json:"digest"`
	// Attempt names the process and the attempt that started the entry.
	Attempt string `json:"attempt"`
	// Owner is the member id of the process that started the entry.
	Owner   string    `json:"owner"`
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
	// Expires is when no backend server takes the attempt any more.
	Expires  time.Time `json:"expires"`
	Changed  time.Time `json:"changed"`
	Response *Response `json:"answer,omitempty"`
}

// ErrTransition is a change that an entry's life cycle does not have.
var ErrTransition = errors.New("journal: no such transition")

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
		Permit(triggerDoubt, EntryUnknown)
	machine.Configure(EntryUnknown).
		Permit(triggerComplete, EntryCompleted).
		Permit(triggerRelease, EntryNew).
		Permit(triggerFoundRun, EntryResolvedRun).
		Permit(triggerFoundNot, EntryResolvedNotRun)
	if err := machine.Fire(trigger); err != nil {
		return errors.Mark(errors.Wrap(err, "journal"), ErrTransition)
	}
	e.Changed = now
	return nil
}

// Bucket is the entries of one value of the store, by idempotency key.
type Bucket struct {
	Entries map[string]Entry `json:"entries"`
}

// DecodeBucket reads a bucket; no bytes make an empty one.
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

// MaxBucketBytes is the size of the largest value that the store holds.
const MaxBucketBytes = 1 << 20

// ErrBucketFull is a bucket that the store would not hold.
var ErrBucketFull = errors.New("journal: bucket is full")

// Encode writes the bucket.
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

// Expire drops what was settled longer ago than the retention. An entry that
// is started or unknown stays until an operator resolves it.
func (b Bucket) Expire(now time.Time, retention time.Duration) {
	for key, entry := range b.Entries {
		isSettled := entry.State != EntryStarted && entry.State != EntryUnknown
		if isSettled && now.Sub(entry.Changed) > retention {
			delete(b.Entries, key)
		}
	}
}

// RecordPrefix starts the names of journal buckets in the store.
const RecordPrefix = "journal/"

// BucketsPerService divides the journal of a service. All instances must agree on
// it for good, since a key that two of them look for in two buckets could run
// twice; so it is no setting.
const BucketsPerService = 256

// BucketOf returns the number of the bucket of a key.
func BucketOf(key string, buckets int) int {
	return int(xxhash.Sum64String(key) % uint64(buckets))
}

// record is a bucket with the revision that it was read at.
type record struct {
	revision redwingstall.Revision
	bucket   Bucket
}
