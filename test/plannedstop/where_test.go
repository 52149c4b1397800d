package plannedstop_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/pkg/app"
)

// Guards against a command and an instance that do not understand each other, against a question
// that is sent to a server or logged, and against metrics that it displaces.
func TestWhereAsksARunningInstance(t *testing.T) {
	d := deploy(t, longGrace, time.Millisecond)
	where := func(arguments ...string) (code int, out, errors string) {
		time.Sleep(200 * time.Millisecond) // the instance makes a few explanations a second
		stdout, stderr := &strings.Builder{}, &strings.Builder{}
		code = app.Main(append([]string{"--instance", ip, "where", "--host", "h"}, arguments...), stdout, stderr)
		return code, stdout.String(), stderr.String()
	}
	code, out, errors := where("--path", "/read/x?secret")
	require.Equal(t, app.ExitSuccess, code, errors)
	require.Contains(t, out, "sends the request to charges-1")
	code, out, _ = where("--path", "/read/x", "--json")
	require.Equal(t, app.ExitSuccess, code)
	require.Contains(t, out, `"server":"charges-1"`)
	code, _, errors = where("--path", "/none")
	require.Equal(t, app.ExitRefused, code)
	require.Contains(t, errors, "unknown route")
	require.Zero(t, d.ledger.ExecutedRequestCount())
	require.NotContains(t, d.logs.String(), "secret")
	response, err := http.Get("http://" + ip + ":9464/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), "datagrams.sent")
	require.NotContains(t, string(text), "requests.noRoute", "an explanation is not counted as a request")
}
