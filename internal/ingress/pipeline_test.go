package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// pipelineServer records which requests begin and end. A request whose URI has "held"
// waits until it is released or its context ends; one with "close" closes its connection;
// one with "big" gets a large answer. Requests below /order are not idempotent.
type pipelineServer struct {
	t       *testing.T
	s       *Server
	address string

	mu       sync.Mutex
	begun    []string
	ended    []string
	running  int
	most     int
	alone    bool // an order runs
	overlaps int  // requests that ran beside an order
	left     map[string]bool
	gates    map[string]chan struct{}
}

func isOrder(uri string) bool { return strings.HasPrefix(uri, "/order") }

const bigAnswer = 300 << 10

func startPipelined(t *testing.T, o Options) *pipelineServer {
	t.Helper()
	p := &pipelineServer{t: t, gates: make(map[string]chan struct{}), left: make(map[string]bool)}
	o.Idempotent = func(r *fasthttp.Request) bool { return !isOrder(string(r.RequestURI())) }
	p.serve(o)
	return p
}

func (p *pipelineServer) serve(o Options) {
	p.s = NewWithOptions(o, p.handle)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	p.address = ln.Addr().String()
	go func() { _ = p.s.Serve(ln) }()
	p.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := p.s.Shutdown(ctx); err != nil {
			p.t.Errorf("shutdown: %v", err)
		}
		if p.s.pipeline != nil {
			p.await("all memory of the read-ahead is given back", func() bool { return p.s.pipeline.memory.Load() == 0 })
		}
	})
}

func (p *pipelineServer) gate(uri string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gates[uri] == nil {
		p.gates[uri] = make(chan struct{})
	}
	return p.gates[uri]
}

func (p *pipelineServer) release(uris ...string) {
	for _, uri := range uris {
		close(p.gate(uri))
	}
}

func (p *pipelineServer) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	uri := string(rc.RequestURI())
	p.mu.Lock()
	p.begun = append(p.begun, uri)
	p.running++
	p.most = max(p.most, p.running)
	if p.alone || isOrder(uri) && p.running > 1 {
		p.overlaps++
	}
	p.alone = p.alone || isOrder(uri)
	p.mu.Unlock()
	if strings.Contains(uri, "held") {
		select {
		case <-p.gate(uri):
		case <-ctx.Done():
			p.mu.Lock()
			p.left[uri] = true
			p.mu.Unlock()
		}
	}
	rc.SetBodyString(string(rc.Method()) + " " + uri + " " + string(rc.PostBody()))
	rc.Response.Header.Set("X-Uri", uri)
	if strings.Contains(uri, "big") {
		rc.SetBody(bytes.Repeat([]byte("b"), bigAnswer))
	}
	if strings.Contains(uri, "missing") {
		rc.SetStatusCode(fasthttp.StatusNotFound)
	}
	if strings.Contains(uri, "close") {
		rc.SetConnectionClose()
	}
	p.mu.Lock()
	p.ended = append(p.ended, uri)
	p.running--
	if isOrder(uri) {
		p.alone = false
	}
	p.mu.Unlock()
}

func (p *pipelineServer) hasBegun(uri string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.begun, uri)
}

func (p *pipelineServer) numBegun() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.begun)
}

func (p *pipelineServer) wasCancelled(uri string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left[uri]
}

// await polls until a condition is true.
func (p *pipelineServer) await(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.t.Fatalf("not within 10 s: %s; begun %.30q, ended %.30q", what, p.begun, p.ended)
		}
	}
}

// settle waits long enough for a request that wrongly runs to begin.
func settle() { time.Sleep(50 * time.Millisecond) }

func (p *pipelineServer) dial() (net.Conn, *bufio.Reader) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

func lookupOf(uri string) string { return "GET " + uri + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func orderOf(uri, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", uri, len(body), body)
}

func (p *pipelineServer) send(c net.Conn, text string) {
	p.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		p.t.Fatal(err)
	}
}

// expect reads an answer and checks which request it belongs to.
func (p *pipelineServer) expect(r *bufio.Reader, uri string) *fasthttp.Response {
	p.t.Helper()
	answer := &fasthttp.Response{}
	if err := answer.Read(r); err != nil {
		p.t.Fatalf("answer to %s: %v", uri, err)
	}
	if got := string(answer.Header.Peek("X-Uri")); got != uri {
		p.t.Fatalf("got the answer to %s, want that to %s", got, uri)
	}
	return answer
}

