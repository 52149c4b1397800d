package peers

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/traffic/quarantine"
)

func fingerprint(n int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("GET", "h", fmt.Sprint("/", n), -1, nil)
}

// Guards against a request that ends another server since an instance has not heard of it yet.
// The time to all others must be far below the time in which a client repeats a request.
func TestAllInstancesLearnOfARequestThatEndsServersAtOnce(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{4, 2}, {4, domainMeshLimit + 3}, {6, 49}} {
		runFleet(t, size.domains, size.perDomain, 3, func(t *testing.T, f *fleet) {
			time.Sleep(2050 * time.Millisecond) // between two exchanges
			before := 0
			for _, m := range f.members {
				_, _, bytes := m.socket.counts()
				before += bytes
			}
			now := time.Now()
			f.members[size.perDomain+1].table.RecordEnd(now, fingerprint(1), process(1), now.Add(-time.Second))
			synctest.Wait()
			after := 0
			for _, m := range f.members {
				verdict, _ := m.table.Judge(now, fingerprint(1))
				require.Equal(t, quarantine.Wait, verdict, m.name)
				_, _, bytes := m.socket.counts()
				after += bytes
			}
			require.Zero(t, time.Since(now))
			perInstance := float64(after-before) / float64(len(f.members))
			t.Logf("%d instances: %.0f bytes for each", len(f.members), perInstance)
			require.LessOrEqual(t, perInstance, 500.0, "%d instances", len(f.members))
		})
	}
}

// Guards against an instance that starts, or has missed messages, and lets requests pass that
// all others reject.
func TestInstanceWithoutRecordsGetsThemFromAnother(t *testing.T) {
	runFleet(t, 2, 3, 3, func(t *testing.T, f *fleet) {
		for n := range 450 {
			now := time.Now()
			f.members[1].table.RecordEnd(now, fingerprint(n), process(1), now.Add(-time.Second))
		}
		f.members[1].table.TakeChanges() // all notices are lost
		time.Sleep(4 * time.Second)
		for _, m := range f.members {
			require.Len(t, m.table.All(time.Now()), 450, m.name)
		}
	})
}

// Guards against a message of another version that ends the receiver, or is taken for a record.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	now := time.Now()
	for _, row := range []quarantineRow{
		{Fingerprint: []byte("short"), Version: 1, State: 1},
		{Fingerprint: make([]byte, 16), Version: 1, State: 9},
		{Fingerprint: make([]byte, 16), Version: 1, State: -1},
		{},
	} {
		_, isValid := row.record(now)
		require.False(t, isValid)
	}
	r, isValid := quarantineRow{Fingerprint: make([]byte, 16), Version: 1, State: 1, ChangedMicros: -1 << 62, EndedMicros: 1 << 62}.record(now)
	require.True(t, isValid)
	require.Equal(t, now, r.ChangedAt)
	require.Equal(t, now.Add(-maxAge), r.EndedAt)
}

// Guards against an instance that has started, does not know of a conviction yet, and begins with a
// suspicion of its own: the others must correct it before it begins a trial.
func TestInstanceThatMissedAConvictionIsCorrected(t *testing.T) {
	for _, perDomain := range []int{2, domainMeshLimit + 3} {
		runFleet(t, 4, perDomain, 3, func(t *testing.T, f *fleet) {
			time.Sleep(2050 * time.Millisecond)
			now := time.Now()
			for _, m := range f.members[1:] {
				m.table.RecordEnd(now.Add(-time.Second), fingerprint(1), process(1), now.Add(-2*time.Second))
				m.table.RecordEnd(now, fingerprint(1), process(2), now.Add(-500*time.Millisecond))
				m.table.TakeChanges() // the first instance hears of none
			}
			f.members[0].table.RecordEnd(now, fingerprint(1), process(3), now.Add(-time.Millisecond))
			synctest.Wait()
			verdict, _ := f.members[0].table.Judge(now, fingerprint(1))
			require.Equal(t, quarantine.Reject, verdict)
		})
	}
}

// Guards against an instance that starts, and lets requests pass for a second that all others
// reject. The first comparison may come before the others have their records.
func TestInstanceThatStartsKnowsTheRecordsWithItsSecondComparison(t *testing.T) {
	runFleet(t, 2, 3, 3, func(t *testing.T, f *fleet) {
		now := time.Now()
		for _, m := range f.members[1:] {
			m.table.RecordEnd(now, fingerprint(1), process(1), now.Add(-time.Second))
			m.table.TakeChanges()
		}
		time.Sleep(startupDigestInterval + minInterval)
		verdict, _ := f.members[0].table.Judge(time.Now(), fingerprint(1))
		require.NotEqual(t, quarantine.Admit, verdict)
	})
}
