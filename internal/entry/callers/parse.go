package callers

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// freeHeadBytes is the size in bytes of a header that needs no reservation.
	freeHeadBytes = 4 << 10
	// fieldMemory is what a field of a header takes in memory besides its text, in bytes: its
	// place in the parsed header and in the copies that are sent.
	fieldMemory = 256
)

// statusError is the rejection of a request with a status. The connection is closed,
// since the start of the next request is unknown.
type statusError struct {
	status int
	reason string
}

// Error returns the reason.
func (e *statusError) Error() string { return e.reason }

// readHead reads a request up to the end of its header. It checks the raw header
// before net/http parses it: a request with two body lengths is rejected, where a
// parser would choose one of them.
// It reserves the memory that a long header takes.
func readHead(reader *bufio.Reader, limit int, memory memoryReserver) (*http.Request, error) {
	head, err := readHeaderBlock(reader, limit, memory)
	if err != nil {
		return nil, err
	}
	if len(head) > freeHeadBytes && !memory.reserve(int64(bytes.Count(head, []byte("\n"))*fieldMemory)) {
		return nil, errNoMemory
	}
	if err := checkFraming(head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, &statusError{http.StatusBadRequest, "malformed request: " + withoutQuote(err)}
	}
	if request.ProtoMajor != 1 || request.Host == "" || !strings.HasPrefix(request.RequestURI, "/") {
		return nil, &statusError{http.StatusBadRequest, "not an HTTP/1 request with a host and a path"}
	}
	return request, nil
}

// withoutQuote returns what an error says before it quotes the request, which may contain an API
// key: the reason is logged.
func withoutQuote(err error) string {
	text := err.Error()
	if end := strings.IndexAny(text, ":\""); end >= 0 {
		text = text[:end]
	}
	return strings.TrimSpace(text)
}

// readHeaderBlock reads lines up to and including the first empty one.
func readHeaderBlock(reader *bufio.Reader, limit int, memory memoryReserver) ([]byte, error) {
	head, isReserved := []byte{}, false
	for {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > limit {
			return nil, &statusError{http.StatusRequestHeaderFieldsTooLarge, "header too large"}
		}
		if len(head) > freeHeadBytes && !isReserved {
			if isReserved = memory.reserve(2 * int64(limit)); !isReserved { // it grows by copies
				return nil, errNoMemory
			}
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
		return &statusError{http.StatusBadRequest, "more than one body length"}
	}
	return nil
}