// expectEnd checks that the server closes the connection.
func (p *pipelineServer) expectEnd(r *bufio.Reader) {
	p.t.Helper()
	if b, err := r.ReadByte(); err == nil || !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
		p.t.Errorf("read byte %q, error %v, want the end of the connection", b, err)
	}
}

// TestRequestsBehindASlowOneRun guards against requests that are not read while one in
// front of them runs, and against answers in another order than the requests.
func TestRequestsBehindASlowOneRun(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0"))
	p.await("the first request runs", func() bool { return p.hasBegun("/held/0") })
	p.send(c, lookupOf("/held/1")+lookupOf("/2")+lookupOf("/held/3"))
	p.await("those behind it run", func() bool { return p.hasBegun("/held/1") && p.hasBegun("/2") && p.hasBegun("/held/3") })
	p.send(c, lookupOf("/missing"))
	p.await("a later one runs", func() bool { return p.hasBegun("/missing") })
	p.release("/held/3", "/held/1")
	settle()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if b, err := r.Peek(1); err == nil {
		t.Fatalf("got %q before the answer that is due", b)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	p.release("/held/0")
	for _, uri := range []string{"/held/0", "/held/1", "/2", "/held/3", "/missing"} {
		if a := p.expect(r, uri); (a.StatusCode() == fasthttp.StatusNotFound) != (uri == "/missing") {
			t.Errorf("%s: got status %d", uri, a.StatusCode())
		}
	}
	p.send(c, lookupOf("/after"))
	p.expect(r, "/after")
	if n := p.numBegun(); n != 6 {
		t.Errorf("%d requests ran, want 6", n)
	}
}

// TestOrderRunsAlone guards against an order that runs beside another request of its
// connection, or in another order.
func TestOrderRunsAlone(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0")+lookupOf("/1")+orderOf("/order/held/2", "body")+lookupOf("/held/3")+lookupOf("/4")+orderOf("/order/5", "")+orderOf("/order/6", "x"))
	p.await("both lookups run", func() bool { return p.hasBegun("/held/0") && p.hasBegun("/1") })
	settle()
	if n := p.numBegun(); n != 2 {
		t.Errorf("%d requests run before the order, want the 2 in front of it", n)
	}
	p.release("/held/0")
	p.expect(r, "/held/0")
	p.expect(r, "/1")
	p.await("the order runs", func() bool { return p.hasBegun("/order/held/2") })
	settle()
	if n := p.numBegun(); n != 3 {
		t.Errorf("%d requests have begun while the order runs, want 3", n)
	}
	p.release("/order/held/2")
	if a := p.expect(r, "/order/held/2"); string(a.Body()) != "POST /order/held/2 body" {
		t.Errorf("got body %q", a.Body())
	}
	p.await("lookups behind the order run", func() bool { return p.hasBegun("/held/3") && p.hasBegun("/4") })
	settle()
	if p.hasBegun("/order/5") {
		t.Error("an order runs beside a lookup")
	}
	p.release("/held/3")
	for _, uri := range []string{"/held/3", "/4", "/order/5", "/order/6"} {
		p.expect(r, uri)
	}
	if p.overlaps > 0 {
		t.Errorf("%d requests ran beside an order", p.overlaps)
	}
}

// TestNothingRunsBehindAClosingAnswer guards against requests that run, or are answered,
// behind an answer that closes the connection: clients send them again.
func TestNothingRunsBehindAClosingAnswer(t *testing.T) {
	t.Parallel()
	const closing = "GET /asked HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	behind := orderOf("/order/behind", "x") + lookupOf("/behind")
	cases := []struct {
		name, text string
		answered   []string
	}{
		{"the first", lookupOf("/held/close") + behind, []string{"/held/close"}},
		{"one that ran ahead", lookupOf("/held/0") + lookupOf("/close") + behind, []string{"/held/0", "/close"}},
		{"an order", lookupOf("/held/0") + orderOf("/order/close", "") + behind, []string{"/held/0", "/order/close"}},
		{"asked for", lookupOf("/held/0") + closing + behind, []string{"/held/0", "/asked"}},
		{"asked for by the first", strings.Replace(closing, "/asked", "/held/asked", 1) + behind, []string{"/held/asked"}},
		{"HTTP/1.0", "GET /held/0 HTTP/1.0\r\nHost: x\r\n\r\n" + behind, []string{"/held/0"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := startPipelined(t, Options{})
			c, r := p.dial()
			p.send(c, test.text)
			p.await("the first request runs", func() bool { return p.hasBegun(test.answered[0]) })
			settle()
			p.release(test.answered[0])
			for _, uri := range test.answered {
				p.expect(r, uri)
			}
			p.expectEnd(r)
			settle()
			if p.hasBegun("/order/behind") || p.hasBegun("/behind") {
				t.Errorf("got requests %q, want none behind the closing answer", p.begun)
			}
		})
	}
}

// TestClientThatLeavesCancelsAllItsRequests guards against a client whose leaving isn't
// noticed because requests of it are buffered, few or more than the buffer holds, and
// against buffered requests that run after it. All that the client has sent fits into the
// buffers of the kernel; the end of a connection is received behind its bytes.
func TestClientThatLeavesCancelsAllItsRequests(t *testing.T) {
	t.Parallel()
	leave := map[string]func(c *net.TCPConn){
		"closes":     func(c *net.TCPConn) { _ = c.Close() },
		"half":       func(c *net.TCPConn) { _ = c.CloseWrite() },
		"is aborted": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	}
	buffered := map[string]string{
		"none":             "",
		"lookups":          lookupOf("/held/1") + lookupOf("/held/2"),
		"an order":         lookupOf("/held/1") + orderOf("/order/1", "x") + lookupOf("/3"),
		"part of one":      "GET /un",
		"many requests":    lookupOf("/held/1") + strings.Repeat(orderOf("/order/1", "x"), 3*maxAheadBytes/2/len(orderOf("/order/1", "x"))),
		"one larger":       "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 3*maxAheadBytes/2),
		"no valid request": "\x16\x03\x01" + strings.Repeat("\x00", 3*maxAheadBytes/2),
	}
	for how, leave := range leave {
		for what, text := range buffered {
			for first, request := range map[string]string{"/held/0": lookupOf("/held/0"), "/order/held/0": orderOf("/order/held/0", "x")} {
				t.Run(how+", "+what+" behind "+first, func(t *testing.T) {
					t.Parallel()
					p := startPipelined(t, Options{})
					c, _ := p.dial()
					p.send(c, request)
					p.await("the first request runs", func() bool { return p.hasBegun(first) })
					go func() { _, _ = io.WriteString(c, text) }()
					settle()
					leave(c.(*net.TCPConn))
					p.await("the first request is cancelled", func() bool { return p.wasCancelled(first) })
					p.await("all requests have ended", func() bool {
						p.mu.Lock()
						defer p.mu.Unlock()
						return p.running == 0
					})
					settle()
					if p.hasBegun("/order/1") || p.hasBegun("/3") {
						t.Errorf("requests %q ran, want none that was buffered when the client left", p.begun)
					}
				})
			}
		}
	}
}

// TestReadAheadIsBounded guards against a client that makes a node run or hold any number
// of requests and answers.
func TestReadAheadIsBounded(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, r := p.dial()
	const sent = 10 * maxAheadRequests
	go func() {
		for i := range sent {
			if _, err := io.WriteString(c, lookupOf(fmt.Sprint("/held/", i, "?", strings.Repeat("x", 2000)))); err != nil {
				return
			}
		}
	}()
	p.await("requests run ahead", func() bool { return p.numBegun() == 1+maxAheadRequests })
	settle()
	if n := p.numBegun(); n != 1+maxAheadRequests {
		t.Errorf("%d requests run, want %d", n, 1+maxAheadRequests)
	}
	const most = 2*maxAheadBytes + (1+maxAheadRequests)*requestCost // each request also as parsed
	if n := p.s.pipeline.memory.Load(); n > most {
		t.Errorf("read-ahead takes %d bytes, want at most %d", n, most)
	}
	for i := range sent {
		uri := fmt.Sprint("/held/", i, "?", strings.Repeat("x", 2000))
		p.release(uri)
		p.expect(r, uri)
	}
	if p.most > 1+maxAheadRequests {
		t.Errorf("%d requests ran at once, want at most %d", p.most, 1+maxAheadRequests)
	}
}

// TestReadyAnswersAreBounded guards against a client that makes a node hold large answers
// behind one that takes long.
func TestReadyAnswersAreBounded(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0"))
	p.await("the first request runs", func() bool { return p.hasBegun("/held/0") })
	const sent, allowed = 8, maxHeldBytes/bigAnswer + 1
	for i := range sent { // one by one, so that each answer counts before the next request
		p.send(c, lookupOf(fmt.Sprint("/big/", i)))
		if i < allowed {
			p.await("the answer is ready", func() bool { return p.s.pipeline.memory.Load() >= int64(i+1)*bigAnswer })
		}
	}
	settle()
	if n := p.numBegun(); n != 1+allowed {
		t.Errorf("%d requests ran, want %d", n, 1+allowed)
	}
	p.release("/held/0")
	p.expect(r, "/held/0")
	for i := range sent {
		if a := p.expect(r, fmt.Sprint("/big/", i)); len(a.Body()) != bigAnswer {
			t.Errorf("got %d bytes", len(a.Body()))
		}
	}
}

// TestNothingRunsAheadBeyondTheSharedBounds guards against many connections that together
// take any amount of memory, against requests that are not answered then, and against a
// client whose leaving is not noticed for want of a buffer.
func TestNothingRunsAheadBeyondTheSharedBounds(t *testing.T) {
	t.Parallel()
	for name, use := range map[string]func(p *pipeline, sign int64){
		"memory":  func(p *pipeline, sign int64) { p.memory.Add(sign * aheadMemory) },
		"running": func(p *pipeline, sign int64) { p.running.Add(sign * maxAheadRunning) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPipelined(t, Options{})
			use(p.s.pipeline, 1)
			defer use(p.s.pipeline, -1)
			c, r := p.dial()
			long := "/" + strings.Repeat("x", readAheadSize)
			p.send(c, lookupOf("/held/0")+strings.Repeat(lookupOf(long), 5)+orderOf("/order/1", "x"))
			p.await("the first request runs", func() bool { return p.hasBegun("/held/0") })
			settle()
			if n := p.numBegun(); n != 1 {
				t.Errorf("%d requests run, want 1", n)
			}
			p.release("/held/0")
			p.expect(r, "/held/0")
			for range 5 {
				p.expect(r, long)
			}
			p.expect(r, "/order/1")
			p.send(c, lookupOf("/held/2")+strings.Repeat(lookupOf(long), 5))
			p.await("another one runs", func() bool { return p.hasBegun("/held/2") })
			_ = c.Close()
			p.await("it is cancelled", func() bool { return p.wasCancelled("/held/2") })
		})
	}
}

