package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
)

// change is one edit of a bucket; apply runs again on a fresh copy each time
// the bucket has to be read anew.
type change struct {
	apply func(Bucket) error
	done  chan error
}

// writer serializes the writes of one bucket. It lives while changes wait.
type writer struct {
	name    string
	waiting []*change
	// cached is the bucket as this process last wrote it.
	cached *record
	// abandoned has the attempts whose start may have been stored although
	// its writer was told that it was not; a later write releases them.
	abandoned map[string]string
	running   bool
}

const maxChangesPerWrite = 256

// change applies an edit with the next write of the bucket and waits for it.
// The store's own timeouts bound the wait; a context that ends does not take
// an edit back that is under way.
func (j *Journal) change(ctx context.Context, name string, apply func(Bucket) error) error {
	c := &change{apply: apply, done: make(chan error, 1)}
	j.mu.Lock()
	w := j.writerOf(name)
	w.waiting = append(w.waiting, c)
	if !w.running {
		w.running = true
		go j.run(context.WithoutCancel(ctx), w)
	}
	j.mu.Unlock()
	return <-c.done
}

// writerOf returns the writer of a bucket; the journal's lock is held.
func (j *Journal) writerOf(name string) *writer {
	w := j.writers[name]
	if w == nil {
		w = &writer{name: name, abandoned: map[string]string{}}
		j.writers[name] = w
	}
	return w
}

// abandon asks for the release of a start that may have been stored.
func (j *Journal) abandon(name, key, attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writerOf(name).abandoned[key] = attempt
}

// run writes groups of changes until none wait.
func (j *Journal) run(ctx context.Context, w *writer) {
	for {
		group := j.take(w)
		if len(group) == 0 {
			return
		}
		j.commit(ctx, w, group)
	}
}

// take returns the next group, or marks the writer as idle.
func (j *Journal) take(w *writer) []*change {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := min(len(w.waiting), maxChangesPerWrite)
	group := w.waiting[:n:n]
	w.waiting = w.waiting[n:]
	if n == 0 {
		w.running = false
	}
	return group
}

const maxConflicts = 16

// commit stores a group with one write, reading the bucket anew as often as
// another writer was faster.
func (j *Journal) commit(ctx context.Context, w *writer, group []*change) {
	var err error
	for range maxConflicts {
		if err = j.load(ctx, w); err != nil {
			break
		}
		var results []error
		results, err = j.write(ctx, w, group)
		if err == nil {
			answer(group, results)
			return
		}
		w.cached = nil
		if !errors.Is(err, redwingstall.ErrConflict) {
			break
		}
	}
	w.cached = nil
	failed := make([]error, len(group))
	for i := range failed {
		failed[i] = errors.Wrap(err, "journal write")
	}
	answer(group, failed)
}

func answer(group []*change, results []error) {
	for i, c := range group {
		c.done <- results[i]
	}
}

func (j *Journal) load(ctx context.Context, w *writer) error {
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
	w.cached = &record{revision: stored.Revision, bucket: bucket}
	return nil
}

// write applies a group to a copy of the bucket and swaps it in. Changes that
// a life cycle refuses are told so and do not hinder the others. A group that
// changes nothing still needs a confirmed read, which a swap to the same
// content is.
func (j *Journal) write(ctx context.Context, w *writer, group []*change) ([]error, error) {
	bucket := cloneBucket(w.cached.bucket)
	bucket.Expire(j.config.Clock.Now(), j.config.Retention)
	released := j.releaseAbandoned(w, bucket)
	results := make([]error, len(group))
	for i, c := range group {
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
	w.cached = &record{revision: revision, bucket: bucket}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writes++
	j.changes += int64(len(group))
	for _, key := range released {
		delete(w.abandoned, key)
	}
	return results, nil
}

// releaseAbandoned frees keys that were stored as started although nothing was
// sent, and returns the keys that it looked at.
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
