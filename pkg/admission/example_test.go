package admission_test

import (
	"context"
	"fmt"
	"time"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/admission"
)

// A cold server with a cold limit of 1 runs one request at a time.
func Example() {
	pool := admission.NewPool(redwingstall.SystemClock{})
	pool.Configure([]admission.ServerConfig{{Name: "pack-1", Slots: 4, ColdLimit: 1}})
	pool.Open()
	pool.Observe("pack-1", admission.Observation{Boot: "b1", Open: true})

	deadline := time.Now().Add(time.Millisecond)
	lease, _ := pool.Acquire(context.Background(), admission.Request{Deadline: deadline})
	fmt.Println(lease.Server())
	_, err := pool.Acquire(context.Background(), admission.Request{Deadline: deadline})
	fmt.Println(err != nil)
	lease.End(admission.AttemptSucceeded)
	// Output:
	// pack-1
	// true
}
