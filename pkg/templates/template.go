// Package templates holds what operators write: templates with typed
// parameters, client accounts that fill them in, and the configuration document
// that the platform's store keeps. It renders and checks them without I/O.
package templates

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"text/template"
	"time"

	"github.com/redwingstall/redwingstall/pkg/tomlfile"
)

// Template describes the services behind a client account.
type Template struct {
	Name       string               `toml:"name" json:"name"`
	Parameters map[string]Parameter `toml:"parameters" json:"parameters,omitempty"`
	// Body is TOML with actions of package text/template.
	Body string `toml:"body" json:"body"`
}

// Parameter declares one value that an account may set.
type Parameter struct {
	// Type is one of int, bool, string, duration, strings.
	Type string `toml:"type" json:"type"`
	// Default holds where an account is silent; without one it must be set.
	Default     *string `toml:"default" json:"default,omitempty"`
	Description string  `toml:"description" json:"description,omitempty"`
}

// Account is a template's name and the values of its parameters.
type Account struct {
	Name       string            `toml:"name" json:"name"`
	Template   string            `toml:"template" json:"template"`
	Parameters map[string]string `toml:"parameters" json:"parameters,omitempty"`
}

// MaxTemplateBytes bounds the text of one template.
const MaxTemplateBytes = 128 << 10

