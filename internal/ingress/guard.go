package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/memory"
)

const (
	// freeResponse is the size of a write that needs no share of the memory, so that
	// small answers are never lost for large ones.
	freeResponse = 8 << 10
	// writeStep is the size of the pieces in which a larger answer is written. Each
	// that is accepted counts as progress.
	writeStep = 32 << 10
)

// errNoResponseMemory ends a connection whose answer finds no memory to wait in.
var errNoResponseMemory = errors.New("no memory is left for an answer that its client does not read")

// guard bounds the connections of a server, and the answers that wait to be read by
// their clients.
type guard struct {
	// responses is nil for no bound, and most 0.
	responses *memory.Budget
	most      int

	mu   sync.Mutex
	open map[*guardedConn]struct{}
	// closed counts the connections that were closed at the bound.
	closed int64
}

func newGuard(responses *memory.Budget, most int) *guard {
	return &guard{responses: responses, most: most, open: make(map[*guardedConn]struct{})}
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
		if !c.busy && (oldest == nil || c.since.Before(oldest.since)) {
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
}

// NetConn returns the wrapped connection.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

func (c *guardedConn) setBusy(busy bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.busy = busy
	if !busy {
		c.since = time.Now()
	}
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.guard.mu.Lock()
	delete(c.guard.open, c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn. A large write needs a share of the memory until the
// client has taken it. The connection is closed if none is left, or if it is the one
// that has to give way to another.
func (c *guardedConn) Write(p []byte) (int, error) {
	defer c.setBusy(false)
	if len(p) <= freeResponse || c.guard.responses == nil {
		return c.Conn.Write(p)
	}
	claim := c.guard.responses.Claim(time.Now(), false, func() { _ = c.Conn.Close() })
	defer claim.Release()
	if !claim.Acquire(int64(len(p)), memoryWait) {
		_ = c.Conn.Close() // part of the answer may have been written
		return 0, errNoResponseMemory
	}
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(written+writeStep, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		claim.Progress(time.Now())
	}
	return written, nil
}
