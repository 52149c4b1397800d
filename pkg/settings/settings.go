// Package settings holds the settings of one entry instance: one typed struct,
// its defaults in one function, and the checks made before any port opens.
package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/pkg/tomlfile"
)

// Settings of one entry instance. Durations are written like "1500ms".
type Settings struct {
	// Name of the instance, unique among the instances that run at one time.
	Name string `toml:"name"`
	// FailureDomain that the instance stands in.
	FailureDomain string `toml:"failureDomain"`
	// FailureDomains that exist; every other name is refused.
	FailureDomains []string `toml:"failureDomains"`

	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Operator Operator `toml:"operator"`
	Limits   Limits   `toml:"limits"`
	Timing   Timing   `toml:"timing"`
	Policy   Policy   `toml:"policy"`
	Log      Log      `toml:"log"`
	TLS      TLS      `toml:"tls"`
}

// Listen has the addresses of the three listeners, as IP:port.
type Listen struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// Platform has the addresses of the platform's services, as IP:port.
type Platform struct {
	Store    string `toml:"store"`
	LiveList string `toml:"liveList"`
	// StoreTimeout bounds one call of the store.
	StoreTimeout time.Duration `toml:"storeTimeout"`
}

// Operator has the operators' access.
type Operator struct {
	// TokenFile holds the bearer token; it is read once at the start.
	TokenFile string `toml:"tokenFile"`
}

// Limits bound what a peer of any listener may ask for.
type Limits struct {
	MaxHeaderBytes    int           `toml:"maxHeaderBytes"`
	MaxBodyBytes      int64         `toml:"maxBodyBytes"`
	MaxConnections    int           `toml:"maxConnections"`
	HeaderReadTimeout time.Duration `toml:"headerReadTimeout"`
	IdleTimeout       time.Duration `toml:"idleTimeout"`
	// LeaveGrace is how long a leaving instance still takes requests, while the
	// balancer sees its health check fail.
	LeaveGrace time.Duration `toml:"leaveGrace"`
	// ShutdownTimeout bounds what is under way when an instance leaves.
	ShutdownTimeout time.Duration `toml:"shutdownTimeout"`
}

// Timing has the periods of leases, votes and moves.
type Timing struct {
	// GrantLifetime is how long a right outlives the round that confirmed it.
	GrantLifetime time.Duration `toml:"grantLifetime"`
	// ConfirmEvery is the period of the voting rounds.
	ConfirmEvery time.Duration `toml:"confirmEvery"`
	// ExcludeAfter is the silence after which a voter excludes a member.
	ExcludeAfter time.Duration `toml:"excludeAfter"`
	// RemoveAfter is the exclusion after which a member leaves the record.
	RemoveAfter time.Duration `toml:"removeAfter"`
	// ServerLostAfter is the silence after which a backend server is lost.
	ServerLostAfter time.Duration `toml:"serverLostAfter"`
	// ClockRateBound is the largest difference in rate between two clocks.
	ClockRateBound float64 `toml:"clockRateBound"`
	// ClockSkewBound is the largest difference between two wall clocks; it
	// matters to quiet hours only.
	ClockSkewBound time.Duration `toml:"clockSkewBound"`
	// QuietLead is how long before quiet hours work starts to leave.
	QuietLead time.Duration `toml:"quietLead"`
}

// Policy has the choices on the request path.
type Policy struct {
	DefaultTimeout time.Duration `toml:"defaultTimeout"`
	MaxTimeout     time.Duration `toml:"maxTimeout"`
	// RetryBudget is the number of extra attempts per first attempt.
	RetryBudget float64 `toml:"retryBudget"`
	// HedgeBudget is the number of hedges per first attempt.
	HedgeBudget float64 `toml:"hedgeBudget"`
	// StallTimeout ends a download that brings no byte for so long.
	StallTimeout time.Duration `toml:"stallTimeout"`
	// MovesPerTick bounds the shards of a service that a tick sets moving.
	MovesPerTick int `toml:"movesPerTick"`
	// JournalRetention is how long an idempotency key is remembered.
	JournalRetention time.Duration `toml:"journalRetention"`
	// JournalMaxAnswerBytes bounds the answer that is recorded for retries.
	JournalMaxAnswerBytes int `toml:"journalMaxAnswerBytes"`
}

