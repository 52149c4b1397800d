package callers

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// statusError is a request that is answered with a status and ends its
// connection, since what follows it cannot be told apart.
type statusError struct {
	status int
	reason string
}

// Error names the reason.
func (e *statusError) Error() string { return e.reason }

// readHead reads one request up to the end of its header. The text is looked at
// before net/http parses it: two ways to tell a body's length are refused
// rather than one of them chosen.
func readHead(reader *bufio.Reader, limit int) (*http.Request, error) {
	head, err := readBlock(reader, limit)
	if err != nil {
		return nil, err
	}
	if err := checkFraming(head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, &statusError{http.StatusBadRequest, "request unreadable: " + err.Error()}
	}
	if request.ProtoMajor != 1 || request.Host == "" || !strings.HasPrefix(request.RequestURI, "/") {
		return nil, &statusError{http.StatusBadRequest, "no HTTP/1 request with a host and a path"}
	}
	return request, nil
}

// readBlock reads lines up to and with the first empty one.
func readBlock(reader *bufio.Reader, limit int) ([]byte, error) {
	head := []byte{}
	for {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > limit {
			return nil, &statusError{http.StatusRequestHeaderFieldsTooLarge, "header too large"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "header")
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if len(bytes.TrimSpace(head)) == 0 {
			head = head[:0] // an empty line before a request is allowed
			continue
		}
		return head, nil
	}
}

func checkFraming(head []byte) error {
	lengths, codings := 0, 0
	for i, line := range bytes.Split(head, []byte("\n")) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if i == 0 || !found {
			continue
		}
		if len(name) != len(bytes.TrimSpace(name)) {
			return &statusError{http.StatusBadRequest, "space around a header name"}
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(strings.TrimSpace(string(value)), "chunked") {
				return &statusError{http.StatusBadRequest, "transfer coding other than chunked"}
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 {
		return &statusError{http.StatusBadRequest, "more than one length of the body"}
	}
	return nil
}

// room is what the bodies of all connections may take.
type room interface {
	// reserve reports whether there is room for so many more bytes, and takes it.
	reserve(bytes int64) bool
}

var errNoRoom = &statusError{http.StatusServiceUnavailable, "no memory for the body"}

// readBody reads a body of the framing that the header names.
func readBody(reader *bufio.Reader, request *http.Request, limit int64, memory room) (body []byte, hasBody bool, err error) {
	switch {
	case len(request.TransferEncoding) > 0:
		return readChunked(reader, limit, memory)
	case request.ContentLength > limit:
		return nil, true, &statusError{http.StatusRequestEntityTooLarge, "body too large"}
	case !memory.reserve(max(request.ContentLength, 0)):
		return nil, true, errNoRoom
	case request.ContentLength > 0:
		body = make([]byte, request.ContentLength)
		_, err = io.ReadFull(reader, body)
		return body, true, err
	}
	return nil, request.Header.Get("Content-Length") != "", nil
}
