package upstream

import (
	"bufio"
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

// script serves one connection: it reads a request head, then writes reply
// and closes, or waits for the end of the test where hang is set.
type script struct {
	reply string
	hang  bool
}

// serve listens on loopback and plays one script per connection in order.
func serve(t *testing.T, scripts ...script) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done); _ = ln.Close() })
	go func() {
		for _, s := range scripts {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go play(c, s, done)
		}
	}()
	return ln.Addr().String()
}

func play(c net.Conn, s script, done chan struct{}) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			break
		}
	}
	_, _ = c.Write([]byte(s.reply))
	if s.hang {
		<-done
	}
}

func get(order bool) Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://upstream/x")
	return Request{HTTP: req, Order: order, MaxAnswer: 64}
}

func TestOutcomeOfEachFault(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name    string
		script  script
		verdict contract.Verdict
		reason  contract.Reason
	}{
		{"whole", script{reply: ok + "Content-Length: 2\r\n\r\nhi"}, contract.Ran, contract.ReasonNone},
		{"whole chunks", script{reply: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"}, contract.Ran, contract.ReasonNone},
		{"no body", script{reply: "HTTP/1.1 204 No Content\r\n\r\n"}, contract.Ran, contract.ReasonNone},
		{"upstream error is an answer", script{reply: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"}, contract.Ran, contract.ReasonNone},
		{"cut body", script{reply: ok + "Content-Length: 9\r\n\r\nhi"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"cut chunks", script{reply: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhi"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"missing last chunk", script{reply: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"neither length nor chunks", script{reply: ok + "Connection: close\r\n\r\nhi"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"too large", script{reply: ok + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65)}, contract.MayHaveRun, contract.ReasonTooLarge},
		{"closed without an answer", script{}, contract.MayHaveRun, contract.ReasonUpstreamFailed},
		{"silent", script{hang: true}, contract.MayHaveRun, contract.ReasonDeadline},
		{"cut head, then silent", script{reply: "HTTP/1.1 20", hang: true}, contract.MayHaveRun, contract.ReasonDeadline},
		{"upstream refuses", script{reply: "HTTP/1.1 503 B\r\nHeathershed-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"}, contract.NotRun, contract.ReasonUpstreamRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := New(serve(t, c.script), 4)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			if c.script.hang {
				ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
			}
			defer cancel()
			var answer fasthttp.Response
			out := client.Do(ctx, get(true), &answer)
			if out.Verdict != c.verdict || out.Reason != c.reason {
				t.Fatalf("outcome = %v %v (%s), want %v %v", out.Verdict, out.Reason, out.Detail, c.verdict, c.reason)
			}
		})
	}
}

func TestNothingListensIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	var answer fasthttp.Response
	out := New(address, 4).Do(t.Context(), get(true), &answer)
	if out.Verdict != contract.NotRun || out.Reason != contract.ReasonUpstreamFailed {
		t.Fatalf("outcome = %+v, want not-run upstream-failed", out)
	}
}

func TestIdleConnectionClosedByUpstreamIsNotUsed(t *testing.T) {
	const answered = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	client := New(serve(t, script{reply: answered}, script{reply: answered}), 4)
	var answer fasthttp.Response
	if out := client.Do(t.Context(), get(true), &answer); out.Verdict != contract.Ran {
		t.Fatalf("first outcome = %+v", out)
	}
	waitClosed(t, client)
	if out := client.Do(t.Context(), get(true), &answer); out.Verdict != contract.Ran {
		t.Fatalf("outcome after the upstream closed the idle connection = %+v", out)
	}
}

// waitClosed blocks until the upstream's close has arrived.
func waitClosed(t *testing.T, client *Client) {
	t.Helper()
	cn := client.pop()
	if cn == nil {
		t.Fatal("no idle connection was kept")
	}
	_ = cn.SetDeadline(time.Time{})
	if _, err := cn.r.Peek(1); err == nil {
		t.Fatal("idle connection still open")
	}
	client.put(cn)
}

func TestCancelledRequestReturnsAndIsNotReused(t *testing.T) {
	client := New(serve(t, script{hang: true}), 4)
	ctx, cancel := context.WithCancel(t.Context())
	context.AfterFunc(t.Context(), cancel)
	go cancel()
	var answer fasthttp.Response
	out := client.Do(ctx, get(false), &answer)
	if out.Reason != contract.ReasonCancelled {
		t.Fatalf("outcome = %+v, want cancelled", out)
	}
	if cn := client.pop(); cn != nil {
		t.Fatal("connection of a cancelled request was kept")
	}
}

// The connection's own time-out may come a moment before the context ends, and
// fasthttp gives it another error than the system's.
func TestTimeoutOfTheConnectionIsADeadline(t *testing.T) {
	for _, err := range []error{fasthttp.ErrTimeout, os.ErrDeadlineExceeded} {
		if out := failed(t.Context(), 1, "read", err); out.Reason != contract.ReasonDeadline || out.Verdict != contract.MayHaveRun {
			t.Errorf("%v: outcome = %+v", err, out)
		}
	}
}

func TestAnswerBeforeTheBodyIsReadIsNotLost(t *testing.T) {
	const body = 8 << 20 // more than the buffers of both ends
	refusal := "HTTP/1.1 503 B\r\nHeathershed-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"
	for name, s := range map[string]script{
		"then closed":    {reply: refusal},
		"then kept open": {reply: refusal, hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			client := New(serve(t, s), 4)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			req := get(true)
			req.HTTP.Header.SetMethod("POST")
			req.HTTP.SetBody(make([]byte, body))
			var answer fasthttp.Response
			out := client.Do(ctx, req, &answer)
			if out.Verdict != contract.NotRun || out.Reason != contract.ReasonUpstreamRefused {
				t.Fatalf("outcome = %v %v (%s), want the upstream's refusal", out.Verdict, out.Reason, out.Detail)
			}
		})
	}
}
