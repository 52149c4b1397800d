package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/node/gateway"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

const (
	// whereTimeout is far above the time that an instance takes, also a busy one.
	whereTimeout = 5 * time.Second
	// maxWhereBytes is far above an explanation with the most servers.
	maxWhereBytes = 1 << 20
)

// where asks an instance where it would send a request, and prints the answer. It returns an error
// if the request would be refused now.
func where(ctx context.Context, command WhereCommand, instance string, p printer) error {
	question, err := newQuestion(command)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	if instance == "" {
		return errors.Mark(errors.New("--instance is required: the address of an instance on a platform"), errUsage)
	}
	if _, _, err := net.SplitHostPort(instance); err != nil {
		instance = net.JoinHostPort(instance, gateway.MetricsPort)
	}
	body, err := askWhere(ctx, instance, question)
	if err != nil {
		return err
	}
	var e dispatch.Explanation
	if err := json.Unmarshal(body, &e); err != nil || e.Verdict == "" {
		return errors.Mark(errors.Newf("%s answers without an explanation; it may run an earlier version", instance), redwingstall.ErrUnavailable)
	}
	if err := printResponse(p, body, printExplanation); err != nil {
		return err
	}
	return refusalOf(e, command)
}

func newQuestion(command WhereCommand) (dispatch.Question, error) {
	q := dispatch.Question{
		Method: command.Method, Host: command.Host, Target: command.Path, Key: command.Key, Account: command.Account,
		TimeoutMillis: command.Timeout.Milliseconds(),
	}
	if !strings.HasPrefix(command.Path, "/") {
		return q, errors.New("--path must begin with /")
	}
	if command.Timeout < 0 {
		return q, errors.New("--timeout must not be negative")
	}
	if command.APIKeyFile == "" {
		return q, nil
	}
	if command.Account != "" {
		return q, errors.New("pass --account or --api-key-file, not both")
	}
	text, err := os.ReadFile(command.APIKeyFile)
	if err != nil {
		return q, err
	}
	if q.APIKey = strings.TrimSpace(string(text)); q.APIKey == "" {
		return q, errors.Newf("%s contains no API key", command.APIKeyFile)
	}
	return q, nil
}

// askWhere posts a question. An API key is in the body only, since addresses are logged.
func askWhere(ctx context.Context, instance string, question dispatch.Question) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	text, err := json.Marshal(question)
	if err != nil {
		return nil, errors.Wrap(err, "where: encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance+gateway.WherePath, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Mark(errors.Newf("%q is not the address of an instance", instance), errUsage)
	}
	client := &http.Client{CheckRedirect: http1.NoRedirects, Transport: http1.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: http1.MaxHeadBytes})}
	answer, err := client.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "instance %s cannot be reached", instance), redwingstall.ErrUnavailable)
	}
	defer answer.Body.Close()
	body, err := http1.ReadBody(answer.Body, maxWhereBytes)
	switch {
	case err != nil:
		return nil, errors.Mark(errors.Wrapf(err, "answer of instance %s", instance), redwingstall.ErrUnavailable)
	case answer.StatusCode == http.StatusBadRequest:
		return nil, errors.Mark(errors.Newf("instance %s: %s", instance, bytes.TrimSpace(body)), errUsage)
	case answer.StatusCode != http.StatusOK:
		return nil, errors.Mark(errors.Newf("instance %s: status %d: %s", instance, answer.StatusCode, bytes.TrimSpace(body)), redwingstall.ErrUnavailable)
	}
	return body, nil
}

// refusalOf returns an error if the request would be refused, or has no owner to go to now.
func refusalOf(e dispatch.Explanation, command WhereCommand) error {
	switch {
	case e.Reason == dispatch.ReasonNoRoute:
		return errors.Newf("unknown route: no route of configuration %d matches host %s and path %s", e.Configuration, command.Host, command.Path)
	case e.Reason == dispatch.ReasonNoOwner && e.Owner != nil:
		return errors.Newf("no owner: %s", e.Owner.Absence)
	case e.Reason == dispatch.ReasonUnknownAccount:
		return errors.Newf("unknown account: configuration %d has no account %s", e.Configuration, command.Account)
	case e.Verdict == dispatch.VerdictRefuse:
		return errors.Newf("refused: %s", e.Reason)
	}
	return nil
}

