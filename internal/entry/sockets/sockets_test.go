package sockets_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/internal/entry/sockets"
)

// Guards against responses that the kernel holds for clients that do not read: a write has to wait
// for its client once both buffers are full.
func TestUnreadBytesAreBounded(t *testing.T) {
	listener, err := sockets.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	const clientBuffer, size = 16 << 10, 3 << 20 // the kernel would hold 4 MB
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.(*net.TCPConn).SetReadBuffer(clientBuffer))
	server, err := listener.Accept()
	require.NoError(t, err)
	defer server.Close()
	require.NoError(t, server.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	n, err := server.Write(make([]byte, size))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Less(t, n, 512<<10)
	sent := 0
	for err = nil; err == nil; sent += n {
		require.NoError(t, client.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		n, err = client.Write(make([]byte, size))
		require.Less(t, sent, 16<<20)
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
