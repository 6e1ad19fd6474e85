package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

// earlyAnswer is how an upstream answers a long request before it has read it.
type earlyAnswer struct {
	text  string
	delay time.Duration
	// abort resets the connection behind the answer. Otherwise it is closed, which resets
	// it as well while bytes of the request are unread.
	abort bool
}

// serveEarly answers each connection in one way until the test ends.
func serveEarly(t *testing.T, a earlyAnswer) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go a.answer(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

func (a earlyAnswer) answer(c *net.TCPConn) {
	r := bufio.NewReader(c)
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = r.ReadString('\n'); err != nil {
			break
		}
	}
	_, _ = io.WriteString(c, a.text)
	time.Sleep(a.delay)
	if a.abort {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// longRequests are requests whose body is still being sent when an answer comes.
var longRequests = map[string]func(*fasthttp.Request){
	"held": func(r *fasthttp.Request) { r.SetBodyRaw(make([]byte, 8<<20)) },
	"streamed": func(r *fasthttp.Request) {
		const length = 60 << 20
		r.SetBodyStream(Stream(io.LimitReader(zeros{}, length)), length)
	},
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func long(body func(*fasthttp.Request), order bool) Request {
	req := Request{HTTP: new(fasthttp.Request), Order: order, MaxAnswer: 1 << 20, AllowUntilClose: true}
	req.HTTP.Header.SetMethod("POST")
	req.HTTP.SetRequestURI("/")
	req.HTTP.SetHost("h")
	body(req.HTTP)
	return req
}

// TestAbortOfAnEarlyAnswerIsNotItsEnd guards against a part of an answer without a length
// that is taken for the whole, because the write of the request got the error of the abort
// and the read then saw an end.
func TestAbortOfAnEarlyAnswerIsNotItsEnd(t *testing.T) {
	t.Parallel()
	const tries = 5
	part := okLine + "\r\n" + strings.Repeat("part", 100)
	for body, set := range longRequests {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
			for _, abort := range []bool{true, false} {
				t.Run(fmt.Sprint(body, ", ", delay, ", abort ", abort), func(t *testing.T) {
					t.Parallel()
					client := New(serveEarly(t, earlyAnswer{part, delay, abort}), 4, 1<<20)
					for try := range tries {
						var answer fasthttp.Response
						out := client.Do(t.Context(), long(set, try%2 == 0), &answer)
						if out.Verdict != contract.MayHaveRun || out.Reason != contract.ReasonPartialAnswer && out.Reason != contract.ReasonUpstreamFailed {
							t.Fatalf("got outcome %+v with %d bytes, want may-have-run", out, len(answer.Body()))
						}
					}
				})
			}
		}
	}
}

// TestWholeEarlyAnswerIsPassedOn guards against a check of ends that rejects answers whose
// length or last chunk proves that they are whole.
func TestWholeEarlyAnswerIsPassedOn(t *testing.T) {
	t.Parallel()
	whole := map[string]string{
		"length":  okLine + "Content-Length: 4\r\n\r\nbody",
		"chunks":  chunks + "4\r\nbody\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\n\r\n",
	}
	for form, text := range whole {
		for body, set := range longRequests {
			t.Run(form+", "+body, func(t *testing.T) {
				t.Parallel()
				client := New(serveEarly(t, earlyAnswer{text: text, delay: 50 * time.Millisecond}), 4, 1<<20)
				var answer fasthttp.Response
				out := client.Do(t.Context(), long(set, true), &answer)
				if out.Verdict != contract.Ran || form != "no body" && string(answer.Body()) != "body" {
					t.Errorf("got outcome %+v, body %q; want the whole answer", out, answer.Body())
				}
			})
		}
	}
}

// TestAnswerUntilCloseIsWholeOnceTheRequestIsSent guards against a check of ends that
// rejects each answer without a length.
func TestAnswerUntilCloseIsWholeOnceTheRequestIsSent(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if err := req.Read(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprintf(c, okLine+"\r\n%d", len(req.Body()))
			}
			_ = c.Close()
		}
	}()
	client := New(ln.Addr().String(), 4, 1<<20)
	for name, set := range map[string]func(*fasthttp.Request){
		"held":     func(r *fasthttp.Request) { r.SetBodyRaw(make([]byte, size)) },
		"streamed": func(r *fasthttp.Request) { r.SetBodyStream(Stream(bytes.NewReader(make([]byte, size))), size) },
	} {
		var answer fasthttp.Response
		out := client.Do(t.Context(), long(set, true), &answer)
		if out.Verdict != contract.Ran || string(answer.Body()) != fmt.Sprint(size) {
			t.Errorf("%s: got outcome %+v, body %q; want the whole answer", name, out, answer.Body())
		}
	}
}
