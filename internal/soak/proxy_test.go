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
		{"silent in", ModeSilentIn, false, true},
		{"silent out", ModeSilentOut, false, true},
	}
	for _, c := range cases {
		p, err := NewProxy("127.0.0.1:0", echo(t))
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", p.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := say(conn); err != nil {
			t.Fatalf("%s: before the fault: %v", c.name, err)
		}
		p.Set(c.mode)
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
