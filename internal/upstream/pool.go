package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"syscall"
	"time"
)

// idleCheckInterval is how often the idle connections are checked.
const idleCheckInterval = time.Second

// take returns an idle connection that is still open, or a new one.
func (c *Client) take(ctx context.Context, order bool) (*conn, error) {
	for {
		cn := c.pop(order)
		if cn == nil {
			return c.open(ctx)
		}
		if cn.usable(time.Now(), order) {
			return cn, nil
		}
		_ = cn.Close()
	}
}

func (c *Client) open(ctx context.Context) (*conn, error) {
	raw, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw}
	cn.r = bufio.NewReaderSize(cn, bufferSize)
	cn.w = bufio.NewWriterSize(cn, bufferSize)
	return cn, nil
}

// pop removes the idle connection that was used last, or nil if there is none. An order
// gets none whose last answer named no request: it could not be told from the order's.
func (c *Client) pop(order bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cn := range slices.Backward(c.idle) {
		if !order || !cn.unnamed {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cn
		}
	}
	return nil
}

func (c *Client) put(cn *conn) {
	cn.usedAt = time.Now()
	c.mu.Lock()
	full := len(c.idle) >= c.maxIdle
	if !full {
		c.idle = append(c.idle, cn)
	}
	c.mu.Unlock()
	if full {
		_ = cn.Close()
	}
}

// usable reports whether a request can be sent on an idle connection.
func (c *conn) usable(now time.Time, order bool) bool {
	return now.Sub(c.usedAt) < c.maxAge(order) && stillOpen(c.Conn)
}

// RunIdle closes idle connections that can't be used any more, until ctx ends. An
// upstream may send into them without end.
func (c *Client) RunIdle(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.closeUnusable(now)
		}
	}
}

// closeUnusable closes the idle connections that can't be used any more.
func (c *Client) closeUnusable(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = slices.DeleteFunc(c.idle, func(cn *conn) bool {
		const order = false // a lookup may use a connection for longer
		if cn.usable(now, order) {
			return false
		}
		_ = cn.Close()
		return true
	})
}

// CloseIdle closes the idle connections. It is used at shutdown and when the
// upstream was restarted.
func (c *Client) CloseIdle() {
	const order = false // those that orders don't use too
	for cn := c.pop(order); cn != nil; cn = c.pop(order) {
		_ = cn.Close()
	}
}

// stillOpen peeks at an idle connection without blocking. Nothing may be readable
// on an idle connection; data or an end of file means that it cannot be used.
func stillOpen(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
