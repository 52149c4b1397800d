package callers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

const (
	// pipelineDepth bounds the requests of one connection that are under way.
	pipelineDepth = 16
	// writeTimeout of one answer to a client that reads slowly.
	writeTimeout = 20 * time.Second
	// bodyTimeout of a body that arrives slowly.
	bodyTimeout = 20 * time.Second
)

// connection is one client's. A reader takes requests, a writer sends answers
// in order.
type connection struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	// slots are the requests in the order that they came.
	slots   chan *slot
	pending atomic.Int32
	// reading is set from the first byte of a request until it is read whole.
	reading atomic.Bool
	stopped atomic.Bool
}

// slot is the place of one answer.
type slot struct {
	answer  backends.Answer
	request *http.Request
	// isLast closes the connection after the answer.
	isLast bool
	ready  chan struct{}
	// written is closed once the answer is sent.
	written chan struct{}
}

func newConnection(s *Server, raw net.Conn) *connection {
	return &connection{server: s, raw: raw, reader: bufio.NewReader(raw), slots: make(chan *slot, pipelineDepth)}
}

// isBusy reports whether a request is being read or under way.
func (c *connection) isBusy() bool { return c.pending.Load() > 0 || c.reading.Load() }

// stopReading ends the wait for a further request.
func (c *connection) stopReading() {
	c.stopped.Store(true)
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

func (c *connection) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.write()
		_ = c.raw.Close()
	}()
	hasLeft := c.read(ctx, closed)
	if hasLeft {
		// Work for a client that has gone is given up at the servers too.
		cancel()
	}
	close(c.slots)
	<-closed
}

// read takes requests until the connection ends. It reports whether the client
// has left, as against a connection that is closed after its last answer.
func (c *connection) read(ctx context.Context, closed <-chan struct{}) (hasLeft bool) {
	var last *slot
	for {
		limits := c.server.config.Limits()
		if c.stopped.Load() || c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) != nil {
			return false
		}
		if _, err := c.reader.Peek(1); err != nil {
			return c.endOfRead(err)
		}
		c.reading.Store(true)
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		head, err := readHead(c.reader, limits.HeaderBytes)
		if err != nil {
			return c.reject(err)
		}
		if strings.EqualFold(head.Header.Get("Expect"), "100-continue") && !c.expect(last, closed) {
			return true
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
		held := &reservation{server: c.server}
		body, hasBody, err := readBody(c.reader, head, limits.BodyBytes, held)
		if err != nil {
			held.release()
			return c.reject(err)
		}
		arrived := time.Now()
		if !isRepeatable(head.Method) && !wait(last, closed) {
			held.release()
			return true
		}
		next := &slot{request: head, isLast: head.Close, ready: make(chan struct{}), written: make(chan struct{})}
		c.pending.Add(1)
		c.reading.Store(false)
		select {
		case c.slots <- next:
		case <-closed:
			held.release()
			return true
		}
		last = next
		go func() {
			defer close(next.ready)
			defer held.release()
			next.answer = c.server.config.Handler.Serve(ctx, toRequest(head, body, hasBody, arrived))
		}()
		if next.isLast {
			return c.awaitEnd(next, closed)
		}
	}
}

// isRepeatable reports whether a method may run before the answers to earlier
// requests of its connection are sent. If one of these closes the connection,
// the client sends what came after it again.
func isRepeatable(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// wait returns once an answer is sent, or false if the connection has ended.
func wait(s *slot, closed <-chan struct{}) bool {
	if s == nil {
		return true
	}
	select {
	case <-s.written:
		return true
	case <-closed:
		return false
	}
}

// awaitEnd watches for the client's leaving while its last request runs.
func (c *connection) awaitEnd(last *slot, closed <-chan struct{}) (hasLeft bool) {
	left := make(chan struct{})
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(left)
		_, _ = c.reader.Peek(1) // any end of the wait is looked at below
	}()
	select {
	case <-last.written:
		return false
	case <-closed:
		return true
	case <-left:
		return c.reader.Buffered() == 0
	}
}

// expect tells a client to send its body.
func (c *connection) expect(last *slot, closed <-chan struct{}) bool {
	if !wait(last, closed) {
		return false
	}
	_, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err == nil
}

// endOfRead tells an idle connection that is closed from a client that left.
func (c *connection) endOfRead(err error) (hasLeft bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return true
}

// reject answers a request that cannot be read, and ends the connection.
func (c *connection) reject(err error) (hasLeft bool) {
	defer c.reading.Store(false)
	refused := &statusError{}
	var timeout net.Error
	switch {
	case errors.As(err, &refused):
	case errors.As(err, &timeout) && timeout.Timeout() && !c.stopped.Load():
		refused = &statusError{http.StatusRequestTimeout, "request not complete in time"}
	default:
		return true
	}
	c.server.config.Count("requests.rejected." + fmt.Sprint(refused.status))
	c.server.config.Log.Info("request rejected", "status", refused.status, "reason", refused.reason, "client", c.raw.RemoteAddr().String())
	last := &slot{answer: backends.Answer{Status: refused.status, Header: http.Header{}}, isLast: true, ready: make(chan struct{}), written: make(chan struct{})}
	close(last.ready)
	c.pending.Add(1)
	c.slots <- last
	return false
}

func toRequest(head *http.Request, body []byte, hasBody bool, arrived time.Time) dispatch.Request {
	path, _, _ := strings.Cut(head.RequestURI, "?")
	return dispatch.Request{
		Method: head.Method, Target: head.RequestURI, Path: path, Host: head.Host,
		Header: head.Header, Body: body, HasBody: hasBody, Arrived: arrived,
	}
}

// write sends the answers in order.
func (c *connection) write() {
	for s := range c.slots {
		<-s.ready
		isLast := s.isLast || c.pending.Load() == 1 && c.server.leaving()
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.raw.Write(encodeAnswer(s, isLast))
		c.pending.Add(-1)
		close(s.written)
		if err != nil || isLast {
			return
		}
	}
}

func encodeAnswer(s *slot, isLast bool) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", s.answer.Status, statusText(s.answer.Status))
	_ = s.answer.Header.Write(&text) // a buffer takes every write
	if s.answer.Status != http.StatusNoContent && s.answer.Status != http.StatusNotModified {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(s.answer.Body))
	}
	if isLast {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	if s.request == nil || s.request.Method != http.MethodHead {
		text.Write(s.answer.Body)
	}
	return text.Bytes()
}
