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
// read, it interrupts the connection, since the server would wait for it.
func writeRequest(c *connection, request Request) error {
	head := encodeHead(request)
	if request.BodyRest == nil {
		return c.WriteBuffers(net.Buffers{head, request.Body})
	}
	if _, err := c.Write(head); err != nil {
		return err
	}
	err := writeBody(c, request)
	if err != nil {
		_ = c.SetDeadline(time.Unix(1, 0))
	}
	return err
}

// writeBody writes a body whose rest is read while it is written.
func writeBody(c *connection, request Request) error {
	body := io.MultiReader(bytes.NewReader(request.Body), request.BodyRest)
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
