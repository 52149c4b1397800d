package backends

import (
	"bufio"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

var errTooLong = errors.New("backends: response is too long")

// limitedReader reads from a server up to a number of bytes. A faulty server may send
// bytes without end, also in a head.
type limitedReader struct {
	source io.Reader
	left   int64
	// free is how many bytes may be read before reserve is called once, which returns an error
	// if no more may be read. It is not called if it is nil.
	free    int64
	reserve func() error
}

// allow sets the number of bytes that may still be read.
func (r *limitedReader) allow(bytes int64) { r.left, r.reserve = bytes, nil }

// Read returns errTooLong once the allowed bytes are read.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	if r.reserve != nil && r.free <= 0 {
		if err := r.reserve(); err != nil {
			return 0, err
		}
		r.reserve = nil
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	r.free -= int64(n)
	return n, err
}

// readHead reads the head of a response, and skips the informational ones before it. It calls
// reserve before it reads a long head.
func readHead(c *connection, method string, reserve func() error) (*http.Response, error) {
	c.limit.allow(maxHeadBytes)
	c.limit.free, c.limit.reserve = freeBytes, reserve
	for range maxInformational + 1 {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !isInformational(answer.StatusCode) {
			return answer, http1.CheckResponse(answer)
		}
		if err := http1.CheckFields(answer.Header); err != nil {
			return nil, err
		}
	}
	return nil, errors.Wrapf(errTooLong, "above %d informational responses", maxInformational)
}

// maxInformational bounds the informational responses before a response. A server that sends them
// slowly would otherwise hold the request until its deadline.
const maxInformational = 8

// isInformational reports whether the response to the request follows. No request asks for the
// protocol that 101 switches to.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// hasBodyBehind reports whether bytes other than those of another response follow a response that
// has no body. Copies of earlier responses are skipped later, with their connection.
func hasBodyBehind(reader *bufio.Reader) bool {
	const start = "HTTP/1."
	next, _ := reader.Peek(min(reader.Buffered(), len(start))) // reads nothing
	return string(next) != start[:len(next)]
}
