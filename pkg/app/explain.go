package app

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/access/accounts"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// logLine holds the fields of a log line that explain uses. The line is printed
// unchanged.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	Server   string    `json:"server"`
	// The rest is set in refusals by client account.
	Cause         string `json:"cause"`
	Account       string `json:"account"`
	Configuration int64  `json:"configuration"`
	AgeMillis     int64  `json:"knowledgeAgeMillis"`
	MaxAgeMillis  int64  `json:"maxKnowledgeAgeMillis"`
	RetryMillis   int64  `json:"retryAfterMillis"`
	text          string
}

// accessMessage is the message of a refusal by client account.
const accessMessage = "access refused"

// accessCauses say why a request was refused by client account.
var accessCauses = map[string]string{
	accounts.CauseNoKey:         "401: the request has no API key, and its route does not allow anonymous requests",
	accounts.CauseUnreadableKey: "401: the request's credential is no API key of the scheme Bearer, or is there twice",
	accounts.CauseUnknownKey:    "401: no client account of the configuration holds the request's API key",
	accounts.CauseNewKey:        "503: no client account holds the request's API key, which may be newer than what the instance knew",
	accounts.CauseOldKnowledge:  "503: the instance could not know whether the client account still holds the API key",
	dispatch.ReasonQuota:        "429: the client account has no credit left",
}

// accessCause returns the sentence about a refusal by client account, or an empty one.
func (l logLine) accessCause() string {
	cause := accessCauses[l.Cause]
	if l.Message != accessMessage || cause == "" {
		return ""
	}
	if l.Account != "" {
		cause += fmt.Sprintf(" (account %q)", l.Account)
	}
	cause += fmt.Sprintf("; configuration %d, confirmed %d ms before the request arrived", l.Configuration, l.AgeMillis)
	if l.Cause == accounts.CauseOldKnowledge {
		cause += fmt.Sprintf(", at most %d ms count", l.MaxAgeMillis)
	}
	if l.RetryMillis > 0 {
		cause += fmt.Sprintf("; Retry-After %d ms", l.RetryMillis)
	}
	return cause
}

const (
	// stateChangeWindow is how long before a request explain looks for state changes
	// that its instance logged.
	stateChangeWindow = 5 * time.Second
	maxLineBytes      = 1 << 20
)

// explain prints all log lines of a request. Before them, it prints the state changes
// of the servers and the service involved that the instance logged shortly before and
// during the request.
func explain(id string, logs io.Reader, out io.Writer) error {
	lines, err := readLogs(logs)
	if err != nil {
		return err
	}
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.ID != id })
	if len(requestLines) == 0 {
		return errors.Newf("explain: no log line names request %q; the logs contain only the last lines of each instance", id)
	}
	for _, l := range lines {
		if isRelatedStateChange(l, requestLines) {
			fmt.Fprintln(out, "before: ", l.text)
		}
	}
	for _, l := range requestLines {
		fmt.Fprintln(out, "request:", l.text)
		if cause := l.accessCause(); cause != "" {
			fmt.Fprintln(out, "cause:  ", cause)
		}
	}
	return nil
}

// readLogs returns the JSON log lines, sorted by time. It skips a prefix that a log
// collector adds and ignores lines that are not JSON.
func readLogs(logs io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	lines := []logLine{}
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := logLine{text: text[start:]}
		if json.Unmarshal([]byte(l.text), &l) == nil {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, errors.Wrap(scanner.Err(), "explain")
}

// isRelatedStateChange reports whether a line logs a state change of the request's
// instance that may have affected the request.
func isRelatedStateChange(l logLine, requestLines []logLine) bool {
	first, last := requestLines[0], requestLines[len(requestLines)-1]
	if l.ID != "" || l.Instance != first.Instance || l.Time.Before(first.Time.Add(-stateChangeWindow)) || l.Time.After(last.Time) {
		return false
	}
	switch l.Message {
	case "configuration in force", "record cannot be decoded", "no client accounts any more, requests need no key", "evacuation", "dependency lost", "dependency regained", "leader gone", "leader":
		return true
	}
	return slices.ContainsFunc(requestLines, func(r logLine) bool {
		return l.Server != "" && l.Server == r.Server || l.Message == "owner map" && l.Service == r.Service
	})
}
