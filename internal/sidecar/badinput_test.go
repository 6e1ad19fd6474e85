package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// TestBadInputIsRejectedAndNotForwarded sends malformed requests: an answer
// must have a 4xx status, and no request may reach the upstream.
func TestBadInputIsRejectedAndNotForwarded(t *testing.T) {
	t.Parallel()
	_, near, _ := startPair(t)
	const head = "GET /near/1 HTTP/1.1\r\nHost: h\r\n"
	cases := []struct{ name, text string }{
		{"no request", "\x16\x03\x01 hello\r\n\r\n"},
		{"header over the limit", head + "X: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n"},
		{"two lengths", "POST /near/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"},
		{"length and chunked encoding", "POST /near/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"invalid length", "POST /near/1 HTTP/1.1\r\nHost: h\r\nContent-Length: many\r\n\r\n"},
		{"invalid chunk", "POST /near/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"},
		{"blank in a name", head + "X Y: 1\r\n\r\n"},
		{"blank before a colon", "POST /near/1 HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"},
		{"line that continues the one before", head + "X: 1\r\n folded\r\n\r\n"},
		{"first line that begins with a blank", "GET /near/1 HTTP/1.1\r\n X: 1\r\nHost: h\r\n\r\n"},
		{"control byte in a name", head + "X\x01: 1\r\n\r\n"},
		{"no colon", head + "X\r\n\r\n"},
		{"line feed alone", head + "X: 1\n\r\n"},
		{"invalid deadline", head + platformtest.HeaderRemaining + ": soon\r\n\r\n"},
		{"attempt id over the limit", head + platformtest.HeaderAttempt + ": " + strings.Repeat("a", 5000) + "\r\n\r\n"},
	}
	for _, c := range cases {
		before := near.up.ran.Load()
		conn := dial(t, near.cfg.Clients)
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, _ = io.WriteString(conn, c.text)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		status := "closed"
		if err == nil {
			status = fmt.Sprint(answer.StatusCode)
		}
		if err == nil && (answer.StatusCode < 400 || answer.StatusCode >= 500) {
			t.Errorf("%s: got status %s, want 4xx", c.name, status)
		}
		if near.up.ran.Load() != before {
			t.Errorf("%s: forwarded to the upstream, status %s", c.name, status)
		}
	}
}

// TestSmuggledRequestIsNotRun sends a request whose body is another request,
// which must not run.
func TestSmuggledRequestIsNotRun(t *testing.T) {
	t.Parallel()
	_, near, _ := startPair(t)
	seen := make(chan string, 10)
	near.up.set(func(_ http.ResponseWriter, r *http.Request) { seen <- r.RequestURI })
	inner := "GET /near/hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	conn := dial(t, near.cfg.Clients)
	fmt.Fprintf(conn, "POST /near/open HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(inner), inner)
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	if got := <-seen; got != "/near/open" || len(seen) > 0 {
		t.Fatalf("got %q and %d more requests at the upstream, want only /near/open", got, len(seen))
	}
}
