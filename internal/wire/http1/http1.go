// Package http1 decides what counts as a response for HTTP/1.1 clients, and bounds what they read of
// it. A faulty peer may send a head or a body without end, reset the connection in the middle of a
// body, or send a response that has no defined meaning.
package http1

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the head of a response, for http.Transport.MaxResponseHeaderBytes. The
// default of net/http is 10 MB, which take many times that memory when they are parsed.
const MaxHeadBytes = 64 << 10

// ErrTooLong means that a response is longer than its bound. What was read of it is no
// response.
var ErrTooLong = errors.New("response is too long")

// ReadBody reads a whole body of at most limit bytes. It returns ErrTooLong for a longer one,
// and the error of the connection for one that breaks off.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errors.Wrapf(ErrTooLong, "above %d bytes", limit)
	}
	return content, nil
}

// NoRedirects makes an http.Client return a redirect as the response. The answer of another
// address is not that of the peer.
func NoRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
