package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// Guards against invalid Heathershed headers that are accepted, and against errors
// that do not name the header or repeat its value at length.
func TestReadHeaders(t *testing.T) {
	const id = "01890a5d-ac96-774b-bcce-b302099a8057"
	cases := []struct{ name, header, value, wantError string }{
		{"timeout", contract.HeaderTimeout, "1500", ""},
		{"timeout that is no number", contract.HeaderTimeout, "1.5s", contract.HeaderTimeout},
		{"zero timeout", contract.HeaderTimeout, "0", contract.HeaderTimeout},
		{"timeout too long", contract.HeaderTimeout, "99999999", contract.HeaderTimeout},
		{"attempt", contract.HeaderAttempt, "0", ""},
		{"negative attempt", contract.HeaderAttempt, "-1", contract.HeaderAttempt},
		{"order", contract.HeaderOrder, id, ""},
		{"order of version 4", contract.HeaderOrder, "7f0a3ad6-9d1c-4c55-8d5e-0123456789ab", "version 7"},
		{"order that is no UUID", contract.HeaderOrder, strings.Repeat("x", 500), contract.HeaderOrder},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h fasthttp.RequestHeader
			h.Set(c.header, c.value)
			_, err := ReadHeaders(&h)
			if (err == nil) != (c.wantError == "") {
				t.Fatalf("got error %v, want one that contains %q", err, c.wantError)
			}
			if err != nil && (!strings.Contains(err.Error(), c.wantError) || len(err.Error()) > 200) {
				t.Fatalf("got error %q, want at most 200 bytes that contain %q", err, c.wantError)
			}
		})
	}
}

// Guards against forwarding hop-by-hop and Heathershed headers.
func TestHopAndHeathershedHeadersAreNotForwarded(t *testing.T) {
	var h fasthttp.RequestHeader
	for _, name := range []string{"Connection", "Transfer-Encoding", "heathershed-call", "HEATHERSHED-VERDICT", "X-Crew"} {
		h.Set(name, "1")
	}
	h.SetHost("caller")
	got := CopyHeaders(&h)
	if len(got) != 1 || string(got[0].Name) != "X-Crew" {
		t.Fatalf("got forwarded headers %v, want only X-Crew", got)
	}
}

// Guards against a reply without its verdict, reason and status, or with a
// Retry-After that rounds down.
func TestWriteReplyWithoutAnswer(t *testing.T) {
	cases := []struct {
		verdict    contract.Verdict
		reason     contract.Reason
		retryAfter uint32
		status     int
		seconds    string
	}{
		{contract.NotRun, contract.ReasonOverload, 1200, 503, "2"},
		{contract.MayHaveRun, contract.ReasonLinkLost, 0, 502, ""},
		{contract.MayHaveRun, contract.ReasonDeadline, 0, 504, ""},
		{contract.NotRun, contract.ReasonLimit, 1000, 429, "1"},
		{contract.MayHaveRun, contract.ReasonOrderRunning, 0, 409, ""},
		{contract.MayHaveRun, contract.ReasonOrderUnknown, 0, 410, ""},
	}
	for _, c := range cases {
		var rc fasthttp.RequestCtx
		WriteReply(&rc, &linkpb.CallReply{Verdict: uint32(c.verdict), Reason: uint32(c.reason), RetryAfterMs: c.retryAfter}, "r")
		h := &rc.Response.Header
		if rc.Response.StatusCode() != c.status || string(h.Peek(contract.HeaderVerdict)) != c.verdict.String() ||
			string(h.Peek(contract.HeaderReason)) != c.reason.String() || string(h.Peek("Retry-After")) != c.seconds {
			t.Errorf("%v %v: got headers %s", c.verdict, c.reason, h)
		}
	}
}

// forEachKind runs a test for a server that runs requests one by one, for one that runs
// all of them ahead, and for one that takes all for orders.
func forEachKind(t *testing.T, test func(t *testing.T, o Options)) {
	for name, o := range map[string]Options{
		"one by one": {},
		"ahead":      {Idempotent: func(*fasthttp.Request) bool { return true }},
		"orders":     {Idempotent: func(*fasthttp.Request) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) { test(t, o) })
	}
}

