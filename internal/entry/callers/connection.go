package callers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
	"github.com/redwingstall/redwingstall/internal/entry/eviction"
	"github.com/redwingstall/redwingstall/internal/traffic/dispatch"
)

const (
	// pipelineDepth bounds the unanswered requests of one connection.
	pipelineDepth = 16
	// writeTimeout bounds the time in which a client accepts eviction.StepBytes of a response.
	writeTimeout = 20 * time.Second
	// slowWriteTime is the time after which a client counts as slow to read its response.
	slowWriteTime = 2 * time.Second
	// pipelinedMemory is what a request takes behind another one of its connection, in bytes: a
	// goroutine, the header and a short response. If there is no memory for it, it is read after
	// the responses to the earlier ones are sent.
	pipelinedMemory = 32 << 10
	// maxCopiedBody is the size in bytes up to which a body is written in one piece with its head.
	maxCopiedBody = 16 << 10
	// bodyTimeout bounds the time to read the buffered part of a request body, and the wait for
	// each eviction.StepBytes of the rest.
	bodyTimeout = 20 * time.Second
	// lingerTimeout bounds how long a connection is read after its last response.
	// Closing it with unread bytes would reset it, which can destroy the response.
	lingerTimeout = time.Second
	// deliveryTime is the time after which a response counts as received by the client.
	deliveryTime = 100 * time.Millisecond
	// maxDiscarded bounds the bytes read after the last response. Those discarded before it
	// are bounded by the time of the pending requests.
	maxDiscarded = 4 << 20
	// firstRequestTimeout is how long a new connection is kept open for its first
	// request while the server stops.
	firstRequestTimeout = 250 * time.Millisecond
	// lastReadTimeout is how long an idle connection is read once more while the server
	// stops, for a request that arrived just before.
	lastReadTimeout = 5 * time.Millisecond
)

// connection is a client connection. One goroutine reads the requests, another
// writes the responses in order.
type connection struct {
	server     *Server
	raw        net.Conn
	reader     *bufio.Reader
	acceptedAt time.Time
	// entry is the place among the connections that may be closed for others.
	entry *eviction.Entry
	// slots holds the requests in order of arrival.
	slots chan *slot

	mu sync.Mutex
	// pending is the number of requests that were read and have no response yet.
	pending int
	// undecided is the number of pending requests of which it is not yet decided whether
	// their response ends the connection.
	undecided int
	// isReading is set from the first byte of a request until it is read completely, or
	// until it is answered.
	isReading bool
	// isStreaming is set while the rest of a body is read, and isWriting while a response is
	// written: the connection waits for its client then.
	isStreaming, isWriting bool
	// hasRequest is set from the first byte of the first request.
	hasRequest bool
	// isStopped is set if no further request is waited for.
	isStopped bool
	// writtenAt is when the last response was written, or zero.
	writtenAt time.Time
	// isClosing is set before a response is sent that announces the end of the
	// connection. Its client sends the requests behind it again, so none of them may run.
	isClosing bool
}

// slot is a request in the pipeline and its response.
type slot struct {
	answer  backends.Response
	request *http.Request
	// isLast is set if the connection closes after the response.
	isLast bool
	// isStreamed is set if the rest of the body is read while the request runs.
	isStreamed bool
	ready      chan struct{}
	// written is closed once the response is sent.
	written chan struct{}
}

func newConnection(s *Server, raw net.Conn) *connection {
	c := &connection{
		server: s, raw: raw, acceptedAt: time.Now(), slots: make(chan *slot, pipelineDepth),
	}
	c.reader = bufio.NewReader(&stepReader{source: raw, connection: c})
	return c
}

// stepReader records the progress of a client that sends, unless it has to read first.
type stepReader struct {
	source     io.Reader
	connection *connection
	// received is the number of bytes since the last step.
	received int
}

// Read reads from the connection.
func (r *stepReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.received += n; r.received >= eviction.StepBytes {
		r.received = 0
		r.connection.recordReceived()
	}
	return n, err
}

// recordReceived records a step of the client, unless a response is written to it: what it sends
// meanwhile is no progress of that.
func (c *connection) recordReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWriting {
		c.entry.Progress(time.Now())
	}
}

