package store_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/standin"
	"github.com/redwingstall/redwingstall/pkg/store"
)

func newClient(t *testing.T) (*store.Client, *standin.Store, *httptest.Server) {
	platform := standin.NewStore()
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return store.NewClient(address, time.Minute, metrics.NewRegistry()), platform, server
}

func TestSwapAndConflict(t *testing.T) {
	client, _, _ := newClient(t)
	first, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("one"))
	require.NoError(t, err)
	_, err = client.CompareAndSwap(t.Context(), "a", 0, []byte("two"))
	require.True(t, errors.Is(err, redwingstall.ErrConflict))
	conflict := &store.ConflictError{}
	require.True(t, errors.As(err, &conflict))
	require.Equal(t, first, conflict.CurrentRevision)
	record, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, "one", string(record.Value))
}

// The answer is lost after the write took effect: the writer must find out
// that it was its own, and not take it for a conflict.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	client, platform, _ := newClient(t)
	platform.SetFaults(standin.StoreFaults{DropResponses: 1})
	revision, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("one"))
	require.NoError(t, err)
	record, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, revision, record.Revision)
	require.EqualValues(t, 1, platform.Counts()["swap"], "settled without a second write")
}

func TestWriterThatWasOvertakenIsToldOfAConflict(t *testing.T) {
	client, platform, server := newClient(t)
	other := store.NewClient(strings.TrimPrefix(server.URL, "http://"), time.Minute, metrics.NewRegistry())
	first, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("one"))
	require.NoError(t, err)
	_, err = other.CompareAndSwap(t.Context(), "a", first, []byte("two"))
	require.NoError(t, err)
	platform.SetFaults(standin.StoreFaults{DropResponses: 1})
	_, err = client.CompareAndSwap(t.Context(), "a", first, []byte("three"))
	require.True(t, errors.Is(err, redwingstall.ErrConflict))
}

func TestOutageLeavesTheOutcomeUnknown(t *testing.T) {
	client, platform, _ := newClient(t)
	platform.SetFaults(standin.StoreFaults{Outage: true})
	_, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("one"))
	require.True(t, errors.Is(err, redwingstall.ErrUnavailable))
	require.False(t, errors.Is(err, redwingstall.ErrConflict))
}
