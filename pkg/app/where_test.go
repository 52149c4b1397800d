package app

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// Guards against an exit code or an error that does not say why there is no server to go to, and
// against an API key in what the command prints.
func TestWhere(t *testing.T) {
	asked := dispatch.Question{}
	status, body := http.StatusOK, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(text, &asked)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	instance := strings.TrimPrefix(server.URL, "http://")
	keyFile := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(keyFile, []byte("secret\n"), 0o600))
	call := func(arguments ...string) (code int, out, errors string) {
		stdout, stderr := &strings.Builder{}, &strings.Builder{}
		code = Main(append([]string{"where", "--host", "h", "--path", "/x"}, arguments...), stdout, stderr)
		require.NotContains(t, stdout.String()+stderr.String(), "secret")
		return code, stdout.String(), stderr.String()
	}
	owner := &dispatch.ExplainedOwner{Server: "k1", State: "released", Absence: "the range moves to another server"}
	for name, c := range map[string]struct {
		explanation dispatch.Explanation
		code        int
		says        string
	}{
		"sent":           {dispatch.Explanation{Verdict: "send", Server: "s1"}, ExitSuccess, ""},
		"unknownRoute":   {dispatch.Explanation{Verdict: "refuse", Reason: "noRoute", Status: 404, Configuration: 7}, ExitRefused, "unknown route: no route of configuration 7 matches host h and path /x"},
		"noOwner":        {dispatch.Explanation{Verdict: "wait", Reason: "noOwner", Status: 503, Owner: owner}, ExitRefused, "no owner: the range moves to another server"},
		"refused":        {dispatch.Explanation{Verdict: "refuse", Reason: "overload", Status: 503}, ExitRefused, "refused: overload"},
		"unknownAccount": {dispatch.Explanation{Verdict: "refuse", Reason: "unknownAccount"}, ExitRefused, "unknown account"},
	} {
		text, err := json.Marshal(c.explanation)
		require.NoError(t, err)
		body = string(text)
		code, out, errors := call("--instance", instance, "--api-key-file", keyFile, "--key", "5", "--timeout", "1500ms")
		require.Equal(t, c.code, code, name)
		require.Contains(t, errors, c.says, name)
		require.NotEmpty(t, out, name)
		code, out, _ = call("--instance", instance, "--json")
		require.Equal(t, c.code, code, name)
		require.JSONEq(t, body, out, name)
	}
	call("--instance", instance, "--api-key-file", keyFile, "--key", "5", "--timeout", "1500ms")
	require.Equal(t, "secret", asked.APIKey)
	require.Equal(t, 5, *asked.Key)
	require.EqualValues(t, 1500, asked.TimeoutMillis)

	body = "requests.served 7\n"
	code, _, errors := call("--instance", instance)
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, errors, "may run an earlier version")
	status = http.StatusServiceUnavailable
	code, _, errors = call("--instance", instance)
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, errors, "status 503")
	server.Close()
	code, _, errors = call("--instance", instance)
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, errors, "cannot be reached")
	code, _, errors = call()
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errors, "--instance is required")
	code, _, _ = call("--instance", instance, "--account", "oak", "--api-key-file", keyFile)
	require.Equal(t, ExitUsage, code)
}

// Guards against a broken response that counts as an explanation.
func TestWhereRejectsBrokenResponses(t *testing.T) {
	const length, body = "Content-Length: 32\r\n", "\r\n{\"verdict\":\"send\",\"server\":\"s1\"}"
	for name, c := range map[string]struct {
		response string
		code     int
	}{
		"whole":         {"HTTP/1.1 200 OK\r\n" + length + body, ExitSuccess},
		"withoutLength": {"HTTP/1.1 200 OK\r\n" + body, ExitSuccess},
		"status000":     {"HTTP/1.1 000 \r\n" + length + body, ExitUnknown},
		"blankName":     {"HTTP/1.1 200 OK\r\nBad Name: x\r\n" + length + body, ExitUnknown},
		"controlName":   {"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + length + body, ExitUnknown},
		"reset":         {"HTTP/1.1 200 OK\r\n" + body, ExitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				defer connection.Close()
				if r, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(connection, c.response)
				if name == "reset" {
					_ = connection.(*net.TCPConn).SetLinger(0)
				}
			}()
			stderr := &strings.Builder{}
			code := Main([]string{"where", "--host", "h", "--path", "/x", "--instance", listener.Addr().String()}, io.Discard, stderr)
			require.Equal(t, c.code, code, "%s", stderr)
		})
	}
}

// Guards against a table that leaves out what a decision was based on.
func TestExplanationAsText(t *testing.T) {
	out := &strings.Builder{}
	printExplanation(out, dispatch.Explanation{
		Instance: "a", FailureDomain: "z1", View: 9, Configuration: 3, Verdict: "send", Server: "s1", Route: "lookups", Kind: "safe", Service: "s", Account: "oak", Priority: 1,
		ObjectiveLeftMillis: 800, DeadlineLeftMillis: 3000, MaxAttempts: 2, RetriesLeft: 12,
		Admission: &dispatch.ExplainedAdmission{Share: 1, Room: 6, Demand: 2, CompletionMillis: 210, ReportAgeMillis: 340},
		Candidates: []dispatch.ExplainedServer{
			{Server: "s1", FailureDomain: "z1", IsChosen: true, Queue: 2, Slots: 6, CompletionMillis: 210, CostMillis: 225, ReportAgeMillis: 340, HasConnection: true},
			{Server: "s2", FailureDomain: "z2", Excluded: "ejected: failing", Queue: 7.5, Slots: 6, CompletionMillis: 400, FailureRate: 0.42, ReportAgeMillis: -1, LimitPerSecond: 4, LimitFreeMillis: 250},
		},
		UnlistedCandidates: 3,
	})
	golden, err := os.ReadFile("testdata/where.golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile("testdata/where.golden", []byte(out.String()), 0o644))
		return
	}
	require.NoError(t, err)
	require.Equal(t, string(golden), out.String())
}
