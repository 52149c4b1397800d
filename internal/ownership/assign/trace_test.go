package assign

import (
	"os"
	"strconv"
	"testing"
)

// TestTrace prints the commands that servers apply in the simulation of one seed:
// TRACE=seed go test -run TestTrace -v.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("TRACE"), 10, 64)
	if err != nil {
		t.Skip("TRACE is not set to a seed")
	}
	m := newSimulation(seed)
	m.trace = t.Logf
	m.run()
	t.Log(m.violation)
}
