package load

import (
	"net"
	"sync"
)

// connSet tracks the open connections of a server, so that all of them can be
// closed together, as when a VM crashes.
type connSet struct {
	mu       sync.Mutex
	open     map[*trackedConn]struct{}
	listener net.Listener
	closed   bool
}

func newConnSet() *connSet { return &connSet{open: make(map[*trackedConn]struct{})} }

// listen wraps the listener so that its connections are tracked.
func (s *connSet) listen(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	if s.closed {
		_ = l.Close()
	}
	return &trackedListener{Listener: l, set: s}
}

// closeAll closes the listener and every connection.
func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.open {
		_ = c.Conn.Close()
	}
}

type trackedListener struct {
	net.Listener
	set *connSet
}

func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, set: l.set}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.open[t] = struct{}{}
	if l.set.closed {
		_ = c.Close()
	}
	return t, nil
}

type trackedConn struct {
	net.Conn
	set *connSet
}

func (c *trackedConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}