// updateEntry records whether the connection is idle and whether it waits for its client. The caller holds the lock.
func (c *connection) updateEntry() {
	c.entry.SetWithin(c.pending > 0 || c.isReading)
	c.entry.SetWaiting(time.Now(), c.pending == 0 || c.isWriting || c.isStreaming)
}

// stopWaiting stops waiting for further requests, unless a request is being read, the
// first one is still expected, or a response is being sent that does not announce the
// close. Clients that pipeline may never be idle.
func (c *connection) stopWaiting(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isExpected := !c.hasRequest && now.Sub(c.acceptedAt) < firstRequestTimeout
	isUnannounced := c.pending > 0 && c.undecided == 0 && !c.isClosing
	if c.isReading || c.isStopped || isExpected || isUnannounced {
		return
	}
	c.isStopped = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

func (c *connection) serve() {
	ctx, cancel := context.WithCancel(c.server.requests)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.write()
		c.closeGracefully()
	}()
	isClientGone := c.read(ctx, closed)
	if isClientGone {
		// Cancels the requests of a disconnected client at the backend servers too.
		cancel()
	}
	close(c.slots)
	<-closed
	c.discard()
	_ = c.raw.Close()
}

// closeGracefully announces the end of the connection to the client and bounds the
// time for which it is still read. An idle connection is closed at once: a request that
// crosses the close is reset, so that its client need not wait.
func (c *connection) closeGracefully() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || c.isDelivered(time.Now()) || half.CloseWrite() != nil {
		_ = c.raw.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopped, c.isClosing = true, true
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// isDelivered reports whether the client has received all responses.
func (c *connection) isDelivered(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.writtenAt) >= deliveryTime
}

// discard reads what the client still sends, until it closes the connection or the
// linger timeout ends.
func (c *connection) discard() {
	_, _ = io.CopyN(io.Discard, c.reader, maxDiscarded) // the connection ends with any error
}

// read reads requests until the connection ends. It reports whether the client
// disconnected, as opposed to a connection that closes after its last response.
func (c *connection) read(ctx context.Context, closed <-chan struct{}) (isClientGone bool) {
	var last *slot
	for {
		limits := c.server.config.Limits()
		if err := c.awaitRequest(limits.IdleTimeout, limits.HeaderTimeout); err != nil {
			return isDisconnect(err) || c.hasPending() && c.awaitLastAnswer(last, closed)
		}
		place := &reservation{server: c.server, entry: c.entry}
		if c.hasPending() && !place.reserve(pipelinedMemory) {
			if !waitWritten(last, closed) {
				return true
			}
			_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // the client did not cause the wait
		}
		memory := &reservation{server: c.server, entry: c.entry}
		head, err := readHead(c.reader, limits.HeaderBytes, memory)
		if err != nil {
			memory.release()
			place.release()
			return c.reject(err, closed)
		}
		if strings.EqualFold(head.Header.Get("Expect"), "100-continue") && !c.sendContinue(last, closed) {
			memory.release()
			place.release()
			return true
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
		body, err := readBody(c.reader, head, limits.BodyBytes, memory)
		if err != nil {
			memory.release()
			place.release()
			return c.reject(err, closed)
		}
		if body.rest != nil {
			body.rest.extend = c.extendReadDeadline
		}
		arrived := time.Now()
		next := &slot{request: head, isLast: head.Close, isStreamed: body.rest != nil, ready: make(chan struct{}), written: make(chan struct{})}
		if !isRepeatable(head.Method) && !waitWritten(last, closed) || !c.enqueue(next, closed) {
			memory.release()
			place.release()
			return true
		}
		last = next
		go func() {
			c.answer(ctx, next, body, arrived)
			body = requestBody{}
			memory.release()
			held := next.answer.HeldBytes()
			c.entry.Hold(held)
			close(next.ready)
			select {
			case <-next.written:
			case <-closed:
			}
			next.answer.Release()
			c.entry.Hold(-held)
			place.release()
			// The slot is referenced until the next request of the connection.
			next.answer = backends.Response{}
		}()
		if next.isStreamed {
			<-next.ready // the body is read until then
		}
		if next.isLast {
			return c.awaitLastAnswer(next, closed)
		}
	}
}

var errStopped = errors.New("callers: the server stops")

// awaitRequest waits for the first byte of a request, and then sets the deadline for its
// header. It returns errStopped if the server stops meanwhile, or drains while responses
// to earlier requests are undecided.
func (c *connection) awaitRequest(idle, header time.Duration) error {
	if err := c.setIdleDeadline(idle); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if isTimeout(err) && c.lastRead() {
		err = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return errStopped
	}
	if err != nil {
		return err
	}
	if c.undecided > 0 && c.server.isDraining.Load() {
		// The connection closes after the last pending response, which never comes if a
		// client keeps sending. It sends this request again elsewhere, since one of the
		// undecided responses announces the close.
		return errStopped
	}
	c.isReading, c.hasRequest = true, true
	c.updateEntry()
	return c.raw.SetReadDeadline(time.Now().Add(header))
}

// setIdleDeadline bounds the wait for the next request.
func (c *connection) setIdleDeadline(idle time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStopped {
		return errStopped
	}
	return c.raw.SetReadDeadline(time.Now().Add(idle))
}

// lastRead reports whether a request has arrived on a connection whose wait ended.
func (c *connection) lastRead() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(lastReadTimeout))
	_, err := c.reader.Peek(1)
	return err == nil
}

