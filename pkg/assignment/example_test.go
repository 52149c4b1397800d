package assignment_test

import (
	"fmt"
	"time"

	"github.com/redwingstall/redwingstall/pkg/assignment"
)

// A shard of a lost server is revoked, and assigned to another server after the
// wait.
func Example() {
	view := assignment.View{Shards: 1, Revision: 1, Servers: map[string]assignment.ServerView{"a": {Slots: 4, Eligible: true}}}
	record := assignment.MakePlan(assignment.Record{}, view).Record
	mover := assignment.NewMover(1500 * time.Millisecond)
	now := time.Unix(0, 0)

	view.Servers = map[string]assignment.ServerView{"a": {Slots: 4, Lost: true}, "b": {Slots: 4, Eligible: true}}
	record = assignment.MakePlan(record, view).Record
	mover.Acknowledge(now, record)
	fmt.Println(record.Shards[0].State, record.Shards[0].Owner)

	now = now.Add(1500 * time.Millisecond)
	view.Lapsed = mover.Lapsed(now, record)
	record = assignment.MakePlan(record, view).Record
	fmt.Println(record.Shards[0].State, record.Shards[0].Owner)
	// Output:
	// revoking a
	// owned b
}
