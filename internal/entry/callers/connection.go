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
	// pipelineDepth bounds the unanswered requests of one connection.
	pipelineDepth = 16
	// writeTimeout bounds the time to write one response to a slow client.
	writeTimeout = 20 * time.Second
	// bodyTimeout bounds the time to read one request body.
	bodyTimeout = 20 * time.Second
)

// connection is a client connection. One goroutine reads the requests, another
// writes the responses in order.
type connection struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	// slots holds the requests in order of arrival.
	slots   chan *slot
	pending atomic.Int32
	// reading is set from the first byte of a request until it is read completely.
	reading atomic.Bool
	stopped atomic.Bool
}

// slot is a request in the pipeline and its response.
type slot struct {
	answer  backends.Response
	request *http.Request
	// isLast is set if the connection closes after the response.
	isLast bool
	ready  chan struct{}
	// written is closed once the response is sent.
	written chan struct{}
}

func newConnection(s *Server, raw net.Conn) *connection {
	return &connection{server: s, raw: raw, reader: bufio.NewReader(raw), slots: make(chan *slot, pipelineDepth)}
}

// isBusy reports whether a request is being read or awaits its response.
func (c *connection) isBusy() bool { return c.pending.Load() > 0 || c.reading.Load() }

// stopReading stops reading further requests.
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
	isClientGone := c.read(ctx, closed)
	if isClientGone {
		// Cancels the requests of a disconnected client at the backend servers too.
		cancel()
	}
	close(c.slots)
	<-closed
}

// read reads requests until the connection ends. It reports whether the client
// disconnected, as opposed to a connection that closes after its last response.
func (c *connection) read(ctx context.Context, closed <-chan struct{}) (isClientGone bool) {
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
		if strings.EqualFold(head.Header.Get("Expect"), "100-continue") && !c.sendContinue(last, closed) {
			return true
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
		memory := &reservation{server: c.server}
		body, hasBody, err := readBody(c.reader, head, limits.BodyBytes, memory)
		if err != nil {
			memory.release()
			return c.reject(err)
		}
		arrived := time.Now()
		if !isRepeatable(head.Method) && !waitWritten(last, closed) {
			memory.release()
			return true
		}
		next := &slot{request: head, isLast: head.Close, ready: make(chan struct{}), written: make(chan struct{})}
		c.pending.Add(1)
		c.reading.Store(false)
		select {
		case c.slots <- next:
		case <-closed:
			memory.release()
			return true
		}
		last = next
		go func() {
			defer close(next.ready)
			defer memory.release()
			next.answer = c.server.config.Handler.Serve(ctx, toRequest(head, body, hasBody, arrived))
		}()
		if next.isLast {
			return c.awaitLastAnswer(next, closed)
		}
	}
}

// isRepeatable reports whether a method may run before earlier requests of the
// connection are answered. If one of those responses closes the connection, the
// client sends the requests behind it again.
func isRepeatable(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// waitWritten waits until a response is sent. It returns false if the connection
// closes before.
func waitWritten(s *slot, closed <-chan struct{}) bool {
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

// awaitLastAnswer waits until the last response is sent. It reports whether the
// client disconnected before that.
func (c *connection) awaitLastAnswer(last *slot, closed <-chan struct{}) (isClientGone bool) {
	readable := make(chan struct{})
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(readable)
		_, _ = c.reader.Peek(1) // the outcome is checked below
	}()
	select {
	case <-last.written:
		return false
	case <-closed:
		return true
	case <-readable:
		return c.reader.Buffered() == 0
	}
}

// sendContinue sends the status 100 (Continue) once earlier requests are answered,
// upon which the client sends its body.
func (c *connection) sendContinue(last *slot, closed <-chan struct{}) bool {
	if !waitWritten(last, closed) {
		return false
	}
	_, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err == nil
}

// endOfRead reports whether the client disconnected, as opposed to an idle
// connection that timed out.
func (c *connection) endOfRead(err error) (isClientGone bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return true
}

// reject answers a malformed or incomplete request and closes the connection. It
// reports whether the client disconnected.
func (c *connection) reject(err error) (isClientGone bool) {
	defer c.reading.Store(false)
	rejection := &statusError{}
	var timeout net.Error
	switch {
	case errors.As(err, &rejection):
	case errors.As(err, &timeout) && timeout.Timeout() && !c.stopped.Load():
		rejection = &statusError{http.StatusRequestTimeout, "timeout while reading the request"}
	default:
		return true
	}
	c.server.config.Count("requests.rejected." + fmt.Sprint(rejection.status))
	c.server.config.Log.Info("request rejected", "status", rejection.status, "reason", rejection.reason, "client", c.raw.RemoteAddr().String())
	last := &slot{answer: backends.Response{Status: rejection.status, Header: http.Header{}}, isLast: true, ready: make(chan struct{}), written: make(chan struct{})}
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

// write sends the responses in order.
func (c *connection) write() {
	for s := range c.slots {
		<-s.ready
		isLast := s.isLast || c.pending.Load() == 1 && c.server.draining()
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
	_ = s.answer.Header.Write(&text) // writes to a buffer never fail
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
