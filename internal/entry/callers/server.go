// Package callers serves the connections of clients over HTTP/1.1. Requests
// that a client sends before its earlier ones are answered are served at the
// same time and answered in order, which net/http's server does not do.
package callers

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// Handler answers requests.
type Handler interface {
	Serve(ctx context.Context, request dispatch.Request) backends.Answer
}

// Config of a server.
type Config struct {
	Handler Handler
	// Limits as the configuration in force has them, or defaults.
	Limits func() redwingstall.CallerLimits
	// MaxBuffered bounds the bytes of all bodies that are held at one time.
	MaxBuffered int64
	Count       func(name string)
	Log         *slog.Logger
}

// Server accepts the connections of clients.
type Server struct {
	config   Config
	listener net.Listener
	done     chan struct{}
	running  sync.WaitGroup

	// buffered is the bytes of the bodies that are held.
	buffered atomic.Int64

	mu          sync.Mutex
	connections map[*connection]bool
	isLeaving   bool
}

// NewServer opens an address.
func NewServer(address string, config Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "callers")
	}
	return &Server{config: config, listener: listener, done: make(chan struct{}), connections: map[*connection]bool{}}, nil
}

// Address that clients connect to.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Done is closed when Run has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

const acceptPause = 20 * time.Millisecond

// Run accepts connections until Close.
func (s *Server) Run() {
	defer close(s.done)
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			s.config.Log.Warn("connection not accepted", "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, raw)
		s.mu.Lock()
		s.connections[c] = true
		s.mu.Unlock()
		s.running.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.connections, c)
			s.mu.Unlock()
		})
	}
	s.running.Wait()
}

// reservation is the room that one request's body takes.
type reservation struct {
	server *Server
	bytes  int64
}

func (r *reservation) reserve(bytes int64) bool {
	if r.server.buffered.Add(bytes) > r.server.config.MaxBuffered {
		r.server.buffered.Add(-bytes)
		return false
	}
	r.bytes += bytes
	return true
}

func (r *reservation) release() { r.server.buffered.Add(-r.bytes) }

// Leave makes every answer from now on the last one of its connection.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
}

func (s *Server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeaving
}

// Close stops accepting, closes idle connections and waits until the others
// have answered, or until the context ends.
func (s *Server) Close(ctx context.Context) {
	s.Leave()
	_ = s.listener.Close()
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		for c := range s.connections {
			if !c.isBusy() || ctx.Err() != nil {
				c.stopReading()
			}
			if ctx.Err() != nil {
				_ = c.raw.Close()
			}
		}
		s.mu.Unlock()
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
	}
}

const closePoll = 10 * time.Millisecond

// defaultLimits until a configuration is known.
var defaultLimits = redwingstall.CallerLimits{
	HeaderBytes:   16 << 10,
	BodyBytes:     16 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// LimitsOf returns the limits of a configuration with defaults for what it
// leaves out.
func LimitsOf(c *redwingstall.Configuration) redwingstall.CallerLimits {
	limits := defaultLimits
	if c == nil {
		return limits
	}
	if c.Limits.HeaderBytes > 0 {
		limits.HeaderBytes = c.Limits.HeaderBytes
	}
	if c.Limits.BodyBytes > 0 {
		limits.BodyBytes = c.Limits.BodyBytes
	}
	if c.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = c.Limits.IdleTimeout
	}
	return limits
}

// statusText of a status, also of ones that net/http does not name.
func statusText(code int) string {
	if text := http.StatusText(code); text != "" {
		return text
	}
	return "Status"
}
