package ingress

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"heathershed/internal/endpoint"
)

// A client that still sends its request when it is refused gets the answer only if the rest
// is read: closing a connection with unread bytes resets it.

const (
	// maxLingering bounds the connections whose rest is read, and lingerTime the time for
	// that. Of one as many bytes are read as two requests at the limit may take, and
	// lingerBytes at least.
	maxLingering = 64
	lingerTime   = 2 * time.Second
	lingerBytes  = 16 << 20
	// lingerBuffer is the size in bytes of the buffer that the rest is read into.
	lingerBuffer = 16 << 10
)

// lingering counts the connections whose rest is being read, and those since the start
// that were closed without, as there were too many.
type lingering struct {
	open, skipped atomic.Int64
	// request returns the bytes that one request may take; nil if that is not bounded.
	request func() int64
}

// bytes returns how many bytes are read of one connection at most.
func (l *lingering) bytes() int64 {
	if l.request == nil {
		return lingerBytes
	}
	return max(2*l.request(), lingerBytes)
}

// lingerOnClose makes the server read the rest of what the client sends before it closes
// the connection.
func lingerOnClose(c net.Conn) {
	if g := guardOf(c); g != nil {
		g.linger.Store(true)
	}
}

// start reads the rest of a connection in its own goroutine and then calls end. It reports
// false if too many connections linger already.
func (l *lingering) start(c net.Conn, end func()) bool {
	if l.open.Add(1) > maxLingering {
		l.open.Add(-1)
		l.skipped.Add(1)
		return false
	}
	go func() {
		defer l.open.Add(-1)
		defer end()
		discardRest(c, l.bytes())
	}()
	return true
}

// discardRest ends the sending side of a connection and reads until its client ends the
// other one, or most bytes.
func discardRest(c net.Conn, most int64) {
	c = endpoint.Innermost(c)
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	rest := io.LimitReader(c, most)
	for buffer := make([]byte, lingerBuffer); ; {
		if _, err := rest.Read(buffer); err != nil {
			return
		}
	}
}
