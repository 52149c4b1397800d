package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output that blocks until it is released.
type blockedOutput struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(line)
}

// Guards against callers that wait for a blocked log output. Far more lines are logged
// than the output accepts; the missing ones must be counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * queueCapacity
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
		require.NotZero(t, n)
	}
	require.GreaterOrEqual(t, w.Dropped(), int64(lines-queueCapacity-1))
	close(out.release)
	w.Close()
	require.Contains(t, out.written.String(), "log lines dropped")
	require.Less(t, strings.Count(out.written.String(), "\n"), queueCapacity+3)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for i := range 20 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	w.Close()
	require.Equal(t, 20, strings.Count(out.String(), "\n"))
	require.True(t, strings.HasPrefix(out.String(), "0\n1\n2\n"))
	require.Zero(t, w.Dropped())
}
