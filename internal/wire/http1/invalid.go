package http1

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that a peer sent a response that has no defined meaning. Nothing follows from
// it about the request.
var ErrInvalid = errors.New("response is invalid")

// The bounds of a status. (RFC 9110, section 15.) net/http accepts any that is written with three
// characters.
const minStatus, maxStatus = 200, 599

// CheckResponse returns ErrInvalid for a response that net/http accepts and that must not be used:
// one with a status beyond 599 or below 200, which includes 101 since no client here asks for
// another protocol, and a 204 that announces a body. Informational responses were skipped before.
func CheckResponse(response *http.Response) error {
	status := response.StatusCode
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	length := response.Header.Get("Content-Length")
	if status == http.StatusNoContent && (length != "" && length != "0" || len(response.TransferEncoding) > 0) {
		return errors.Wrapf(ErrInvalid, "status %d with a body", status)
	}
	return nil
}

// Transport is an http.Transport that returns an error for an invalid response. net/http hands the
// connection of a 101 to the caller, whose context no longer ends a read from it.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport that sends by another one, whose connections it makes [Conn]s.
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

// RoundTrip sends a request.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