var (
	namePattern  = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,62}$`)
	valuePattern = regexp.MustCompile(`^[a-zA-Z0-9_.:/+-]{0,255}$`)
)

// ParseTemplate decodes and checks a template; the file name stands in errors.
// It renders the template once if every parameter has a default.
func ParseTemplate(file string, text []byte) (Template, error) {
	parsed := Template{}
	source := tomlfile.NewFile(file, text)
	if len(text) > MaxTemplateBytes {
		source.AddError("body", "the template has %d bytes, above %d", len(text), MaxTemplateBytes)
		return parsed, source.Err()
	}
	if err := source.Decode(&parsed); err != nil {
		return parsed, err
	}
	parsed.check(source)
	if err := source.Err(); err != nil {
		return parsed, err
	}
	if !parsed.hasAllDefaults() {
		return parsed, nil
	}
	_, err := parsed.Render(Account{Name: parsed.Name, Template: parsed.Name})
	return parsed, err
}

// ParseAccount decodes and checks an account file, without its template.
func ParseAccount(file string, text []byte) (Account, error) {
	parsed := Account{}
	source := tomlfile.NewFile(file, text)
	if err := source.Decode(&parsed); err != nil {
		return parsed, err
	}
	if !namePattern.MatchString(parsed.Name) {
		source.AddError("name", "%q is not a name of letters, digits, '_' and '-'", parsed.Name)
	}
	if parsed.Template == "" {
		source.AddError("template", "must name a template")
	}
	return parsed, source.Err()
}

func (t Template) check(source *tomlfile.File) {
	if !namePattern.MatchString(t.Name) {
		source.AddError("name", "%q is not a name of letters, digits, '_' and '-'", t.Name)
	}
	if strings.TrimSpace(t.Body) == "" {
		source.AddError("body", "must not be empty")
	}
	for _, name := range sortedKeys(t.Parameters) {
		parameter := t.Parameters[name]
		key := "parameters." + name
		if !namePattern.MatchString(name) {
			source.AddError(key, "is not a name of letters, digits, '_' and '-'")
		}
		if parameter.Default == nil {
			parameter.checkType(source, key)
			continue
		}
		if _, err := parameter.parse(*parameter.Default); err != nil {
			source.AddError(key+".default", "%v", err)
		}
	}
}

func (p Parameter) checkType(source *tomlfile.File, key string) {
	switch p.Type {
	case "int", "bool", "string", "duration", "strings":
	default:
		source.AddError(key+".type", "%q is none of int, bool, string, duration, strings", p.Type)
	}
}

func (t Template) hasAllDefaults() bool {
	for _, parameter := range t.Parameters {
		if parameter.Default == nil {
			return false
		}
	}
	return true
}

// parse turns a value's text into its type. Text is limited to characters that
// need no quoting in TOML, so that a value cannot add structure to a body.
func (p Parameter) parse(text string) (any, error) {
	switch p.Type {
	case "int":
		return strconv.Atoi(text)
	case "bool":
		return strconv.ParseBool(text)
	case "duration":
		duration, err := time.ParseDuration(text)
		return duration.String(), err
	case "string":
		return text, checkText(text)
	case "strings":
		return parseList(text)
	}
	return nil, fmt.Errorf("type %q is none of int, bool, string, duration, strings", p.Type)
}

func parseList(text string) ([]string, error) {
	parts := strings.Split(text, ",")
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
		if err := checkText(parts[i]); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

func checkText(text string) error {
	if valuePattern.MatchString(text) {
		return nil
	}
	return fmt.Errorf("%q has characters other than letters, digits and _.:/+-", text)
}

// Render fills the template in for an account and checks the result.
func (t Template) Render(account Account) (Deployment, error) {
	text, err := t.RenderText(account)
	if err != nil {
		return Deployment{}, err
	}
	return ParseDeployment(account.Name, text)
}

// RenderText returns the filled-in TOML of the body.
func (t Template) RenderText(account Account) (string, error) {
	values, err := t.values(account)
	if err != nil {
		return "", err
	}
	body, err := template.New(t.Name).Option("missingkey=error").Funcs(functions()).Parse(t.Body)
	if err != nil {
		return "", &RenderError{Template: t.Name, Account: account.Name, Reason: err.Error()}
	}
	text := strings.Builder{}
	if err := body.Execute(&limitedWriter{target: &text, left: 8 * MaxTemplateBytes}, values); err != nil {
		return "", &RenderError{Template: t.Name, Account: account.Name, Reason: err.Error()}
	}
	return text.String(), nil
}

// RenderError is a body or a parameter that cannot be filled in.
type RenderError struct {
	Template string
	Account  string
	Reason   string
}

// Error names the template and the account.
func (e *RenderError) Error() string {
	return fmt.Sprintf("template %s for account %s: %s", e.Template, e.Account, e.Reason)
}

func (t Template) values(account Account) (map[string]any, error) {
	values := map[string]any{"account": account.Name}
	for _, name := range sortedKeys(account.Parameters) {
		if _, declared := t.Parameters[name]; !declared {
			return nil, &RenderError{t.Name, account.Name, fmt.Sprintf("parameter %q is not declared", name)}
		}
	}
	for _, name := range sortedKeys(t.Parameters) {
		parameter := t.Parameters[name]
		text, set := account.Parameters[name]
		if !set && parameter.Default == nil {
			return nil, &RenderError{t.Name, account.Name, fmt.Sprintf("parameter %q must be set", name)}
		}
		if !set {
			text = *parameter.Default
		}
		value, err := parameter.parse(text)
		if err != nil {
			return nil, &RenderError{t.Name, account.Name, fmt.Sprintf("parameter %q: %v", name, err)}
		}
		values[name] = value
	}
	return values, nil
}

func functions() template.FuncMap {
	return template.FuncMap{
		"add": func(a, b int) int { return a + b },
		"mul": func(a, b int) int { return a * b },
		"mod": func(a, b int) int { return a % b },
		"seq": sequence,
		"pick": func(list []string, i int) string {
			return list[i%len(list)]
		},
		"size": func(list []string, i int) (int, error) {
			return strconv.Atoi(list[i])
		},
	}
}

const maxSequence = 4096

// sequence returns 0..count-1.
func sequence(count int) ([]int, error) {
	if count < 0 || count > maxSequence {
		return nil, fmt.Errorf("seq %d is not between 0 and %d", count, maxSequence)
	}
	numbers := make([]int, count)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers, nil
}

// limitedWriter refuses text beyond a size, since a body may hold loops.
type limitedWriter struct {
	target *strings.Builder
	left   int
}

func (w *limitedWriter) Write(text []byte) (int, error) {
	if len(text) > w.left {
		return 0, fmt.Errorf("the filled-in body has more than %d bytes", 8*MaxTemplateBytes)
	}
	w.left -= len(text)
	return w.target.Write(text)
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
