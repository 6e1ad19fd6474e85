package ingress

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"heathershed/internal/endpoint"
)

// fill reads the connection while a request is served, runs the requests that have
// arrived and detects that the client has left. A read that is pending when the
// request ends stays pending; the next Read gets what it reads. A deadline that ends the
// read is the server's for the next request, and is left to its Read.
func (c *pipelinedConn) fill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.endFillLocked()
	for c.cancel != nil && c.err == nil {
		c.compactLocked()
		space := c.spaceLocked()
		if len(space) == 0 {
			c.awaitSpaceLocked()
			continue
		}
		c.mu.Unlock()
		n, err := c.Conn.Read(space)
		c.mu.Lock()
		c.end += n
		if err != nil && c.err == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
			c.leaveLocked()
		}
		c.changed.Broadcast()
		c.runAheadLocked()
	}
}

// endFillLocked ends the time in which only a pending read may change the buffer.
func (c *pipelinedConn) endFillLocked() {
	c.filling = false
	if c.err != nil && c.closing { // nothing is read any more
		c.shrinkLocked()
	}
	c.changed.Broadcast()
}

// awaitSpaceLocked waits a while for the request to end, and checks whether the client
// has left.
func (c *pipelinedConn) awaitSpaceLocked() {
	ended := c.ended
	c.mu.Unlock()
	timer := time.NewTimer(hangupPoll)
	left := false
	select {
	case <-ended:
	case <-timer.C:
		left = hungUp(c.Conn)
	}
	timer.Stop()
	c.mu.Lock()
	if left && c.err == nil {
		c.err = io.EOF
		c.leaveLocked()
		c.changed.Broadcast()
	}
}

// compactLocked moves what is buffered to the beginning of the buffer. No read may be
// pending.
func (c *pipelinedConn) compactLocked() {
	if c.start > 0 {
		c.end = copy(c.buf, c.buf[c.start:c.end])
		c.start = 0
	}
	if c.end == 0 {
		c.shrinkLocked()
	}
}

// shrinkLocked replaces a buffer that was enlarged by the small one. What it holds is
// lost.
func (c *pipelinedConn) shrinkLocked() {
	if len(c.buf) > readAheadSize {
		c.p.memory.Add(-int64(len(c.buf)))
		c.buf = c.small[:]
	}
	c.start, c.end = 0, 0
}

// spaceLocked returns the free part of the buffer, which is enlarged within its bounds
// if it is full.
func (c *pipelinedConn) spaceLocked() []byte {
	if c.end < len(c.buf) {
		return c.buf[c.end:]
	}
	size := 2 * len(c.buf)
	if size > maxAheadBytes || !c.p.reserve(size) {
		return nil
	}
	larger := make([]byte, size)
	c.end = copy(larger, c.buf[c.start:c.end])
	c.start = 0
	if len(c.buf) > readAheadSize {
		c.p.memory.Add(-int64(len(c.buf)))
	}
	c.buf = larger
	return c.buf[c.end:]
}

// Read returns the next bytes of the request that the server reads, and none of the
// request behind it. Small reads fill the buffer, because fasthttp reads the first byte
// of a request by itself.
func (c *pipelinedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == stageServed {
		if err := c.nextLocked(); err != nil {
			return 0, err
		}
	}
	if len(c.standIn) > 0 {
		n := copy(p, c.standIn)
		c.standIn = c.standIn[n:]
		return n, nil
	}
	for c.start == c.end {
		if c.err != nil {
			return 0, c.err
		}
		if c.filling {
			c.changed.Wait()
			continue
		}
		if n, err, direct := c.readLocked(p); direct {
			return n, err
		}
	}
	return c.deliverLocked(p), nil
}

// nextLocked begins the next request; what was received of one that has run ahead is
// skipped. None is begun for a client that has left.
func (c *pipelinedConn) nextLocked() error {
	if c.err != nil {
		return c.err
	}
	if len(c.ahead) == 0 {
		c.stage = stageHead
		return nil
	}
	c.current = c.ahead[0]
	c.ahead = append(c.ahead[:0], c.ahead[1:]...)
	c.aheadSize -= c.current.size
	c.start += c.current.size
	c.standIn = c.current.standIn
	c.stage, c.left = stageBody, 0
	return nil
}

// readLocked reads from the connection: directly into p if all of it belongs to the
// current request, else into the buffer.
func (c *pipelinedConn) readLocked(p []byte) (n int, err error, direct bool) {
	if c.stage == stageBody && c.left == 0 {
		c.stage = stageUnknown // the server expects more than this connection does
	}
	into := p
	switch {
	case len(p) < readAheadSize || c.stage == stageHead:
		c.compactLocked()
		into = c.buf
	case c.stage == stageBody:
		into, direct = p[:min(len(p), c.left)], true
	default:
		direct = true
	}
	c.filling = !direct
	c.mu.Unlock()
	n, err = c.Conn.Read(into)
	c.mu.Lock()
	if !direct {
		c.end += n
		if err != nil && c.err == nil {
			c.err = err
		}
		c.endFillLocked()
		return 0, nil, false
	}
	if c.stage == stageBody {
		c.left -= n
	}
	return n, err, true
}

// deliverLocked copies buffered bytes of the current request.
func (c *pipelinedConn) deliverLocked(p []byte) int {
	next := c.buf[c.start:min(c.end, c.start+len(p))]
	if c.stage == stageHead && c.head.ended {
		c.stage = stageUnknown
		if size, ok := c.head.bodySize(c.buf[c.start:c.end]); ok && size > 0 {
			c.stage, c.left = stageBody, size
		}
	}
	switch c.stage {
	case stageHead:
		next = next[:c.head.add(next)]
		if len(c.head.bytes) > c.p.headBytes {
			c.stage = stageUnknown // the server rejects it
		}
	case stageBody:
		if c.left == 0 {
			c.stage = stageUnknown // the server expects more than this connection does
			break
		}
		next = next[:min(len(next), c.left)]
		c.left -= len(next)
	}
	copy(p, next)
	c.start += len(next)
	return len(next)
}

// hungUp reports whether the other end has closed a connection, or its sending side.
// Unlike a read, it tells so while bytes wait to be read.
func hungUp(c net.Conn) bool {
	left := false
	err := endpoint.Control(c, func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil && !errors.Is(err, endpoint.ErrNoSocket)
}