// Log chooses the log's format and level.
type Log struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// TLS has the certificate files of two listeners; without them they are plain.
type TLS struct {
	Operators CertificateFiles `toml:"operators"`
	Peers     CertificateFiles `toml:"peers"`
}

// CertificateFiles names PEM files, which are read anew when they change.
type CertificateFiles struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority signs the certificates of the other side.
	Authority string `toml:"authority"`
}

// IsConfigured reports whether any of the files is named.
func (c CertificateFiles) IsConfigured() bool {
	return c.Certificate != "" || c.Key != "" || c.Authority != ""
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the settings that hold where a file is silent.
func Default() Settings {
	return Settings{
		Platform: Platform{StoreTimeout: time.Second},
		Limits: Limits{
			MaxHeaderBytes:    16 * kibibyte,
			MaxBodyBytes:      4 * mebibyte,
			MaxConnections:    4096,
			HeaderReadTimeout: 5 * time.Second,
			IdleTimeout:       time.Minute,
			LeaveGrace:        3 * time.Second,
			ShutdownTimeout:   5 * time.Minute,
		},
		Timing: Timing{
			GrantLifetime:   1500 * time.Millisecond,
			ConfirmEvery:    300 * time.Millisecond,
			ExcludeAfter:    time.Second,
			RemoveAfter:     2 * time.Second,
			ServerLostAfter: time.Second,
			ClockRateBound:  0.001,
			ClockSkewBound:  500 * time.Millisecond,
			QuietLead:       time.Minute,
		},
		Policy: Policy{
			DefaultTimeout:        2 * time.Second,
			MaxTimeout:            10 * time.Minute,
			RetryBudget:           0.2,
			HedgeBudget:           0.05,
			StallTimeout:          5 * time.Second,
			MovesPerTick:          32,
			JournalRetention:      24 * time.Hour,
			JournalMaxAnswerBytes: 2 * kibibyte,
		},
		Log: Log{Format: "text", Level: "info"},
	}
}

// Load reads and checks a settings file. Every refusal names its place.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse decodes and checks settings; the name stands in the refusals.
func Parse(name string, text []byte) (Settings, error) {
	settings := Default()
	file := tomlfile.NewFile(name, text)
	if err := file.Decode(&settings); err != nil {
		return Settings{}, err
	}
	settings.check(file)
	return settings, file.Err()
}

// Encode writes the settings as TOML, defaults included.
func (s Settings) Encode() (string, error) {
	text := strings.Builder{}
	err := toml.NewEncoder(&text).Encode(s)
	return text.String(), errors.Wrap(err, "settings")
}

func (s Settings) check(file *tomlfile.File) {
	s.checkIdentity(file)
	s.checkAddresses(file)
	s.checkDurations(file)
	s.checkCounts(file)
	s.checkLog(file)
	checkCertificates(file, "tls.operators", s.TLS.Operators)
	checkCertificates(file, "tls.peers", s.TLS.Peers)
}

func (s Settings) checkIdentity(file *tomlfile.File) {
	if s.Name == "" || strings.ContainsAny(s.Name, "/@ ") {
		file.AddError("name", "must be set, without spaces, '/' or '@'")
	}
	if s.Operator.TokenFile == "" {
		file.AddError("operator.tokenFile", "must name the file of the operators' token")
	}
	for _, domain := range s.FailureDomains {
		if domain == s.FailureDomain {
			return
		}
	}
	file.AddError("failureDomain", "unknown failure domain %q, the file lists %q", s.FailureDomain, s.FailureDomains)
}

func (s Settings) checkAddresses(file *tomlfile.File) {
	CheckAddress(file, "listen.callers", s.Listen.Callers)
	CheckAddress(file, "listen.operators", s.Listen.Operators)
	CheckAddress(file, "listen.peers", s.Listen.Peers)
	CheckAddress(file, "platform.store", s.Platform.Store)
	CheckAddress(file, "platform.liveList", s.Platform.LiveList)
}

// CheckAddress refuses what is not an IP number with a port.
func CheckAddress(file *tomlfile.File, key, address string) {
	if address == "" {
		file.AddError(key, "missing; it must be an IP number with a port, like 192.0.2.1:8080")
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		file.AddError(key, "%q is not an IP number with a port", address)
	}
}

func (s Settings) checkDurations(file *tomlfile.File) {
	positive := []struct {
		key   string
		value time.Duration
	}{
		{"platform.storeTimeout", s.Platform.StoreTimeout},
		{"limits.headerReadTimeout", s.Limits.HeaderReadTimeout},
		{"limits.idleTimeout", s.Limits.IdleTimeout},
		{"limits.leaveGrace", s.Limits.LeaveGrace},
		{"limits.shutdownTimeout", s.Limits.ShutdownTimeout},
		{"timing.grantLifetime", s.Timing.GrantLifetime},
		{"timing.confirmEvery", s.Timing.ConfirmEvery},
		{"timing.excludeAfter", s.Timing.ExcludeAfter},
		{"timing.removeAfter", s.Timing.RemoveAfter},
		{"timing.serverLostAfter", s.Timing.ServerLostAfter},
		{"timing.quietLead", s.Timing.QuietLead},
		{"policy.defaultTimeout", s.Policy.DefaultTimeout},
		{"policy.maxTimeout", s.Policy.MaxTimeout},
		{"policy.stallTimeout", s.Policy.StallTimeout},
		{"policy.journalRetention", s.Policy.JournalRetention},
	}
	for _, row := range positive {
		if row.value <= 0 {
			file.AddError(row.key, "%v is not a positive duration", row.value)
		}
	}
	if s.Timing.ClockSkewBound < 0 {
		file.AddError("timing.clockSkewBound", "%v is negative", s.Timing.ClockSkewBound)
	}
	if s.Timing.GrantLifetime < 3*s.Timing.ConfirmEvery {
		file.AddError("timing.grantLifetime", "must be at least three times timing.confirmEvery")
	}
	if s.Policy.DefaultTimeout > s.Policy.MaxTimeout {
		file.AddError("policy.defaultTimeout", "is above policy.maxTimeout")
	}
}

func (s Settings) checkCounts(file *tomlfile.File) {
	positive := []struct {
		key   string
		value int64
	}{
		{"limits.maxHeaderBytes", int64(s.Limits.MaxHeaderBytes)},
		{"limits.maxBodyBytes", s.Limits.MaxBodyBytes},
		{"limits.maxConnections", int64(s.Limits.MaxConnections)},
		{"policy.movesPerTick", int64(s.Policy.MovesPerTick)},
		{"policy.journalMaxAnswerBytes", int64(s.Policy.JournalMaxAnswerBytes)},
	}
	for _, row := range positive {
		if row.value <= 0 {
			file.AddError(row.key, "%d is not positive", row.value)
		}
	}
	checkFraction(file, "timing.clockRateBound", s.Timing.ClockRateBound)
	checkFraction(file, "policy.retryBudget", s.Policy.RetryBudget)
	checkFraction(file, "policy.hedgeBudget", s.Policy.HedgeBudget)
}

func checkFraction(file *tomlfile.File, key string, value float64) {
	if value < 0 || value > 1 {
		file.AddError(key, "%v is not between 0 and 1", value)
	}
}

func (s Settings) checkLog(file *tomlfile.File) {
	if s.Log.Format != "text" && s.Log.Format != "json" {
		file.AddError("log.format", "%q is neither \"text\" nor \"json\"", s.Log.Format)
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		file.AddError("log.level", "%q is none of debug, info, warn, error", s.Log.Level)
	}
}

func checkCertificates(file *tomlfile.File, table string, files CertificateFiles) {
	if !files.IsConfigured() {
		return
	}
	if files.Certificate == "" || files.Key == "" {
		file.AddError(table+".certificate", "certificate and key go together")
	}
	if table == "tls.peers" && files.Authority == "" {
		file.AddError(table+".authority", "peers prove themselves to each other, so it must be set")
	}
}
