package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// aheadBytes is the size of a connection's buffer: most requests fit whole.
const aheadBytes = 512

// watchedConn is a caller's connection that can notice, while a request is
// being served, that the caller has left. fasthttp does not read from a
// connection during a handler, so a read of the next request can wait there. It
// goes on after the handler, and the next Read takes what it brought.
type watchedConn struct {
	net.Conn

	mu sync.Mutex
	// ahead is the part of buffer that is read and not yet taken.
	ahead []byte
	// err ended a read; it is the answer to all later ones.
	err error
	// reading is closed at the end of the read under way; nil: there is none.
	reading chan struct{}
	// left is called when the caller leaves; nil: no request is served.
	left context.CancelFunc
	// buffer belongs to the read under way, else to mu.
	buffer [aheadBytes]byte
}

// watch calls left when the caller closes the connection, until unwatch.
func (c *watchedConn) watch(left context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 || c.err != nil {
		return
	}
	// The time that the caller had to send its request is over.
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.left = left
	if c.reading != nil {
		return // since an earlier request, beside which this one was sent ahead
	}
	c.reading = make(chan struct{})
	go c.readAhead(c.reading)
}

// unwatch ends the watch. A read under way stays for the next request.
func (c *watchedConn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = nil
}

// readAhead reads into the buffer.
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
	if c.left != nil {
		c.left()
	}
}

// Read returns what was read ahead, then goes on with the connection. Small
// reads fill the buffer: fasthttp reads the first byte of a request alone.
func (c *watchedConn) Read(p []byte) (int, error) {
	if n, err := c.takeAhead(p); n > 0 || err != nil {
		return n, err
	}
	if len(p) == 0 || len(p) >= aheadBytes {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(c.buffer[:])
	took := copy(p, c.buffer[:n])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = c.buffer[took:n]
	return took, err
}

// takeAhead waits for a read under way and takes from what was read ahead.
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

// watchedListener wraps each accepted connection.
type watchedListener struct{ net.Listener }

func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c}, nil
}
