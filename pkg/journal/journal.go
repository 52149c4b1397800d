package journal

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// Verdict is the journal's decision on a request to start.
type Verdict string

// The possible verdicts on a start.
const (
	// VerdictRun allows the request to be sent once.
	VerdictRun Verdict = "run"
	// VerdictReplay means that the request has completed; its recorded response is
	// in the entry.
	VerdictReplay Verdict = "replay"
	// VerdictInProgress means that another attempt of the request is running.
	VerdictInProgress Verdict = "inProgress"
	// VerdictUnknown means that the request may or may not have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictMismatch means that the key belongs to another request.
	VerdictMismatch Verdict = "mismatch"
)

// ErrUnavailable means that the store could not be read or did not accept the write.
// A request whose start fails with it was not started.
var ErrUnavailable = errors.New("journal: store unavailable")

// Config configures a journal.
type Config struct {
	Store redwingstall.Store
	Clock redwingstall.Clock
	// Self is the member id of this process.
	Self string
	// IsAlive reports whether the process of a member id may still be running.
	IsAlive func(id string) bool
	// Retention is how long settled entries are kept.
	Retention time.Duration
	// Buckets is the number of buckets per service, see [BucketsPerService].
	Buckets int
	// MaxResponseBytes bounds a recorded body; a longer body is dropped.
	MaxResponseBytes int
	// SkewBound bounds the difference between the wall clocks of any two instances.
	SkewBound time.Duration
}

// Journal stores the entries of idempotency keys with group commit: changes that
// arrive during a write of their bucket are stored together by the next write.
// It is safe for concurrent use.
type Journal struct {
	config Config

	mu       sync.Mutex
	sequence int64
	writers  map[string]*writer
	writes   int64
	changes  int64
}

// NewJournal returns a journal over a store.
func NewJournal(config Config) *Journal {
	if config.Clock == nil {
		config.Clock = redwingstall.SystemClock{}
	}
	return &Journal{config: config, writers: map[string]*writer{}}
}

// Request identifies a request that must run at most once.
type Request struct {
	Account string
	Service string
	Key     string
	// Digest is the digest of the request's method, path and body.
	Digest string
	Path   string
	// Expires is the time after which no backend server accepts the request.
	Expires time.Time
}

func (j *Journal) recordName(account, service, key string) string {
	return fmt.Sprintf("%s%s/%s/%d", RecordPrefix, account, service, BucketOf(key, j.config.Buckets))
}

// JobName returns the job name of a request's bucket. Instances are ranked by it, and
// the first one handles the bucket.
func (j *Journal) JobName(account, service, key string) string {
	return j.recordName(account, service, key)
}

// Start stores a started entry and reports whether the request may be sent. On
// [VerdictRun] the caller must pass the Attempt of the returned entry to Complete,
// Release or MarkUnknown. Every error is marked with [ErrUnavailable] and means that
// the request was not started.
func (j *Journal) Start(ctx context.Context, request Request) (Verdict, Entry, error) {
	name := j.recordName(request.Account, request.Service, request.Key)
	verdict := VerdictRun
	entry := Entry{}
	attempt := j.nextAttempt()
	err := j.submit(ctx, name, func(bucket Bucket) error {
		verdict, entry = j.startEntry(bucket, request, attempt)
		return nil
	})
	if err != nil {
		return j.failStart(request, attempt, err)
	}
	return verdict, entry, nil
}

// failStart returns the error of a start whose write failed. The write may still take
// effect, but the request is not sent, so it does not run. A started entry that is
// left behind is released by a later write.
func (j *Journal) failStart(request Request, attempt string, cause error) (Verdict, Entry, error) {
	j.markAbandoned(j.recordName(request.Account, request.Service, request.Key), request.Key, attempt)
	return "", Entry{}, errors.Mark(errors.Wrap(cause, "journal start"), ErrUnavailable)
}

func (j *Journal) nextAttempt() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	return fmt.Sprintf("%s#%d", j.config.Self, j.sequence)
}

