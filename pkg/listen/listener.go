// Package listen opens HTTP listeners that enforce the configured limits on
// connections, header size and header read time. It reloads TLS certificates when
// their files change.
package listen

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/entry/sockets"
	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/settings"
)

const (
	// maxStreams bounds the concurrent requests of one HTTP/2 connection.
	maxStreams = 100
	// receiveBuffer is the size in bytes of what is received of the bodies of an HTTP/2 connection
	// before it is read. The default is 1 MB for each connection and each stream.
	receiveBuffer = 64 << 10
)

// Server serves one handler on one listener.
type Server struct {
	name  string
	http  *http.Server
	table *eviction.Table
	done  chan struct{}
}

// NewServer listens on an address and serves the handler in the background. The
// name identifies the listener in counters, logs and errors. A nil TLS
// configuration serves plain HTTP.
func NewServer(c *common.Common, name, address string, handler http.Handler, config *tls.Config) (*Server, error) {
	listener, err := sockets.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	table := eviction.NewTable(c.Settings.Limits.ConnectionLimit())
	listener = eviction.NewListener(listener, table, func(event string) { c.Count("listeners." + name + "." + event) })
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &Server{
		name:  name,
		table: table,
		http: &http.Server{
			Handler:     eviction.Track(handler),
			ConnContext: eviction.SaveConnection,
			Protocols:   protocols,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams:          maxStreams,
				MaxReceiveBufferPerConnection: receiveBuffer,
				MaxReceiveBufferPerStream:     receiveBuffer,
			},
			MaxHeaderBytes:    c.Settings.Limits.MaxHeaderBytes,
			ReadHeaderTimeout: c.Settings.Limits.HeaderReadTimeout,
			IdleTimeout:       c.Settings.Limits.IdleTimeout,
			ErrorLog:          log.New(&errorLogWriter{c, name}, "", 0),
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(server.done)
		_ = server.http.Serve(listener) // always returns ErrServerClosed or the error of a closed listener
	}()
	go server.report(c)
	return server, nil
}

const (
	// reportInterval is the time between two updates of the metrics of connections, and
	// reportLogInterval the least time between two log lines about closed ones.
	reportInterval    = time.Second
	reportLogInterval = 10 * time.Second
)

// report updates the metrics of connections until the server has stopped. It logs which client
// holds the most if connections were closed for others.
func (s *Server) report(c *common.Common) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	logged, loggedAt := int64(0), time.Time{}
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		open, waiting, evicted := s.table.Counts()
		largest := s.table.Largest(now)
		for name, value := range map[string]int64{
			"open": int64(open), "waitedFor": int64(waiting), "largest.bytes": largest.Bytes, "largest.stalledMillis": largest.Stalled.Milliseconds(),
		} {
			metrics.GetOrRegisterGauge("listeners."+s.name+"."+name, c.Metrics).Update(value)
		}
		if evicted > logged && now.Sub(loggedAt) >= reportLogInterval {
			c.Log.Warn("connections closed for others", "listener", s.name, "closed", evicted-logged, "open", open, "limit", s.table.Limit(),
				"waitedFor", waiting, "largestClient", largest.Client, "largestBytes", largest.Bytes, "largestStalledMillis", largest.Stalled.Milliseconds())
			logged, loggedAt = evicted, now
		}
	}
}

// Done returns a channel that is closed when the server has stopped accepting
// connections.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops accepting connections and waits for requests in flight. When the
// context ends first, it closes their connections.
func (s *Server) Close(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	<-s.done
}

// errorLogWriter receives the error log of net/http, for example failed TLS
// handshakes. It counts each line and logs it at debug level.
type errorLogWriter struct {
	common *common.Common
	name   string
}

func (w *errorLogWriter) Write(line []byte) (int, error) {
	w.common.Count("listeners." + w.name + ".faults")
	w.common.Log.Debug("listener", "name", w.name, "fault", string(line))
	return len(line), nil
}

// Certificates holds a TLS certificate and its authorities, and reloads them when
// their files change. It is safe for concurrent use.
type Certificates struct {
	files settings.CertificateFiles

	mu            sync.Mutex
	loadedModTime time.Time
	lastCheck     time.Time
	certificate   *tls.Certificate
	authorities   *x509.CertPool
}

// certificateCheckInterval is the minimum time between two checks of the files.
const certificateCheckInterval = time.Second

// NewCertificates loads the files. If none are configured it returns nil, whose
// methods return nil configurations: connections without TLS.
func NewCertificates(files settings.CertificateFiles) (*Certificates, error) {
	if !files.IsConfigured() {
		return nil, nil
	}
	c := &Certificates{files: files}
	return c, c.load()
}

func (c *Certificates) load() error {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	authorities := x509.NewCertPool()
	if c.files.Authority != "" {
		pemData, err := os.ReadFile(c.files.Authority)
		if err != nil {
			return errors.Wrap(err, "authority")
		}
		if !authorities.AppendCertsFromPEM(pemData) {
			return errors.Newf("authority: %s holds no certificate", c.files.Authority)
		}
	}
	c.certificate, c.authorities, c.loadedModTime = &certificate, authorities, c.latestModTime()
	return nil
}

func (c *Certificates) latestModTime() time.Time {
	latest := time.Time{}
	for _, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the authorities, reloaded if a file is newer.
// If loading fails, the previous ones stay in use.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) >= certificateCheckInterval {
		c.lastCheck = time.Now()
		if c.latestModTime().After(c.loadedModTime) {
			_ = c.load() // a partly written file fails here and is read again at the next check
		}
	}
	return c.certificate, c.authorities
}

// ServerConfig returns the TLS configuration of a listener, or nil without TLS. If
// an authority is configured, clients must present a certificate that it signed.
func (c *Certificates) ServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	protocols := []string{"h2", "http/1.1"}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := c.current()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*certificate},
			}
			if c.files.Authority != "" {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = authorities
			}
			return config, nil
		},
	}
}

// ClientTLSConfig returns the TLS configuration of a client of such a listener, or nil
// without TLS.
func (c *Certificates) ClientTLSConfig() *tls.Config {
	if c == nil {
		return nil
	}
	_, authorities := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := c.current()
			return certificate, nil
		},
	}
}