// printExplanation prints an explanation as text.
func printExplanation(w io.Writer, e dispatch.Explanation) {
	fmt.Fprintf(w, "instance %s in %s: %s\n", e.Instance, orNone(e.FailureDomain), verdictText(e))
	fmt.Fprintf(w, "view %d, configuration %d, %s\n\n", e.View, e.Configuration, choose(e.KnowledgeMillis < 0, "not confirmed yet", "confirmed "+millis(e.KnowledgeMillis)+" ago"))
	rows := [][]any{
		{"ROUTE", orNone(e.Route)},
		{"KIND", orNone(e.Kind)},
		{"SERVICE", orNone(e.Service)},
		{"ACCOUNT", orNone(e.Account)},
		{"PRIORITY", e.Priority},
		{"CLIENT RETURNS", e.IsReturn},
		{"OBJECTIVE IN", millis(e.ObjectiveLeftMillis)},
		{"DEADLINE IN", millis(e.DeadlineLeftMillis)},
		{"ATTEMPTS", e.MaxAttempts},
		{"RETRIES LEFT", e.RetriesLeft},
		{"QUOTA", quotaText(e)},
	}
	if e.Owner != nil {
		rows = append(rows, []any{"OWNER", strings.TrimSuffix(fmt.Sprintf("%s, %s, %s", orNone(e.Owner.Server), e.Owner.State, e.Owner.Absence), ", ")})
	}
	if a := e.Admission; a != nil {
		rows = append(rows, []any{"ADMISSION", fmt.Sprintf("%s; share %.2f of its class, room %.1f slots, demand %.1f, before it %.1f, expected in %s, from reports %s old%s",
			choose(a.Cause == "", "admitted", "refused: "+a.Cause), a.Share, a.Room, a.Demand, a.Before, millis(a.CompletionMillis), millis(a.ReportAgeMillis),
			choose(a.IsKnowledgeOutdated, " (outdated)", ""))})
	}
	printTable(w, rows...)
	if len(e.Candidates) == 0 {
		return
	}
	fmt.Fprintln(w)
	rows = [][]any{{"SERVER", "FAILURE DOMAIN", "QUEUE", "SLOTS", "EXPECTED", "COST", "FAILURES", "REPORT AGE", "LIMIT", "RESULT"}}
	for _, c := range e.Candidates {
		rows = append(rows, []any{
			c.Server, orNone(c.FailureDomain), fmt.Sprintf("%.1f", c.Queue), c.Slots, millis(c.CompletionMillis), choose(c.CostMillis > 0, millis(c.CostMillis), "-"),
			fmt.Sprintf("%.0f%%", 100*c.FailureRate), choose(c.ReportAgeMillis < 0, "-", millis(c.ReportAgeMillis)),
			choose(c.LimitPerSecond > 0, fmt.Sprintf("%.1f/s, free in %s", c.LimitPerSecond, millis(c.LimitFreeMillis)), "-"), choose(c.IsChosen, "chosen", c.Excluded),
		})
	}
	printTable(w, rows...)
	if e.UnlistedCandidates > 0 {
		fmt.Fprintf(w, "and %d more servers\n", e.UnlistedCandidates)
	}
}

func verdictText(e dispatch.Explanation) string {
	refusal := e.Reason
	if e.Status > 0 {
		refusal = fmt.Sprintf("%d, %s", e.Status, e.Reason)
	}
	if e.RetryAfterMillis > 0 {
		refusal += ", retry after " + millis(e.RetryAfterMillis)
	}
	switch {
	case e.Verdict == dispatch.VerdictSend:
		return "sends the request to " + e.Server
	case e.Verdict == dispatch.VerdictWait && e.Server != "":
		return fmt.Sprintf("asks for a permit for %s and waits up to %s, then %s", e.Server, millis(e.WaitMillis), refusal)
	case e.Verdict == dispatch.VerdictWait:
		return fmt.Sprintf("waits up to %s for an owner, then %s", millis(e.WaitMillis), refusal)
	}
	return "refuses the request: " + refusal
}

func quotaText(e dispatch.Explanation) string {
	switch {
	case !e.IsQuotaLimited:
		return "no limit"
	case !e.IsQuotaKnown:
		return "limited, credit not known without a charge"
	}
	return "limited, " + choose(strings.HasPrefix(e.Reason, dispatch.ReasonQuota), "no credit", "credit left")
}

func millis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

// orNone returns a text, or a dash in its place.
func orNone(text string) string { return choose(text == "", "-", text) }
