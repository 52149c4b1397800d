// Package tomlfile decodes TOML strictly and names the file, the line and the
// key of everything that it refuses.
package tomlfile

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// FieldError is a refusal of one key.
type FieldError struct {
	File string
	// Line counts from 1; 0 means that the key is absent.
	Line   int
	Key    string
	Reason string
}

// Error renders file:line: key: reason.
func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Reason)
}

// File is the text of one TOML file and the refusals found in it.
type File struct {
	name     string
	text     string
	problems []error
}

// NewFile returns a file of the name and text given.
func NewFile(name string, text []byte) *File {
	return &File{name: name, text: string(text)}
}

// Decode fills the target and refuses keys that the target does not have.
func (f *File) Decode(target any) error {
	meta, err := toml.Decode(f.text, target)
	if err != nil {
		return f.syntaxError(err)
	}
	for _, key := range meta.Undecoded() {
		f.AddError(key.String(), "unknown key")
	}
	return f.Err()
}

func (f *File) syntaxError(err error) error {
	parse := toml.ParseError{}
	if errors.As(err, &parse) {
		return &FieldError{File: f.name, Line: parse.Position.Line, Key: parse.LastKey, Reason: parse.Message}
	}
	return errors.Wrapf(err, "%s", f.name)
}

// AddError records a refusal of the key, which is dotted like listen.callers.
// An index names an element of an array of tables, as in services[2].name.
func (f *File) AddError(key, format string, args ...any) {
	problem := &FieldError{File: f.name, Line: f.line(key), Key: key, Reason: fmt.Sprintf(format, args...)}
	f.problems = append(f.problems, problem)
}

// Err joins the refusals, or is nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	return &ValidationErrors{problems: f.problems}
}

// ValidationErrors is a list of refusals, a line each.
type ValidationErrors struct {
	problems []error
}

// Error renders one refusal a line.
func (e *ValidationErrors) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, problem := range e.problems {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the refusals.
func (e *ValidationErrors) Unwrap() []error { return e.problems }

// line finds the line of a key, or of the table that lacks it, or 0.
func (f *File) line(key string) int {
	table, leaf := splitKey(key)
	current := ""
	counts := map[string]int{}
	tableLine := 0
	for i, line := range strings.Split(f.text, "\n") {
		text := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(text, "[["):
			name := f.qualify(strings.Trim(text, "[] "), counts)
			counts[name]++
			current = fmt.Sprintf("%s[%d]", name, counts[name]-1)
		case strings.HasPrefix(text, "["):
			current = strings.Trim(text, "[] ")
		case current == table && keyOf(text) == leaf:
			return i + 1
		}
		if current != "" && (current == table || current == key) && tableLine == 0 {
			tableLine = i + 1
		}
	}
	return tableLine
}

// qualify gives a nested array of tables the index of its parent.
func (f *File) qualify(name string, counts map[string]int) string {
	parent, leaf, nested := cutLast(name)
	if !nested || counts[parent] == 0 {
		return name
	}
	return fmt.Sprintf("%s[%d].%s", parent, counts[parent]-1, leaf)
}

func splitKey(key string) (table, leaf string) {
	parent, last, nested := cutLast(key)
	if !nested {
		return "", key
	}
	return parent, last
}

func cutLast(key string) (before, after string, found bool) {
	at := strings.LastIndex(key, ".")
	if at < 0 {
		return "", key, false
	}
	return key[:at], key[at+1:], true
}

func keyOf(line string) string {
	name, _, found := strings.Cut(line, "=")
	if !found {
		return ""
	}
	return strings.Trim(strings.TrimSpace(name), `"`)
}
