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
	text     string
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
	case "configuration in force", "evacuation", "dependency lost", "dependency regained", "leader gone", "leader":
		return true
	}
	return slices.ContainsFunc(requestLines, func(r logLine) bool {
		return l.Server != "" && l.Server == r.Server || l.Message == "owner map" && l.Service == r.Service
	})
}
