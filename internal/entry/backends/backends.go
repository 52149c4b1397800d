// Package backends sends requests to backend servers over its own connection pool.
// For each request it reports exactly whether the server may have received it.
package backends

import (
	"bufio"
	"container/list"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall"
	"github.com/redwingstall/redwingstall/internal/entry/memory"
	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

const (
	// dialTimeout is far above a round trip between failure domains (2 ms), and
	// short enough for the request to be sent to another server within its latency
	// objective.
	dialTimeout = 300 * time.Millisecond
	// idleLimit is the idle timeout of a connection if the server sends no
	// Keep-Alive header, and the maximum otherwise.
	idleLimit = 8 * time.Second
	// idleMargin is how long before the server's own timeout an idle connection is
	// closed.
	idleMargin = 1500 * time.Millisecond
	// maxAnswerBytes bounds the body of a response. It is read completely before it
	// is passed on, so that a response that is cut off can be requested from another
	// server.
	maxAnswerBytes = 8 << 20
	// maxHeadBytes bounds the head of a response, including informational ones before
	// it.
	maxHeadBytes = http1.MaxHeadBytes
	// maxFramingBytes bounds what the framing of a body adds to it.
	maxFramingBytes = 1 << 20
	// maxInlineBody is the size in bytes up to which a body is written before the
	// response is read. Larger bodies are written concurrently, since a server may
	// answer before it has read them.
	maxInlineBody = 4 << 10
)

// Request is one attempt at a backend server.
type Request struct {
	Method string
	// Target is the request target exactly as the client sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the body, or its start if BodyRest is set.
	Body []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// BodyRest is the rest of the body, or nil. It is read as fast as the server takes it.
	BodyRest BodyRest
	// BodyLength is the total size of the body in bytes, or -1 if it is unknown. It is
	// used only with BodyRest.
	BodyLength int64
	ID         string
}

// BodyRest is the part of a request body that is not in memory.
type BodyRest interface {
	io.Reader
	// IsStarted reports whether a part was read, so that it cannot be sent again.
	IsStarted() bool
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Meta   redwingstall.ResponseMeta
	Trace  Trace
	// held is the memory that is reserved for the response.
	held []*memory.Reservation
}

// Release ends the reservation of the memory that the response takes. Each response is released
// once it is written or discarded.
func (r *Response) Release() {
	for _, reserved := range r.held {
		reserved.Release()
	}
}

// HeldBytes returns the memory that is reserved for the response.
func (r *Response) HeldBytes() int64 {
	total := int64(0)
	for _, reserved := range r.held {
		total += reserved.Bytes()
	}
	return total
}

// IsSame reports whether two values hold the same response of a server.
func (r *Response) IsSame(other Response) bool {
	return r.Trace == other.Trace && r.Trace.Connection != 0
}

// Trace identifies one attempt: the connection and its place there. It tells attempts at the same
// request apart.
type Trace struct {
	// Connection numbers the connections of a pool from 1 on. It is 0 if there was none.
	Connection int64
	// EarlierRequests is the number of requests that the connection carried before.
	EarlierRequests int
	// StrayAnswers is the number of responses to other requests that were skipped.
	StrayAnswers int
}

// Error is the failure of an attempt that got no response.
type Error struct {
	// IsSent is set if the server may have received the request.
	IsSent bool
	// IsRefused is set if the connection was refused, since nothing listens at the
	// address.
	IsRefused bool
	Reason    string
	Cause     error
	Trace     Trace
}

// Error returns the reason and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Reasons of attempts that failed by a limit of this instance or of the response.
const (
	// ReasonConnectionLimit is the reason of an attempt that exceeded the connection limit.
	ReasonConnectionLimit = "connectionLimit"
	// ReasonNoMemory is the reason of an attempt whose response waited for memory until its end,
	// and ReasonMemoryRevoked that of one whose memory was given to other servers' responses.
	ReasonNoMemory      = "noMemory"
	ReasonMemoryRevoked = "memoryRevoked"
	// ReasonEndless is the reason of an attempt with a response that exceeds its bound.
	ReasonEndless = "endless"
	// ReasonInvalid is the reason of an attempt with a response that has no defined meaning.
	ReasonInvalid = "invalid"
)

// Pool holds the connections to all backend servers. It is safe for concurrent
// use.
type Pool struct {
	protocol redwingstall.GatewayProtocol
	count    func(name string)
	memory   responseMemory

	// opened is the number of connections that were opened.
	opened atomic.Int64

	mu      sync.Mutex
	servers map[string]*server
	// limit bounds the open connections to all servers. Zero means no bound.
	limit int
	open  int
	// idle are the idle connections to all servers, the longest idle first.
	idle list.List
}

type server struct {
	idle []*connection
	open int
}

type connection struct {
	*http1.Conn
	reader *bufio.Reader
	// limit bounds the bytes of the response that is read.
	limit   *limitedReader
	key     string
	history history
	trace   Trace
	// idleSince and idleFor limit the time in which the connection may be reused.
	idleSince time.Time
	idleFor   time.Duration
	idleLimit time.Duration
	// element is the place among the idle connections to all servers, or nil.
	element *list.Element
}

// NewPool returns an empty pool whose responses take at most about maxBuffered bytes in all. The
// pool calls count with the name of a counter when it opens a connection and when it closes one.
// The name contains the reason for closing.
func NewPool(protocol redwingstall.GatewayProtocol, maxBuffered int64, count func(name string)) *Pool {
	return &Pool{protocol: protocol, count: count, memory: newResponseMemory(maxBuffered), servers: map[string]*server{}}
}

// LimitConnections bounds the open connections to all servers. Beyond it, a new connection takes the
// place of the one that has been idle for longest.
func (p *Pool) LimitConnections(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// IsShortOfMemory reports whether responses wait for memory.
func (p *Pool) IsShortOfMemory() bool { return p.memory.small.IsShort() || p.memory.large.IsShort() }

// HeldBytes returns the memory that is reserved for responses, in bytes.
func (p *Pool) HeldBytes() int64 { return p.memory.small.Used() + p.memory.large.Used() }

// Limits bounds the connections of this instance to one server.
type Limits struct {
	// Open is the maximum number of open connections.
	Open int
	// Idle is how long a connection may stay idle. Zero leaves it to the server.
	Idle time.Duration
	// IsNew requires a new connection, which shows that the server is up and can be reached.
	// An idle one takes the place of another if all are open.
	IsNew bool
}

// Do sends a request to the server with the given id and address, within the limits
// of its connections, on one that carried no other attempt at the request. The error is
// an *[Error].
func (p *Pool) Do(ctx context.Context, id, address string, limits Limits, request Request) (Response, error) {
	hash := hashID(request.ID)
	c, err := p.get(ctx, id, address, limits, hash)
	if err != nil {
		return Response{}, err
	}
	c.history.add(hash)
	c.idleLimit = limits.Idle
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(attempt, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, err := p.exchange(reading{attempt, c.key, cancel}, c, request)
	answer.Trace = c.trace
	if attemptError := (&Error{}); errors.As(err, &attemptError) {
		attemptError.Trace = c.trace
	}
	c.trace.EarlierRequests++
	switch {
	case !stop():
		p.drop(c, "canceled")
	case err != nil:
		p.drop(c, "failed")
	case !reusable:
		p.drop(c, "notReusable")
	case c.history.isFull():
		p.drop(c, "requestLimit")
	default:
		p.put(c)
	}
	return answer, err
}

// get returns a connection that has not carried the request.
func (p *Pool) get(ctx context.Context, id, address string, limits Limits, request idHash) (*connection, error) {
	key := id + " " + address
	p.mu.Lock()
	s := p.servers[key]
	if s == nil {
		s = &server{}
		p.servers[key] = s
	}
	if !limits.IsNew {
		if c := p.takeIdle(s, request); c != nil {
			p.mu.Unlock()
			return c, nil
		}
	}
	for len(s.idle) > 0 && s.open >= limits.Open {
		p.closeIdle(s, len(s.idle)-1, "replaced")
	}
	if s.open >= limits.Open {
		p.mu.Unlock()
		return nil, &Error{Reason: ReasonConnectionLimit, Cause: errors.Newf("%d connections open", limits.Open)}
	}
	if p.limit > 0 && p.open >= p.limit && !p.closeLongestIdle() {
		p.mu.Unlock()
		return nil, &Error{Reason: ReasonConnectionLimit, Cause: errors.Newf("%d connections open to all servers", p.limit)}
	}
	s.open++
	p.open++
	p.mu.Unlock()
	c, err := p.dial(ctx, key, address)
	if err != nil {
		p.mu.Lock()
		p.countClosed(s)
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// countClosed counts a connection as closed. The caller holds the lock.
func (p *Pool) countClosed(s *server) {
	s.open--
	p.open--
}

// closeLongestIdle closes the connection that has been idle for longest. It returns false if none
// is idle. The caller holds the lock.
func (p *Pool) closeLongestIdle() bool {
	first := p.idle.Front()
	if first == nil {
		return false
	}
	c := first.Value.(*connection)
	s := p.servers[c.key]
	p.closeIdle(s, slices.Index(s.idle, c), "replaced")
	return true
}

// takeIdle returns the connection that was used last, of those that may carry the request. It
// closes those that cannot be reused. The caller holds the lock.
func (p *Pool) takeIdle(s *server, request idHash) *connection {
	now := time.Now()
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if c.history.contains(request) {
			p.count("connections.skipped")
			continue
		}
		if !c.isReusable(now) {
			p.closeIdle(s, i, "stale")
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		p.idle.Remove(c.element)
		return c
	}
	return nil
}

// closeIdle closes an idle connection. The caller holds the lock.
func (p *Pool) closeIdle(s *server, i int, reason string) {
	_ = s.idle[i].Close()
	p.idle.Remove(s.idle[i].element)
	s.idle = slices.Delete(s.idle, i, i+1)
	p.countClosed(s)
	p.count("connections.closed." + reason)
}

// endSettleTime is how long the connections of a process that has ended may seem open: they are
// closed one after the other.
const endSettleTime = 10 * time.Millisecond

// HasEnded reports whether nothing listens at a server's address any more. It needs no new
// connection while an idle one stays open, and keeps one that it opens. A partition may look
// the same.
func (p *Pool) HasEnded(ctx context.Context, id, address string, limits Limits) bool {
	for try := 1; ; try++ {
		c, err := p.get(ctx, id, address, limits, hashID(""))
		if err != nil {
			attemptError := &Error{}
			return errors.As(err, &attemptError) && attemptError.IsRefused
		}
		isNew := c.idleFor == 0
		if isNew {
			c.idleSince, c.idleFor = time.Now(), idleLimit
		}
		p.keep(c)
		if isNew || try > 1 {
			return false
		}
		time.Sleep(endSettleTime)
	}
}

// keep adds a connection to the idle ones.
func (p *Pool) keep(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[c.key]
	s.idle = append(s.idle, c)
	c.element = p.idle.PushBack(c)
}

func (p *Pool) dial(ctx context.Context, key, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{IsRefused: errors.Is(err, syscall.ECONNREFUSED), Reason: "connect", Cause: err}
	}
	p.count("connections.opened")
	c := http1.NewConn(raw)
	limited := &limitedReader{source: c}
	return &connection{Conn: c, limit: limited, reader: bufio.NewReader(limited), key: key, trace: Trace{Connection: p.opened.Add(1)}}, nil
}

// isReusable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *connection) isReusable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleFor || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(descriptor), one[:])
		isQuiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

func (p *Pool) put(c *connection) {
	if c.SetDeadline(time.Time{}) != nil {
		p.drop(c, "broken")
		return
	}
	c.idleSince = time.Now()
	if c.idleLimit > 0 {
		c.idleFor = min(c.idleFor, c.idleLimit)
	}
	p.keep(c)
}

func (p *Pool) drop(c *connection, reason string) {
	p.count("connections.closed." + reason)
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countClosed(p.servers[c.key])
}

// CloseExpired closes connections whose idle timeout has expired.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.idleSince) < c.idleFor {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.idle.Remove(c.element)
			p.countClosed(s)
			p.count("connections.closed.idle")
		}
		s.idle = kept
		if s.open == 0 {
			delete(p.servers, key)
		}
	}
}

// Connections returns the number of open connections to a server, and how many of
// them are idle. If no further one can be opened to any server, it returns [math.MaxInt] as open.
func (p *Pool) Connections(id, address string) (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id+" "+address]
	if s == nil {
		s = &server{}
	}
	if p.limit > 0 && p.open >= p.limit && p.idle.Len() == 0 {
		return math.MaxInt, 0
	}
	return s.open, len(s.idle)
}

// idleTime returns the server's idle timeout less a margin.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		var seconds int
		if n, _ := fmt.Sscanf(strings.TrimSpace(part), "timeout=%d", &seconds); n == 1 {
			return min(max(time.Duration(seconds)*time.Second-idleMargin, 0), idleLimit)
		}
	}
	return idleLimit
}

// hopHeaders apply to a single connection and are not forwarded. (RFC 9110, section
// 7.6.1.)
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func removeHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// Forwardable returns the headers of a request that are forwarded to the server.
func Forwardable(header http.Header) http.Header {
	passed := header.Clone()
	removeHopHeaders(passed)
	passed.Del("Expect")
	return passed
}
