package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/platform/platformtest"
)

// gatedUpstream holds requests whose path ends with "held" until their gates open.
type gatedUpstream struct {
	mu    sync.Mutex
	begun []string
	gates map[string]chan struct{}
}

func (u *gatedUpstream) gate(path string) chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gates[path] == nil {
		u.gates[path] = make(chan struct{})
	}
	return u.gates[path]
}

func (u *gatedUpstream) serve(rw http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.begun = append(u.begun, r.URL.Path)
	u.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "held") {
		select {
		case <-u.gate(r.URL.Path):
		case <-r.Context().Done():
		}
	}
	_, _ = io.WriteString(rw, r.URL.Path)
}

func (u *gatedUpstream) hasBegun(path string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.begun, path)
}

// pipelinedText returns a request of a client as it is sent.
func pipelinedText(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: a-%d\r\n%s: 8000\r\nContent-Length: 0\r\n\r\n", method, path,
		platformtest.HeaderAttempt, attemptNumber.Add(1), platformtest.HeaderRemaining)
}

// TestPipelinedLookupsRunBesideEachOther guards against a lookup that waits for a slow one
// of its connection, and against an order that runs beside any other request of it or that
// runs although its client left before its turn.
func TestPipelinedLookupsRunBesideEachOther(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	up := &gatedUpstream{gates: make(map[string]chan struct{})}
	far.up.set(up.serve)
	c, err := net.Dial("tcp", near.cfg.Clients)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	text := pipelinedText("GET", "/far/0/held") + pipelinedText("GET", "/far/1") + pipelinedText("GET", "/far/2/held") +
		pipelinedText("POST", "/far-order/3/held") + pipelinedText("GET", "/far/4") + pipelinedText("POST", "/far-order/5")
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	tc.waitFor("the lookups run", func() bool { return up.hasBegun("/far/0/held") && up.hasBegun("/far/1") && up.hasBegun("/far/2/held") })
	r := bufio.NewReader(c)
	expect := func(path string) {
		t.Helper()
		var answer fasthttp.Response
		if err := answer.Read(r); err != nil || string(answer.Body()) != path {
			t.Fatalf("got %q (%v), want the answer to %s", answer.Body(), err, path)
		}
	}
	close(up.gate("/far/2/held"))
	close(up.gate("/far/0/held"))
	for _, path := range []string{"/far/0/held", "/far/1", "/far/2/held"} {
		expect(path)
	}
	tc.waitFor("the order runs", func() bool { return up.hasBegun("/far-order/3/held") })
	time.Sleep(100 * time.Millisecond)
	if up.hasBegun("/far/4") {
		t.Error("a lookup runs beside an order of its connection")
	}
	_ = c.Close()
	time.Sleep(100 * time.Millisecond)
	close(up.gate("/far-order/3/held"))
	time.Sleep(100 * time.Millisecond)
	if up.hasBegun("/far/4") || up.hasBegun("/far-order/5") {
		t.Errorf("requests %q ran, want none behind the order: their client had left", up.begun)
	}
}

// TestStopAnswersPipelinedRequestsThatRan guards against pipelined lookups that have been
// passed on and get no answer because the node stops: the first one is slow, or has no
// answer by the end of the grace period.
func TestStopAnswersPipelinedRequestsThatRan(t *testing.T) {
	for _, c := range []struct {
		name    string
		release bool
		first   int
	}{{"slow", true, http.StatusOK}, {"not answered in time", false, http.StatusGatewayTimeout}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tc, near, far := startPair(t)
			up := &gatedUpstream{gates: make(map[string]chan struct{})}
			far.up.set(up.serve)
			conn := dial(t, near.cfg.Clients)
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			paths := []string{"/far/0/held", "/far/1", "/far/2", "/far/3"}
			for _, path := range paths {
				_, _ = io.WriteString(conn, pipelinedText("GET", path))
			}
			tc.waitFor("all run", func() bool {
				return !slices.ContainsFunc(paths, func(path string) bool { return !up.hasBegun(path) })
			})
			near.stop()
			tc.waitFor("not ready", func() bool { return !near.ready() })
			if c.release {
				time.Sleep(200 * time.Millisecond)
				close(up.gate(paths[0]))
			}
			r := bufio.NewReader(conn)
			for i, path := range paths {
				status, body := c.first, path
				if i > 0 {
					status = http.StatusOK
				}
				var answer fasthttp.Response
				if err := answer.Read(r); err != nil || answer.StatusCode() != status || status == http.StatusOK && string(answer.Body()) != body {
					t.Fatalf("%s: got status %d, body %q (%v), want status %d", path, answer.StatusCode(), answer.Body(), err, status)
				}
				if last := i == len(paths)-1; answer.ConnectionClose() != last {
					t.Errorf("%s: answer closes the connection: %v, want %v", path, answer.ConnectionClose(), last)
				}
			}
		})
	}
}
