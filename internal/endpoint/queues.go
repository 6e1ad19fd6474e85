package endpoint

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Sizes in bytes of what the kernel may hold for a connection, one way: received and not
// yet read, or written and not yet acknowledged. The kernel may take about twice as much.
const (
	// smallReceiveQueue and smallSendQueue are for connections on which small requests and
	// answers pass.
	smallReceiveQueue = 16 << 10
	smallSendQueue    = 8 << 10
	// largeReceiveQueue is for a large body. A connection that was accepted with a small
	// queue can't have a larger window.
	largeReceiveQueue = 64 << 10
	// LargeSendQueue is for a large answer.
	LargeSendQueue = 256 << 10
)

// ErrNoSocket is returned for a connection without a socket of the kernel.
var ErrNoSocket = errors.New("endpoint: connection has no socket")

// SetQueues sets what the kernel may hold for a connection, each way. A connection whose
// socket does not allow that keeps the kernel's own bounds.
func SetQueues(c net.Conn, bytes int) {
	_ = Control(c, func(fd uintptr) { setQueues(fd, bytes, bytes) })
}

// setQueues sets the sizes for a socket. For one that listens, they are those of the
// connections that it accepts: set later, they would be below windows that were announced.
func setQueues(fd uintptr, receive, send int) {
	_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
	_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
}

// EnlargeReceiveQueue is for a connection that carries one large body and is then closed.
func EnlargeReceiveQueue(c net.Conn) {
	_ = Control(c, func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, largeReceiveQueue)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, largeReceiveQueue)
	})
}

// EnlargeSendQueue is for the time of a large answer, and ShrinkSendQueue ends it.
func EnlargeSendQueue(c net.Conn) { setSendQueue(c, LargeSendQueue) }

// ShrinkSendQueue sets the size for small answers.
func ShrinkSendQueue(c net.Conn) { setSendQueue(c, smallSendQueue) }

func setSendQueue(c net.Conn, bytes int) {
	_ = Control(c, func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes) })
}

// HasTaken reports whether the other end has acknowledged all but a small part of what was
// written to a connection.
func HasTaken(c net.Conn) bool { return Unacknowledged(c) <= smallSendQueue }

// Unacknowledged returns the bytes that were written to a connection and not yet
// acknowledged by its other end; 0 if that is not known.
func Unacknowledged(c net.Conn) int {
	bytes := 0
	_ = Control(c, func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// Control calls f with the descriptor of the socket below a connection.
func Control(c net.Conn, f func(fd uintptr)) error {
	sc, ok := Innermost(c).(syscall.Conn)
	if !ok {
		return ErrNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}

// Innermost returns the connection below all that wrap it.
func Innermost(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}