// enqueue adds a request to the pipeline. It returns false if the connection closes, in
// which case the client sends the request again elsewhere.
func (c *connection) enqueue(next *slot, closed <-chan struct{}) bool {
	c.mu.Lock()
	c.isReading = next.isStreamed
	if c.isClosing {
		c.mu.Unlock()
		return false
	}
	c.pending++
	c.undecided++
	c.isStreaming = next.isStreamed
	c.updateEntry()
	c.mu.Unlock()
	select {
	case c.slots <- next:
		return true
	case <-closed:
		return false
	}
}

// answer serves a request.
func (c *connection) answer(ctx context.Context, s *slot, body requestBody, arrived time.Time) {
	request := toRequest(s.request, body, arrived)
	s.answer = c.server.config.Handler.Serve(ctx, request)
	s.request = &http.Request{Method: s.request.Method} // the rest is not needed any more
	if body.rest == nil {
		return
	}
	rejection := &statusError{}
	err := body.rest.close(c.raw)
	c.endReading()
	if errors.As(err, &rejection) {
		c.logRejection(rejection)
		s.answer.Release()
		s.answer = backends.Response{Status: rejection.status, Header: http.Header{}}
	}
	// The start of the next request is unknown unless the body was read to its end.
	s.isLast = s.isLast || !errors.Is(err, io.EOF)
}

// extendReadDeadline sets the deadline for reads of a body, unless the connection closes.
func (c *connection) extendReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosing {
		_ = c.raw.SetReadDeadline(deadline)
	}
}

func (c *connection) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading, c.isStreaming = false, false
	c.updateEntry()
}

func (c *connection) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
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
// client disconnected before that, which shows only behind all bytes that it sent. They
// are discarded, since no further request runs.
func (c *connection) awaitLastAnswer(last *slot, closed <-chan struct{}) (isClientGone bool) {
	ended := make(chan struct{})
	c.stopReading()
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c.reader) // the connection ends with any error
	}()
	defer func() { <-ended }() // the connection is read by one goroutine at a time
	select {
	case <-last.written:
		c.interruptRead()
		return false
	case <-closed:
		return true
	case <-ended:
		return true
	}
}

