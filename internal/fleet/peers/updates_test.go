package peers

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/fleet/follow"
)

func change(revision redwingstall.Revision, size int) redwingstall.Change {
	return redwingstall.Change{Item: redwingstall.Item{Key: "servers/x", Revision: revision, Value: bytes.Repeat([]byte{'x'}, size)}}
}

// Guards against many changes at once that each instance reads from the store, because
// they do not fit into one datagram.
func TestLargeUpdateIsSplitBetweenRevisions(t *testing.T) {
	e := &Exchange{log: slog.New(slog.DiscardHandler)}
	update := follow.Update{After: 10, UpTo: 600}
	for r := redwingstall.Revision(11); r <= 599; r++ {
		for range r % 3 { // changes of one revision stay together
			update.Changes = append(update.Changes, change(r, 300))
		}
	}
	at := update.After
	received := []redwingstall.Change{}
	for _, encoded := range e.encodeUpdate(update) {
		require.LessOrEqual(t, len(encoded.bytes), maxUpdateBytes)
		var message datagram
		require.NoError(t, cbor.Unmarshal(encoded.bytes, &message))
		require.Equal(t, at, message.Update.After)
		require.False(t, message.Update.IsTruncated)
		require.Greater(t, int64(message.Update.Changes[0].Revision), at)
		at = message.Update.UpTo
		received = append(received, message.Update.Changes...)
	}
	require.Equal(t, update.UpTo, at)
	require.Equal(t, update.Changes, received)
}

func TestOversizedChangeIsReadFromTheStore(t *testing.T) {
	e := &Exchange{log: slog.New(slog.DiscardHandler)}
	update := follow.Update{After: 10, UpTo: 13, Changes: []redwingstall.Change{change(11, 10), change(12, 2*maxUpdateBytes), change(13, 10)}}
	truncated := []follow.Update{}
	for _, encoded := range e.encodeUpdate(update) {
		var message datagram
		require.NoError(t, cbor.Unmarshal(encoded.bytes, &message))
		if message.Update.IsTruncated {
			truncated = append(truncated, *message.Update)
		}
	}
	require.Equal(t, []follow.Update{{After: 11, UpTo: 12, IsTruncated: true}}, truncated)
}

// Guards against repairs that do not reach the instance that asked for them.
func TestReporterRepairsMember(t *testing.T) {
	runFleet(t, 2, domainMeshLimit+2, 1, func(t *testing.T, f *fleet) {
		for _, m := range f.members {
			m.exchange.changesSince = func(after int64) (follow.Update, bool) {
				return follow.Update{After: after, UpTo: 9, IsRepair: true}, after < 9
			}
		}
		asking := f.members[5]
		require.True(t, asking.exchange.RequestRepair(4))
		select {
		case update := <-asking.exchange.Updates():
			require.Equal(t, follow.Update{After: 4, UpTo: 9, IsRepair: true}, update)
		case <-time.After(time.Second):
			require.Fail(t, "no repair received")
		}
		require.True(t, asking.exchange.RequestRepair(9))
		select {
		case <-asking.exchange.Updates():
			require.Fail(t, "nothing to repair")
		case <-time.After(time.Second):
		}
	})
}