// TestIdleConnectionKeepsNoReadAheadBuffer guards against connections that were pipelined
// once and hold the memory that others need.
func TestIdleConnectionKeepsNoReadAheadBuffer(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, r := p.dial()
	for round := range 3 {
		held := fmt.Sprint("/held/", round)
		p.send(c, lookupOf(held))
		p.await("the first request runs", func() bool { return p.hasBegun(held) })
		long := "/" + strings.Repeat("x", 1500)
		p.send(c, strings.Repeat(lookupOf(long), 5))
		p.await("requests are buffered", func() bool { return p.s.pipeline.memory.Load() > 5*1500 })
		p.release(held)
		p.expect(r, held)
		for range 5 {
			p.expect(r, long)
		}
		p.await("the buffer is given back", func() bool { return p.s.pipeline.memory.Load() == 0 })
	}
}

// TestSlowRequestsOutliveTheIdleTimeout guards against a deadline for the next request
// that ends the connection, or cancels requests, while answers are due.
func TestSlowRequestsOutliveTheIdleTimeout(t *testing.T) {
	t.Parallel()
	const idle = 50 * time.Millisecond
	p := startPipelined(t, Options{IdleTimeout: idle})
	c, r := p.dial()
	for round := range 3 {
		first, second, third := fmt.Sprint("/held/", round, "/1"), fmt.Sprint("/held/", round, "/2"), fmt.Sprint("/order/held/", round)
		p.send(c, lookupOf(first)+lookupOf(second)+orderOf(third, "x"))
		for _, uri := range []string{first, second, third} {
			time.Sleep(3 * idle)
			p.release(uri)
			p.expect(r, uri)
		}
	}
	if len(p.left) > 0 {
		t.Errorf("requests %v were cancelled", p.left)
	}
	p.expectEnd(r)
}

