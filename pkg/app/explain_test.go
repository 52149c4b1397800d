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

// Guards against a refusal whose cause an operator has to guess.
func TestExplainSaysWhyAClientAccountWasRefused(t *testing.T) {
	out := &strings.Builder{}
	logs := `{"time":"2026-01-01T00:00:01Z","msg":"configuration in force","instance":"a","version":12,"accounts":2,"keys":3}
{"time":"2026-01-01T00:00:02Z","msg":"access refused","instance":"a","id":"r1","cause":"unknownKey","account":"","configuration":12,"knowledgeAgeMillis":310,"retryAfterMillis":0}
{"time":"2026-01-01T00:00:02Z","msg":"access refused","instance":"a","id":"r2","cause":"quota","account":"oak","configuration":12,"knowledgeAgeMillis":310,"retryAfterMillis":700}
{"time":"2026-01-01T00:00:02Z","msg":"access refused","instance":"a","id":"r3","cause":"oldKnowledge","account":"","configuration":12,"knowledgeAgeMillis":4100,"maxKnowledgeAgeMillis":3800,"retryAfterMillis":400}
`
	for id, cause := range map[string]string{
		"r1": "401: no client account of the configuration holds the request's API key; configuration 12, confirmed 310 ms before",
		"r2": `429: the client account has no credit left (account "oak"); configuration 12, confirmed 310 ms before the request arrived; Retry-After 700 ms`,
		"r3": "confirmed 4100 ms before the request arrived, at most 3800 ms count; Retry-After 400 ms",
	} {
		out.Reset()
		require.NoError(t, explain(id, strings.NewReader(logs), out))
		require.Contains(t, out.String(), cause)
		require.Contains(t, out.String(), "before:  "+logs[:20])
	}
}
