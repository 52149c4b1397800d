package app

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleLogs = `10.2 entry-1 {"time":"2026-01-01T00:00:01Z","msg":"backend server gone","instance":"a","server":"s1","service":"x","reason":"entry removed"}
10.2 entry-1 {"time":"2026-01-01T00:00:01Z","msg":"backend server gone","instance":"a","server":"s9","service":"x"}
10.2 entry-2 {"time":"2026-01-01T00:00:01Z","msg":"backend server gone","instance":"b","server":"s1","service":"x"}
noise
10.3 entry-1 {"time":"2026-01-01T00:00:03Z","msg":"request","instance":"a","id":"r7","service":"x","status":502,"reason":"outcomeUnknown","server":"s1"}
10.3 entry-1 {"time":"2026-01-01T00:00:02Z","msg":"attempt","instance":"a","id":"r7","server":"s1","outcome":"noAnswer"}
`

// Without the state changes logged before a request, an operator does not see why it
// failed. Changes of other servers and other instances must not be printed.
func TestExplainPrintsRequestAndRelatedStateChanges(t *testing.T) {
	out := &strings.Builder{}
	require.NoError(t, explain("r7", strings.NewReader(sampleLogs), out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], `"reason":"entry removed"`)
	require.Contains(t, lines[1], "noAnswer")
	require.Contains(t, lines[2], "outcomeUnknown")
	require.ErrorContains(t, explain("r8", strings.NewReader(sampleLogs), out), "no log line names")
}
