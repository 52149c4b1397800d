package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

// Load: far more lines than the output takes. Who logs never waits, and the
// lines that are missing are counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * queueLines
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
		require.NotZero(t, n)
	}
	require.GreaterOrEqual(t, w.Dropped(), int64(lines-queueLines-1))
	close(out.release)
	w.Close()
	require.Contains(t, out.text.String(), "log lines dropped")
	require.Less(t, strings.Count(out.text.String(), "\n"), queueLines+3)
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
