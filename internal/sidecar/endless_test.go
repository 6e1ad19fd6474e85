package sidecar

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathershed/platform"
	"heathershed/platform/platformtest"
)

// TestRequestWithoutEndIsCutOff sends requests that have no end to each listener
// that serves HTTP.
func TestRequestWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.configure(1, "s")
	m := tc.start("s")
	tc.waitFor("ready", m.ready)
	const chunks = "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	client := "POST /s/x HTTP/1.1\r\n" + chunks
	heartbeat := "POST " + platformtest.HeartbeatPath("i") + " HTTP/1.1\r\n" + chunks
	ready := "GET " + platform.PathReady + " HTTP/1.1\r\n" + chunks
	cases := []struct {
		name, address, begin, more string
	}{
		{"client, body", m.cfg.Clients, client + "fffffff\r\n", "a"},
		{"client, chunk extension", m.cfg.Clients, client + "4;", "a"},
		{"client, header", m.cfg.Clients, "GET /s/x HTTP/1.1\r\nX: ", "a"},
		{"heartbeat, body", m.cfg.Heartbeats, heartbeat + "fffffff\r\n", "a"},
		{"heartbeat, chunk extension", m.cfg.Heartbeats, heartbeat + "4;", "a"},
		{"heartbeat, header", m.cfg.Heartbeats, "GET / HTTP/1.1\r\nX: ", "a"},
		{"ready, chunk extension", m.cfg.Ready, ready + "4;", "a"},
		{"ready, header", m.cfg.Ready, "GET / HTTP/1.1\r\nX: ", "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const (
				most   = 32 << 20 // above the largest body, with the buffers on the way
				within = 3 * time.Second
			)
			sent, took := sendEndless(t, c.address, c.begin, c.more)
			if sent > most || took > within {
				t.Errorf("cut off after %d bytes and %v, want at most %d and %v", sent, took, most, within)
			}
		})
	}
}

// TestHeartbeatThatIsNotFinishedIsCutOff guards against a connection that is held
// for ever by a request of which nothing more comes.
func TestHeartbeatThatIsNotFinishedIsCutOff(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.configure(1, "s")
	m := tc.start("s")
	tc.waitFor("ready", m.ready)
	for _, address := range []string{m.cfg.Heartbeats, m.cfg.Ready} {
		conn := dial(t, address)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1")
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("%s: still open after %v: %v", address, waitTimeout, err)
		}
	}
}

// sendEndless sends until the other end closes the connection. It returns the
// bytes that were sent and how long it took.
func sendEndless(t *testing.T, address, begin, more string) (sent int, took time.Duration) {
	t.Helper()
	began := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(waitTimeout))
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	_, err = io.WriteString(conn, begin)
	for text := strings.Repeat(more, 4096); err == nil; {
		var n int
		n, err = io.WriteString(conn, text)
		sent += n
	}
	return sent, time.Since(began)
}

// TestUpstreamWithoutEndDoesNotHarmOtherRequests sends requests to an upstream
// whose answers have no end, beside it and over a link, and others meanwhile.
func TestUpstreamWithoutEndDoesNotHarmOtherRequests(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	far.up.set(func(rw http.ResponseWriter, _ *http.Request) {
		for text := bytes.Repeat([]byte("a"), 64<<10); ; {
			if _, err := rw.Write(text); err != nil {
				return
			}
		}
	})
	const atOnce = 8
	ended := make(chan answer, 2*atOnce)
	began := time.Now()
	for range atOnce {
		go func() { ended <- near.request("GET", "/far/x", nil) }()
		go func() { ended <- far.request("GET", "/far/x", nil) }()
	}
	for len(ended) < cap(ended) && time.Since(began) < 2*time.Second {
		if got := near.request("GET", "/near/x", nil); got.status != http.StatusOK {
			t.Errorf("request to another upstream: got %+v, want 200", got)
		}
	}
	for range cap(ended) {
		got := <-ended
		if got.err == nil && (got.status == http.StatusOK || strings.Contains(got.body, "aaaa")) {
			t.Errorf("answer without end: got status %d and %.20q, want neither a success nor its bytes", got.status, got.body)
		}
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("answers without end kept their callers for %v, want at most 2 s", took)
	}
}
