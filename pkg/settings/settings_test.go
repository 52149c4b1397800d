package settings_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/pkg/settings"
)

const settingsPage = "../../docs/SETTINGS.md"

// TestSettingsPage keeps docs/SETTINGS.md as the typed settings say;
// UPDATE_GOLDEN writes it anew.
func TestSettingsPage(t *testing.T) {
	page := "# Settings\n\nMade from `pkg/settings`; `UPDATE_GOLDEN=1 go test ./pkg/settings` writes it anew.\n" +
		"Durations are written like `\"1500ms\"`. An unknown key is refused.\n\n" +
		"| key | default | meaning |\n|---|---|---|\n" +
		strings.Join(rows(reflect.ValueOf(settings.Default()), "", comments(t)), "")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.WriteFile(settingsPage, []byte(page), 0o644))
	}
	want, err := os.ReadFile(settingsPage)
	require.NoError(t, err)
	require.Equal(t, string(want), page)
}

// comments returns the doc comment of each field, by Type.Field.
func comments(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	require.NoError(t, err)
	found := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isType := node.(*ast.TypeSpec)
		if !isType {
			return true
		}
		if body, isStruct := spec.Type.(*ast.StructType); isStruct {
			for _, field := range body.Fields.List {
				for _, name := range field.Names {
					found[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
				}
			}
		}
		return true
	})
	return found
}

func rows(value reflect.Value, prefix string, comments map[string]string) []string {
	lines := []string{}
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			lines = append(lines, rows(value.Field(i), key+".", comments)...)
			continue
		}
		text := fmt.Sprint(value.Field(i))
		if text == "" || text == "[]" {
			text = "none"
		}
		comment := comments[value.Type().Name()+"."+field.Name]
		lines = append(lines, fmt.Sprintf("| `%s` | %s | %s |\n", key, text, comment))
	}
	return lines
}

func FuzzParse(f *testing.F) {
	f.Add("name = \"a\"\n[listen]\ncallers = \"127.0.0.1:1\"\n")
	f.Add("[[tls]]\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = settings.Parse("fuzz", []byte(text))
	})
}
