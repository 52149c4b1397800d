package http1

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Transport is an http.Transport that returns an error for an invalid response, and for a body that
// ended with a lost connection. net/http hands the connection of a 101 to the caller, whose context no
// longer ends a read from it.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport on top of t, whose connections become [Conn]s. Nothing else may use t.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return Transport{t}
}

// CloseIdleConnections closes the idle connections.
func (t Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip sends a request. The body of the response ends in ErrInvalid if its trailer is invalid.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	early := &informational{}
	early.left.Store(cmp.Or(t.transport.MaxResponseHeaderBytes, MaxHeadBytes))
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{Got1xxResponse: early.check})
	response, err := t.transport.RoundTrip(request.WithContext(traced))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = trailerBody{response.Body, response}
	}
	return response, nil
}

// informational checks the informational responses before a response.
type informational struct {
	// left is how many bytes they may still have. net/http does not bound their sum if
	// ClientTrace.Got1xxResponse is set.
	left atomic.Int64
}

func (i *informational) check(_ int, fields textproto.MIMEHeader) error {
	size := len("HTTP/1.1 100\r\n\r\n")
	for name, values := range fields {
		for _, value := range values {
			size += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	if i.left.Add(-int64(size)) < 0 {
		return errors.New("informational responses are too long")
	}
	return CheckFields(http.Header(fields))
}

// trailerBody is a body in chunks. It ends in ErrInvalid if the fields behind it are invalid.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (b trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := CheckFields(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
