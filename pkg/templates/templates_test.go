package templates_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/pkg/templates"
)

func at(t *testing.T, text string) time.Time {
	instant, err := time.Parse(time.RFC3339, text)
	require.NoError(t, err)
	return instant
}

// The days on which Amsterdam changes its clocks are 2027-03-28 (02:00 becomes
// 03:00) and 2026-10-25 (03:00 becomes 02:00).
func TestSilentAtTheMinute(t *testing.T) {
	for _, row := range []struct {
		name, from, to string
		at             string
		silent         bool
	}{
		{"before", "22:00", "06:00", "2026-12-04T21:59:59+01:00", false},
		{"at the start", "22:00", "06:00", "2026-12-04T22:00:00+01:00", true},
		{"past midnight", "22:00", "06:00", "2026-12-05T03:00:00+01:00", true},
		{"last second", "22:00", "06:00", "2026-12-05T05:59:59+01:00", true},
		{"at the end", "22:00", "06:00", "2026-12-05T06:00:00+01:00", false},
		{"short night, end", "22:00", "06:00", "2027-03-28T06:00:00+02:00", false},
		{"short night, last second", "22:00", "06:00", "2027-03-28T05:59:59+02:00", true},
		{"long night, end", "22:00", "06:00", "2026-10-25T06:00:00+01:00", false},
		{"long night, both twos", "22:00", "06:00", "2026-10-25T02:30:00+01:00", true},
		{"start is skipped: not yet", "02:30", "05:00", "2027-03-28T01:59:59+01:00", false},
		{"start is skipped: at the change", "02:30", "05:00", "2027-03-28T03:00:00+02:00", true},
		{"end is skipped: before the change", "01:00", "02:30", "2027-03-28T01:59:59+01:00", true},
		{"end is skipped: at the change", "01:00", "02:30", "2027-03-28T03:00:00+02:00", false},
		{"start comes twice: the first", "02:30", "05:00", "2026-10-25T02:30:00+02:00", true},
		{"end comes twice: the second", "01:00", "02:30", "2026-10-25T02:29:00+01:00", true},
		{"end comes twice: over", "01:00", "02:30", "2026-10-25T02:30:00+01:00", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			window := templates.QuietHours{FailureDomain: "a", From: row.from, To: row.to, Zone: "Europe/Amsterdam"}
			require.Equal(t, row.silent, window.Covers(at(t, row.at), 0, 0))
		})
	}
}

func TestLeadAndSkewMakeTheWindowLonger(t *testing.T) {
	window := templates.QuietHours{From: "22:00", To: "06:00", Zone: "Europe/Amsterdam", Days: []string{"fri"}}
	lead, skew := time.Minute, time.Second
	require.False(t, window.Covers(at(t, "2026-12-04T21:58:58+01:00"), lead, skew))
	require.True(t, window.Covers(at(t, "2026-12-04T21:58:59+01:00"), lead, skew))
	require.True(t, window.Covers(at(t, "2026-12-05T06:00:00+01:00"), lead, skew))
	require.False(t, window.Covers(at(t, "2026-12-05T06:00:01+01:00"), lead, skew))
	require.False(t, window.Covers(at(t, "2026-12-05T23:00:00+01:00"), lead, skew), "fridays only")
}

func TestEveryDomainSilentAtOnceIsRefused(t *testing.T) {
	deployment := templates.Deployment{
		Account:  "z",
		Services: []templates.Service{{Name: "s", Servers: []templates.Server{{FailureDomain: "a"}, {FailureDomain: "b"}}}},
		QuietHours: []templates.QuietHours{
			{FailureDomain: "a", From: "22:00", To: "00:30", Zone: "Europe/Amsterdam"},
			{FailureDomain: "b", From: "00:00", To: "05:00", Zone: "Europe/Amsterdam"},
		},
	}
	err := deployment.CheckQuietHours(at(t, "2026-12-04T12:00:00Z"), 0, 0)
	silence := &templates.QuietHoursError{}
	require.True(t, errors.As(err, &silence))
	require.Equal(t, "s", silence.Service)
	deployment.QuietHours[1].From = "00:30"
	require.NoError(t, deployment.CheckQuietHours(at(t, "2026-12-04T12:00:00Z"), 0, 0))
	require.Error(t, deployment.CheckQuietHours(at(t, "2026-12-04T12:00:00Z"), time.Minute, 0), "the lead overlaps")
}

