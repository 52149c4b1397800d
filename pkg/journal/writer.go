package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// change is one modification of a bucket. The function apply runs again on a new copy
// each time that the write is retried.
type change struct {
	apply  func(Bucket) error
	result chan error
}

// writer serializes the writes of one bucket. Its goroutine runs while changes are
// pending.
type writer struct {
	name    string
	pending []*change
	// cached is the bucket as this process last read or wrote it.
	cached *cachedBucket
	// abandoned has the attempts, by key, whose start returned an error but may have
	// been stored. A later write releases them.
	abandoned map[string]string
	isRunning bool
}

// maxChangesPerWrite bounds the size of a batch.
const maxChangesPerWrite = 256

// submit applies a change with the next write of the bucket and waits for the result.
// The store's own timeouts bound the wait; canceling the context does not revoke a
// submitted change.
func (j *Journal) submit(ctx context.Context, name string, apply func(Bucket) error) error {
	c := &change{apply: apply, result: make(chan error, 1)}
	j.mu.Lock()
	w := j.writerFor(name)
	w.pending = append(w.pending, c)
	if !w.isRunning {
		w.isRunning = true
		go j.runWriter(context.WithoutCancel(ctx), w)
	}
	j.mu.Unlock()
	return <-c.result
}

// writerFor returns the writer of a bucket. The caller must hold the journal's lock.
func (j *Journal) writerFor(name string) *writer {
	w := j.writers[name]
	if w == nil {
		w = &writer{name: name, abandoned: map[string]string{}}
		j.writers[name] = w
	}
	return w
}

// markAbandoned schedules the release of a start that may have been stored.
func (j *Journal) markAbandoned(name, key, attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writerFor(name).abandoned[key] = attempt
}

// runWriter writes batches of changes until none are pending.
func (j *Journal) runWriter(ctx context.Context, w *writer) {
	for {
		batch := j.nextBatch(w)
		if len(batch) == 0 {
			return
		}
		j.writeBatch(ctx, w, batch)
	}
}

// nextBatch returns the next batch. If there is none, it marks the writer as idle.
func (j *Journal) nextBatch(w *writer) []*change {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := min(len(w.pending), maxChangesPerWrite)
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	if n == 0 {
		w.isRunning = false
	}
	return batch
}

// maxWriteAttempts bounds the attempts at one batch while other writers conflict.
const maxWriteAttempts = 16

// writeBatch stores a batch with one write and sends the results. After a conflict
// with another writer it reads the bucket again and retries.
func (j *Journal) writeBatch(ctx context.Context, w *writer, batch []*change) {
	var err error
	for range maxWriteAttempts {
		if err = j.loadBucket(ctx, w); err != nil {
			break
		}
		var results []error
		results, err = j.tryWrite(ctx, w, batch)
		if err == nil {
			sendResults(batch, results)
			return
		}
		w.cached = nil
		if !errors.Is(err, redwingstall.ErrConflict) {
			break
		}
	}
	w.cached = nil
	results := make([]error, len(batch))
	for i := range results {
		results[i] = errors.Wrap(err, "journal write")
	}
	sendResults(batch, results)
}

func sendResults(batch []*change, results []error) {
	for i, c := range batch {
		c.result <- results[i]
	}
}

func (j *Journal) loadBucket(ctx context.Context, w *writer) error {
	if w.cached != nil {
		return nil
	}
	stored, err := j.config.Store.Get(ctx, w.name)
	if err != nil {
		return err
	}
	bucket, err := DecodeBucket(stored.Value)
	if err != nil {
		return err
	}
	w.cached = &cachedBucket{revision: stored.Revision, bucket: bucket}
	return nil
}

// tryWrite applies a batch to a copy of the bucket and stores it by compare-and-swap.
// It returns one result for each change; a change whose transition is invalid does not
// affect the others. A batch without effect is written too, because its verdicts need
// a confirmed read, and a swap to the same content is one.
func (j *Journal) tryWrite(ctx context.Context, w *writer, batch []*change) ([]error, error) {
	bucket := cloneBucket(w.cached.bucket)
	bucket.Expire(j.config.Clock.Now(), j.config.Retention)
	released := j.releaseAbandoned(w, bucket)
	results := make([]error, len(batch))
	for i, c := range batch {
		results[i] = c.apply(bucket)
	}
	value, err := bucket.Encode()
	if err != nil {
		return nil, err
	}
	revision, err := j.config.Store.CompareAndSwap(ctx, w.name, w.cached.revision, value)
	if err != nil {
		return nil, err
	}
	w.cached = &cachedBucket{revision: revision, bucket: bucket}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writes++
	j.changes += int64(len(batch))
	for _, key := range released {
		delete(w.abandoned, key)
	}
	return results, nil
}

// releaseAbandoned frees keys that were stored as started although nothing was sent.
// It returns all abandoned keys that it checked.
func (j *Journal) releaseAbandoned(w *writer, bucket Bucket) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	keys := []string{}
	for key, attempt := range w.abandoned {
		keys = append(keys, key)
		entry := bucket.Entries[key]
		if entry.Attempt == attempt && entry.fire(triggerRelease, time.Time{}) == nil {
			delete(bucket.Entries, key)
		}
	}
	return keys
}