// TestServerWithoutIdempotencyRunsRequestsOneByOne guards against requests that run beside
// each other where nothing says that they may.
func TestServerWithoutIdempotencyRunsRequestsOneByOne(t *testing.T) {
	t.Parallel()
	p := &pipelineServer{t: t, gates: make(map[string]chan struct{}), left: make(map[string]bool)}
	p.serve(Options{})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0")+lookupOf("/1")+orderOf("/order/2", "x"))
	p.await("the first request runs", func() bool { return p.hasBegun("/held/0") })
	settle()
	p.release("/held/0")
	for _, uri := range []string{"/held/0", "/1", "/order/2"} {
		p.expect(r, uri)
	}
	if p.most != 1 {
		t.Errorf("%d requests ran at once, want 1", p.most)
	}
}

// someRequests returns requests of mixed kinds, sizes and framings.
func someRequests(random *rand.Rand, n int) (text string, uris []string) {
	sizes := []int{0, 1, 400, readAheadSize - 60, readAheadSize, 3000, 5000, maxAheadBytes - 70, maxAheadBytes, 200000}
	var b strings.Builder
	for i := range n {
		uri := fmt.Sprintf("/%d/%s", i, strings.Repeat("u", random.IntN(700)))
		if random.IntN(3) == 0 {
			uri = "/order" + uri
		}
		uris = append(uris, uri)
		body := strings.Repeat("b", sizes[random.IntN(len(sizes))])
		switch kind := random.IntN(8); {
		case kind == 0:
			fmt.Fprintf(&b, "HEAD %s HTTP/1.1\r\nHost: x\r\n\r\n", uri)
		case kind == 1:
			fmt.Fprintf(&b, "\r\nGET %s HTTP/1.1\r\nhost: x\r\nContent-Length: %d\r\n\r\n%s", uri, len(body), body)
		case kind == 2 && len(body) > 0:
			half := len(body) / 2
			fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", uri)
			for _, chunk := range []string{body[:half], body[half:]} {
				if chunk != "" {
					fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
				}
			}
			b.WriteString("0\r\n\r\n")
		case kind == 3:
			fmt.Fprintf(&b, "POST %s HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\nContent-Length: %d\r\n\r\n%s", uri, len(body), body)
		case kind < 6:
			b.WriteString(lookupOf(uri))
		default:
			b.WriteString(orderOf(uri, body))
		}
	}
	return b.String(), uris
}