// serveSlow starts a server that answers /quick. Any other request, of which there
// may be one, closes began when it starts and ended when its context ends.
func serveSlow(t *testing.T, o Options) (address string, began, ended chan struct{}) {
	t.Helper()
	began, ended = make(chan struct{}), make(chan struct{})
	s := NewWithOptions(o, func(ctx context.Context, rc *fasthttp.RequestCtx) {
		if string(rc.Path()) == "/quick" {
			rc.SetBodyString("quick")
			return
		}
		close(began)
		<-ctx.Done()
		close(ended)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return ln.Addr().String(), began, ended
}

// Guards against serving a request whose caller has closed the connection.
func TestCallerCloseCancelsRequest(t *testing.T) { forEachKind(t, callerCloseCancelsRequest) }

func callerCloseCancelsRequest(t *testing.T, o Options) {
	address, began, ended := serveSlow(t, o)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-began
	_ = c.Close()
	<-ended
}

// Guards against cancelling a request because its handler takes longer than the
// caller had to send it, so that the read deadline of the connection expires.
func TestReadDeadlineDoesNotCancelRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	const sendTimeout = 50 * time.Millisecond
	_ = raw.SetReadDeadline(time.Now().Add(sendTimeout))
	c := &watchedConn{Conn: raw}
	ctx, cancel := context.WithCancel(t.Context())
	c.watch(cancel)
	defer c.unwatch()
	select {
	case <-ctx.Done():
		t.Fatal("request cancelled while the caller waits for its answer")
	case <-time.After(4 * sendTimeout):
	}
	_ = caller.Close()
	<-ctx.Done()
}

// Guards against serving a pipelined request whose caller has closed the
// connection.
func TestCallerCloseCancelsPipelinedRequest(t *testing.T) {
	forEachKind(t, callerCloseCancelsPipelinedRequest)
}

func callerCloseCancelsPipelinedRequest(t *testing.T, o Options) {
	address, began, ended := serveSlow(t, o)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("GET /quick HTTP/1.1\r\nHost: x\r\n\r\nGET /slow HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-began
	_ = c.Close()
	<-ended
}

// Guards against losing pipelined requests in the read-ahead buffer.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	forEachKind(t, pipelinedRequestsAreAllAnswered)
}

func pipelinedRequestsAreAllAnswered(t *testing.T, o Options) {
	address, _, _ := serveSlow(t, o)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const pipelined = 5
	if _, err := c.Write([]byte(strings.Repeat("GET /quick HTTP/1.1\r\nHost: x\r\n\r\n", pipelined))); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for i := range pipelined {
		var answer fasthttp.Response
		if err := answer.Read(r); err != nil || string(answer.Body()) != "quick" {
			t.Fatalf("answer %d: got %q, error %v, want \"quick\"", i, answer.Body(), err)
		}
	}
}

// exchange sends a request over the connection and checks its answer.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, request, want string) {
	t.Helper()
	if _, err := c.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	var answer fasthttp.Response
	if err := answer.Read(r); err != nil || string(answer.Body()) != want {
		t.Fatalf("got answer %q, error %v, want %q", answer.Body(), err, want)
	}
}

// Guards against a watch that works only for the first request of a connection.
func TestCallerCloseCancelsLaterRequest(t *testing.T) { forEachKind(t, callerCloseCancelsLaterRequest) }

func callerCloseCancelsLaterRequest(t *testing.T, o Options) {
	address, began, ended := serveSlow(t, o)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for range 3 {
		exchange(t, c, r, "GET /quick HTTP/1.1\r\nHost: x\r\n\r\n", "quick")
	}
	if _, err := c.Write([]byte("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-began
	_ = c.Close()
	<-ended
}

// Guards against lost or reordered bytes around the size of the read-ahead buffer,
// for requests that arrive in one piece or byte by byte.
func TestRequestsOfAnySizeArriveComplete(t *testing.T) {
	forEachKind(t, requestsOfAnySizeArriveComplete)
}

func requestsOfAnySizeArriveComplete(t *testing.T, o Options) {
	s := NewWithOptions(o, func(_ context.Context, rc *fasthttp.RequestCtx) { rc.SetBody(rc.PostBody()) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	head := len("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 400\r\n\r\n")
	sizes := []int{0, 1, readAheadSize - head - 1, readAheadSize - head, readAheadSize - head + 1, 5000, 3, 200000, 10}
	for _, size := range sizes {
		body := strings.Repeat("b", size)
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, body)
		exchange(t, c, r, request, body)
		for _, part := range request[:min(len(request), 700)] {
			if _, err := c.Write([]byte{byte(part)}); err != nil {
				t.Fatal(err)
			}
		}
		exchange(t, c, r, request[min(len(request), 700):], body)
	}
}

// Guards against idle connections that stay open beyond the idle timeout.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	forEachKind(t, idleConnectionIsClosedAfterTimeout)
}

func idleConnectionIsClosedAfterTimeout(t *testing.T, o Options) {
	const idle = 50 * time.Millisecond
	o.IdleTimeout = idle
	s := NewWithOptions(o, func(_ context.Context, rc *fasthttp.RequestCtx) { rc.SetBodyString("quick") })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	exchange(t, c, r, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "quick")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("read of an idle connection: got %v, want EOF", err)
	}
}
