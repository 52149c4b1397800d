package app

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/pkg/journal"
	"github.com/redwingstall/redwingstall/pkg/operator"
)

// apiCall sends one command or query to an entry instance and prints the response.
type apiCall func(ctx context.Context, client *operator.Client, out printer) error

// selectCall returns the call that the arguments select.
func selectCall(a Arguments) (apiCall, bool) {
	for _, selectFrom := range []func(Arguments) apiCall{
		templateCall, accountCall, domainCall, serverCall, outcomeCall, otherCall,
	} {
		if call := selectFrom(a); call != nil {
			return call, true
		}
	}
	return nil, false
}

func templateCall(a Arguments) apiCall {
	switch c := a.Template; {
	case c == nil:
		return nil
	case c.Publish != nil:
		return sendFile("/v1/templates", *c.Publish)
	case c.List != nil:
		return query("/v1/templates", printNames)
	case c.Show != nil:
		return query("/v1/templates/"+operator.EscapePathSegment(c.Show.Name), printIndented)
	}
	return nil
}

func accountCall(a Arguments) apiCall {
	switch c := a.Account; {
	case c == nil:
		return nil
	case c.Set != nil:
		return sendFile("/v1/accounts", *c.Set)
	case c.List != nil:
		return query("/v1/accounts", printNames)
	case c.Show != nil:
		return query("/v1/accounts/"+operator.EscapePathSegment(c.Show.Name), printIndented)
	case c.Render != nil:
		return query("/v1/accounts/"+operator.EscapePathSegment(c.Render.Name)+"/render", printIndented)
	}
	return nil
}

func domainCall(a Arguments) apiCall {
	switch c := a.Domain; {
	case c == nil:
		return nil
	case c.TakeOut != nil:
		return command("/v1/domains/"+operator.EscapePathSegment(c.TakeOut.Name)+"/take-out", nil, 0, printCommandResult)
	case c.Return != nil:
		return command("/v1/domains/"+operator.EscapePathSegment(c.Return.Name)+"/return", nil, 0, printCommandResult)
	case c.Status != nil:
		return query("/v1/domains", printDomains)
	}
	return nil
}

func serverCall(a Arguments) apiCall {
	path := func(name *ServerNameArg, action string) string {
		return fmt.Sprintf("/v1/servers/%s/%s/%s", operator.EscapePathSegment(name.Account), operator.EscapePathSegment(name.Name), action)
	}
	switch c := a.Server; {
	case c == nil:
		return nil
	case c.List != nil:
		return query("/v1/servers", printServers)
	case c.Leave != nil:
		return command(path(c.Leave, "leave"), nil, 0, printCommandResult)
	case c.Return != nil:
		return command(path(c.Return, "return"), nil, 0, printCommandResult)
	}
	return nil
}

func outcomeCall(a Arguments) apiCall {
	path := func(name ServiceNameArg) string {
		return fmt.Sprintf("/v1/outcomes/%s/%s", operator.EscapePathSegment(name.Account), operator.EscapePathSegment(name.Service))
	}
	switch c := a.Outcome; {
	case c == nil:
		return nil
	case c.List != nil:
		return query(path(*c.List), printUnknownOutcomes)
	case c.Resolve != nil:
		return resolveOutcome(path(c.Resolve.ServiceNameArg)+"/resolve", *c.Resolve)
	}
	return nil
}

func otherCall(a Arguments) apiCall {
	switch {
	case a.Key != nil && a.Key.Locate != nil:
		c := a.Key.Locate
		key := strings.ReplaceAll(operator.EscapePathSegment(c.Key), "%2F", "/")
		return query(fmt.Sprintf("/v1/keys/%s/%s/%s", operator.EscapePathSegment(c.Account), operator.EscapePathSegment(c.Service), key), printKeyOwner)
	case a.Member != nil && a.Member.Gone != nil:
		return command("/v1/members/"+operator.EscapePathSegment(a.Member.Gone.Name)+"/gone", nil, 0, printCommandResult)
	case a.Status != nil && a.Status.Watch > 0:
		return watchStatus(a.Status.Watch)
	case a.Status != nil:
		return query("/v1/status", printStatus)
	case a.Counters != nil:
		prefix := a.Counters.Prefix
		return query("/v1/counters", func(w io.Writer, values map[string]int64) { printCounters(w, values, prefix) })
	}
	return nil
}

// query returns a call that prints the response for a path.
func query[T any](path string, render func(io.Writer, T)) apiCall {
	return func(ctx context.Context, client *operator.Client, out printer) error {
		response, err := client.Query(ctx, path)
		if err != nil {
			return err
		}
		return printResponse(out, response, render)
	}
}

