package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// readAheadSize is the size of a connection's read-ahead buffer in bytes. Most
// requests fit into it completely.
const readAheadSize = 512

// watchedConn is a caller's connection that detects, while a request is being
// served, that the caller has closed it. fasthttp does not read from a
// connection while a handler runs, so a read for the next request can be pending
// meanwhile. It stays pending after the handler, and the next Read returns what
// it has read.
type watchedConn struct {
	net.Conn

	mu sync.Mutex
	// ahead is the part of buffer that has been read but not returned yet.
	ahead []byte
	// err is the error that ended a read; all later reads return it.
	err error
	// reading is closed when the pending read ends; nil if there is none.
	reading chan struct{}
	// onClose is called when the caller closes the connection; nil while no
	// request is served.
	onClose context.CancelFunc
	// buffer is owned by the pending read; without one it is guarded by mu.
	buffer [readAheadSize]byte
}

// NetConn returns the wrapped connection.
func (c *watchedConn) NetConn() net.Conn { return c.Conn }

// watch calls onClose when the caller closes the connection, until unwatch. It
// does nothing while data is buffered that was read ahead, or after a read has
// failed.
func (c *watchedConn) watch(onClose context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 || c.err != nil {
		return
	}
	// Clear the deadline for sending the request, which has been read.
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.onClose = onClose
	if c.reading != nil {
		return // still pending from an earlier request; this one was pipelined behind it
	}
	c.reading = make(chan struct{})
	go c.readAhead(c.reading)
}

// unwatch ends the watch. A pending read is kept for the next request.
func (c *watchedConn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = nil
}

// readAhead reads into the buffer, and calls onClose if the read fails. It closes
// done at its end.
func (c *watchedConn) readAhead(done chan struct{}) {
	defer close(done)
	n, err := c.Conn.Read(c.buffer[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = nil
	if n > 0 {
		c.ahead = c.buffer[:n]
		return
	}
	c.err = err
	if c.onClose != nil {
		c.onClose()
	}
}

// Read returns what was read ahead, and then reads from the connection. Small
// reads fill the buffer, because fasthttp reads the first byte of a request by
// itself.
func (c *watchedConn) Read(p []byte) (int, error) {
	if n, err := c.takeAhead(p); n > 0 || err != nil {
		return n, err
	}
	if len(p) == 0 || len(p) >= readAheadSize {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(c.buffer[:])
	copied := copy(p, c.buffer[:n])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = c.buffer[copied:n]
	return copied, err
}

// takeAhead waits for a pending read and returns what was read ahead.
func (c *watchedConn) takeAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reading := c.reading; reading != nil {
		c.mu.Unlock()
		<-reading
		c.mu.Lock()
	}
	if len(c.ahead) == 0 {
		return 0, c.err
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// watchedListener wraps each accepted connection in a watchedConn.
type watchedListener struct{ net.Listener }

func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c}, nil
}
