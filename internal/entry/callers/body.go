package callers

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/entry/eviction"
)

const (
	// maxBufferedBody is the size in bytes up to which a body is read before the request
	// is dispatched, so that a slow client occupies no slot of a server. The rest of a
	// larger body is passed on as it arrives.
	maxBufferedBody = 256 << 10
	// bodyReadSize is the size in bytes that the memory for a body begins with.
	bodyReadSize = 32 << 10
)

// memoryReserver accounts for the memory of the bodies of all connections.
type memoryReserver interface {
	// reserve reserves memory for a number of bytes. It reports whether there was
	// enough.
	reserve(bytes int64) bool
}

var errNoMemory = &statusError{http.StatusServiceUnavailable, "memory limit of requests reached"}

// requestBody is the body of a request.
type requestBody struct {
	// start is the part in memory.
	start []byte
	// rest is what follows, or nil.
	rest *bodyStream
	// length is the total size in bytes, or -1 if the client did not declare it.
	length int64
	exists bool
}

// readBody reads a body with the framing that the header declares, up to
// maxBufferedBody bytes.
func readBody(reader *bufio.Reader, request *http.Request, limit int64, memory memoryReserver) (requestBody, error) {
	body := requestBody{length: request.ContentLength, exists: true}
	var source io.Reader
	switch {
	case len(request.TransferEncoding) > 0:
		source = &chunkedReader{reader: reader, left: limit}
	case request.ContentLength > limit:
		return body, &statusError{http.StatusRequestEntityTooLarge, "body too large"}
	case request.ContentLength > 0:
		source = &lengthReader{reader: reader, left: request.ContentLength}
	default:
		body.exists = request.Header.Get("Content-Length") != ""
		return body, nil
	}
	isWhole, err := body.fill(source, memory)
	if err != nil {
		return body, err
	}
	if isWhole {
		body.length = int64(len(body.start))
		return body, nil
	}
	if !memory.reserve(bodyReadSize) { // for the copy of the rest
		return body, errNoMemory
	}
	body.rest = &bodyStream{source: source}
	return body, nil
}

// fill reads the start of the body. It reports whether that is all of it. Memory is
// reserved as bytes arrive, not as the client announces them.
func (b *requestBody) fill(source io.Reader, memory memoryReserver) (isWhole bool, err error) {
	for len(b.start) < maxBufferedBody {
		if len(b.start) == cap(b.start) && !b.grow(memory) {
			return false, errNoMemory
		}
		n, err := source.Read(b.start[len(b.start):cap(b.start)])
		b.start = b.start[:len(b.start)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// grow adds memory for the next bytes. It reports whether there was enough.
func (b *requestBody) grow(memory memoryReserver) bool {
	size := max(bodyReadSize, int64(len(b.start))) // doubles, so that little is copied
	if left := b.length - int64(len(b.start)); left > 0 {
		size = min(size, left)
	}
	if !memory.reserve(size) {
		return false
	}
	grown := make([]byte, len(b.start), len(b.start)+int(size))
	copy(grown, b.start)
	b.start = grown
	return true
}

// lengthReader reads a body of a declared length.
type lengthReader struct {
	reader *bufio.Reader
	left   int64
}

// Read returns io.ErrUnexpectedEOF if the client closes the connection too early.
func (r *lengthReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, asUnexpectedEOF(err)
}

// bodyStream is the part of a body that is read from the client while the request is
// sent to a server. It can be read once. Its reads block until the client sends more,
// which slows down the client to the pace of the server.
type bodyStream struct {
	source io.Reader
	// extend sets the deadline of the reads. It may be nil.
	extend func(deadline time.Time)
	// isStarted is read while a read waits for the client, so mu does not guard it.
	isStarted atomic.Bool

	// mu is held while a read waits for the client.
	mu       sync.Mutex
	isClosed bool
	err      error
	// received is the number of bytes since the last step, and waited the time of their reads.
	received int
	waited   time.Duration

	// deadlineMu guards the deadline, so that no read extends it after close has interrupted it.
	deadlineMu    sync.Mutex
	isInterrupted bool
}

var errBodyClosed = errors.New("callers: the request has ended")

// Read reads from the client. It returns io.EOF at the end of the body.
func (s *bodyStream) Read(p []byte) (int, error) {
	s.isStarted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return 0, errBodyClosed
	}
	if s.err != nil {
		return 0, s.err
	}
	began := time.Now()
	s.extendDeadline(began.Add(bodyTimeout - s.waited))
	n, err := s.source.Read(p)
	s.err = err
	s.waited += time.Since(began)
	if s.received += n; s.received >= eviction.StepBytes {
		s.received, s.waited = 0, 0
	}
	return n, err
}

// extendDeadline sets the deadline of a read. The time between the reads is the server's.
func (s *bodyStream) extendDeadline(deadline time.Time) {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	if !s.isInterrupted && s.extend != nil {
		s.extend(deadline)
	}
}

// IsStarted reports whether a part was read. The body cannot be sent again then.
func (s *bodyStream) IsStarted() bool { return s.isStarted.Load() }

// deadlineSetter is the part of a connection that interrupts reads.
type deadlineSetter interface {
	SetReadDeadline(t time.Time) error
}

// close ends the stream, interrupting a read in progress. It returns io.EOF if the
// body was read completely, and otherwise the reason why not.
func (s *bodyStream) close(connection deadlineSetter) error {
	s.deadlineMu.Lock()
	s.isInterrupted = true
	_ = connection.SetReadDeadline(time.Unix(1, 0))
	s.deadlineMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = errBodyClosed
	}
	s.isClosed = true
	return s.err
}