// rawAnswers sends text in parts, and returns what the server sends until the answer to
// the last request is complete.
func (p *pipelineServer) rawAnswers(text, last string, part func(left int) int) string {
	p.t.Helper()
	c, _ := p.dial()
	go func() {
		for rest := text; rest != ""; {
			n := min(part(len(rest)), len(rest))
			if _, err := io.WriteString(c, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}()
	var got bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &got))
	for {
		answer := &fasthttp.Response{}
		if err := answer.Header.Read(r); err != nil {
			p.t.Fatalf("after %d bytes of answers: %v", got.Len(), err)
		}
		if answer.Header.ContentLength() > 0 && len(answer.Header.Peek("X-Head")) == 0 {
			if _, err := io.CopyN(io.Discard, r, int64(answer.Header.ContentLength())); err != nil {
				p.t.Fatal(err)
			}
		}
		if string(answer.Header.Peek("X-Uri")) == last {
			_ = c.Close()
			return got.String()
		}
	}
}

// echo answers with what it has read, so that the answers tell how the requests were read.
func echo(_ context.Context, rc *fasthttp.RequestCtx) {
	uri := rc.RequestURI()
	rc.Response.Header.SetBytesV("X-Uri", uri)
	rc.Response.Header.Set("X-Body", fmt.Sprint(len(rc.PostBody()), " ", len(uri)))
	if rc.IsHead() {
		rc.Response.Header.Set("X-Head", "1")
	}
	if len(uri)%3 == 0 {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		rc.SetContentType("x/y")
	}
	rc.SetBody(uri)
}

func serveEcho(t *testing.T, idempotent Idempotent) *pipelineServer {
	p := &pipelineServer{t: t}
	p.s = NewWithOptions(Options{HeaderBytes: 8 << 10, Idempotent: idempotent}, echo)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.address = ln.Addr().String()
	go func() { _ = p.s.Serve(ln) }()
	t.Cleanup(func() { _ = p.s.Shutdown(context.Background()) })
	return p
}

func lookupsOnly(r *fasthttp.Request) bool { return !isOrder(string(r.RequestURI())) }

