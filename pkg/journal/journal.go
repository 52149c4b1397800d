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

// Verdict is the journal's answer to a request that wants to start.
type Verdict string

// The verdicts on a start.
const (
	// VerdictRun lets the request be sent, once.
	VerdictRun Verdict = "run"
	// VerdictReplay has the recorded answer.
	VerdictReplay Verdict = "replay"
	// VerdictInProgress is a request that another one is carrying out.
	VerdictInProgress Verdict = "inProgress"
	// VerdictUnknown is a request that may or may not have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictMismatch is a key that belongs to another request.
	VerdictMismatch Verdict = "mismatch"
)

// ErrUnavailable is a store that did not take the write; nothing was started.
var ErrUnavailable = errors.New("journal: the store is not available")

// Config of a journal.
type Config struct {
	Store redwingstall.Store
	Clock redwingstall.Clock
	// Self is the member id of this process.
	Self string
	// IsAlive reports whether the process of a member id may still be running.
	IsAlive   func(id string) bool
	Retention time.Duration
	Buckets   int
	// MaxResponseBytes bounds a recorded body.
	MaxResponseBytes int
	// SkewBound is the largest difference between two wall clocks.
	SkewBound time.Duration
}

// Journal writes entries in groups: while one write of a bucket is under way,
// the next ones gather. It is safe for concurrent use.
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

// Request is what wants to run at most once.
type Request struct {
	Account string
	Service string
	Key     string
	Digest  string
	Path    string
	// Expires is when no backend server takes the request any more.
	Expires time.Time
}

func (j *Journal) recordName(account, service, key string) string {
	return fmt.Sprintf("%s%s/%s/%d", RecordPrefix, account, service, BucketOf(key, j.config.Buckets))
}

// JobName names the job of a request's bucket, which one instance does.
func (j *Journal) JobName(account, service, key string) string {
	return j.recordName(account, service, key)
}

// Start stores the entry, and says whether the request may be sent. On
// VerdictRun the attempt returned must be given to Complete, Release or Doubt.
// ErrUnavailable means that the request was not started.
func (j *Journal) Start(ctx context.Context, request Request) (Verdict, Entry, error) {
	name := j.recordName(request.Account, request.Service, request.Key)
	verdict := VerdictRun
	seen := Entry{}
	attempt := j.nextAttempt()
	err := j.change(ctx, name, func(bucket Bucket) error {
		verdict, seen = j.startIn(bucket, request, attempt)
		return nil
	})
	if err != nil {
		return j.settleStart(request, attempt, err)
	}
	return verdict, seen, nil
}

// settleStart tells a failed write of a start. The write may yet take effect,
// but nothing was sent and nothing will be, so the request did not run; a
// started entry that is left behind is released by a later change.
func (j *Journal) settleStart(request Request, attempt string, cause error) (Verdict, Entry, error) {
	j.abandon(j.recordName(request.Account, request.Service, request.Key), request.Key, attempt)
	return "", Entry{}, errors.Mark(errors.Wrap(cause, "journal start"), ErrUnavailable)
}

func (j *Journal) nextAttempt() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	return fmt.Sprintf("%s#%d", j.config.Self, j.sequence)
}

