// Package endpoint opens the TCP connections and listeners of a node.
package endpoint

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Binding is an address to listen at. Name identifies it in errors, and the
// listener is stored in Listener.
type Binding struct {
	Name     string
	Address  string
	Listener *net.Listener
	// SmallQueues keeps what the kernel holds for each accepted connection small.
	SmallQueues bool
}

// listen opens the listener.
func (b Binding) listen() (net.Listener, error) {
	var config net.ListenConfig
	if b.SmallQueues {
		config.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { setQueues(fd, smallReceiveQueue, smallSendQueue) })
		}
	}
	return config.Listen(context.Background(), "tcp", b.Address)
}

// Listen opens all listeners. If one fails it closes those opened before and
// returns the error.
func Listen(all ...Binding) error {
	for i, b := range all {
		l, err := b.listen()
		if err != nil {
			closeAll(all[:i])
			return errors.Wrap(err, b.Name)
		}
		*b.Listener = l
	}
	return nil
}

func closeAll(opened []Binding) {
	for _, b := range opened {
		_ = (*b.Listener).Close() // no connection was accepted yet
	}
}

// Dial opens a TCP connection to an address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
