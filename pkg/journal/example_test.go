package journal_test

import (
	"context"
	"fmt"
	"time"

	"github.com/redwingstall/redwingstall/pkg/journal"
)

// A charge runs once; asking again gives the recorded answer.
func Example() {
	ctx := context.Background()
	j := journal.NewJournal(journal.Config{
		Store: newStore(), Self: "entry1@a", IsAlive: everyoneAlive,
		Retention: time.Hour, Buckets: journal.BucketsPerService, MaxResponseBytes: 1024,
	})
	request := journal.Request{Account: "dairy", Service: "charging", Key: "k1", Digest: "d"}
	verdict, entry, _ := j.Start(ctx, request)
	fmt.Println(verdict)
	_ = j.Complete(ctx, request, entry.Attempt, journal.Response{Status: 200, Body: []byte("paid")})
	verdict, entry, _ = j.Start(ctx, request)
	fmt.Println(verdict, string(entry.Response.Body))
	// Output:
	// run
	// replay paid
}
