package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"heathershed/internal/endpoint"
)

// guard bounds the connections of a server.
type guard struct {
	// most is 0 for no bound.
	most int
	// smallQueues says that what the kernel holds for a connection is kept small, except
	// while a large answer passes.
	smallQueues bool
	// lingering are the connections that are closed once their rest is read.
	lingering lingering

	mu   sync.Mutex
	open map[*guardedConn]struct{}
	// closed counts the connections that were closed at the bound.
	closed int64
}

func newGuard(most int, smallQueues bool) *guard {
	return &guard{most: most, smallQueues: smallQueues, open: make(map[*guardedConn]struct{})}
}

// stats returns the open connections, and how many were closed at the bound since the
// start.
func (g *guard) stats() (open int, closed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open), g.closed
}

// guardedListener is a listener whose connections belong to a guard.
type guardedListener struct {
	net.Listener
	guard *guard
}

// BoundedListener is a listener whose open connections are bounded. At the bound the
// connection without an answer for the longest time is closed.
type BoundedListener struct{ guardedListener }

// BoundConns bounds the open connections of a listener.
func BoundConns(l net.Listener, most int) BoundedListener {
	const smallQueues = false // no large answers are written in pieces
	return BoundedListener{guardedListener{l, newGuard(most, smallQueues)}}
}

// Closed returns the number of connections that were closed at the bound since the start.
func (l BoundedListener) Closed() int64 {
	_, closed := l.guard.stats()
	return closed
}

// Accept implements net.Listener. At the bound it closes the connection that has been
// without a complete request for the longest time, or the new one if there is none.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &guardedConn{Conn: c, guard: l.guard, since: time.Now()}
		if l.guard.add(conn) {
			return conn, nil
		}
		_ = c.Close() // nothing was sent on it
	}
}

// add registers a connection and reports whether there is room for it.
func (g *guard) add(c *guardedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.most > 0 && len(g.open) >= g.most {
		g.closed++
		oldest := g.oldest()
		if oldest == nil {
			return false
		}
		delete(g.open, oldest)
		_ = oldest.Conn.Close() // its reader sees the error
	}
	g.open[c] = struct{}{}
	return true
}

// oldest returns the connection that has been without a complete request for the
// longest time, or nil.
func (g *guard) oldest() *guardedConn {
	var oldest *guardedConn
	for c := range g.open {
		if !c.busy && !c.owed && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// guardedConn is one connection of a guard.
type guardedConn struct {
	net.Conn
	guard *guard
	// busy is set from when a request was read completely until its answer is
	// written; since is when it was last cleared. Both are guarded by guard.mu.
	busy  bool
	since time.Time
	// owed says that answers to requests that have run ahead are still to be written.
	owed bool
	// answers counts the answers that are to be written in pieces.
	answers int
	// linger says that the rest of what the client sends is read before the connection is
	// closed.
	linger atomic.Bool
}

// NetConn returns the wrapped connection.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// setBusy records that a request was read completely.
func (c *guardedConn) setBusy() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.busy = true
}

// setOwed records whether answers to requests that have run ahead are still to be written.
func (c *guardedConn) setOwed(owed bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.owed = owed
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	if c.linger.CompareAndSwap(true, false) && c.guard.lingering.start(c.Conn, func() { _ = c.closeNow() }) {
		return nil
	}
	return c.closeNow()
}

func (c *guardedConn) closeNow() error {
	c.guard.mu.Lock()
	delete(c.guard.open, c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// enlargeSendQueue lets the kernel hold more of a large answer.
func (c *guardedConn) enlargeSendQueue() {
	if c.guard.smallQueues {
		endpoint.EnlargeSendQueue(c.Conn)
	}
}

// addAnswers records that n more answers are to be written in pieces. Until the last one
// is, the connection is busy.
func (c *guardedConn) addAnswers(n int) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.answers += n
	if c.answers == 0 {
		c.busy, c.since = false, time.Now()
	}
}

// shrinkSendQueue sets the size for small answers unless a large one is written.
func (c *guardedConn) shrinkSendQueue() {
	c.guard.mu.Lock()
	writing := c.answers > 0
	c.guard.mu.Unlock()
	if !writing && c.guard.smallQueues {
		endpoint.ShrinkSendQueue(c.Conn)
	}
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	defer c.written()
	return c.Conn.Write(p)
}

// written records that an answer was written, unless it is one in pieces.
func (c *guardedConn) written() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.answers == 0 {
		c.busy, c.since = false, time.Now()
	}
}