// golden compares the text with the file, or writes it if UPDATE_GOLDEN is set.
func golden(t *testing.T, name, text string) {
	file := filepath.Join("testdata", name+".golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), text)
}

func TestRefusalsNameTheirPlace(t *testing.T) {
	for name, text := range map[string]string{
		"syntax":     "name = \"a\"\nbody = [\n",
		"unknownKey": "name = \"a\"\nbody = \"x\"\ncolour = 1\n",
		"badName":    "name = \"a b\"\nbody = \"x\"\n",
		"badDefault": "name = \"a\"\nbody = \"x\"\n[parameters.n]\ntype = \"int\"\ndefault = \"many\"\n",
		"injection":  "name = \"a\"\nbody = \"x\"\n[parameters.s]\ntype = \"string\"\ndefault = \"x\\\" y\"\n",
		"badBody":    "name = \"a\"\nbody = \"{{ .missing }}\"\n",
		"loop":       "name = \"a\"\nbody = \"{{ range seq 100000 }}x{{ end }}\"\n",
		"services": "name = \"a\"\nbody = '''\n[[services]]\nname = \"s\"\nkind = \"quantum\"\n[[services.servers]]\n" +
			"name = \"x\"\naddress = \"localhost:1\"\nfailureDomain = \"d\"\nslots = 0\nconnections = 1\n'''\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := templates.ParseTemplate("file.toml", []byte(text))
			require.Error(t, err)
			golden(t, name, err.Error()+"\n")
		})
	}
}

func TestShippedDeployments(t *testing.T) {
	for name, sizes := range map[string]map[string]int{
		"zaanstreek": {"catalogue": 13, "licence": 8, "pack": 8, "dictionary": 8},
		"chevriere":  {"stops": 17, "charging": 9, "maps": 6, "notes": 6},
	} {
		text, err := os.ReadFile("../../deployments/" + name + ".toml")
		require.NoError(t, err)
		template, err := templates.ParseTemplate(name, text)
		require.NoError(t, err)
		deployment, err := template.Render(templates.Account{Name: name, Template: name})
		require.NoError(t, err)
		found := map[string]int{}
		for _, service := range deployment.Services {
			found[service.Name] = len(service.Servers)
		}
		require.Equal(t, sizes, found)
	}
}

func TestAccountsMustNotShareAddresses(t *testing.T) {
	text, err := os.ReadFile("../../deployments/zaanstreek.toml")
	require.NoError(t, err)
	template, err := templates.ParseTemplate("z", text)
	require.NoError(t, err)
	document := templates.Document{
		Templates: map[string]templates.Template{template.Name: template},
		Accounts: map[string]templates.Account{
			"one": {Name: "one", Template: template.Name},
			"two": {Name: "two", Template: template.Name},
		},
	}
	require.ErrorContains(t, document.Check(time.Now(), 0, 0, false), "belongs to account one")
	document.Accounts["two"] = templates.Account{
		Name: "two", Template: template.Name, Parameters: map[string]string{"firstPort": "30000"},
	}
	require.NoError(t, document.Check(time.Now(), 0, 0, false))
}

func FuzzParseTemplate(f *testing.F) {
	f.Add("name = \"a\"\nbody = \"x\"\n")
	f.Add("name = \"a\"\nbody = \"{{ range seq 3 }}{{ end }}\"\n[parameters.n]\ntype = \"int\"\n")
	f.Fuzz(func(_ *testing.T, text string) {
		template, err := templates.ParseTemplate("fuzz", []byte(text))
		if err == nil {
			_, _ = template.Render(templates.Account{Name: "fuzz", Parameters: map[string]string{"n": "1"}})
		}
	})
}

func FuzzParseDeployment(f *testing.F) {
	f.Add("[[services]]\nname = \"s\"\nkind = \"keyed\"\n[[services.servers]]\nname = \"x\"\n")
	f.Add("[[quietHours]]\nfrom = \"22:00\"\nto = \"06:00\"\nzone = \"Europe/Amsterdam\"\n")
	f.Fuzz(func(_ *testing.T, text string) {
		if deployment, err := templates.ParseDeployment("fuzz", strings.TrimSpace(text)); err == nil {
			_ = deployment.QuietDomains(time.Unix(1_800_000_000, 0), 0, 0)
		}
	})
}
