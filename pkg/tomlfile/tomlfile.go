// Package tomlfile decodes TOML strictly. Each of its errors names the file, the
// line and the key.
package tomlfile

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// FieldError reports that one key is invalid.
type FieldError struct {
	File string
	// Line counts from 1; 0 means that neither the key nor its table was found.
	Line   int
	Key    string
	Reason string
}

// Error returns file:line: key: reason.
func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Reason)
}

// File is the text of one TOML file and the errors found in it. It is not safe
// for concurrent use.
type File struct {
	name string
	text string
	errs []error
}

// NewFile returns a file with this text; the name appears in errors.
func NewFile(name string, text []byte) *File {
	return &File{name: name, text: string(text)}
}

// Decode decodes the text into target, a pointer to a struct. A key that target
// does not have is an error.
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

// AddError records an error of a key, which Err returns. The key is dotted, like
// listen.callers; an index selects an element of an array of tables, as in
// services[2].name.
func (f *File) AddError(key, format string, args ...any) {
	err := &FieldError{File: f.name, Line: f.line(key), Key: key, Reason: fmt.Sprintf(format, args...)}
	f.errs = append(f.errs, err)
}

// Err returns the recorded errors as [ValidationErrors], or nil if there are none.
func (f *File) Err() error {
	if len(f.errs) == 0 {
		return nil
	}
	return &ValidationErrors{errs: f.errs}
}

// ValidationErrors is a list of errors of one file.
type ValidationErrors struct {
	errs []error
}

// Error returns the errors, one per line.
func (e *ValidationErrors) Error() string {
	lines := make([]string, 0, len(e.errs))
	for _, err := range e.errs {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors of the list.
func (e *ValidationErrors) Unwrap() []error { return e.errs }

// line returns the line of a key. If the key is absent, it returns the line of
// its table, or 0 if the table is absent, too.
func (f *File) line(key string) int {
	table, leaf := splitKey(key)
	currentTable := ""
	tableCounts := map[string]int{}
	tableLine := 0
	for i, line := range strings.Split(f.text, "\n") {
		text := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(text, "[["):
			name := f.qualify(strings.Trim(text, "[] "), tableCounts)
			tableCounts[name]++
			currentTable = fmt.Sprintf("%s[%d]", name, tableCounts[name]-1)
		case strings.HasPrefix(text, "["):
			currentTable = strings.Trim(text, "[] ")
		case currentTable == table && keyOf(text) == leaf:
			return i + 1
		}
		if currentTable != "" && (currentTable == table || currentTable == key) && tableLine == 0 {
			tableLine = i + 1
		}
	}
	return tableLine
}

// qualify adds the current index of the parent to the name of a nested array of
// tables, as in services[2].servers.
func (f *File) qualify(name string, tableCounts map[string]int) string {
	parent, leaf, nested := cutLastDot(name)
	if !nested || tableCounts[parent] == 0 {
		return name
	}
	return fmt.Sprintf("%s[%d].%s", parent, tableCounts[parent]-1, leaf)
}

func splitKey(key string) (table, leaf string) {
	parent, last, nested := cutLastDot(key)
	if !nested {
		return "", key
	}
	return parent, last
}

func cutLastDot(key string) (before, after string, found bool) {
	i := strings.LastIndex(key, ".")
	if i < 0 {
		return "", key, false
	}
	return key[:i], key[i+1:], true
}

func keyOf(line string) string {
	name, _, found := strings.Cut(line, "=")
	if !found {
		return ""
	}
	return strings.Trim(strings.TrimSpace(name), `"`)
}
