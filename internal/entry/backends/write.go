package backends

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"time"

	"github.com/cockroachdb/errors"
)

func encodeHead(request Request) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	switch {
	case request.BodyRest == nil && request.HasBody:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.Body))
	case request.BodyRest != nil && request.BodyLength >= 0:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", request.BodyLength)
	case request.BodyRest != nil:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_ = request.Header.Write(&head) // writes to a buffer never fail
	head.WriteString("\r\n")
	return head.Bytes()
}

// writeRequest writes a request with a large body. If the rest of the body cannot be
// read, it interrupts the connection, since the server would wait for it. A failed write does not
// interrupt it, since the response may have arrived before.
func writeRequest(c *connection, request Request) error {
	head := encodeHead(request)
	if request.BodyRest == nil {
		return c.WriteBuffers(net.Buffers{head, request.Body})
	}
	if _, err := c.Write(head); err != nil {
		return err
	}
	rest := &checkedReader{source: request.BodyRest}
	err := writeBody(c, request, rest)
	if rest.err != nil {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
	return err
}

// checkedReader keeps the error of its source, unless that is io.EOF.
type checkedReader struct {
	source io.Reader
	err    error
}

// Read reads from the source.
func (r *checkedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// writeBody writes a body whose rest is read while it is written.
func writeBody(c *connection, request Request, rest io.Reader) error {
	body := io.MultiReader(bytes.NewReader(request.Body), rest)
	if request.BodyLength >= 0 {
		_, err := io.Copy(c.Conn, body)
		return err
	}
	chunks := httputil.NewChunkedWriter(c.Conn)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.Conn, "\r\n")
	return errors.Wrap(err, "end of chunks")
}