// TestMixedRequestsAreAnsweredAsOneByOne guards against requests that are read otherwise
// than without the read-ahead, and against answers that differ: the bytes of all answers
// are the same, whatever the sizes, kinds and framings of the requests.
func TestMixedRequestsAreAnsweredAsOneByOne(t *testing.T) {
	t.Parallel()
	ahead, plain := serveEcho(t, lookupsOnly), serveEcho(t, nil)
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		text, uris := someRequests(random, 25)
		last := uris[len(uris)-1]
		most := []int{1 << 20, 40, 700, 30000}[seed%4]
		parts := func(int) int { return 1 + random.IntN(most) }
		want := plain.rawAnswers(text, last, func(left int) int { return left })
		if got := ahead.rawAnswers(text, last, parts); got != want {
			t.Fatalf("seed %d: got answers\n%.2000q\nwant\n%.2000q", seed, got, want)
		}
	}
	if n := ahead.s.pipeline.started.Load(); n == 0 {
		t.Error("no request ran ahead")
	}
}

// TestRequestsSplitAnywhereAreReadTheSame guards against a reader that depends on how the
// bytes arrive: each split into two parts, and byte by byte.
func TestRequestsSplitAnywhereAreReadTheSame(t *testing.T) {
	t.Parallel()
	p := serveEcho(t, lookupsOnly)
	text := lookupOf("/0") + orderOf("/order/1", "body") + lookupOf("/2") + "\r\n" + orderOf("/3", "of a lookup") + lookupOf("/4") +
		"POST /order/5 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + lookupOf("/6") + lookupOf("/last")
	whole := p.rawAnswers(text, "/last", func(left int) int { return left })
	if n := strings.Count(whole, "X-Uri: "); n != 8 {
		t.Fatalf("got %d answers, want 8: %q", n, whole)
	}
	for at := 1; at < len(text); at++ {
		first := true
		got := p.rawAnswers(text, "/last", func(left int) int {
			if !first {
				time.Sleep(time.Millisecond) // else both parts arrive as one
				return left
			}
			first = false
			return at
		})
		if got != whole {
			t.Fatalf("split at byte %d: got %q, want %q", at, got, whole)
		}
	}
	if got := p.rawAnswers(text, "/last", func(int) int { return 1 }); got != whole {
		t.Fatalf("byte by byte: got %q, want %q", got, whole)
	}
}

// FuzzReadRequest guards against a request whose size is told wrongly: the codec of the
// server must read exactly as many bytes, and the same whether more follow or not.
func FuzzReadRequest(f *testing.F) {
	for seed := range uint64(8) {
		text, _ := someRequests(rand.New(rand.NewPCG(seed, 11)), 2)
		f.Add([]byte(text[:min(len(text), 2000)]))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\nHost: x\n\nrest"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		const headBytes = 4 << 10
		var ahead, own fasthttp.Request
		size, state := readRequest(data, headBytes, &ahead)
		if state != complete {
			return
		}
		rest := bytes.NewReader(data[:size])
		r := bufio.NewReaderSize(rest, headBytes)
		if err := own.Header.Read(r); err != nil {
			t.Fatalf("%q: the server rejects it: %v", data, err)
		}
		if err := own.ContinueReadBody(r, maxBody, false); err != nil {
			t.Fatalf("%q: the server does not read the body: %v", data, err)
		}
		if rest.Len() > 0 || r.Buffered() > 0 {
			t.Fatalf("%q: the server leaves %d bytes of %d", data, rest.Len()+r.Buffered(), size)
		}
		if own.String() != ahead.String() {
			t.Fatalf("%q: got %q, want %q", data, ahead.String(), own.String())
		}
		if n := (&headReader{}).add(data); n > size {
			t.Fatalf("%q: the head has %d bytes of %d", data, n, size)
		}
	})
}

// BenchmarkRequest measures requests of a connection that does not pipeline.
func BenchmarkRequest(b *testing.B) {
	for name, idempotent := range map[string]Idempotent{"one by one": nil, "ahead": lookupsOnly} {
		b.Run(name, func(b *testing.B) {
			s := NewWithOptions(Options{Idempotent: idempotent}, func(_ context.Context, rc *fasthttp.RequestCtx) { rc.SetBodyString("quick") })
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(ln) }()
			defer func() { _ = s.Shutdown(context.Background()) }()
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			request := []byte("GET /quick HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 300) + "\r\n\r\n")
			var answer fasthttp.Response
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				if err := answer.Read(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
