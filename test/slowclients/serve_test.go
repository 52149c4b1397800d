package slowclients_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	callersAddress   = ip + ":8741"
	operatorsAddress = ip + ":8742"
	peersAddress     = ip + ":8743"
	serveStore       = ip + ":8744"
	serveLiveList    = ip + ":8745"
	serveBackend     = "127.86.0.2:8746"
)

// serveSettings configures the instance. Its other limits have their defaults.
var serveSettings = `
name = "entry1"
failureDomain = "a"
failureDomains = ["a"]
[listen]
callers = "` + callersAddress + `"
operators = "` + operatorsAddress + `"
peers = "` + peersAddress + `"
[platform]
store = "` + serveStore + `"
liveList = "` + serveLiveList + `"
[operator]
tokenFile = "TOKENFILE"
[limits]
` + fmt.Sprintf("memoryBytes = %d\nmaxDescriptors = %d\n", memoryMB<<20, maxFDs)

const serveTemplate = `
name = "t"
body = """
[[services]]
name = "files"
kind = "replicated"
[[services.servers]]
name = "f1"
address = "` + serveBackend + `"
failureDomain = "a"
slots = 64
connections = 300
coldLimit = 64
"""
`

// startServe starts an instance of redwingstall serve with one server.
func startServe(t *testing.T) *process {
	run := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(run, name)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	token, template := write("token", "secret"), write("template.toml", serveTemplate)
	account := write("account.toml", "name = \"z\"\ntemplate = \"t\"\n")
	settings := write("entry1.toml", strings.ReplaceAll(serveSettings, "TOKENFILE", token))
	standin, err := buildStandin()
	require.NoError(t, err)
	program, err := buildRedwingstall()
	require.NoError(t, err)
	start(t, standin, "platform", "--store", serveStore, "--live-list", serveLiveList)
	start(t, standin, "backends", "--template", template)
	p := start(t, program, "serve", "--config", settings)
	operate := func(arguments ...string) bool {
		arguments = append([]string{"--instance", operatorsAddress, "--token-file", token}, arguments...)
		return exec.Command(program, arguments...).Run() == nil
	}
	require.Eventually(t, func() bool { return operate("template", "publish", template) }, waitLimit, 100*time.Millisecond)
	require.Eventually(t, func() bool { return operate("account", "set", account) }, waitLimit, 100*time.Millisecond)
	require.Eventually(t, func() bool { return askServe() == http.StatusOK }, waitLimit, 50*time.Millisecond)
	return p
}

// askServe sends an ordinary request on a new connection and returns the status of its response,
// or 0.
func askServe() int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+callersAddress+"/v1/z/files/short", http.NoBody)
	if err != nil {
		return 0
	}
	request.Close = true
	return statusOf(request)
}

// serveRequest returns a request of a slow client.
func serveRequest(method, id string, isLong bool, lines string) string {
	query := ""
	if isLong {
		query = fmt.Sprint("?size=", longResponse)
	}
	return fmt.Sprintf("%s /v1/z/files/%s%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n%s\r\n", method, id, query, id, lines)
}

// Guards against the memory and the descriptors that slow clients take of an instance that
// serves callers, and against callers that are never accepted behind them.
func TestServeWithstandsSlowClients(t *testing.T) {
	for name, behaviors := range cases {
		t.Run(name, func(t *testing.T) {
			startServe(t).withstand(t, crowd{target{callersAddress, serveRequest}, behaviors}, askServe)
		})
	}
}

// Guards against slow clients of the operators' address and of that for other instances.
func TestServeWithstandsSlowClientsOfOperators(t *testing.T) {
	for name, address := range map[string]string{"operators": operatorsAddress, "peers": peersAddress} {
		t.Run(name, func(t *testing.T) {
			request := func(method, _ string, _ bool, lines string) string {
				return method + " /v1/status HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n"
			}
			startServe(t).withstand(t, crowd{target{address, request}, cases["all"]}, askServe)
		})
	}
}
