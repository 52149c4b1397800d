package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/journal"
)

// memoryStore is an in-memory store that can lose the result of a write, before or after
// the write takes effect.
type memoryStore struct {
	mu       sync.Mutex
	records  map[string]redwingstall.Record
	revision redwingstall.Revision
	delay    time.Duration
	// fault returns for each write whether its result is lost, and if so, whether the
	// write takes effect.
	fault func() (lost, applied bool)
	swaps int
}

func newStore() *memoryStore {
	return &memoryStore{
		records: map[string]redwingstall.Record{},
		fault:   func() (bool, bool) { return false, true },
	}
}

func (s *memoryStore) Get(_ context.Context, name string) (redwingstall.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[name]
	record.Name = name
	return record, nil
}

func (s *memoryStore) List(_ context.Context, _ string) ([]redwingstall.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := []redwingstall.Record{}
	for _, record := range s.records {
		records = append(records, record)
	}
	return records, nil
}

func (s *memoryStore) Watch(context.Context, string, redwingstall.Revision) ([]redwingstall.Record, error) {
	return nil, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, name string, old redwingstall.Revision, value []byte) (redwingstall.Revision, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swaps++
	lost, applied := s.fault()
	if lost && !applied {
		return 0, errors.Mark(errors.New("lost"), redwingstall.ErrUnavailable)
	}
	if s.records[name].Revision != old {
		return 0, redwingstall.ErrConflict
	}
	s.revision++
	s.records[name] = redwingstall.Record{Name: name, Revision: s.revision, Value: value}
	if lost {
		return 0, errors.Mark(errors.New("lost"), redwingstall.ErrUnavailable)
	}
	return s.revision, nil
}

func newJournal(store redwingstall.Store, self string, isAlive func(string) bool) *journal.Journal {
	return journal.NewJournal(journal.Config{
		Store: store, Self: self, IsAlive: isAlive,
		Retention: time.Hour, Buckets: 2, MaxResponseBytes: 16, SkewBound: time.Second,
	})
}

func allAlive(string) bool { return true }

func requestFor(key string) journal.Request {
	return journal.Request{
		Account: "dairy", Service: "charging", Key: key, Digest: "d", Path: "POST /h",
		Expires: time.Now().Add(2 * time.Second),
	}
}

// TestRetryReplaysRecordedResponse guards against a retry that runs the request again. A
// retry at another instance is rejected while the first attempt runs, and gets the
// recorded response afterwards. A different request with the same key is a mismatch.
func TestRetryReplaysRecordedResponse(t *testing.T) {
	store := newStore()
	ctx := t.Context()
	first, second := newJournal(store, "a", allAlive), newJournal(store, "b", allAlive)
	verdict, entry, err := first.Start(ctx, requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictRun, verdict)

	verdict, _, err = second.Start(ctx, requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictInProgress, verdict)

	require.NoError(t, first.Complete(ctx, requestFor("k"), entry.Attempt, journal.Response{Status: 200, Body: []byte("paid")}))
	verdict, entry, err = second.Start(ctx, requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictReplay, verdict)
	require.Equal(t, "paid", string(entry.Response.Body))

	mismatch := requestFor("k")
	mismatch.Digest = "another"
	verdict, _, err = second.Start(ctx, mismatch)
	require.NoError(t, err)
	require.Equal(t, journal.VerdictMismatch, verdict)
}

// TestOutcomeOfEndedProcessIsResolvedOnce covers a process that ends after it started a
// request: the outcome is unknown until an operator resolves it. The resolution is
// rejected while the attempt could still be sent, and so is a second resolution.
func TestOutcomeOfEndedProcessIsResolvedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		ctx := t.Context()
		_, _, err := newJournal(store, "dead", allAlive).Start(ctx, requestFor("k"))
		require.NoError(t, err)
		survivor := newJournal(store, "b", func(id string) bool { return id != "dead" })
		verdict, _, err := survivor.Start(ctx, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, journal.VerdictUnknown, verdict)
		rows, err := survivor.ListUnknown(ctx, "dairy", "charging")
		require.NoError(t, err)
		require.Len(t, rows, 1)

		require.True(t, errors.Is(survivor.Resolve(ctx, "dairy", "charging", "k", false), journal.ErrTooEarly))
		time.Sleep(10 * time.Second)
		require.NoError(t, survivor.Resolve(ctx, "dairy", "charging", "k", false))
		require.True(t, errors.Is(survivor.Resolve(ctx, "dairy", "charging", "k", true), journal.ErrTransition))
		verdict, _, err = survivor.Start(ctx, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, journal.VerdictRun, verdict)
	})
}

// TestLostStartIsReleased guards against a key that stays blocked after a failed start.
// The store applies the write but its result is lost, so that the caller gets an error
// and sends nothing. The next sweep must release the entry.
func TestLostStartIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		ctx := t.Context()
		store.fault = func() (bool, bool) { return true, true }
		j := newJournal(store, "a", allAlive)
		_, _, err := j.Start(ctx, requestFor("k"))
		require.True(t, errors.Is(err, journal.ErrUnavailable))
		store.fault = func() (bool, bool) { return false, true }
		j.Sweep(ctx)
		verdict, _, err := newJournal(store, "b", allAlive).Start(ctx, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, journal.VerdictRun, verdict, "the key is free for other instances")
	})
}

