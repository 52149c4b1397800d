package slowclients_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// longResponse is the size in bytes of a long response. All of the crowd together ask for
	// more than the memory.
	longResponse = 512 << 10
	// clientBuffer is the size in bytes of a client's receive buffer, so that it takes only a
	// small part of a response that it does not read.
	clientBuffer = 4 << 10
	// reconnectPause is the time between two connections of one client.
	reconnectPause = 250 * time.Millisecond
	// burst is how many bytes a client that reads in bursts reads every burstInterval.
	burst         = 16 << 10
	burstInterval = 500 * time.Millisecond
	// pipelined is the number of requests that a client sends without reading a response, and
	// longField the size in bytes of a header field in each.
	pipelined = 64
	longField = 3500
	// bodyBytes is the size of a body that is sent byte by byte, and bodyStart that of its part
	// that is sent at once.
	bodyBytes    = 1 << 20
	bodyStart    = 200 << 10
	byteInterval = 100 * time.Millisecond
)

// target is what a crowd connects to.
type target struct {
	address string
	// request returns a request with a method, an id, further header lines that end with a line
	// end each, and the empty line. Its response is long or not.
	request func(method, id string, isLong bool, lines string) string
}

// behavior is what a client does with one connection. It returns when the connection ends.
type behavior func(ctx context.Context, connection net.Conn, t target, id string)

// crowd is a number of clients of each behavior.
type crowd struct {
	target    target
	behaviors []behavior
}

// run connects the clients until the context ends. Each connects again when its connection ends.
func (c crowd) run(ctx context.Context, running *sync.WaitGroup) {
	var sent atomic.Int64
	for n := range crowdSize {
		behave := c.behaviors[n%len(c.behaviors)]
		running.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, behave, fmt.Sprint("slow", sent.Add(1)))
				sleep(ctx, reconnectPause)
			}
		})
	}
}

func (c crowd) connect(ctx context.Context, behave behavior, id string) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
		})
	}}
	connection, err := dialer.DialContext(ctx, "tcp", c.target.address)
	if err != nil {
		return
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	behave(ctx, connection, c.target, id)
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// readSlowly reads a number of bytes in each interval until the connection ends.
func readSlowly(ctx context.Context, connection net.Conn, bytes int, interval time.Duration) {
	for err := error(nil); err == nil && ctx.Err() == nil; sleep(ctx, interval) {
		_, err = io.ReadFull(connection, make([]byte, bytes))
	}
}

// waitForEnd keeps a connection without reading its data until the peer resets it, or the
// context ends.
func waitForEnd(ctx context.Context, connection net.Conn) {
	for ctx.Err() == nil && !isReset(connection) {
		sleep(ctx, byteInterval)
	}
}

// isReset reports whether a connection has ended or been closed by the peer, without reading
// from it.
func isReset(connection net.Conn) bool {
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	hasEnded := false
	err = raw.Control(func(descriptor uintptr) {
		code, err := syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
		hasEnded = err != nil || code != 0
		if n, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err == nil && n == 0 {
			hasEnded = true
		}
	})
	return err != nil || hasEnded
}

func readsOneByteASecond(ctx context.Context, connection net.Conn, t target, id string) {
	_, _ = io.WriteString(connection, t.request("GET", id, true, ""))
	readSlowly(ctx, connection, 1, time.Second)
}

func readsNothing(ctx context.Context, connection net.Conn, t target, id string) {
	_, _ = io.WriteString(connection, t.request("GET", id, true, ""))
	waitForEnd(ctx, connection)
}

func readsInBursts(ctx context.Context, connection net.Conn, t target, id string) {
	_, _ = io.WriteString(connection, t.request("GET", id, true, ""))
	readSlowly(ctx, connection, burst, burstInterval)
}

// pipelines sends short and long requests on a connection that is kept, and reads little.
func pipelines(ctx context.Context, connection net.Conn, t target, id string) {
	field := "Long: " + strings.Repeat("y", longField) + "\r\n"
	go func() {
		for n := range pipelined {
			if _, err := io.WriteString(connection, t.request("GET", fmt.Sprint(id, "-", n), n%4 == 0, field)); err != nil {
				return
			}
		}
	}()
	readSlowly(ctx, connection, 1, time.Second)
}

// halfCloses ends its sending direction behind a request.
func halfCloses(ctx context.Context, connection net.Conn, t target, id string) {
	_, _ = io.WriteString(connection, t.request("GET", id, true, ""))
	_ = connection.(*net.TCPConn).CloseWrite()
	readSlowly(ctx, connection, 1, time.Second)
}

func sendsHalfARequest(ctx context.Context, connection net.Conn, t target, id string) {
	text := t.request("GET", id, true, "Long: "+strings.Repeat("y", longField)+"\r\n")
	_, _ = io.WriteString(connection, text[:len(text)-longField/2])
	waitForEnd(ctx, connection)
}

func sendsNothing(ctx context.Context, connection net.Conn, _ target, _ string) {
	waitForEnd(ctx, connection)
}

func sendsBodyByteByByte(ctx context.Context, connection net.Conn, t target, id string) {
	_, err := io.WriteString(connection, t.request("POST", id, false, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)))
	if err == nil {
		_, err = io.WriteString(connection, strings.Repeat("z", bodyStart))
	}
	for err == nil && ctx.Err() == nil {
		sleep(ctx, byteInterval)
		_, err = io.WriteString(connection, "z")
	}
}

// cases are the behaviors of each crowd.
var cases = map[string][]behavior{
	"readsOneByteASecond": {readsOneByteASecond},
	"readsNothing":        {readsNothing},
	"readsInBursts":       {readsInBursts},
	"pipelines":           {pipelines},
	"halfCloses":          {halfCloses},
	"sendsHalfARequest":   {sendsHalfARequest, sendsNothing},
	"sendsBodyByteByByte": {sendsBodyByteByByte},
	"all": {
		readsOneByteASecond, readsNothing, readsInBursts, pipelines, halfCloses, sendsHalfARequest, sendsNothing, sendsBodyByteByByte,
	},
}