// startIn decides on an entry of a bucket that was just read.
func (j *Journal) startIn(bucket Bucket, request Request, attempt string) (Verdict, Entry) {
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
		return j.judgeStarted(bucket, request.Key, entry)
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

// judgeStarted tells a running request from one whose process has ended.
func (j *Journal) judgeStarted(bucket Bucket, key string, entry Entry) (Verdict, Entry) {
	if j.config.IsAlive == nil || j.config.IsAlive(entry.Owner) {
		return VerdictInProgress, entry
	}
	if err := entry.fire(triggerDoubt, j.config.Clock.Now()); err == nil {
		bucket.Entries[key] = entry
	}
	return VerdictUnknown, entry
}

// Complete records the answer of an attempt.
func (j *Journal) Complete(ctx context.Context, request Request, attempt string, answer Response) error {
	if len(answer.Body) > j.config.MaxResponseBytes {
		answer.Body = nil
		answer.Truncated = true
	}
	return j.finish(ctx, request, attempt, triggerComplete, &answer)
}

// Release frees the key of an attempt that provably did not run.
func (j *Journal) Release(ctx context.Context, request Request, attempt string) error {
	return j.finish(ctx, request, attempt, triggerRelease, nil)
}

// MarkUnknown marks an attempt whose outcome is not known.
func (j *Journal) MarkUnknown(ctx context.Context, request Request, attempt string) error {
	return j.finish(ctx, request, attempt, triggerDoubt, nil)
}

func (j *Journal) finish(ctx context.Context, request Request, attempt string, trigger entryTrigger, answer *Response) error {
	name := j.recordName(request.Account, request.Service, request.Key)
	return j.change(ctx, name, func(bucket Bucket) error {
		return j.finishIn(bucket, request.Key, attempt, trigger, answer)
	})
}

func (j *Journal) finishIn(bucket Bucket, key, attempt string, trigger entryTrigger, answer *Response) error {
	entry, found := bucket.Entries[key]
	if !found && trigger == triggerRelease {
		return nil
	}
	if !found || entry.Attempt != attempt {
		return errors.Wrapf(ErrTransition, "attempt %s is not the entry's", attempt)
	}
	if isDone(entry.State, trigger) {
		return nil
	}
	if err := entry.fire(trigger, j.config.Clock.Now()); err != nil {
		return err
	}
	entry.Response = answer
	bucket.Entries[key] = entry
	if entry.State == EntryNew {
		delete(bucket.Entries, key)
	}
	return nil
}

// isDone reports whether the same change was stored by a write whose answer
// was lost.
func isDone(state EntryState, trigger entryTrigger) bool {
	return state == EntryCompleted && trigger == triggerComplete ||
		state == EntryUnknown && trigger == triggerDoubt
}

// ErrTooEarly is a resolution of an attempt that a server may still take.
var ErrTooEarly = errors.New("journal: the attempt has not expired")

// Resolve records what an operator found out about an unknown outcome. It
// takes effect once; a second resolution is refused with ErrTransition, and one
// while a paused instance might still send the attempt with ErrTooEarly.
func (j *Journal) Resolve(ctx context.Context, account, service, key string, ran bool) error {
	trigger := triggerFoundNot
	if ran {
		trigger = triggerFoundRun
	}
	return j.change(ctx, j.recordName(account, service, key), func(bucket Bucket) error {
		entry, found := bucket.Entries[key]
		if !found {
			return errors.Wrapf(ErrTransition, "no entry for key %q", key)
		}
		if now := j.config.Clock.Now(); !now.After(entry.Expires.Add(2 * j.config.SkewBound)) {
			return errors.Wrapf(ErrTooEarly, "it expires at %s", entry.Expires.Format(time.RFC3339))
		}
		if entry.State == EntryStarted && !j.config.IsAlive(entry.Owner) {
			if err := entry.fire(triggerDoubt, j.config.Clock.Now()); err != nil {
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

// UnknownOutcome is one entry whose outcome is not known.
type UnknownOutcome struct {
	Account string    `json:"account"`
	Service string    `json:"service"`
	Key     string    `json:"key"`
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
	State   string    `json:"state"`
}

// ListUnknown reads every bucket of a service and returns what operators need
// to resolve.
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

// Stats returns the number of writes to the store and of the changes in them.
func (j *Journal) Stats() (writes, changes int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writes, j.changes
}

// Flush waits until no change is under way, or the context ends.
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
		if w.running {
			return true
		}
	}
	return false
}

const sweepEvery = time.Second

// Run sweeps until the context ends.
func (j *Journal) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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

// Sweep releases starts that may have been stored although their callers were
// told that nothing ran.
func (j *Journal) Sweep(ctx context.Context) {
	for _, name := range j.abandonedBuckets() {
		// A failure leaves the list as it is, for the next sweep.
		_ = j.change(ctx, name, func(Bucket) error { return nil })
	}
}

func (j *Journal) abandonedBuckets() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	names := []string{}
	for name, w := range j.writers {
		if len(w.abandoned) > 0 && !w.running {
			names = append(names, name)
		}
	}
	return names
}

func cloneBucket(bucket Bucket) Bucket {
	return Bucket{Entries: maps.Clone(bucket.Entries)}
}
