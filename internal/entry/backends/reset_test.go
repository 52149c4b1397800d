package backends_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
)

// resetAttempts is how often an attempt is played in which the kernel reports the reset either to
// the upload or to the reader of the response.
const resetAttempts = 50

var block = strings.Repeat("x", 8<<10)

const headWithoutLength = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n\r\n"

// uploads are long requests: from memory, and with a rest that is read from a client.
var uploads = map[string]func() backends.Request{
	"buffered": func() backends.Request {
		r := request("a")
		r.Method, r.HasBody, r.Body = "POST", true, make([]byte, 8<<20)
		return r
	},
	"streamed": func() backends.Request { return upload("a", "abc", io.LimitReader(endless(block), 4<<20-3), 4<<20) },
	"chunked":  func() backends.Request { return upload("a", "abc", io.LimitReader(endless(block), 4<<20-3), -1) },
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a response without a length that is reset during the upload: the kernel reports
// the reset to the upload alone, and the part that arrived counted as the whole body.
func TestResetDuringUploadIsNoEndOfAResponse(t *testing.T) {
	for name, upload := range uploads {
		for part, body := range map[string]string{"part": "a part of it", "empty": ""} {
			t.Run(name+"/"+part, func(t *testing.T) {
				s := serve(t, func(_ int, _ *http.Request, c net.Conn) {
					_, _ = io.WriteString(c, headWithoutLength+body)
					time.Sleep(5 * time.Millisecond)
					reset(c)
				})
				p, complete := pool(), 0
				for range resetAttempts {
					answer, err := p.Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, upload())
					answer.Release()
					if err == nil {
						complete++
					}
				}
				require.Zero(t, complete, "of %d", resetAttempts)
			})
		}
	}
}

// A response without a length is complete when its stream ends, and one with a length once that
// many bytes have arrived.
func TestCompleteResponsesAreServedWhateverBecomesOfTheUpload(t *testing.T) {
	body := strings.Repeat("whole", 1000)
	get := map[string]func() backends.Request{"get": func() backends.Request { return request("a") }}
	for name, c := range map[string]struct {
		requests map[string]func() backends.Request
		answer   func(r *http.Request, c *net.TCPConn)
	}{
		"get": {get, func(_ *http.Request, c *net.TCPConn) {
			_, _ = io.WriteString(c, headWithoutLength+body)
			_ = c.Close()
		}},
		"afterUpload": {uploads, func(r *http.Request, c *net.TCPConn) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, headWithoutLength+body)
			_ = c.Close()
		}},
		"duringUpload": {uploads, func(_ *http.Request, c *net.TCPConn) {
			_, _ = io.WriteString(c, headWithoutLength+body)
			_ = c.CloseWrite()
			<-t.Context().Done() // the rest of the upload stays unread
			_ = c.Close()
		}},
		"resetAfterItsEnd": {uploads, func(_ *http.Request, c *net.TCPConn) {
			_, _ = io.WriteString(c, headWithoutLength+body)
			_ = c.CloseWrite()
			reset(c)
		}},
		"ofKnownLength": {uploads, func(_ *http.Request, c *net.TCPConn) {
			reply(c, "a", body)
			<-t.Context().Done()
			_ = c.Close()
		}},
		"ofKnownLengthBeforeReset": {uploads, func(_ *http.Request, c *net.TCPConn) {
			reply(c, "a", body)
			reset(c)
		}},
	} {
		for kind, request := range c.requests {
			t.Run(name+"/"+kind, func(t *testing.T) {
				s := serve(t, func(_ int, r *http.Request, conn net.Conn) { c.answer(r, conn.(*net.TCPConn)) })
				p := pool()
				for range 10 {
					answer, err := p.Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, request())
					require.NoError(t, err)
					require.Equal(t, body, string(answer.Body))
					answer.Release()
				}
			})
		}
	}
}
