package presence

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
)

// fakeStore holds one lease and one record.
type fakeStore struct {
	redwingstall.MetadataStore
	isDown  atomic.Bool
	isEnded atomic.Bool
	isTaken bool
	opened  atomic.Int64
	ended   atomic.Bool
}

var errDown = errors.Mark(errors.New("down"), redwingstall.ErrUnavailable)

func (s *fakeStore) OpenLease(context.Context, time.Duration) (int64, error) {
	if s.isDown.Load() {
		return 0, errDown
	}
	return s.opened.Add(1), nil
}

func (s *fakeStore) Commit(_ context.Context, t redwingstall.Transaction) (redwingstall.Revision, error) {
	if s.isTaken && len(t.Expect) > 0 {
		return 0, errors.Mark(errors.New("taken"), redwingstall.ErrConflict)
	}
	return 1, nil
}

func (s *fakeStore) KeepLease(context.Context, int64) error {
	switch {
	case s.isDown.Load():
		time.Sleep(900 * time.Millisecond)
		return errDown
	case s.isEnded.CompareAndSwap(true, false):
		return errors.Mark(errors.New("ended"), redwingstall.ErrLeaseEnded)
	}
	return nil
}

func (s *fakeStore) EndLease(context.Context, int64) error {
	s.ended.Store(true)
	return nil
}

func play(t *testing.T, store *fakeStore, exclusive bool, script func(l *Lease)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		l := NewLease(store, redwingstall.Item{Key: "k"}, exclusive, 3*time.Second, clock, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		script(l)
		cancel()
		<-l.Done()
	})
}

func certain(l *Lease) bool {
	_, isCertain := l.Lease()
	return isCertain
}

// The lease is certain only until it may have ended at the store, counted from
// the sending of the last renewal that was answered.
func TestLeaseIsNotCertainWithoutAnswers(t *testing.T) {
	store := &fakeStore{}
	play(t, store, true, func(l *Lease) {
		time.Sleep(10 * time.Second)
		require.True(t, certain(l))
		store.isDown.Store(true)
		time.Sleep(3 * time.Second)
		require.False(t, certain(l))
		store.isDown.Store(false)
		time.Sleep(2 * time.Second)
		require.True(t, certain(l))
	})
	require.True(t, store.ended.Load(), "given up at the end")
}

func TestEndedLeaseIsOpenedAnew(t *testing.T) {
	store := &fakeStore{}
	play(t, store, false, func(l *Lease) {
		time.Sleep(time.Second)
		store.isEnded.Store(true)
		time.Sleep(time.Second)
		require.True(t, certain(l))
		require.EqualValues(t, 2, store.opened.Load())
	})
}

func TestRecordOfAnotherEndsAnExclusiveLease(t *testing.T) {
	store := &fakeStore{isTaken: true}
	play(t, store, true, func(l *Lease) {
		<-l.Done()
		require.False(t, certain(l))
	})
}