// command returns a call that posts a body to a path and prints the response.
func command[T any](path string, body []byte, expected redwingstall.Revision, render func(io.Writer, T)) apiCall {
	return func(ctx context.Context, client *operator.Client, out printer) error {
		response, err := client.Command(ctx, path, body, expected)
		if err != nil {
			return err
		}
		return printResponse(out, response, render)
	}
}

// sendFile returns a command with the content of a file as its body.
func sendFile(path string, c FileCommand) apiCall {
	return func(ctx context.Context, client *operator.Client, out printer) error {
		text, err := os.ReadFile(c.File)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		path += "?file=" + operator.EscapePathSegment(filepath.Base(c.File))
		if c.Force {
			path += "&force=true"
		}
		return command(path, text, redwingstall.Revision(c.Expect), printCommandResult)(ctx, client, out)
	}
}

// resolveOutcome returns a command that records whether a request ran.
func resolveOutcome(path string, c ResolveCommand) apiCall {
	return func(ctx context.Context, client *operator.Client, out printer) error {
		if c.Ran == c.NotRun {
			return errors.Mark(errors.New("exactly one of --ran and --not-run is required"), errUsage)
		}
		body, err := json.Marshal(struct {
			Key string `json:"key"`
			Ran bool   `json:"ran"`
		}{c.Key, c.Ran})
		if err != nil {
			return err
		}
		return command(path, body, 0, func(w io.Writer, _ map[string]any) { fmt.Fprintln(w, "resolved") })(ctx, client, out)
	}
}

// watchStatus prints the status periodically until an error occurs or the program is
// terminated.
func watchStatus(interval time.Duration) apiCall {
	return func(ctx context.Context, client *operator.Client, out printer) error {
		const clearScreen = "\033[H\033[2J"
		for {
			if !out.asJSON {
				fmt.Fprint(out.out, clearScreen)
			}
			if err := query("/v1/status", printStatus)(ctx, client, out); err != nil {
				return err
			}
			time.Sleep(interval)
		}
	}
}

// clientTLS returns a TLS configuration that trusts the certificates of a PEM file, or
// nil if authority is empty.
func clientTLS(authority string) (*tls.Config, error) {
	if authority == "" {
		return nil, nil
	}
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s contains no certificate", authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

func printNames(w io.Writer, names operator.Names) {
	for _, name := range names.Names {
		fmt.Fprintln(w, name)
	}
}

func printIndented(w io.Writer, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintln(w, string(text))
}

func printCommandResult(w io.Writer, result operator.CommandResult) {
	state := "the instances are being told"
	if result.IsInEffect {
		state = "in force"
	}
	fmt.Fprintf(w, "accepted as revision %d, %s\n", result.Revision, state)
}

// printTable prints rows in aligned columns.
func printTable(w io.Writer, rows ...[]any) {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	_ = writer.Flush()
}

func printDomains(w io.Writer, domains []operator.DomainRow) {
	rows := [][]any{{"FAILURE DOMAIN", "STATE", "BY"}}
	for _, domain := range domains {
		state, cause := "in use", ""
		if domain.IsOut {
			state, cause = "out", "quiet hours"
		}
		if domain.IsTakenOut {
			cause = "operator"
		}
		rows = append(rows, []any{domain.Name, state, cause})
	}
	printTable(w, rows...)
}

func printServers(w io.Writer, servers []operator.ServerRow) {
	rows := [][]any{{"ACCOUNT", "SERVICE", "SERVER", "FAILURE DOMAIN", "ADDRESS", "NEW WORK", "ENTRIES"}}
	for _, s := range servers {
		rows = append(rows, []any{s.Account, s.Service, s.Name, s.FailureDomain, s.Address, s.IsEligible, s.Entries})
	}
	printTable(w, rows...)
}

func printKeyOwner(w io.Writer, key operator.KeyRow) {
	printTable(w, []any{"KEY", "SHARD", "OWNER", "FENCE", "STATE"}, []any{key.Key, key.Shard, key.Owner, key.Fence, key.State})
}

func printUnknownOutcomes(w io.Writer, list struct {
	Unknown []journal.UnknownOutcome `json:"unknown"`
},
) {
	rows := [][]any{{"IDEMPOTENCY KEY", "REQUEST", "STARTED"}}
	for _, row := range list.Unknown {
		rows = append(rows, []any{row.Key, row.Path, row.Started.Format(time.RFC3339)})
	}
	printTable(w, rows...)
}

func printCounters(w io.Writer, values map[string]int64, prefix string) {
	names := []string{}
	for name := range values {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	rows := [][]any{}
	for _, name := range names {
		rows = append(rows, []any{name, values[name]})
	}
	printTable(w, rows...)
}
