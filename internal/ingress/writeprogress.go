package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"heathershed/internal/endpoint"
)

// writeCheckInterval is how often a write that is pending is checked for progress.
const writeCheckInterval = writeTimeout / 4

// writeProgress extends the deadline of the writes of one answer for as long as the client
// takes bytes.
type writeProgress struct {
	conn net.Conn
	// handed is the number of bytes that the kernel has taken over.
	handed atomic.Int64

	mu    sync.Mutex
	last  int64
	timer *time.Timer
	ended bool
}

// watchWrites extends the deadline of a connection's writes until end is called.
func watchWrites(c net.Conn) *writeProgress {
	p := &writeProgress{conn: c, last: -1}
	p.check()
	return p
}

// taken returns the number of bytes that the client has acknowledged.
func (p *writeProgress) taken() int64 {
	return p.handed.Load() - int64(endpoint.Unacknowledged(p.conn))
}

// check extends the deadline if the client has taken bytes since the last check.
func (p *writeProgress) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	if n := p.taken(); n > p.last {
		p.last = n
		_ = p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only once it is closed
	}
	p.timer = time.AfterFunc(writeCheckInterval, p.check)
}

func (p *writeProgress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
}
