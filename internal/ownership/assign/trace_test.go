package assign

import (
	"os"
	"strconv"
	"testing"
)

// TestTrace prints what happens to one key of one seed of the search:
// TRACE=seed,key go test -run TestTrace -v.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("TRACE"), 10, 64)
	if err != nil {
		t.Skip("TRACE names no seed")
	}
	e := newExplored(seed)
	e.trace = t.Logf
	e.play()
	t.Log(e.violation)
}
