// Package endpoint opens the TCP connections and listeners of a node.
package endpoint

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
)

// Binding is an address to listen at. Name is what errors call it.
type Binding struct {
	Name     string
	Address  string
	Listener *net.Listener
}

// Listen opens all listeners, or none.
func Listen(all ...Binding) error {
	for i, w := range all {
		l, err := net.Listen("tcp", w.Address)
		if err != nil {
			closeAll(all[:i])
			return errors.Wrap(err, w.Name)
		}
		*w.Listener = l
	}
	return nil
}

func closeAll(opened []Binding) {
	for _, w := range opened {
		_ = (*w.Listener).Close() // nothing was accepted
	}
}

// Dial connects to an address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
