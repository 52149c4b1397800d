package eviction

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Listener holds the connections of an HTTP server in a table. The server needs [SaveConnection] and
// [Track].
type Listener struct {
	net.Listener
	table *Table
	count func(name string)
}

// NewListener returns a listener whose open connections are in a table. It calls count with a name
// for each connection that it refuses or that is closed for another one.
func NewListener(listener net.Listener, table *Table, count func(name string)) *Listener {
	return &Listener{Listener: listener, table: table, count: count}
}

// Accept waits for a connection that the table takes.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		entry := l.table.Add(time.Now(), raw.RemoteAddr().String(), func() {
			l.count("connections.cut.stalled")
			_ = raw.Close()
		})
		if entry != nil {
			return &connection{Conn: raw, entry: entry}, nil
		}
		l.count("connections.refused")
		_ = raw.Close()
	}
}

// connection records its client's progress.
type connection struct {
	net.Conn
	entry *Entry

	mu sync.Mutex
	// moved is the number of bytes since the last step.
	moved int
	// running is the number of requests that are served, and blocked how many of them read from
	// or write to the client.
	running, blocked int
}

// trackedRequest is a request that is served. It is blocked while it reads from the client, writes to
// it, or both.
type trackedRequest struct {
	connection *connection
	// blocks is the number of reads and writes that wait. The lock of the connection guards it.
	blocks int
}

// Read reads from the client.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.move(n)
	return n, err
}

// Write writes to the client.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.move(n)
	return n, err
}

// Close closes the connection.
func (c *connection) Close() error {
	c.entry.Remove()
	return c.Conn.Close()
}

func (c *connection) move(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved += bytes; c.moved >= StepBytes {
		c.moved = 0
		c.entry.Progress(time.Now())
	}
}

// begin records a request that is served.
func (c *connection) begin() *trackedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
	c.updateEntry(time.Now())
	return &trackedRequest{connection: c}
}

// updateEntry records whether the connection waits for its client: no request is served but those
// that are blocked. The caller holds the lock.
func (c *connection) updateEntry(now time.Time) {
	c.entry.SetWithin(c.running > 0)
	c.entry.SetWaiting(now, c.running == c.blocked)
}

// end records that the request has been served.
func (r *trackedRequest) end() {
	c := r.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	now := time.Now()
	c.entry.Progress(now)
	c.updateEntry(now)
}

// block records a read or write that waits for the client.
func (r *trackedRequest) block() {
	c := r.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.blocks++; r.blocks == 1 {
		c.blocked++
		c.updateEntry(time.Now())
	}
}

// unblock ends a block.
func (r *trackedRequest) unblock() {
	c := r.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.blocks--; r.blocks == 0 {
		c.blocked--
		c.updateEntry(time.Now())
	}
}

type connectionKey struct{}

// SaveConnection is the ConnContext of an HTTP server with a Listener.
func SaveConnection(ctx context.Context, raw net.Conn) context.Context {
	if secure, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = secure.NetConn()
	}
	if c, ok := raw.(*connection); ok {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	return ctx
}

// Track returns a handler that records when requests wait for their clients.
func Track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		request := c.begin()
		defer request.end()
		// The server's own request keeps its body: by the body's type the server decides how much
		// of the rest it reads before a response.
		copied := *r
		if r.Body != nil && r.Body != http.NoBody {
			body := &trackedBody{ReadCloser: r.Body, request: request}
			defer body.end()
			copied.Body = body
		}
		handler.ServeHTTP(&trackedWriter{w, request}, &copied)
	})
}

// Hold adds to the bytes that are held for the client of a request, or subtracts from them.
func Hold(ctx context.Context, bytes int64) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.entry.Hold(bytes)
	}
}

// EvictLargest is [Table.EvictLargest] for the table of a request's connection.
func EvictLargest(ctx context.Context, now time.Time, stalled time.Duration) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.entry.table.EvictLargest(now, stalled)
}

// trackedBody is a request body. From its first read to its end, the request waits for the client:
// a client that sends single bytes makes no progress by them.
type trackedBody struct {
	io.ReadCloser
	request   *trackedRequest
	once      sync.Once
	isBlocked atomic.Bool
}

// Read reads from the client.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.once.Do(func() {
		b.isBlocked.Store(true)
		b.request.block()
	})
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// Close closes the body.
func (b *trackedBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}

// end ends the wait for the client, if there is one.
func (b *trackedBody) end() {
	if b.isBlocked.CompareAndSwap(true, false) {
		b.request.unblock()
	}
}

// trackedWriter is a response whose writes wait for the client.
type trackedWriter struct {
	http.ResponseWriter
	request *trackedRequest
}

// Write writes to the client.
func (w *trackedWriter) Write(p []byte) (int, error) {
	w.request.block()
	defer w.request.unblock()
	return w.ResponseWriter.Write(p)
}

// Flush sends what is buffered.
func (w *trackedWriter) Flush() {
	w.request.block()
	defer w.request.unblock()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer, for [http.ResponseController].
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