// startEntry returns the verdict on a request, and starts its entry on [VerdictRun].
// A batch may be applied several times, so that the entry may already have this
// attempt.
func (j *Journal) startEntry(bucket Bucket, request Request, attempt string) (Verdict, Entry) {
	now := j.config.Clock.Now()
	entry, found := bucket.Entries[request.Key]
	if found && entry.Attempt == attempt {
		return VerdictRun, entry
	}
	if found && entry.State != EntryNew && entry.Digest != request.Digest {
		return VerdictMismatch, entry
	}
	switch entry.State {
	case EntryCompleted:
		return VerdictReplay, entry
	case EntryUnknown, EntryResolvedRun:
		return VerdictUnknown, entry
	case EntryStarted:
		return j.startedVerdict(bucket, request.Key, entry)
	}
	entry.Digest = request.Digest
	entry.Path = request.Path
	entry.Attempt = attempt
	entry.Owner = j.config.Self
	entry.Started = now
	entry.Expires = request.Expires
	entry.Response = nil
	if err := entry.fire(triggerStart, now); err != nil {
		return VerdictUnknown, entry
	}
	bucket.Entries[request.Key] = entry
	return VerdictRun, entry
}

// startedVerdict returns the verdict on a request whose entry is already started. If
// the owner's process has ended, the entry becomes unknown.
func (j *Journal) startedVerdict(bucket Bucket, key string, entry Entry) (Verdict, Entry) {
	if j.config.IsAlive == nil || j.config.IsAlive(entry.Owner) {
		return VerdictInProgress, entry
	}
	if err := entry.fire(triggerMarkUnknown, j.config.Clock.Now()); err == nil {
		bucket.Entries[key] = entry
	}
	return VerdictUnknown, entry
}

// Complete records the response to an attempt.
func (j *Journal) Complete(ctx context.Context, request Request, attempt string, response Response) error {
	if len(response.Body) > j.config.MaxResponseBytes {
		response.Body = nil
		response.Truncated = true
	}
	return j.finish(ctx, request, attempt, triggerComplete, &response)
}

// Release frees the key of an attempt that provably did not run.
func (j *Journal) Release(ctx context.Context, request Request, attempt string) error {
	return j.finish(ctx, request, attempt, triggerRelease, nil)
}

// MarkUnknown records that the outcome of an attempt is unknown.
func (j *Journal) MarkUnknown(ctx context.Context, request Request, attempt string) error {
	return j.finish(ctx, request, attempt, triggerMarkUnknown, nil)
}

func (j *Journal) finish(ctx context.Context, request Request, attempt string, trigger entryTrigger, response *Response) error {
	name := j.recordName(request.Account, request.Service, request.Key)
	return j.submit(ctx, name, func(bucket Bucket) error {
		return j.finishEntry(bucket, request.Key, attempt, trigger, response)
	})
}

func (j *Journal) finishEntry(bucket Bucket, key, attempt string, trigger entryTrigger, response *Response) error {
	entry, found := bucket.Entries[key]
	if !found && trigger == triggerRelease {
		return nil
	}
	if !found || entry.Attempt != attempt {
		return errors.Wrapf(ErrTransition, "attempt %s does not own the entry", attempt)
	}
	if isAlreadyApplied(entry.State, trigger) {
		return nil
	}
	if err := entry.fire(trigger, j.config.Clock.Now()); err != nil {
		return err
	}
	entry.Response = response
	bucket.Entries[key] = entry
	if entry.State == EntryNew {
		delete(bucket.Entries, key)
	}
	return nil
}

// isAlreadyApplied reports whether an entry already has the state that a trigger leads
// to. That happens if an earlier write stored the change but its result was lost.
func isAlreadyApplied(state EntryState, trigger entryTrigger) bool {
	return state == EntryCompleted && trigger == triggerComplete ||
		state == EntryUnknown && trigger == triggerMarkUnknown
}

