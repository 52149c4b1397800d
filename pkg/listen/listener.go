// Package listen opens listeners with the bounds of the settings: connections,
// header size and header time, and TLS whose files are read anew.
package listen

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/settings"
)

// Server is one listener with its handler.
type Server struct {
	name string
	http *http.Server
	done chan struct{}
}

// NewServer opens an address and serves it.
func NewServer(c *common.Common, name, address string, handler http.Handler, config *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	listener = netutil.LimitListener(listener, c.Settings.Limits.MaxConnections)
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &Server{
		name: name,
		http: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			MaxHeaderBytes:    c.Settings.Limits.MaxHeaderBytes,
			ReadHeaderTimeout: c.Settings.Limits.HeaderReadTimeout,
			IdleTimeout:       c.Settings.Limits.IdleTimeout,
			ErrorLog:          log.New(&countingWriter{c, name}, "", 0),
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(server.done)
		_ = server.http.Serve(listener) // always ends with ErrServerClosed or a closed listener
	}()
	return server, nil
}

// Done is closed when the listener is.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops accepting and waits for the requests under way, or until the
// context ends.
func (s *Server) Close(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	<-s.done
}

// countingWriter counts what net/http would log, such as failed handshakes.
type countingWriter struct {
	common *common.Common
	name   string
}

func (w *countingWriter) Write(line []byte) (int, error) {
	w.common.Count("listeners." + w.name + ".faults")
	w.common.Log.Debug("listener", "name", w.name, "fault", string(line))
	return len(line), nil
}

// Certificates reads TLS files anew when they change. It is safe for
// concurrent use.
type Certificates struct {
	files settings.CertificateFiles

	mu       sync.Mutex
	modified time.Time
	checked  time.Time
	pair     *tls.Certificate
	pool     *x509.CertPool
}

const certificateCheckEvery = time.Second

// NewCertificates reads the files; without any it returns nil, which makes
// plain configurations.
func NewCertificates(files settings.CertificateFiles) (*Certificates, error) {
	if !files.IsConfigured() {
		return nil, nil
	}
	c := &Certificates{files: files}
	return c, c.load()
}

func (c *Certificates) load() error {
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	pool := x509.NewCertPool()
	if c.files.Authority != "" {
		text, err := os.ReadFile(c.files.Authority)
		if err != nil {
			return errors.Wrap(err, "authority")
		}
		if !pool.AppendCertsFromPEM(text) {
			return errors.Newf("authority: %s holds no certificate", c.files.Authority)
		}
	}
	c.pair, c.pool, c.modified = &pair, pool, c.newest()
	return nil
}

func (c *Certificates) newest() time.Time {
	newest := time.Time{}
	for _, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the pair and the authorities, read anew if the files are
// newer. Files that cannot be read leave the former ones in use.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= certificateCheckEvery {
		c.checked = time.Now()
		if c.newest().After(c.modified) {
			_ = c.load() // half-written files are read again a second later
		}
	}
	return c.pair, c.pool
}

// ServerConfig returns the configuration of a listener. With an authority, the other
// side must prove itself.
func (c *Certificates) ServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	protocols := []string{"h2", "http/1.1"}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := c.current()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*pair},
			}
			if c.files.Authority != "" {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = pool
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration of a client of such a listener.
func (c *Certificates) ClientConfig() *tls.Config {
	if c == nil {
		return nil
	}
	_, pool := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
	}
}
