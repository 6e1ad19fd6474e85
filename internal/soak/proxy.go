package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to its connections.
type Mode int

// Modes; the zero value passes everything on.
const (
	ModePass Mode = iota
	// ModeDelay holds every piece back for delayBy.
	ModeDelay
	// ModeReset closes all connections and each new one.
	ModeReset
	// ModeSilentIn and ModeSilentOut drop what goes to the server, or comes
	// from it, and keep the connections open.
	ModeSilentIn
	ModeSilentOut
)

const (
	delayBy = 50 * time.Millisecond
	// pieceBytes is what a proxy passes on at once.
	pieceBytes = 16 << 10
	// dialTimeout bounds the proxy's own connections.
	dialTimeout = time.Second
)

// Proxy passes connections on to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// NewProxy listens on address and passes on to another one.
func NewProxy(address, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

// Set changes the mode, for the present connections too.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == ModeReset {
		p.closeAll()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing is left to lose
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// closeAll resets all connections; the caller holds the lock.
func (p *Proxy) closeAll() {
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the other end sees an ordinary end
	}
	_ = c.Close()
}

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.pass(c)
	}
}

// pass carries one connection both ways until one end closes.
func (p *Proxy) pass(client net.Conn) {
	if p.now() == ModeReset {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.to, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	p.enter(client, server)
	defer p.leave(client, server)
	var both sync.WaitGroup
	both.Go(func() { p.carry(server, client, ModeSilentIn) })
	both.Go(func() { p.carry(client, server, ModeSilentOut) })
	both.Wait()
}

// carry passes on in one direction; what comes while the mode is silent is lost.
func (p *Proxy) carry(to, from net.Conn, silent Mode) {
	defer to.Close()
	defer from.Close()
	piece := make([]byte, pieceBytes)
	lost := false
	for {
		n, err := from.Read(piece)
		if err != nil && err != io.EOF {
			return
		}
		mode := p.now()
		lost = lost || mode == silent
		if mode == ModeDelay {
			time.Sleep(delayBy)
		}
		if !lost && n > 0 {
			if _, failed := to.Write(piece[:n]); failed != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
	}
}

func (p *Proxy) enter(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) leave(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
