package soak

import (
	"net"
	"slices"
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
	// ModeBlackholeIn and ModeBlackholeOut drop what goes to the server, or comes
	// from it, and keep the connections open.
	ModeBlackholeIn
	ModeBlackholeOut
)

const (
	delayBy = 50 * time.Millisecond
	// pieceBytes is what a proxy passes on at once.
	pieceBytes = 16 << 10
	// heldPieces bounds the pieces held back in one direction.
	heldPieces = 256
	// dialTimeout bounds the proxy's own connections.
	dialTimeout = time.Second
)

// Proxy passes connections on to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  Mode
	conns []*passed // oldest first
}

// passed is one connection; the proxy's lock guards silent.
type passed struct {
	client, server net.Conn
	// silent drops what comes both ways, for good.
	silent bool
}

// piece is what was read at once, with the time at which it goes on.
type piece struct {
	due  time.Time
	data []byte
}

// NewProxy listens on address and passes on to another one.
func NewProxy(address, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to}
	go p.serve()
	return p, nil
}

// SetMode changes the mode, for the present connections too.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == ModeReset {
		p.closeAll()
	}
}

// BlackholeAll makes the present connections silent for good; new ones work.
func (p *Proxy) BlackholeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent = true
	}
}

// BlackholeOne makes one of the present connections silent for good.
func (p *Proxy) BlackholeOne(draw uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := uint64(len(p.conns)); n > 0 {
		p.conns[draw%n].silent = true
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
	for _, c := range p.conns {
		reset(c.client)
		reset(c.server)
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the other end sees an ordinary end
	}
	_ = c.Close()
}

// state is the mode, and whether one connection is silent for good.
func (p *Proxy) state(c *passed) (mode Mode, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, c.silent
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
	server, err := net.DialTimeout("tcp", p.to, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := &passed{client: client, server: server}
	if !p.enter(c) {
		reset(client)
		reset(server)
		return
	}
	defer p.leave(c)
	var both sync.WaitGroup
	both.Go(func() { p.carry(c, server, client, ModeBlackholeIn) })
	both.Go(func() { p.carry(c, client, server, ModeBlackholeOut) })
	both.Wait()
}

// carry passes on in one direction.
func (p *Proxy) carry(c *passed, to, from net.Conn, silent Mode) {
	defer to.Close()
	pieces := make(chan piece, heldPieces)
	go p.read(c, from, silent, pieces)
	failed := false
	for one := range pieces {
		if failed {
			continue // until the reader has seen it
		}
		time.Sleep(time.Until(one.due))
		if _, err := to.Write(one.data); err != nil {
			failed = true
			_ = from.Close() // ends the reader
		}
	}
}

// read hands on what comes until the connection ends. What comes while the way
// is silent is lost, and so is all that follows it on this connection.
func (p *Proxy) read(c *passed, from net.Conn, silent Mode, pieces chan<- piece) {
	defer close(pieces)
	defer from.Close()
	buffer := make([]byte, pieceBytes)
	lost := false
	for {
		n, err := from.Read(buffer)
		mode, gone := p.state(c)
		lost = lost || gone || mode == silent
		if n > 0 && !lost {
			pieces <- held(buffer[:n], mode)
		}
		if err != nil {
			return
		}
	}
}

// held is a copy of data with the time at which it goes on.
func held(data []byte, mode Mode) piece {
	due := time.Now()
	if mode == ModeDelay {
		due = due.Add(delayBy)
	}
	return piece{due: due, data: slices.Clone(data)}
}

// enter reports false where the proxy resets each new connection.
func (p *Proxy) enter(c *passed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeReset {
		return false
	}
	p.conns = append(p.conns, c)
	return true
}

func (p *Proxy) leave(c *passed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(other *passed) bool { return other == c })
}
