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

// memoryStore is a store whose answers can be lost, before or after the write
// takes effect.
type memoryStore struct {
	mu       sync.Mutex
	records  map[string]redwingstall.Record
	revision redwingstall.Revision
	delay    time.Duration
	// fault says for each write whether it is lost, and if so whether it took
	// effect all the same.
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

func newJournal(store redwingstall.Store, self string, alive func(string) bool) *journal.Journal {
	return journal.NewJournal(journal.Config{
		Store: store, Self: self, IsAlive: alive,
		Retention: time.Hour, Buckets: 2, MaxResponseBytes: 16, SkewBound: time.Second,
	})
}

func everyoneAlive(string) bool { return true }

func requestFor(key string) journal.Request {
	return journal.Request{
		Account: "dairy", Service: "charging", Key: key, Digest: "d", Path: "POST /h",
		Expires: time.Now().Add(2 * time.Second),
	}
}

func TestRetryGetsTheRecordedAnswer(t *testing.T) {
	store := newStore()
	ctx := t.Context()
	one, other := newJournal(store, "a", everyoneAlive), newJournal(store, "b", everyoneAlive)
	verdict, entry, err := one.Start(ctx, requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictRun, verdict)

	verdict, _, err = other.Start(ctx, requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictInProgress, verdict)

	require.NoError(t, one.Complete(ctx, requestFor("k"), entry.Attempt, journal.Response{Status: 200, Body: []byte("paid")}))
	verdict, entry, err = other.Start(ctx, requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictReplay, verdict)
	require.Equal(t, "paid", string(entry.Response.Body))

	mismatch := requestFor("k")
	mismatch.Digest = "another"
	verdict, _, err = other.Start(ctx, mismatch)
	require.NoError(t, err)
	require.Equal(t, journal.VerdictMismatch, verdict)
}

func TestEndedProcessLeavesAnUnknownOutcomeThatIsResolvedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		ctx := t.Context()
		_, _, err := newJournal(store, "dead", everyoneAlive).Start(ctx, requestFor("k"))
		require.NoError(t, err)
		next := newJournal(store, "b", func(id string) bool { return id != "dead" })
		verdict, _, err := next.Start(ctx, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, journal.VerdictUnknown, verdict)
		rows, err := next.ListUnknown(ctx, "dairy", "charging")
		require.NoError(t, err)
		require.Len(t, rows, 1)

		require.True(t, errors.Is(next.Resolve(ctx, "dairy", "charging", "k", false), journal.ErrTooEarly))
		time.Sleep(10 * time.Second)
		require.NoError(t, next.Resolve(ctx, "dairy", "charging", "k", false))
		require.True(t, errors.Is(next.Resolve(ctx, "dairy", "charging", "k", true), journal.ErrTransition))
		verdict, _, err = next.Start(ctx, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, journal.VerdictRun, verdict)
	})
}

func TestLostStartIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		ctx := t.Context()
		store.fault = func() (bool, bool) { return true, true }
		j := newJournal(store, "a", everyoneAlive)
		_, _, err := j.Start(ctx, requestFor("k"))
		require.True(t, errors.Is(err, journal.ErrUnavailable))
		store.fault = func() (bool, bool) { return false, true }
		j.Sweep(ctx)
		verdict, _, err := newJournal(store, "b", everyoneAlive).Start(ctx, requestFor("k"))
		require.NoError(t, err)
		require.Equal(t, journal.VerdictRun, verdict, "the key is free again for others")
	})
}

func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.delay = 10 * time.Millisecond
		j := newJournal(store, "a", everyoneAlive)
		running := sync.WaitGroup{}
		for n := range 200 {
			running.Go(func() {
				verdict, _, err := j.Start(t.Context(), requestFor(fmt.Sprint(n)))
				require.NoError(t, err)
				require.Equal(t, journal.VerdictRun, verdict)
			})
		}
		running.Wait()
		require.LessOrEqual(t, store.swaps, 6, "two buckets, two or three groups each")
	})
}

func TestFullBucketRefusesTruthfully(t *testing.T) {
	store := newStore()
	j := newJournal(store, "a", everyoneAlive)
	big := requestFor("k")
	big.Path = string(make([]byte, journal.MaxBucketBytes))
	_, _, err := j.Start(t.Context(), big)
	require.True(t, errors.Is(err, journal.ErrBucketFull))
	verdict, _, err := j.Start(t.Context(), requestFor("k"))
	require.NoError(t, err)
	require.Equal(t, journal.VerdictRun, verdict)
}

// TestAtMostOnce explores callers that retry through several instances while
// answers of the store are lost, instances end and operators resolve: no key
// runs twice unless an operator found that it had not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		store := newStore()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		store.fault = func() (bool, bool) { return random.IntN(5) == 0, random.IntN(2) == 0 }
		dead := map[string]bool{}
		alive := func(id string) bool { return !dead[id] }
		started := 0
		boot := func() *instance {
			started++
			id := fmt.Sprintf("e%d", started)
			return &instance{id: id, journal: newJournal(store, id, alive)}
		}
		instances := []*instance{boot(), boot(), boot()}
		runs, allowed := map[string]int{}, map[string]int{}
		for range 60 {
			n := rapid.IntRange(0, 2).Draw(r, "instance")
			one := instances[n]
			key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(r, "key")
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				dead[one.id] = true
				instances[n] = boot()
			case 1:
				err := one.journal.Resolve(context.Background(), "dairy", "charging", key, false)
				if !errors.Is(err, journal.ErrTransition) {
					// The operator's word was stored, or may have been: another run
					// rests on it.
					allowed[key] = runs[key] + 1
				}
			default:
				one.attempt(r, key, runs)
			}
			for key, n := range runs {
				require.LessOrEqual(r, n, max(allowed[key], 1), "key %s", key)
			}
		}
	})
}

type instance struct {
	id      string
	journal *journal.Journal
}

// attempt is a caller's request, with any end of the sending.
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
		runs[key]++ // the process ends before it records anything
	}
}