// TestSweepReleasesBucketThatIsBeingWritten guards against a key that stays blocked
// because other starts keep its bucket's writer busy when the sweep runs.
func TestSweepReleasesBucketThatIsBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writeTime = 10 * time.Millisecond
		store := newStore()
		store.delay = writeTime
		store.fault = func() (bool, bool) { return store.swaps <= 2, store.swaps == 1 }
		ctx := t.Context()
		j := newJournal(store, "a", allAlive)
		other := "k0"
		for n := 0; journal.BucketOf(other, 2) != journal.BucketOf("k", 2); n++ {
			other = fmt.Sprint("k", n)
		}
		starts := sync.WaitGroup{}
		starts.Go(func() {
			_, _, err := j.Start(ctx, requestFor("k"))
			require.True(t, errors.Is(err, journal.ErrUnavailable))
		})
		time.Sleep(writeTime / 2)
		starts.Go(func() {
			_, _, err := j.Start(ctx, requestFor(other))
			require.True(t, errors.Is(err, journal.ErrUnavailable))
		})
		time.Sleep(writeTime)
		j.Sweep(ctx) // the write of the other key is in flight, and will fail
		verdict, _, err := newJournal(store, "b", allAlive).Start(ctx, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, journal.VerdictRun, verdict, "the key is free for other instances")
		starts.Wait()
	})
}

// TestGroupCommit checks that starts which arrive during a write of their bucket share
// the next write.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.delay = 10 * time.Millisecond
		j := newJournal(store, "a", allAlive)
		starts := sync.WaitGroup{}
		for n := range 200 {
			starts.Go(func() {
				verdict, _, err := j.Start(t.Context(), requestFor(fmt.Sprint(n)))
				require.NoError(t, err)
				require.Equal(t, journal.VerdictRun, verdict)
			})
		}
		starts.Wait()
		require.LessOrEqual(t, store.swaps, 6, "two buckets, two or three batches each")
	})
}

// TestFullBucketRejectsStart guards against an entry that stays in the cached bucket
// although the bucket was too large to store: the key must be free for a later start.
func TestFullBucketRejectsStart(t *testing.T) {
	store := newStore()
	j := newJournal(store, "a", allAlive)
	big := requestFor("k")
	big.Path = string(make([]byte, journal.MaxBucketBytes))
	_, _, err := j.Start(t.Context(), big)
	require.True(t, errors.Is(err, journal.ErrBucketFull))
	verdict, _, err := j.Start(t.Context(), requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictRun, verdict)
}

// TestAtMostOnce runs random sequences of callers that retry through several instances
// while results of store writes are lost, instances end and operators resolve outcomes.
// No request runs twice unless an operator recorded that it had not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		store := newStore()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		store.fault = func() (bool, bool) { return random.IntN(5) == 0, random.IntN(2) == 0 }
		dead := map[string]bool{}
		isAlive := func(id string) bool { return !dead[id] }
		instanceCount := 0
		newInstance := func() *instance {
			instanceCount++
			id := fmt.Sprintf("e%d", instanceCount)
			return &instance{id: id, journal: newJournal(store, id, isAlive)}
		}
		instances := []*instance{newInstance(), newInstance(), newInstance()}
		runs, allowedRuns := map[string]int{}, map[string]int{}
		for range 60 {
			n := rapid.IntRange(0, 2).Draw(r, "instance")
			chosen := instances[n]
			key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(r, "key")
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				dead[chosen.id] = true
				instances[n] = newInstance()
			case 1:
				err := chosen.journal.Resolve(context.Background(), "dairy", "charging", key, false)
				if !errors.Is(err, journal.ErrTransition) {
					// The resolution was stored or may have been, so that the request may
					// run once more.
					allowedRuns[key] = runs[key] + 1
				}
			default:
				chosen.attempt(r, key, runs)
			}
			for key, n := range runs {
				require.LessOrEqual(r, n, max(allowedRuns[key], 1), "key %s", key)
			}
		}
	})
}

type instance struct {
	id      string
	journal *journal.Journal
}

// attempt makes one request of a caller and ends it in a random way.
func (i *instance) attempt(r *rapid.T, key string, runs map[string]int) {
	ctx := context.Background()
	request := requestFor(key)
	request.Expires = time.Now().Add(-time.Hour)
	verdict, entry, err := i.journal.Start(ctx, request)
	if err != nil || verdict != journal.VerdictRun {
		return
	}
	switch rapid.IntRange(0, 3).Draw(r, "end") {
	case 0:
		_ = i.journal.Release(ctx, request, entry.Attempt)
	case 1:
		runs[key]++
		_ = i.journal.MarkUnknown(ctx, request, entry.Attempt)
	case 2:
		runs[key]++
		_ = i.journal.Complete(ctx, request, entry.Attempt, journal.Response{Status: 200})
	case 3:
		runs[key]++ // the process ends before it records the outcome
	}
}
