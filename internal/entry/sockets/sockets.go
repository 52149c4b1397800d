// Package sockets bounds what the kernel holds for the connections of a listener.
package sockets

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// UnsentBytes bounds the bytes of a response in the kernel that the client has no room for.
	// Without it, the kernel takes up to 4 MB for each client that does not read, and the process
	// cannot tell that it does not. What is on its way to the client is not limited.
	UnsentBytes = 16 << 10
	// ReceiveBytes bounds the bytes that the kernel receives before the process reads them. It is
	// about the kernel's initial window, which otherwise grows to 32 MB.
	ReceiveBytes = 64 << 10
)

// Listen listens on a TCP address. The limits apply to the connections that it accepts.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) { failed = limit(int(descriptor)) })
		return errors.CombineErrors(err, failed)
	}}
	// Accepted sockets of Multipath TCP do not inherit the options.
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// limit sets options that accepted sockets inherit.
func limit(descriptor int) error {
	if err := unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, UnsentBytes); err != nil {
		return errors.Wrap(err, "sockets: unsent bytes")
	}
	return errors.Wrap(unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBytes), "sockets: receive buffer")
}
