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
	fakeStore := standin.NewStore()
	server := httptest.NewServer(fakeStore.Handler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return store.NewClient(address, time.Minute, metrics.NewRegistry()), fakeStore, server
}

// TestCompareAndSwapConflict checks that a write to an outdated revision fails with the
// current revision and leaves the value unchanged.
func TestCompareAndSwapConflict(t *testing.T) {
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

// TestLostResponseIsResolvedByReadBack guards against a writer that mistakes its own write
// for a conflict. The response is lost after the write took effect, so that the writer
// finds a new revision and must recognize it as its own.
func TestLostResponseIsResolvedByReadBack(t *testing.T) {
	client, fakeStore, _ := newClient(t)
	fakeStore.SetFaults(standin.StoreFaults{DropResponses: 1})
	revision, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("one"))
	require.NoError(t, err)
	record, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, revision, record.Revision)
	require.EqualValues(t, 1, fakeStore.Counts()["swap"], "resolved without a second write")
}

// TestStaleWriterGetsConflict checks that a write fails with a conflict if another client
// has written since, also while the store loses responses.
func TestStaleWriterGetsConflict(t *testing.T) {
	client, fakeStore, server := newClient(t)
	other := store.NewClient(strings.TrimPrefix(server.URL, "http://"), time.Minute, metrics.NewRegistry())
	first, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("one"))
	require.NoError(t, err)
	_, err = other.CompareAndSwap(t.Context(), "a", first, []byte("two"))
	require.NoError(t, err)
	fakeStore.SetFaults(standin.StoreFaults{DropResponses: 1})
	_, err = client.CompareAndSwap(t.Context(), "a", first, []byte("three"))
	require.True(t, errors.Is(err, redwingstall.ErrConflict))
}

// TestOutageLeavesOutcomeUnknown guards against an outage that is reported as a conflict:
// the writer cannot tell whether the write took effect.
func TestOutageLeavesOutcomeUnknown(t *testing.T) {
	client, fakeStore, _ := newClient(t)
	fakeStore.SetFaults(standin.StoreFaults{Outage: true})
	_, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("one"))
	require.True(t, errors.Is(err, redwingstall.ErrUnavailable))
	require.False(t, errors.Is(err, redwingstall.ErrConflict))
}
