// Package callers serves client connections over HTTP/1.1. Pipelined requests run
// concurrently and are answered in order, which net/http's server does not do.
package callers

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/entry/sockets"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

// Handler serves requests.
type Handler interface {
	Serve(ctx context.Context, request dispatch.Request) backends.Response
}

// Config is the configuration of a server.
type Config struct {
	Handler Handler
	// Limits returns the limits of the active configuration, or the defaults.
	Limits func() redwingstall.CallerLimits
	// MaxBuffered bounds the total bytes of the requests in memory, and of the connections that
	// take ConnectionMemory bytes each. Connections are accepted above it, too.
	MaxBuffered      int64
	ConnectionMemory int64
	// MaxConnections bounds the open connections. Zero means no bound. Of those that wait for their
	// clients, the one without progress for longest is closed for a new one.
	MaxConnections int
	// IsShortOfMemory reports whether responses wait for the memory of others. It may be nil.
	IsShortOfMemory func() bool
	Count           func(name string)
	Log             *slog.Logger
}

// Server accepts client connections.
type Server struct {
	config   Config
	listener net.Listener
	done     chan struct{}
	running  sync.WaitGroup

	// requests is the context of all requests.
	requests       context.Context
	cancelRequests context.CancelFunc

	// table decides which connections are closed.
	table *eviction.Table

	// buffered is the total bytes of the requests in memory.
	buffered atomic.Int64
	// open is the number of open connections.
	open atomic.Int64

	// mu is locked before the lock of a connection.
	mu          sync.Mutex
	connections map[*connection]bool
	// isDraining is set if each connection closes after its last pending response.
	isDraining atomic.Bool
	// isClosing is set if no further connections are accepted, but those of the backlog.
	isClosing atomic.Bool
	// closingSince is when that began, in Unix nanoseconds.
	closingSince atomic.Int64
}

// Listen returns a server that listens on the address.
func Listen(address string, config Config) (*Server, error) {
	listener, err := sockets.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "callers")
	}
	return NewServer(listener, config), nil
}

// NewServer returns a server that takes connections from a listener and closes it.
func NewServer(listener net.Listener, config Config) *Server {
	if config.MaxConnections <= 0 {
		config.MaxConnections = math.MaxInt
	}
	s := &Server{
		config: config, listener: listener, done: make(chan struct{}), connections: map[*connection]bool{},
		table: eviction.NewTable(config.MaxConnections),
	}
	s.requests, s.cancelRequests = context.WithCancel(context.Background())
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

const acceptRetryDelay = 20 * time.Millisecond

// Run accepts connections until Close, and returns when all are closed.
func (s *Server) Run() {
	defer close(s.done)
	isRepeated := false
	for {
		raw, err := s.listener.Accept()
		if err != nil && s.isClosing.Load() {
			// The first time-out may come from a pause of the process.
			if isRepeated || !s.limitAccepting() {
				break
			}
			isRepeated = true
			continue
		}
		if err != nil {
			s.config.Log.Warn("cannot accept client connection", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		isRepeated = false
		c := newConnection(s, raw)
		if c.entry = s.table.Add(c.acceptedAt, raw.RemoteAddr().String(), func() { s.evict(raw) }); c.entry == nil {
			s.config.Count("connections.refused")
			_ = raw.Close()
			continue
		}
		s.mu.Lock()
		s.connections[c] = true
		s.mu.Unlock()
		s.open.Add(1)
		s.running.Go(func() {
			c.serve()
			c.entry.Remove()
			s.open.Add(-1)
			s.mu.Lock()
			delete(s.connections, c)
			s.mu.Unlock()
		})
	}
	_ = s.listener.Close()
	s.running.Wait()
}

// evict closes a connection that the table has chosen.
func (s *Server) evict(raw net.Conn) {
	s.config.Count("connections.cut.stalled")
	_ = raw.Close()
}

// Counts returns the number of open connections, of those that wait for their clients, and of those
// that were closed for others since the start.
func (s *Server) Counts() (open, waiting int, evicted int64) { return s.table.Counts() }

// Largest returns the connection that holds the most.
func (s *Server) Largest(now time.Time) eviction.Holder { return s.table.Largest(now) }

// reservation is the memory reserved for one request.
type reservation struct {
	server *Server
	entry  *eviction.Entry
	bytes  int64
}

func (r *reservation) reserve(bytes int64) bool {
	s := r.server
	if s.buffered.Add(bytes)+s.open.Load()*s.config.ConnectionMemory > s.config.MaxBuffered {
		s.buffered.Add(-bytes)
		s.table.EvictLargest(time.Now(), slowWriteTime)
		return false
	}
	r.bytes += bytes
	r.entry.Hold(bytes)
	return true
}

func (r *reservation) release() {
	if r.bytes != 0 {
		r.server.buffered.Add(-r.bytes)
		r.entry.Hold(-r.bytes)
	}
}

func (s *Server) isShortOfMemory() bool {
	return s.config.IsShortOfMemory != nil && s.config.IsShortOfMemory()
}

// Drain starts to drain the server: it closes each connection after the last pending
// response.
func (s *Server) Drain() { s.isDraining.Store(true) }

// Close stops accepting and reading further requests, and waits until pending requests
// are answered. When the context ends, it cancels them, which their handler answers, and
// closes the connections that remain after the answer timeout.
func (s *Server) Close(ctx context.Context) {
	s.Drain()
	s.stopAccepting()
	defer s.cancelRequests()
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	canceledAt := time.Time{}
	for {
		now := time.Now()
		if ctx.Err() != nil && canceledAt.IsZero() {
			s.cancelRequests()
			canceledAt = now
		}
		s.closeConnections(now, !canceledAt.IsZero() && now.Sub(canceledAt) >= AnswerTimeout)
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
	}
}

// AnswerTimeout bounds the time to answer the requests that are canceled by a stop.
const AnswerTimeout = 200 * time.Millisecond

// closeConnections ends the connections that have read their last request, or all.
func (s *Server) closeConnections(now time.Time, isAll bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.stopWaiting(now)
		if isAll {
			_ = c.raw.Close()
		}
	}
}

const (
	// backlogTimeout is how long the server waits for a further connection that a client
	// opened just before the server stops. Closing the listener would reset it.
	backlogTimeout = 10 * time.Millisecond
	// maxBacklogTime bounds the time for which connections are accepted after that.
	maxBacklogTime = 200 * time.Millisecond
)

func (s *Server) stopAccepting() {
	s.closingSince.Store(time.Now().UnixNano())
	s.isClosing.Store(true)
	if !s.limitAccepting() {
		_ = s.listener.Close()
	}
}

// limitAccepting bounds the wait for the next connection. It returns false if there is
// no time left.
func (s *Server) limitAccepting() bool {
	since := time.Unix(0, s.closingSince.Load())
	limited, ok := s.listener.(interface{ SetDeadline(t time.Time) error })
	return ok && time.Since(since) < maxBacklogTime && limited.SetDeadline(time.Now().Add(backlogTimeout)) == nil
}

const closePollInterval = 10 * time.Millisecond

// defaultLimits apply until a configuration is known, and to limits that it does not
// set.
var defaultLimits = redwingstall.CallerLimits{
	HeaderBytes:   16 << 10,
	BodyBytes:     16 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// LimitsWithDefaults returns the limits of a configuration, with defaults for limits that are
// not set.
func LimitsWithDefaults(c *redwingstall.Configuration) redwingstall.CallerLimits {
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

// statusText returns the reason phrase of a status, also for codes unknown to
// net/http.
func statusText(code int) string {
	if text := http.StatusText(code); text != "" {
		return text
	}
	return "Status"
}
