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

// echo answers each line with itself and returns its address.
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

// say sends a line and returns what comes back within a short time.
func say(c net.Conn) (string, error) {
	if _, err := fmt.Fprintln(c, "word"); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	return bufio.NewReader(c).ReadString('\n')
}

func TestProxyModes(t *testing.T) {
	cases := []struct {
		name  string
		mode  Mode
		heard bool
		// open says that the connection stays open without an answer.
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
		_, err = say(conn)
		if heard := err == nil; heard != c.heard {
			t.Errorf("%s: heard %v, want %v", c.name, heard, c.heard)
		}
		if open := err == nil || errors.Is(err, os.ErrDeadlineExceeded); open != c.open {
			t.Errorf("%s: %v, open %v, want %v", c.name, err, open, c.open)
		}
		p.Close()
	}
}

// TestSilenceForGoodSparesOthers silences all of two connections, or the drawn
// one, and opens a third one.
func TestSilenceForGoodSparesOthers(t *testing.T) {
	cases := []struct {
		name    string
		silence func(p *Proxy)
		heard   [3]bool
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
		c.silence(p)
		conns = append(conns, dial(t, p))
		for i, conn := range conns {
			if _, err := say(conn); (err == nil) != c.heard[i] {
				t.Errorf("%s: connection %d: %v, want heard %v", c.name, i, err, c.heard[i])
			}
		}
		p.Close()
	}
}

// dial opens a connection by way of the proxy that has carried a word.
func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := say(conn); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestDelayHoldsBackWithoutNarrowing(t *testing.T) {
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
		if _, err := conn.Write(make([]byte, pieceBytes)); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.SetReadDeadline(began.Add(rounds * delayBy))
	if _, err := io.ReadFull(conn, make([]byte, rounds*pieceBytes)); err != nil {
		t.Errorf("a delay of %v each way took %v for %d pieces: %v", delayBy, time.Since(began), rounds, err)
	}
	if took := time.Since(began); took < 2*delayBy {
		t.Errorf("took %v, less than the delay both ways", took)
	}
}
