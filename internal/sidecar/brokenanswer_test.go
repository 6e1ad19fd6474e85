package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"testing"

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
