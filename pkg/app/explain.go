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

// logLine is what explain needs of a line; the rest is printed as it stands.
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
	// beliefsBefore is how long before a request changes of what its instance
	// believed are told.
	beliefsBefore = 5 * time.Second
	maxLogLine    = 1 << 20
)

// explain prints all lines of a request, and before them what its instance had
// learned shortly before about the servers and the service involved.
func explain(id string, logs io.Reader, out io.Writer) error {
	lines, err := readLogs(logs)
	if err != nil {
		return err
	}
	own := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.ID != id })
	if len(own) == 0 {
		return errors.Newf("explain: no line names request %q; logs hold the last lines of each instance only", id)
	}
	for _, l := range lines {
		if isBeliefOf(l, own) {
			fmt.Fprintln(out, "before: ", l.text)
		}
	}
	for _, l := range own {
		fmt.Fprintln(out, "request:", l.text)
	}
	return nil
}

// readLogs takes lines of JSON, with or without a prefix of a log collector.
func readLogs(logs io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLogLine)
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

// isBeliefOf reports whether a line tells of a change that the request met.
func isBeliefOf(l logLine, request []logLine) bool {
	first, last := request[0], request[len(request)-1]
	if l.ID != "" || l.Instance != first.Instance || l.Time.Before(first.Time.Add(-beliefsBefore)) || l.Time.After(last.Time) {
		return false
	}
	switch l.Message {
	case "configuration in force", "evacuation", "dependency lost", "dependency regained", "leader gone", "leader":
		return true
	}
	return slices.ContainsFunc(request, func(r logLine) bool {
		return l.Server != "" && l.Server == r.Server || l.Message == "owner map" && l.Service == r.Service
	})
}
