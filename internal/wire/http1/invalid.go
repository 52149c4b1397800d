package http1

import (
	"net/http"
	"strings"

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
// another protocol, a 204 that announces a body, and one with an invalid field. Informational
// responses were skipped before.
func CheckResponse(response *http.Response) error {
	status := response.StatusCode
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	length := response.Header.Get("Content-Length")
	if status == http.StatusNoContent && (length != "" && length != "0" || len(response.TransferEncoding) > 0) {
		return errors.Wrapf(ErrInvalid, "status %d with a body", status)
	}
	return CheckFields(response.Header)
}

// CheckFields returns ErrInvalid for header or trailer fields with a blank in a name, the only byte
// that net/http accepts and no name may have. Recipients differ in what they read then:
// "Content-Length : 2" is a length to some of them. A proxy may remove a blank before the colon, but
// what else the sender got wrong is unknown. (RFC 9112, section 5.1.)
func CheckFields(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return errors.Wrapf(ErrInvalid, "field name %.40q", name)
		}
	}
	return nil
}
