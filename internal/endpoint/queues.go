package endpoint

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNoSocket is returned for a connection without a socket of the kernel.
var ErrNoSocket = errors.New("endpoint: connection has no socket")

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
