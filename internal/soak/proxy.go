package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Mode is what a proxy does to its connections.
type Mode int

// The modes. The zero value forwards everything.
const (
	ModePass Mode = iota
	// ModeDelay delays every chunk by proxyDelay.
	ModeDelay
	// ModeReset resets all connections and each new one.
	ModeReset
	// ModeBlackholeIn drops what goes to the proxy's target, ModeBlackholeOut
	// what comes from it. Both keep the connections open.
	ModeBlackholeIn
	ModeBlackholeOut
)

const (
	proxyDelay = 50 * time.Millisecond
	// chunkBytes is the most that a proxy forwards in one write.
	chunkBytes = 16 << 10
	// maxChunks bounds the delayed chunks in one direction.
	maxChunks = 256
	// dialTimeout bounds the proxy's own dials.
	dialTimeout = time.Second
)

// Proxy forwards connections to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns []*proxiedConn // oldest first
}

// proxiedConn is one connection. The proxy's lock guards blackholed.
type proxiedConn struct {
	client, server net.Conn
	// blackholed drops everything in both directions from now on.
	blackholed bool
}

// chunk is data from one read, with the time at which it is forwarded.
type chunk struct {
	due  time.Time
	data []byte
}

// NewProxy listens on address and forwards connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target}
	go p.serve()
	return p, nil
}

// SetMode changes the mode, also for the open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == ModeReset {
		p.closeAll()
	}
}

// BlackholeAll blackholes the open connections until they close. New
// connections work.
func (p *Proxy) BlackholeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.blackholed = true
	}
}

// BlackholeOne blackholes one of the open connections until it closes.
func (p *Proxy) BlackholeOne(draw uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := uint64(len(p.conns)); n > 0 {
		p.conns[draw%n].blackholed = true
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // the error changes nothing here
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// closeAll resets all connections. The caller holds the lock.
func (p *Proxy) closeAll() {
	for _, c := range p.conns {
		resetConn(c.client)
		resetConn(c.server)
	}
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the peer sees an ordinary end of stream
	}
	_ = c.Close()
}

// state returns the mode and whether the connection is blackholed.
func (p *Proxy) state(c *proxiedConn) (mode Mode, blackholed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, c.blackholed
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.handle(c)
	}
}

// handle forwards one connection in both directions until one end closes.
func (p *Proxy) handle(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	c := &proxiedConn{client: client, server: server}
	if !p.register(c) {
		resetConn(client)
		resetConn(server)
		return
	}
	defer p.unregister(c)
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, server, client, ModeBlackholeIn) })
	wg.Go(func() { p.forward(c, client, server, ModeBlackholeOut) })
	wg.Wait()
}

// forward forwards data in one direction until readChunks drops it, as it does
// in dropMode.
func (p *Proxy) forward(c *proxiedConn, to, from net.Conn, dropMode Mode) {
	defer to.Close()
	chunks := make(chan chunk, maxChunks)
	go p.readChunks(c, from, dropMode, chunks)
	failed := false
	for next := range chunks {
		if failed {
			continue // drain until the reader has ended
		}
		time.Sleep(time.Until(next.due))
		if _, err := to.Write(next.data); err != nil {
			failed = true
			_ = from.Close() // ends the reader
		}
	}
}

// readChunks sends what it reads to chunks until the connection ends. It drops
// data in dropMode and on a blackholed connection. Once it has dropped data, it
// drops everything that follows in this direction.
func (p *Proxy) readChunks(c *proxiedConn, from net.Conn, dropMode Mode, chunks chan<- chunk) {
	defer close(chunks)
	defer from.Close()
	buffer := make([]byte, chunkBytes)
	dropped := false
	for {
		n, err := from.Read(buffer)
		mode, blackholed := p.state(c)
		dropped = dropped || blackholed || mode == dropMode
		if n > 0 && !dropped {
			chunks <- newChunk(buffer[:n], mode)
		}
		if err != nil {
			return
		}
	}
}

// newChunk returns a copy of data with the time at which it is forwarded.
func newChunk(data []byte, mode Mode) chunk {
	due := time.Now()
	if mode == ModeDelay {
		due = due.Add(proxyDelay)
	}
	return chunk{due: due, data: slices.Clone(data)}
}

// register adds an open connection. It reports false where the proxy resets
// each new connection.
func (p *Proxy) register(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeReset {
		return false
	}
	p.conns = append(p.conns, c)
	return true
}

func (p *Proxy) unregister(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(other *proxiedConn) bool { return other == c })
}