// interruptRead ends the read in progress, unless the connection closes, which bounds it.
func (c *connection) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosing {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// stopReading marks the last request as read. It removes the deadline for reads, unless
// the connection closes.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopped = true
	if !c.isClosing {
		_ = c.raw.SetReadDeadline(time.Time{})
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

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isDisconnect reports whether the client disconnected, as opposed to an idle
// connection that timed out or is stopped.
func isDisconnect(err error) bool { return !isTimeout(err) && !errors.Is(err, errStopped) }

// reject answers a malformed or incomplete request and closes the connection. It
// reports whether the client disconnected.
func (c *connection) reject(err error, closed <-chan struct{}) (isClientGone bool) {
	rejection := &statusError{}
	switch {
	case errors.As(err, &rejection):
	case isTimeout(err):
		rejection = &statusError{http.StatusRequestTimeout, "timeout while reading the request"}
	default:
		return true
	}
	c.logRejection(rejection)
	last := &slot{answer: backends.Response{Status: rejection.status, Header: http.Header{}}, isLast: true, ready: make(chan struct{}), written: make(chan struct{})}
	close(last.ready)
	return !c.enqueue(last, closed)
}

func (c *connection) logRejection(r *statusError) {
	c.server.config.Count("requests.rejected." + fmt.Sprint(r.status))
	c.server.config.Log.Info("request rejected", "status", r.status, "reason", r.reason, "client", c.raw.RemoteAddr().String())
}

func toRequest(head *http.Request, body requestBody, arrived time.Time) dispatch.Request {
	path, _, _ := strings.Cut(head.RequestURI, "?")
	request := dispatch.Request{
		Method: head.Method, Target: head.RequestURI, Path: path, Host: head.Host,
		Header: head.Header, Body: body.start, HasBody: body.exists, BodyLength: body.length, Arrived: arrived,
	}
	if body.rest != nil {
		request.BodyRest = body.rest
	}
	return request
}

// write sends the responses in order.
func (c *connection) write() {
	for s := range c.slots {
		<-s.ready
		isLast := c.isLastAnswer(s)
		c.setWriting()
		err := c.writeAnswer(s, isLast)
		c.mu.Lock()
		c.pending--
		c.writtenAt = time.Now()
		c.isWriting = false
		c.entry.Progress(c.writtenAt)
		c.updateEntry()
		c.mu.Unlock()
		close(s.written)
		if err != nil || isLast {
			return
		}
	}
}

func (c *connection) setWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = true
	c.updateEntry()
}

// isLastAnswer reports whether a response ends the connection. No request behind it runs
// from then on.
func (c *connection) isLastAnswer(s *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.undecided--
	isLast := s.isLast || c.undecided == 0 && !c.isReading && c.server.isDraining.Load()
	c.isClosing = c.isClosing || isLast
	return isLast
}

// errSlowReader ends a connection whose client is too slow to read its response.
var errSlowReader = errors.New("callers: the client is too slow to read its response")

// writeAnswer sends a response. A client that is slow to read it is cut off if others wait for the
// memory that it takes.
func (c *connection) writeAnswer(s *slot, isLast bool) error {
	text, body := encodeAnswer(s, isLast)
	accepted := 0 // since the last step
	for progressAt := time.Now(); ; {
		buffers := net.Buffers{text, body[:min(len(body), eviction.StepBytes-accepted)]}
		_ = c.raw.SetWriteDeadline(time.Now().Add(slowWriteTime))
		n, err := buffers.WriteTo(c.raw)
		headBytes := min(int(n), len(text))
		text, body = text[headBytes:], body[int(n)-headBytes:]
		if err != nil && !isTimeout(err) || err == nil && len(body) == 0 {
			return err
		}
		now := time.Now()
		if accepted += int(n); accepted >= eviction.StepBytes {
			accepted = 0
			progressAt = now
			c.entry.Progress(now)
		}
		switch stalled := now.Sub(progressAt); {
		case stalled >= writeTimeout:
			return errSlowReader
		case stalled >= slowWriteTime && c.server.isShortOfMemory():
			c.server.config.Count("connections.cut.slowReader")
			return errSlowReader
		}
	}
}

// encodeAnswer returns the head of a response with a short body, and a longer body apart, so that
// it is not copied.
func encodeAnswer(s *slot, isLast bool) (text, body []byte) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", s.answer.Status, statusText(s.answer.Status))
	_ = s.answer.Header.Write(&head) // writes to a buffer never fail
	if s.answer.Status != http.StatusNoContent && s.answer.Status != http.StatusNotModified {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(s.answer.Body))
	}
	if isLast {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	switch {
	case s.request != nil && s.request.Method == http.MethodHead:
	case len(s.answer.Body) <= maxCopiedBody:
		head.Write(s.answer.Body)
	default:
		body = s.answer.Body
	}
	return head.Bytes(), body
}
