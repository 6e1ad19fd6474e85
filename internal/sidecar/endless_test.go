package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// endlessForms are answers that never end: what begins them, and what goes on.
var endlessForms = map[string][2]string{
	"head":              {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
	"field":             {"HTTP/1.1 200 OK\r\nX: ", "a"},
	"answers before it": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"no answer":         {"", "\x16\x03\x01"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a"},
	"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"},
	"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
	"body":              {"HTTP/1.1 200 OK\r\n\r\n", "a"},
}

// endlessQueue is what the kernel of an endless upstream holds of its answer, in bytes, so
// that what it sends is about what the node takes.
const endlessQueue = 64 << 10

// endlessUpstream answers without end, until the node closes the connection.
type endlessUpstream struct {
	form [2]string
	// open counts the connections on which it answers, most is the largest number of bytes
	// that it could send on one.
	open, most atomic.Int64
}

func (u *endlessUpstream) serve(rw http.ResponseWriter, _ *http.Request) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	u.open.Add(1)
	defer u.open.Add(-1)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout)) // bounds a test that fails
	_ = conn.(*net.TCPConn).SetWriteBuffer(endlessQueue)
	sent, err := io.WriteString(conn, u.form[0])
	for text := strings.Repeat(u.form[1], 2048); err == nil; {
		var n int
		n, err = io.WriteString(conn, text)
		sent += n
	}
	for old := u.most.Load(); int64(sent) > old && !u.most.CompareAndSwap(old, int64(sent)); old = u.most.Load() {
	}
}

// TestUploadAnsweredWithoutEndIsCutOff guards against bytes without end that answer a long
// upload, beside the upstream and over a link, and that a node reads until its memory is
// used up.
func TestUploadAnsweredWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	const (
		limit = 32 << 20
		size  = 12 << 20
		most  = 2 * maxAnswer // with framing and what the kernels hold
	)
	tc.writeConfig(strings.Replace(platformtest.Config(2, "near", "far"), `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, limit), 1))
	for _, m := range []*vm{near, far} {
		tc.waitFor("the bound on bodies is known", func() bool { return m.node.table.Load().Limits.BodyBytes == limit })
	}
	for name, form := range endlessForms {
		up := &endlessUpstream{form: form}
		far.up.set(up.serve)
		for from, m := range map[string]*vm{"over a link": near, "beside the upstream": far} {
			for _, request := range [][2]string{{"GET", "/far/1"}, {"POST", "/far-order/1"}} {
				a := m.request(request[0], request[1], make([]byte, size))
				if a.err == nil && (a.status/100 == 2 || request[0] == "POST" && a.status == http.StatusServiceUnavailable) {
					t.Errorf("%s, %s, %s: got status %d", name, from, request[0], a.status)
				}
				if other := m.request("GET", "/near/1", nil); other.status != http.StatusOK {
					t.Errorf("%s, %s, %s: request to another upstream: got status %d, want 200", name, from, request[0], other.status)
				}
			}
		}
		tc.waitFor("connections without end are closed", func() bool { return up.open.Load() == 0 })
		if got := up.most.Load(); got > most {
			t.Errorf("%s: the node took %d bytes of one answer, want at most %d", name, got, most)
		}
	}
}

// TestHealthCheckAnsweredWithoutEndIsCutOff guards against bytes without end that answer a
// health check.
func TestHealthCheckAnsweredWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	const healthPath, most = "/health", 1 << 20 // with what the kernels hold
	tc, _, far := startPair(t)
	for name, form := range endlessForms {
		up := &endlessUpstream{form: form}
		far.up.setHealth(healthPath, up.serve)
		if far.node.checkHealth(t.Context(), healthPath) {
			t.Errorf("%s: an instance has passed", name)
		}
		tc.waitFor("connections without end are closed", func() bool { return up.open.Load() == 0 })
		if got := up.most.Load(); got > most {
			t.Errorf("%s: the node took %d bytes, want at most %d", name, got, most)
		}
	}
}
