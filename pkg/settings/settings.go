// Package settings defines the settings of one entry instance: a typed struct, its
// defaults, and the checks that run before any port opens.
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

// Settings configures one entry instance. In TOML, durations are strings like
// "1500ms".
type Settings struct {
	// Name of the instance. It must be unique among the instances that run at the
	// same time.
	Name string `toml:"name"`
	// FailureDomain in which the instance runs.
	FailureDomain string `toml:"failureDomain"`
	// FailureDomains that exist; any other name is rejected.
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

// Listen holds the addresses of the three listeners, as IP:port.
type Listen struct {
	// Callers is the address for client requests and the health check.
	Callers string `toml:"callers"`
	// Operators is the address of the operators' API.
	Operators string `toml:"operators"`
	// Peers is the address for other instances.
	Peers string `toml:"peers"`
}

// Platform holds the addresses of the platform's services, as IP:port.
type Platform struct {
	// Store is the address of the store.
	Store string `toml:"store"`
	// LiveList is the address of the list of live and leaving instances.
	LiveList string `toml:"liveList"`
	// StoreTimeout bounds one call to the store or to the live list.
	StoreTimeout time.Duration `toml:"storeTimeout"`
}

// Operator configures the authentication of operators.
type Operator struct {
	// TokenFile contains the bearer token; it is read once at startup.
	TokenFile string `toml:"tokenFile"`
}

// Limits bounds the connections and requests of every listener and the duration
// of a shutdown.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `toml:"maxHeaderBytes"`
	// MaxBodyBytes bounds the body of a request, and of the response to a request of
	// an at-most-once service.
	MaxBodyBytes int64 `toml:"maxBodyBytes"`
	// MaxBufferedBytes bounds the bodies that an instance holds in all: half of it the bodies
	// of requests that may be sent again, and half the responses of at-most-once services. There
	// is always room for one of each.
	MaxBufferedBytes int64 `toml:"maxBufferedBytes"`
	// MemoryBytes is the memory of the process. If it is set, the garbage collector runs more
	// often near it, and MaxConnections and MaxBufferedBytes are lowered to what fits into it: a
	// connection for each 256 KiB, and a quarter for bodies.
	MemoryBytes int64 `toml:"memoryBytes"`
	// MaxDescriptors is the number of descriptors that the process may open. If it is set,
	// MaxConnections is lowered to a quarter of it.
	MaxDescriptors int `toml:"maxDescriptors"`
	// MaxConnections bounds the open connections of each listener. Beyond it, the one that waits
	// longest for its client is closed for a new one.
	MaxConnections int `toml:"maxConnections"`
	// HeaderReadTimeout bounds the time to read the header of a request.
	HeaderReadTimeout time.Duration `toml:"headerReadTimeout"`
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration `toml:"idleTimeout"`
	// LeaveGrace is how long a leaving instance still accepts requests, so that
	// the balancer can see its health check fail.
	LeaveGrace time.Duration `toml:"leaveGrace"`
	// ShutdownTimeout bounds the shutdown of an instance, including the requests
	// in flight.
	ShutdownTimeout time.Duration `toml:"shutdownTimeout"`
}

const (
	// bytesPerConnection is the memory for each connection from which the bound of their number
	// is derived, and connectionDescriptors the part of the descriptors, as a divisor: the
	// connections of callers and of other instances, and as many to servers and other instances.
	bytesPerConnection    = 256 * bytesPerKiB
	connectionDescriptors = 4
	// bufferedMemory is the part of the memory for bodies, as a divisor.
	bufferedMemory = 4
)

// ConnectionLimit returns the bound of the open connections of each listener.
func (l Limits) ConnectionLimit() int {
	limit := l.MaxConnections
	if l.MemoryBytes > 0 {
		limit = min(limit, int(l.MemoryBytes/bytesPerConnection))
	}
	if l.MaxDescriptors > 0 {
		limit = min(limit, l.MaxDescriptors/connectionDescriptors)
	}
	return max(limit, 1)
}

// BufferedBytes returns the bound of the bodies that an instance holds in all.
func (l Limits) BufferedBytes() int64 {
	if l.MemoryBytes <= 0 {
		return l.MaxBufferedBytes
	}
	return min(l.MaxBufferedBytes, l.MemoryBytes/bufferedMemory)
}

// Timing holds the durations of leases, voting rounds and failure detection, and
// the bounds on clock errors.
type Timing struct {
	// GrantLifetime is how long a grant stays valid after the voting round that
	// confirmed it.
	GrantLifetime time.Duration `toml:"grantLifetime"`
	// ConfirmEvery is the interval between voting rounds.
	ConfirmEvery time.Duration `toml:"confirmEvery"`
	// ExcludeAfter is how long a member may be unresponsive before a voter excludes
	// it.
	ExcludeAfter time.Duration `toml:"excludeAfter"`
	// RemoveAfter is how long a member stays excluded before it is removed from the
	// member record.
	RemoveAfter time.Duration `toml:"removeAfter"`
	// ServerLostAfter is how long a backend server may be unresponsive before it
	// counts as lost.
	ServerLostAfter time.Duration `toml:"serverLostAfter"`
	// ClockRateBound is the largest relative difference in rate between two clocks.
	ClockRateBound float64 `toml:"clockRateBound"`
	// ClockSkewBound is the largest difference between two wall clocks. It extends
	// quiet hours and delays the resolution of unknown outcomes.
	ClockSkewBound time.Duration `toml:"clockSkewBound"`
	// QuietLead is how long before quiet hours begin the failure domain stops
	// receiving new requests.
	QuietLead time.Duration `toml:"quietLead"`
}

