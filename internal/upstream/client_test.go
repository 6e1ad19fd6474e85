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

// script describes how one connection is served: the server reads a request
// head, writes reply and closes the connection. With hang it keeps the
// connection open until the test ends.
type script struct {
	reply string
	hang  bool
}

// serve listens on loopback and serves each connection by the next script.
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
			go serveConn(c, s, done)
		}
	}()
	return ln.Addr().String()
}

func serveConn(c net.Conn, s script, done chan struct{}) {
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

// Guards against a wrong verdict or reason for a complete, truncated or missing
// answer.
func TestOutcomeOfAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name    string
		script  script
		verdict contract.Verdict
		reason  contract.Reason
	}{
		{"complete", script{reply: ok + "Content-Length: 2\r\n\r\nhi"}, contract.Ran, contract.ReasonNone},
		{"complete chunks", script{reply: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"}, contract.Ran, contract.ReasonNone},
		{"no body", script{reply: "HTTP/1.1 204 No Content\r\n\r\n"}, contract.Ran, contract.ReasonNone},
		{"upstream error is an answer", script{reply: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"}, contract.Ran, contract.ReasonNone},
		{"truncated body", script{reply: ok + "Content-Length: 9\r\n\r\nhi"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"truncated chunks", script{reply: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhi"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"missing last chunk", script{reply: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"neither length nor chunks", script{reply: ok + "Connection: close\r\n\r\nhi"}, contract.MayHaveRun, contract.ReasonPartialAnswer},
		{"too large", script{reply: ok + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65)}, contract.MayHaveRun, contract.ReasonTooLarge},
		{"closed without an answer", script{}, contract.MayHaveRun, contract.ReasonUpstreamFailed},
		{"unresponsive", script{hang: true}, contract.MayHaveRun, contract.ReasonDeadline},
		{"truncated head, then unresponsive", script{reply: "HTTP/1.1 20", hang: true}, contract.MayHaveRun, contract.ReasonDeadline},
		{"upstream refuses", script{reply: "HTTP/1.1 503 B\r\nHeathershed-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"}, contract.NotRun, contract.ReasonUpstreamRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := New(serve(t, c.script), 4, 1<<20)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			if c.script.hang {
				ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
			}
			defer cancel()
			var answer fasthttp.Response
			out := client.Do(ctx, get(true), &answer)
			if out.Verdict != c.verdict || out.Reason != c.reason {
				t.Fatalf("outcome: got %v %v (%s), want %v %v", out.Verdict, out.Reason, out.Detail, c.verdict, c.reason)
			}
		})
	}
}

// Guards against a request that counts as possibly run although the connection
// was refused.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	var answer fasthttp.Response
	out := New(address, 4, 1<<20).Do(t.Context(), get(true), &answer)
	if out.Verdict != contract.NotRun || out.Reason != contract.ReasonUpstreamFailed {
		t.Fatalf("outcome: got %+v, want not-run upstream-failed", out)
	}
	if !New(address, 4, 1<<20).Refuses(t.Context()) {
		t.Error("nothing listens: got that connections are not refused")
	}
}

func TestUpstreamThatListensDoesNotRefuse(t *testing.T) {
	client := New(serve(t, script{}), 4, 1<<20)
	if client.Refuses(t.Context()) {
		t.Error("got that connections are refused")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if client.Refuses(ctx) {
		t.Error("the check was cancelled: got that connections are refused")
	}
}

// Guards against sending a request on an idle connection that the upstream has
// already closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	const answered = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	client := New(serve(t, script{reply: answered}, script{reply: answered}), 4, 1<<20)
	var answer fasthttp.Response
	if out := client.Do(t.Context(), get(true), &answer); out.Verdict != contract.Ran {
		t.Fatalf("first outcome: got %+v, want ran", out)
	}
	waitClosed(t, client)
	if out := client.Do(t.Context(), get(true), &answer); out.Verdict != contract.Ran {
		t.Fatalf("outcome after the upstream closed the idle connection: got %+v, want ran", out)
	}
}

// waitClosed blocks until the upstream's close of the idle connection has arrived.
func waitClosed(t *testing.T, client *Client) {
	t.Helper()
	cn := client.pop(false)
	if cn == nil {
		t.Fatal("no idle connection in the pool")
	}
	_ = cn.SetDeadline(time.Time{})
	if _, err := cn.r.Peek(1); err == nil {
		t.Fatal("idle connection still open, want it closed by the upstream")
	}
	client.put(cn)
}

// Guards against a cancelled request that blocks, and against reuse of its
// connection, on which its answer may still arrive.
func TestConnectionOfCancelledRequestIsNotReused(t *testing.T) {
	client := New(serve(t, script{hang: true}), 4, 1<<20)
	ctx, cancel := context.WithCancel(t.Context())
	context.AfterFunc(t.Context(), cancel)
	go cancel()
	var answer fasthttp.Response
	out := client.Do(ctx, get(false), &answer)
	if out.Reason != contract.ReasonCancelled {
		t.Fatalf("outcome: got %+v, want cancelled", out)
	}
	if cn := client.pop(false); cn != nil {
		t.Fatal("connection of a cancelled request is in the pool")
	}
}

// Guards against reporting a timeout as a failed connection: the connection's
// deadline may expire shortly before the context ends, and fasthttp's error for
// it differs from that of the net package.
func TestConnectionTimeoutIsDeadline(t *testing.T) {
	for _, err := range []error{fasthttp.ErrTimeout, os.ErrDeadlineExceeded} {
		if out := failed(t.Context(), 1, "read", err); out.Reason != contract.ReasonDeadline || out.Verdict != contract.MayHaveRun {
			t.Errorf("%v: got outcome %+v, want may-have-run deadline", err, out)
		}
	}
}

// Guards against losing the answer of an upstream that answers before it has read
// the body.
func TestEarlyAnswerIsNotLost(t *testing.T) {
	const body = 8 << 20 // exceeds the buffers of both ends
	refusal := "HTTP/1.1 503 B\r\nHeathershed-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"
	for name, s := range map[string]script{
		"then closed":    {reply: refusal},
		"then kept open": {reply: refusal, hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			client := New(serve(t, s), 4, 1<<20)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			req := get(true)
			req.HTTP.Header.SetMethod("POST")
			req.HTTP.SetBody(make([]byte, body))
			var answer fasthttp.Response
			out := client.Do(ctx, req, &answer)
			if out.Verdict != contract.NotRun || out.Reason != contract.ReasonUpstreamRefused {
				t.Fatalf("outcome: got %v %v (%s), want not-run upstream-refused", out.Verdict, out.Reason, out.Detail)
			}
		})
	}
}
