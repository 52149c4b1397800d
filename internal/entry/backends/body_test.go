package backends_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/backends"
)

// rest is the rest of a request body.
type rest struct {
	io.Reader
	isStarted bool
}

func (r *rest) Read(p []byte) (int, error) {
	r.isStarted = true
	return r.Reader.Read(p)
}

func (r *rest) IsStarted() bool { return r.isStarted }

func upload(id, start string, more io.Reader, length int64) backends.Request {
	r := request(id)
	r.Method, r.HasBody, r.Body = "POST", true, []byte(start)
	r.BodyRest, r.BodyLength = &rest{Reader: more}, length
	return r
}

func TestStreamedBodies(t *testing.T) {
	for _, length := range []int64{1_000_003, -1} {
		s := serve(t, func(_ int, r *http.Request, c net.Conn) {
			body, err := io.ReadAll(r.Body)
			reply(c, r.Header.Get("Request-Id"), fmt.Sprint(len(body), string(body[:4]), string(body[len(body)-1:]), err, r.ContentLength))
		})
		p := pool()
		for _, id := range []string{"a", "b"} {
			r := upload(id, "abc", strings.NewReader(strings.Repeat("d", 999_999)+"z"), length)
			answer, err := p.Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, r)
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint(1_000_003, "abcd", "z", nil, length), string(answer.Body))
		}
		require.EqualValues(t, 1, s.accepted.Load(), "the connection is reused after a whole body")
	}
}

// Guards against a server that waits for the rest of a body whose client is gone, and
// against a shortened body that it takes for a whole one.
func TestUnreadableBodyInterruptsAttempt(t *testing.T) {
	for _, length := range []int64{1_000_000, -1} {
		received := make(chan error, 1)
		s := serve(t, func(_ int, r *http.Request, _ net.Conn) {
			_, err := io.ReadAll(r.Body)
			received <- err
		})
		gone := errors.New("client is gone")
		more := io.MultiReader(strings.NewReader("more"), failingReader{gone})
		_, err := pool().Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, upload("a", "abc", more, length))
		failed := &backends.Error{}
		require.True(t, errors.As(err, &failed))
		require.True(t, failed.IsSent)
		require.ErrorIs(t, <-received, io.ErrUnexpectedEOF)
	}
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against a request that is said not to have run after its server reset the
// connection in the middle of the body.
func TestResetDuringUploadMayHaveRun(t *testing.T) {
	s := serve(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = io.ReadFull(r.Body, make([]byte, 10_000))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := pool().Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, upload("a", "abc", endless("x"), 1<<40))
	failed := &backends.Error{}
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.IsSent)
}

// endless is a reader that repeats a text without end.
type endless string

func (e endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}

// Guards against a faulty server that sends bytes without end, which would fill the
// memory, or occupy the caller until its deadline.
func TestEndlessResponsesAreErrors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"noise":         {"", "\x00\xff"},
		"emptyLines":    {"", "\r\n"},
		"statusLine":    {"HTTP/1.1 200 ", "O"},
		"headers":       {head, "X: y\r\n"},
		"header":        {head + "X: ", "y"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"switching":     {"", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		"chunkSize":     {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunkPadding":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n"},
		"chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"trailers":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"bodyNoLength":  {head + "\r\n", "x"},
		"bodyOfLength":  {head + "Content-Length: 99999999999\r\n\r\n", "x"},
		"otherAnswers":  {"", "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			s := serve(t, func(_ int, _ *http.Request, conn net.Conn) {
				defer close(ended)
				_, _ = io.Copy(conn, io.MultiReader(strings.NewReader(c.start), endless(c.repeated)))
			})
			p := pool()
			_, err := p.Do(t.Context(), "s", s.listener.Addr().String(), backends.Limits{Open: 1}, request("a"))
			failed := &backends.Error{}
			require.True(t, errors.As(err, &failed))
			require.True(t, failed.IsSent, "it may have run")
			<-ended // the connection is closed
			open, _ := p.Connections("s", s.listener.Addr().String())
			require.Zero(t, open)
		})
	}
}
