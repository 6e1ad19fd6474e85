package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// brokenLines are status lines that are none.
var brokenLines = []string{"HTTP/1.1 000 OK", "HTTP/1.1 020 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/9.9 200 OK", "HTTP/2.0 200 OK"}

// writeLine answers a request with a status line, the headers of a success and a body.
func writeLine(rw http.ResponseWriter, r *http.Request, line string) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "%s\r\n%s: %s\r\n%s: seal\r\n%s: %s\r\nContent-Length: 6\r\n\r\nbroken", line,
		platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt), platformtest.HeaderSeal,
		platformtest.HeaderInstance, rw.Header().Get(platformtest.HeaderInstance))
}

// TestAnswerWithoutAStatusReachesNoClient guards against an answer without a valid status
// line that reaches a client, over a link or beside the upstream: 000 as a success, 020 and
// 099 unchanged. An order may have run, so its client gets 502.
func TestAnswerWithoutAStatusReachesNoClient(t *testing.T) {
	t.Parallel()
	for _, line := range brokenLines {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			_, near, far := startPair(t)
			far.up.set(func(rw http.ResponseWriter, r *http.Request) { writeLine(rw, r, line) })
			for from, m := range map[string]*vm{"over a link": near, "beside the upstream": far} {
				for _, request := range [][2]string{{"GET", "/far/1"}, {"POST", "/far-order/1"}} {
					a := m.request(request[0], request[1], nil)
					if a.status != http.StatusBadGateway || a.seal != "" || a.body == "broken" {
						t.Errorf("%s, %s: got status %d (%v) with body %q and seal %q, want 502 without them", from, request[0], a.status, a.err, a.body, a.seal)
					}
				}
			}
		})
	}
}

// TestHealthCheckWithoutAStatusIsNotPassed guards against a health check whose answer has
// no status and is taken for 200: the upstream would get requests without having said that
// it takes any.
func TestHealthCheckWithoutAStatusIsNotPassed(t *testing.T) {
	t.Parallel()
	const healthPath = "/health"
	for _, line := range brokenLines {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			tc, near, far := startPair(t)
			tc.writeConfig(platformtest.ConfigWithHealth(2, healthPath, "near", "far"))
			tc.waitFor("the configuration is active", func() bool { return far.node.table.Load().Version == 2 })
			far.up.setHealth(healthPath, func(rw http.ResponseWriter, r *http.Request) { writeLine(rw, r, line) })
			far.restart()
			tc.waitFor("linked again", func() bool { return far.ready() && near.linkedTo(far) })
			ran := far.up.ran.Load()
			askBoth(t, 600*time.Millisecond, near, far)
			if got := far.up.ran.Load() - ran; got > 0 {
				t.Errorf("%d requests ran at an upstream whose health check has no valid status, want none", got)
			}
		})
	}
}

// TestLookupIsRetriedAfterAnAnswerWithoutAStatus guards against a lookup that fails although
// another upstream answers it.
func TestLookupIsRetriedAfterAnAnswerWithoutAStatus(t *testing.T) {
	t.Parallel()
	near, far, _ := startProxied(t)
	broken := far[0].up
	broken.set(func(rw http.ResponseWriter, r *http.Request) { writeLine(rw, r, brokenLines[0]) })
	before := broken.ran.Load()
	near.tc.waitFor("the broken upstream was asked", func() bool {
		if a := near.request("GET", "/far/x", nil); a.status != http.StatusOK || a.body != "complete answer" {
			t.Errorf("got status %d (%v) with body %q, want the other upstream's answer", a.status, a.err, a.body)
		}
		return broken.ran.Load() > before
	})
}
