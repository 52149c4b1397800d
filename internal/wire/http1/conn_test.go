package http1_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/wire/http1"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client *http1.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return http1.NewConn(dialed), accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection fails.
func writeUntilError(c *http1.Conn) {
	for err := error(nil); err == nil; {
		_, err = c.Write(make([]byte, 1000))
	}
}

// Guards against the loss of a reset that a write has met: the kernel reports it once.
func TestResetIsAnErrorForTheReaderBehindTheWriter(t *testing.T) {
	c, server := connect(t)
	_, err := io.WriteString(server, "part")
	require.NoError(t, err)
	reset(server)
	writeUntilError(c)
	for range 2 {
		_, err = io.ReadAll(c)
		require.ErrorContains(t, err, "reset by peer")
	}
}

// The same with a write of several buffers.
func TestResetDuringWriteOfBuffersIsAnErrorForTheReader(t *testing.T) {
	c, server := connect(t)
	reset(server)
	require.Error(t, c.WriteBuffers(net.Buffers{[]byte("head"), []byte("body")}))
	_, err := io.ReadAll(c)
	require.ErrorContains(t, err, "reset by peer")
}

func TestStreamThatEndedBeforeTheResetIsComplete(t *testing.T) {
	c, server := connect(t)
	_, err := io.WriteString(server, "whole")
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	reset(server)
	writeUntilError(c)
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "whole", string(text))
}

// Guards against a reader that waits for a write which the server never reads.
func TestEndOfStreamEndsAWriteInProgress(t *testing.T) {
	c, server := connect(t)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	_, err := io.ReadFull(server, make([]byte, 1))
	require.NoError(t, err)
	_, err = io.WriteString(server, "whole")
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "whole", string(text))
	require.Error(t, <-written)
}
