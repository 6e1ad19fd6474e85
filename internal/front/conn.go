package front

import (
	"context"
	"net"
	"sync"
	"time"
)

// watchedConn is a caller's connection that can notice, while a request is
// being served, that the caller has left. fasthttp does not read from a
// connection during a handler, so a reader of one byte can wait there.
type watchedConn struct {
	net.Conn

	mu     sync.Mutex
	stash  byte
	filled bool
	err    error
}

// watch calls cancel when the caller closes the connection. The returned
// function ends the watch and must be called before the handler returns.
func (c *watchedConn) watch(cancel context.CancelFunc) (stop func()) {
	c.mu.Lock()
	idle := !c.filled && c.err == nil
	c.mu.Unlock()
	if !idle {
		return func() {}
	}
	// The time that the caller had to send its request is over.
	_ = c.Conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	stopping := make(chan struct{})
	go c.waitByte(cancel, stopping, done)
	return func() {
		close(stopping)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

func (c *watchedConn) waitByte(cancel context.CancelFunc, stopping, done chan struct{}) {
	defer close(done)
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 1 {
		c.stash, c.filled = b[0], true
		return
	}
	select {
	case <-stopping:
		return
	default:
	}
	c.err = err
	cancel()
}

// Read returns what the watch read, then goes on with the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	filled, err := c.filled, c.err
	if filled && len(p) > 0 {
		p[0] = c.stash
		c.filled = false
	}
	c.mu.Unlock()
	if filled && len(p) > 0 {
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
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
