package endpoint

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errTooManyBytes ends a connection that sends more than one request may take.
var errTooManyBytes = errors.New("endpoint: request takes more bytes than allowed")

// Bounded wraps a listener of a server that reads one request, writes its answer
// and then reads the next. It bounds the bytes that are read for one request, all
// of its framing included.
func Bounded(l net.Listener, bytes int64) net.Listener {
	return BoundedBy(l, func() int64 { return bytes })
}

// BoundedBy is Bounded with a bound that may change.
func BoundedBy(l net.Listener, bytes func() int64) net.Listener { return boundedListener{l, bytes} }

type boundedListener struct {
	net.Listener
	bytes func() int64
}

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: c, bytes: l.bytes}, nil
}

type boundedConn struct {
	net.Conn
	bytes func() int64
	// read is the number of bytes read since the last write.
	read atomic.Int64
}

// NetConn returns the connection below, whose socket can be asked for its state.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	left := c.bytes() - c.read.Load()
	if left <= 0 {
		return 0, errTooManyBytes
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.read.Store(0)
	return c.Conn.Write(p)
}
