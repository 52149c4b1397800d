//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// request is one client attempt.
type request struct {
	ID, Method, Host, Path string
	Key                    int // below 0: none
	Deadline               time.Duration
	Body                   []byte
	IsChunked              bool
}

// answer is what the client got, or why there is none.
type answer struct {
	Status int
	Header http.Header
	Body   []byte
	// IsLast is set if the answer announces the end of its connection.
	IsLast bool
	// WasKept is set if the connection had served a request before.
	WasKept bool
	Err     error
}

// client holds kept connections to one process, each for one request at a time.
type client struct {
	address string
	mu      sync.Mutex
	idle    []*clientConnection
}

type clientConnection struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is when the last answer was read.
	usedAt time.Time
}

// maxIdle is four fifths of the idle timeout of the configuration.
const maxIdle = 12 * time.Second

func (c *client) get() (*clientConnection, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		kept := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(kept.usedAt) < maxIdle {
			c.mu.Unlock()
			return kept, nil
		}
		_ = kept.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConnection{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// head returns the head of a request.
func (r request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Key >= 0 {
		fmt.Fprintf(&b, "Shard-Key: %d\r\n", r.Key)
	}
	switch {
	case r.IsChunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// send sends a request and reads its answer.
func (c *client) send(r request) answer {
	connection, err := c.get()
	if err != nil {
		return answer{Err: err}
	}
	_ = connection.SetDeadline(time.Now().Add(r.Deadline + 500*time.Millisecond))
	written := make(chan error, 1)
	go func() { written <- r.write(connection) }()
	got := readAnswer(connection.reader, r.Method)
	got.WasKept = !connection.usedAt.IsZero()
	isKept := got.Err == nil && !got.IsLast
	if isKept {
		select {
		case err := <-written:
			isKept = err == nil
		case <-time.After(100 * time.Millisecond):
			isKept = false
		}
	}
	if !isKept {
		_ = connection.Close()
		return got
	}
	_ = connection.SetDeadline(time.Time{})
	connection.usedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, connection)
	return got
}

// chunkSize is the size of the chunks of a body.
const chunkSize = 16 << 10

func (r request) write(w io.Writer) error {
	if _, err := io.WriteString(w, r.head()); err != nil {
		return err
	}
	if !r.IsChunked {
		_, err := w.Write(r.Body)
		return err
	}
	for left := r.Body; len(left) > 0; {
		n := min(chunkSize, len(left))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, left[:n]); err != nil {
			return err
		}
		left = left[n:]
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

func readAnswer(reader *bufio.Reader, method string) answer {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return answer{Err: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return answer{Status: response.StatusCode, Header: response.Header, Body: body, IsLast: response.Close, Err: err}
	}
}

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// record is the file that lists what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
	from time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, from: time.Now()}, err
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f "+format+"\n", append([]any{time.Since(r.from).Seconds()}, arguments...)...)
}