// Policy configures timeouts, retries, hedges, shard moves and the request journal.
type Policy struct {
	// DefaultTimeout is the timeout of a request that names none.
	DefaultTimeout time.Duration `toml:"defaultTimeout"`
	// MaxTimeout is the longest timeout that a request may name.
	MaxTimeout time.Duration `toml:"maxTimeout"`
	// RetryBudget is the number of extra attempts per first attempt.
	RetryBudget float64 `toml:"retryBudget"`
	// HedgeBudget is the number of hedges per first attempt.
	HedgeBudget float64 `toml:"hedgeBudget"`
	// StallTimeout aborts a download that receives no byte for this long.
	StallTimeout time.Duration `toml:"stallTimeout"`
	// MovesPerTick bounds the number of shards and hot keys of one service that
	// start to move off live servers in one tick.
	MovesPerTick int `toml:"movesPerTick"`
	// JournalRetention is how long an idempotency key is remembered.
	JournalRetention time.Duration `toml:"journalRetention"`
	// JournalMaxAnswerBytes bounds the size of a response that is recorded for
	// replay to retries.
	JournalMaxAnswerBytes int `toml:"journalMaxAnswerBytes"`
}

// Log configures the format and the level of the log.
type Log struct {
	// Format is text or json.
	Format string `toml:"format"`
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// TLS holds the certificate files of two listeners. A listener without files does
// not use TLS.
type TLS struct {
	Operators CertificateFiles `toml:"operators"`
	Peers     CertificateFiles `toml:"peers"`
}

// CertificateFiles names PEM files, which are reloaded when they change.
type CertificateFiles struct {
	// Certificate is the file of the listener's own certificate.
	Certificate string `toml:"certificate"`
	// Key is the file of the certificate's private key.
	Key string `toml:"key"`
	// Authority is the file of the certificate authority that must have signed the
	// certificates of the other side.
	Authority string `toml:"authority"`
}

// IsConfigured reports whether any of the files is set.
func (c CertificateFiles) IsConfigured() bool {
	return c.Certificate != "" || c.Key != "" || c.Authority != ""
}

const (
	bytesPerKiB = 1 << 10
	bytesPerMiB = 1 << 20
)

// Default returns the settings that apply where a file sets no value.
func Default() Settings {
	return Settings{
		Platform: Platform{StoreTimeout: time.Second},
		Limits: Limits{
			MaxHeaderBytes:    16 * bytesPerKiB,
			MaxBodyBytes:      4 * bytesPerMiB,
			MaxBufferedBytes:  256 * bytesPerMiB,
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
			JournalMaxAnswerBytes: 2 * bytesPerKiB,
		},
		Log: Log{Format: "text", Level: "info"},
	}
}

// Load reads and checks a settings file. Each error names the file, the line and
// the key.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse decodes and checks settings; the name appears in errors.
func Parse(name string, text []byte) (Settings, error) {
	settings := Default()
	file := tomlfile.NewFile(name, text)
	if err := file.Decode(&settings); err != nil {
		return Settings{}, err
	}
	settings.check(file)
	return settings, file.Err()
}

// Encode returns the settings as TOML, including the defaults.
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
		file.AddError("operator.tokenFile", "must name the file that contains the operators' token")
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

// CheckAddress records an error unless address is an IP number with a port.
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
	for _, setting := range positive {
		if setting.value <= 0 {
			file.AddError(setting.key, "%v is not a positive duration", setting.value)
		}
	}
	if s.Timing.ClockSkewBound < 0 {
		file.AddError("timing.clockSkewBound", "%v is negative", s.Timing.ClockSkewBound)
	}
	if s.Timing.GrantLifetime < 3*s.Timing.ConfirmEvery {
		file.AddError("timing.grantLifetime", "must be at least three times timing.confirmEvery")
	}
	if s.Policy.DefaultTimeout > s.Policy.MaxTimeout {
		file.AddError("policy.defaultTimeout", "must not exceed policy.maxTimeout")
	}
}

func (s Settings) checkCounts(file *tomlfile.File) {
	positive := []struct {
		key   string
		value int64
	}{
		{"limits.maxHeaderBytes", int64(s.Limits.MaxHeaderBytes)},
		{"limits.maxBodyBytes", s.Limits.MaxBodyBytes},
		{"limits.maxBufferedBytes", s.Limits.MaxBufferedBytes},
		{"limits.maxConnections", int64(s.Limits.MaxConnections)},
		{"policy.movesPerTick", int64(s.Policy.MovesPerTick)},
		{"policy.journalMaxAnswerBytes", int64(s.Policy.JournalMaxAnswerBytes)},
	}
	for _, setting := range positive {
		if setting.value <= 0 {
			file.AddError(setting.key, "%d is not positive", setting.value)
		}
	}
	// Zero means not set.
	if s.Limits.MemoryBytes < 0 {
		file.AddError("limits.memoryBytes", "%d is negative", s.Limits.MemoryBytes)
	}
	if s.Limits.MaxDescriptors < 0 {
		file.AddError("limits.maxDescriptors", "%d is negative", s.Limits.MaxDescriptors)
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
		file.AddError(table+".certificate", "certificate and key must be set together")
	}
	if table == "tls.peers" && files.Authority == "" {
		file.AddError(table+".authority", "must be set, because peers authenticate each other")
	}
}
