package view

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/redwingstall/redwingstall"
)

// BenchmarkApply applies the change of one backend server to the view of a fleet.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ instances, servers int }{{30, 80}, {300, 800}, {3000, 8000}} {
		b.Run(fmt.Sprintf("%dx%d", size.instances, size.servers), func(b *testing.B) {
			v := NewView(slog.New(slog.DiscardHandler), 0)
			events := []redwingstall.Event{}
			for i := range size.servers {
				events = append(events, redwingstall.EntryChanged{Entry: redwingstall.BackendEntry{ID: fmt.Sprintf("i-%08d", i), Service: fmt.Sprint("s", i%4), Slots: 4, StartedAtMillis: 1}})
			}
			for i := range size.instances {
				record, _ := PeerRecord(Peer{Name: fmt.Sprintf("p%05d", i), FailureDomain: fmt.Sprint("d", i%6)})
				events = append(events, redwingstall.RecordChanged{Change: redwingstall.Change{Item: record}})
			}
			v.Apply(time.Now(), events, false)
			b.ReportAllocs()
			for b.Loop() {
				v.Apply(time.Now(), events[:1], false)
			}
		})
	}
}