// ErrTooEarly rejects the resolution of an attempt that a backend server may still
// accept.
var ErrTooEarly = errors.New("journal: the attempt has not expired")

// Resolve records whether an operator found that a request with an unknown outcome
// ran. It takes effect once: a second resolution fails with [ErrTransition]. It fails
// with [ErrTooEarly] while a paused instance could still send the attempt.
func (j *Journal) Resolve(ctx context.Context, account, service, key string, ran bool) error {
	trigger := triggerFoundNotRun
	if ran {
		trigger = triggerFoundRun
	}
	return j.submit(ctx, j.recordName(account, service, key), func(bucket Bucket) error {
		entry, found := bucket.Entries[key]
		if !found {
			return errors.Wrapf(ErrTransition, "no entry for key %q", key)
		}
		if now := j.config.Clock.Now(); !now.After(entry.Expires.Add(2 * j.config.SkewBound)) {
			return errors.Wrapf(ErrTooEarly, "attempt expires at %s", entry.Expires.Format(time.RFC3339))
		}
		if entry.State == EntryStarted && !j.config.IsAlive(entry.Owner) {
			if err := entry.fire(triggerMarkUnknown, j.config.Clock.Now()); err != nil {
				return err
			}
		}
		if err := entry.fire(trigger, j.config.Clock.Now()); err != nil {
			return err
		}
		bucket.Entries[key] = entry
		return nil
	})
}

// UnknownOutcome describes one entry whose outcome is unknown.
type UnknownOutcome struct {
	Account string    `json:"account"`
	Service string    `json:"service"`
	Key     string    `json:"key"`
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
	State   string    `json:"state"`
}

// ListUnknown reads every bucket of a service and returns the outcomes that operators
// have to resolve. Started entries of ended processes are included.
func (j *Journal) ListUnknown(ctx context.Context, account, service string) ([]UnknownOutcome, error) {
	records, err := j.config.Store.List(ctx, fmt.Sprintf("%s%s/%s/", RecordPrefix, account, service))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "journal list"), ErrUnavailable)
	}
	rows := []UnknownOutcome{}
	for _, stored := range records {
		bucket, err := DecodeBucket(stored.Value)
		if err != nil {
			return nil, err
		}
		for key, entry := range bucket.Entries {
			isOrphan := entry.State == EntryStarted && !j.config.IsAlive(entry.Owner)
			if entry.State != EntryUnknown && !isOrphan {
				continue
			}
			rows = append(rows, UnknownOutcome{account, service, key, entry.Path, entry.Started, string(EntryUnknown)})
		}
	}
	return rows, nil
}

// Stats returns the number of writes to the store and the number of changes that they
// contained.
func (j *Journal) Stats() (writes, changes int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writes, j.changes
}

// Flush waits until no change is pending or being written, or the context ends.
func (j *Journal) Flush(ctx context.Context) error {
	for {
		if !j.isBusy() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "journal flush")
		case <-time.After(time.Millisecond):
		}
	}
}

func (j *Journal) isBusy() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, w := range j.writers {
		if w.isRunning {
			return true
		}
	}
	return false
}

const sweepInterval = time.Second

// Run calls Sweep periodically until the context ends.
func (j *Journal) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			j.Sweep(ctx)
		}
	}
}

// Sweep releases started entries that may have been stored although Start returned an
// error to their callers.
func (j *Journal) Sweep(ctx context.Context) {
	for _, name := range j.abandonedBuckets() {
		// After an error the bucket stays abandoned, so the next sweep retries it.
		_ = j.submit(ctx, name, func(Bucket) error { return nil })
	}
}

func (j *Journal) abandonedBuckets() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	names := []string{}
	for name, w := range j.writers {
		if len(w.abandoned) > 0 {
			names = append(names, name)
		}
	}
	return names
}

func cloneBucket(bucket Bucket) Bucket {
	return Bucket{Entries: maps.Clone(bucket.Entries)}
}
