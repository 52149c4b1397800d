// Package scenarios_test runs scripted end-to-end scenarios: the daemon, the stand-ins and the
// operators' command run as separate processes on loopback addresses.
package scenarios_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/redwingstall/redwingstall/pkg/app"
	"github.com/redwingstall/redwingstall/pkg/standin/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"redwingstall": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":      func() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup:               setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ask":       ask,
			"await":     await,
			"awaitText": awaitText,
			"expand":    expand,
		},
	})
}

const (
	firstPort      = 23_000
	portsPerScript = 100
	// firstEphemeralPort is the lowest port that Linux assigns to outgoing connections.
	firstEphemeralPort = 32_768
)

// scriptCount is the number of scripts that were assigned ports.
var scriptCount atomic.Int64

// setUp assigns a script its own ports as $PORT1 to $PORT30. They are below the ephemeral range,
// where an outgoing connection could take them first.
func setUp(env *testscript.Env) error {
	first := firstPort + portsPerScript*int(scriptCount.Add(1))
	if first+portsPerScript > firstEphemeralPort {
		return fmt.Errorf("no ports left for %d scripts", scriptCount.Load())
	}
	for n := 1; n <= 30; n++ {
		env.Setenv(fmt.Sprintf("PORT%d", n), strconv.Itoa(first+n))
	}
	return nil
}

// expand replaces each $NAME in the files by that variable of the script's environment:
//
//	expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

// ask sends a request, expects the status and keeps the response as standard output. With a
// leading "!" it expects any other status:
//
//	ask STATUS METHOD URL [Header=value ...] [body=TEXT]
func ask(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: ask STATUS METHOD URL [Header=value ...] [body=TEXT]")
	}
	status, response, err := send(args[1], args[2], args[3:])
	ts.Check(err)
	_, _ = io.WriteString(ts.Stdout(), response)
	if (fmt.Sprint(status) == args[0]) == neg {
		ts.Fatalf("status %d\n%s", status, response)
	}
}

// send sends a request with the options Header=value and body=TEXT. It returns the status and the
// header and body as text.
func send(method, url string, options []string) (int, string, error) {
	body := ""
	header := http.Header{"Redwing-Timeout": {"10s"}}
	for _, option := range options {
		name, value, _ := strings.Cut(option, "=")
		if name == "body" {
			body = value
			continue
		}
		header.Set(name, value)
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header = header
	response, err := (&http.Client{Timeout: 30 * time.Second}).Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text := &strings.Builder{}
	_ = response.Header.Write(text)
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, text.String() + "\n" + string(content), err
}

const awaitTimeout = 60 * time.Second

// await repeats a GET request until the response has the status, or fails after awaitTimeout:
//
//	await STATUS URL [Header=value ...]
func await(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		status, _, err := send(http.MethodGet, args[1], args[2:])
		if err == nil && fmt.Sprint(status) == args[0] {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("no status %s at %s within %v", args[0], args[1], awaitTimeout)
}

// awaitText waits until the answer of one of the URLs matches a regular expression:
// awaitText REGEXP URL...
func awaitText(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		for _, url := range args[1:] {
			if _, text, err := send(http.MethodGet, url, nil); err == nil && pattern.MatchString(text) {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("no text %s at %v within %v", args[0], args[1:], awaitTimeout)
}
