package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echo starts a server that sends back what it receives. It returns the
// server's address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// roundTrip sends a line and returns what comes back within 300 ms.
func roundTrip(c net.Conn) (string, error) {
	if _, err := fmt.Fprintln(c, "word"); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	return bufio.NewReader(c).ReadString('\n')
}

func TestProxyModes(t *testing.T) {
	cases := []struct {
		name     string
		mode     Mode
		answered bool
		// open says that the connection stays open, with or without an answer.
		open bool
	}{
		{"pass", ModePass, true, true},
		{"delay", ModeDelay, true, true},
		{"reset", ModeReset, false, false},
		{"silent in", ModeBlackholeIn, false, true},
		{"silent out", ModeBlackholeOut, false, true},
	}
	for _, c := range cases {
		p, err := NewProxy("127.0.0.1:0", echo(t))
		if err != nil {
			t.Fatal(err)
		}
		conn := dial(t, p)
		p.SetMode(c.mode)
		_, err = roundTrip(conn)
		if answered := err == nil; answered != c.answered {
			t.Errorf("%s: answered %v, want %v", c.name, answered, c.answered)
		}
		if open := err == nil || errors.Is(err, os.ErrDeadlineExceeded); open != c.open {
			t.Errorf("%s: %v, open %v, want %v", c.name, err, open, c.open)
		}
		p.Close()
	}
}

// TestBlackholeAffectsOnlyOpenConns guards against a blackhole that drops data
// of other connections. The test blackholes both of two connections, or the
// drawn one, and opens a third.
func TestBlackholeAffectsOnlyOpenConns(t *testing.T) {
	cases := []struct {
		name      string
		blackhole func(p *Proxy)
		answered  [3]bool
	}{
		{"all", (*Proxy).BlackholeAll, [3]bool{false, false, true}},
		{"the first", func(p *Proxy) { p.BlackholeOne(4) }, [3]bool{false, true, true}},
		{"the second", func(p *Proxy) { p.BlackholeOne(5) }, [3]bool{true, false, true}},
	}
	for _, c := range cases {
		p, err := NewProxy("127.0.0.1:0", echo(t))
		if err != nil {
			t.Fatal(err)
		}
		conns := []net.Conn{dial(t, p), dial(t, p)}
		c.blackhole(p)
		conns = append(conns, dial(t, p))
		for i, conn := range conns {
			if _, err := roundTrip(conn); (err == nil) != c.answered[i] {
				t.Errorf("%s: connection %d: %v, want answered %v", c.name, i, err, c.answered[i])
			}
		}
		p.Close()
	}
}

// dial opens a connection through the proxy and completes one round trip on it.
func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := roundTrip(conn); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestDelayKeepsThroughput guards against delays that add up over the chunks in
// transit instead of overlapping.
func TestDelayKeepsThroughput(t *testing.T) {
	const rounds = 20
	p, err := NewProxy("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	conn := dial(t, p)
	p.SetMode(ModeDelay)
	began := time.Now()
	for range rounds {
		if _, err := conn.Write(make([]byte, chunkBytes)); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.SetReadDeadline(began.Add(rounds * proxyDelay))
	if _, err := io.ReadFull(conn, make([]byte, rounds*chunkBytes)); err != nil {
		t.Errorf("with a delay of %v each way, after %v not all of %d chunks had arrived: %v", proxyDelay, time.Since(began), rounds, err)
	}
	if took := time.Since(began); took < 2*proxyDelay {
		t.Errorf("took %v, want at least the delay in both directions", took)
	}
}
