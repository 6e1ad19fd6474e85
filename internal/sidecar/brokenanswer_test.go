package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// TestAnswerThatBreaksOffReachesNoClient guards against an answer that breaks off in its
// head or body and reaches a client as a success, over a link or beside the upstream.
func TestAnswerThatBreaksOffReachesNoClient(t *testing.T) {
	t.Parallel()
	const step, body = 9, "complete answer"
	for _, reset := range []bool{false, true} {
		for _, framing := range []string{"Content-Length: 15\r\n\r\n" + body, "Transfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n0\r\n\r\n"} {
			t.Run(fmt.Sprintf("%.17s, reset: %v", framing, reset), func(t *testing.T) {
				t.Parallel()
				_, near, far := startPair(t)
				cut, length := 0, 1
				far.up.set(func(rw http.ResponseWriter, r *http.Request) {
					conn, _, err := rw.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s", platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt), platformtest.HeaderSeal, framing)
					length = len(text)
					_, _ = fmt.Fprint(conn, text[:min(cut, length)])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				for cut = 0; cut < length; cut += step {
					for from, m := range map[string]*vm{"over a link": near, "beside the upstream": far} {
						for _, request := range [][2]string{{"GET", "/far/1"}, {"POST", "/far-order/1"}} {
							a := m.request(request[0], request[1], nil)
							if a.status/100 == 2 && a.body != body {
								t.Errorf("%s, %s, cut after %d bytes: got status %d with body %q", from, request[0], cut, a.status, a.body)
							}
							if request[0] == "POST" && a.status == http.StatusServiceUnavailable {
								t.Errorf("%s, cut after %d bytes: order that was sent got 503", from, cut)
							}
						}
					}
				}
			})
		}
	}
}

// hijack lets an upstream answer each request with what write sends on its connection,
// which is closed behind it.
func hijack(u *testUpstream, write func(conn *net.TCPConn, head string)) {
	u.set(func(rw http.ResponseWriter, r *http.Request) {
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		write(conn.(*net.TCPConn), fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt), platformtest.HeaderSeal))
	})
}

// TestPartOfAnEarlyAnswerReachesNoClient guards against a part of an answer without a length
// that reaches a client as complete: the upstream sent it while a long upload was written,
// and reset the connection.
func TestPartOfAnEarlyAnswerReachesNoClient(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	const limit = 16 << 20
	tc.writeConfig(strings.Replace(platformtest.Config(2, "near", "far"), `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, limit), 1))
	for _, m := range []*vm{near, far} {
		tc.waitFor("the bound on bodies is known", func() bool { return m.node.table.Load().Limits.BodyBytes == limit })
	}
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		hijack(far.up, func(conn *net.TCPConn, head string) {
			_, _ = fmt.Fprint(conn, head+"\r\npart")
			time.Sleep(delay)
			_ = conn.SetLinger(0)
		})
		for from, m := range map[string]*vm{"over a link": near, "beside the upstream": far} {
			for _, request := range [][2]string{{"GET", "/far/1"}, {"POST", "/far-order/1"}} {
				for _, size := range []int{1 << 20, 8 << 20, 12 << 20} {
					a := m.request(request[0], request[1], make([]byte, size))
					if a.status/100 == 2 || request[0] == "POST" && a.status == http.StatusServiceUnavailable {
						t.Errorf("%s, %s of %d bytes, reset after %v: got status %d with body %q (%v)", from, request[0], size, delay, a.status, a.body, a.err)
					}
				}
			}
		}
	}
}

// TestAnswerWithAnInvalidFieldReachesNoClient guards against an answer with a line that is no
// field which reaches a client, with that line or with another body.
func TestAnswerWithAnInvalidFieldReachesNoClient(t *testing.T) {
	t.Parallel()
	_, near, far := startPair(t)
	for _, line := range []string{"X Y: 1", "X : 1", " X: 1", "X: 1\r\n folded", "Content-Length : 4", "X\x01: 1", "X: a\x01"} {
		for form, rest := range map[string]string{
			"head":    line + "\r\nContent-Length: 15\r\n\r\ncomplete answer",
			"trailer": "Transfer-Encoding: chunked\r\n\r\nf\r\ncomplete answer\r\n0\r\n" + line + "\r\n\r\n",
		} {
			hijack(far.up, func(conn *net.TCPConn, head string) { _, _ = fmt.Fprint(conn, head+rest) })
			for from, m := range map[string]*vm{"over a link": near, "beside the upstream": far} {
				if a := m.request("GET", "/far/1", nil); a.status/100 == 2 {
					t.Errorf("%q in the %s, %s: lookup got status %d, body %q", line, form, from, a.status, a.body)
				}
				if a := m.request("POST", "/far-order/1", nil); a.status != http.StatusBadGateway || strings.Contains(a.body, line) {
					t.Errorf("%q in the %s, %s: order got status %d, body %q; want 502", line, form, from, a.status, a.body)
				}
			}
		}
	}
}
