package backends_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
)

// Guards against a response that no client can interpret, such as one with the status 000. The
// connection stays open, so that only the response itself can end the attempt.
func TestInvalidResponsesAreErrors(t *testing.T) {
	const fields = "Request-Id: a\r\nResponse-Signature: s\r\n"
	const empty = fields + "Content-Length: 0\r\n\r\n"
	for name, response := range map[string]string{
		"status000":        "HTTP/1.1 000 \r\n" + empty,
		"status099":        "HTTP/1.1 099 x\r\n" + empty,
		"status600":        "HTTP/1.1 600 x\r\n" + empty,
		"status999":        "HTTP/1.1 999 x\r\n" + empty,
		"sign":             "HTTP/1.1 +20 OK\r\n" + empty,
		"letters":          "HTTP/1.1 2x0 OK\r\n" + empty,
		"twoDigits":        "HTTP/1.1 20 OK\r\n" + empty,
		"fourDigits":       "HTTP/1.1 2000 OK\r\n" + empty,
		"noStatus":         "HTTP/1.1\r\n" + empty,
		"switching":        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" + fields + "\r\n",
		"informational":    strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20),
		"afterSwitching":   "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + empty,
		"afterStatus000":   "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n" + empty,
		"noContentLength":  "HTTP/1.1 204 No Content\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
		"noContentChunked": "HTTP/1.1 204 No Content\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"noContentBody":    "HTTP/1.1 204 No Content\r\n" + fields + "\r\nbody",
		"notModifiedBody":  "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
		"twoLengths":       "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
		"listOfLengths":    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4, 2\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, response) })
			p := pool()
			began := time.Now()
			answer, err := do(p, s, "a")
			failed := &backends.Error{}
			require.True(t, errors.As(err, &failed), "status %d", answer.Status)
			require.True(t, failed.IsSent, "it may have run")
			require.Less(t, time.Since(began), 900*time.Millisecond, "the response must end the attempt, not its deadline")
			open, _ := p.Connections("s", s.listener.Addr().String())
			require.Zero(t, open)
		})
	}
}

// Guards against a field that clients and servers read differently, since its name has a blank: one
// that bounds the body, or one that says what became of the request. The server closes the
// connection, so that a body without a length ends.
func TestInvalidFieldNamesAreErrors(t *testing.T) {
	const ok, refusal, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Unavailable\r\n", "Transfer-Encoding: chunked\r\n"
	const fields, length, body = "Request-Id: a\r\nResponse-Signature: s\r\n", "Content-Length: 4\r\n", "\r\nbody"
	const chunks, ready = "\r\n4\r\nbody\r\n0\r\n", ok + fields + length + body
	shapes := map[string]string{
		"length":       ok + fields + "Content-Length : 2\r\n" + body,
		"chunked":      ok + fields + "Transfer-Encoding : chunked\r\n" + chunks + "\r\n",
		"notExecuted":  refusal + fields + length + "Not-Executed : 1\r\n" + body,
		"serverLimit":  ok + fields + length + "Server-Limit : 3\r\n" + body,
		"close":        ok + fields + length + "Connection : close\r\n" + body,
		"firstLine":    ok + " Lead: x\r\n" + fields + length + body,
		"lineless":     ok + fields + length + "Name\r\n" + body,
		"emptyTrailer": ok + fields + chunked + chunks + ": x\r\n\r\n",
	}
	for name, field := range map[string]string{
		"blank": "Bad Name: x\r\n", "blankBehind": "Bad : x\r\n", "blanks": "Bad  : x\r\n", "control": "Bad\x01Name: x\r\n", "null": "Bad\x00Name: x\r\n",
		"tab": "Bad\tName: x\r\n", "tabBehind": "Bad\t: x\r\n", "return": "Bad\rName: x\r\n", "delete": "Bad\x7fName: x\r\n", "high": "Bad\x80Name: x\r\n",
	} {
		shapes[name] = ok + fields + length + field + body
		shapes[name+"Refusal"] = refusal + fields + length + "Not-Executed: 1\r\n" + field + body
		shapes[name+"Trailer"] = ok + fields + chunked + chunks + field + "\r\n"
		shapes[name+"Informational"] = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + ready
	}
	for name, response := range shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(_ int, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, response)
				_ = c.Close()
			})
			p := pool()
			answer, err := do(p, s, "a")
			failed := &backends.Error{}
			require.True(t, errors.As(err, &failed), "status %d, header %q, body %q", answer.Status, answer.Header, answer.Body)
			require.True(t, failed.IsSent, "it may have run")
			open, _ := p.Connections("s", s.listener.Addr().String())
			require.Zero(t, open)
		})
	}
}

// Valid responses that resemble the invalid ones.
func TestUnusualResponsesAreValid(t *testing.T) {
	const fields = "Request-Id: a\r\nResponse-Signature: s\r\n"
	for name, c := range map[string]struct {
		response string
		status   int
	}{
		"informational":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", 200},
		"noContent":         {"HTTP/1.1 204 No Content\r\n" + fields + "\r\n", 204},
		"noContentZero":     {"HTTP/1.1 204 No Content\r\n" + fields + "Content-Length: 0\r\n\r\n", 204},
		"noContentAndCopy":  {"HTTP/1.1 204 No Content\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\nRequest-Id: b\r\n\r\n", 204},
		"notModified":       {"HTTP/1.1 304 Not Modified\r\n" + fields + "\r\n", 304},
		"notModifiedLength": {"HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 4\r\n\r\n", 304},
		"foldedValue":       {"HTTP/1.1 200 OK\r\n" + fields + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n", 200},
		"valueWithBlanks":   {"HTTP/1.1 200 OK\r\n" + fields + "X:  a b \r\nContent-Length: 0\r\n\r\n", 200},
		"trailer":           {"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: a b\r\n\r\n", 200},
		"sameLengthTwice":   {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 200},
		"highest":           {"HTTP/1.1 599 x\r\n" + fields + "Content-Length: 0\r\n\r\n", 599},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int, _ *http.Request, conn net.Conn) { _, _ = io.WriteString(conn, c.response) })
			answer, err := do(pool(), s, "a")
			require.NoError(t, err)
			require.Equal(t, c.status, answer.Status)
		})
	}
}
