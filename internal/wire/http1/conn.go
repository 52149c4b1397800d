package http1

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection to a server whose reader gets an error after a reset, also if a write met the
// reset first. The kernel reports it to one call only. If that is the write of a request, the next
// read returns io.EOF, which would be the end of a response without a length. (RFC 9112, section 8.)
type Conn struct {
	net.Conn

	// mu is held during each write.
	mu sync.Mutex
	// lost is the error of the write that found the connection lost.
	lost error
}

// NewConn returns a Conn that reads from and writes to a connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads from the connection. It returns io.EOF only if the server has ended the stream.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.lostByWrite(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// lostByWrite returns the error of a write that found the connection lost. It ends a write in
// progress, which may have met the error and not returned it yet. After the end of the stream no
// response can follow.
func (c *Conn) lostByWrite() error {
	if !c.mu.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	return c.lost
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordError(err)
	return n, err
}

// WriteBuffers writes several buffers with as few system calls as possible.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.recordError(err)
	return err
}

// recordError records the error of a write, unless the stream from the server may have ended
// properly: EPIPE means that it had ended before the connection was reset, and a deadline says
// nothing about it. The caller holds the lock.
func (c *Conn) recordError(err error) {
	if err == nil || c.lost != nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.lost = errors.Wrap(err, "connection lost during the request")
}

// SyscallConn returns the raw connection. It returns an error if the connection has none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T has no raw connection", c.Conn)
	}
	return raw.SyscallConn()
}
