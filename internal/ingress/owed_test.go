package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/memory"
)

// expectAll reads the answers to the requests of uris, of which only the last one closes the
// connection.
func (p *pipelineServer) expectAll(r io.Reader, expect func(uri string) *fasthttp.Response, uris ...string) {
	p.t.Helper()
	for i, uri := range uris {
		a, last := expect(uri), i == len(uris)-1
		if a.ConnectionClose() != last {
			p.t.Errorf("answer to %s, last %v: closes the connection: %v", uri, last, a.ConnectionClose())
		}
	}
}

// TestDrainAnswersWhatHasRunAhead guards against requests that have been passed on and whose
// connection is closed behind the answer to an earlier one, and against a drain that a
// client which always has requests under way never notices.
func TestDrainAnswersWhatHasRunAhead(t *testing.T) {
	t.Parallel()
	head := strings.Replace(lookupOf("/head"), "GET", "HEAD", 1)
	withBody := orderOf("/body", strings.Repeat("x", 5000))
	cases := []struct {
		name, behind string
		answered     []string
	}{
		{"ready and running", lookupOf("/1") + lookupOf("/held/2") + lookupOf("/3"), []string{"/1", "/held/2", "/3"}},
		{"with a body", withBody + lookupOf("/3"), []string{"/body", "/3"}},
		{"one that asks to close", lookupOf("/1") + "GET /asked HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", []string{"/1", "/asked"}},
		{"HTTP/1.0", "GET /1 HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n" + lookupOf("/2"), []string{"/1", "/2"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := startPipelined(t, Options{})
			c, r := p.dial()
			p.send(c, lookupOf("/held/0")+test.behind)
			p.await("all run", func() bool { return p.numBegun() == 1+len(test.answered) })
			p.s.Drain()
			p.send(c, lookupOf("/late")+orderOf("/order/late", "x"))
			settle()
			p.release("/held/0", "/held/2")
			p.expectAll(r, func(uri string) *fasthttp.Response { return p.expect(r, uri) }, append([]string{"/held/0"}, test.answered...)...)
			p.expectEnd(r)
			if p.hasBegun("/late") || p.hasBegun("/order/late") {
				t.Errorf("requests %q ran, want none that the drain found unread", p.begun)
			}
		})
	}
	t.Run("HEAD", func(t *testing.T) {
		t.Parallel()
		p := startPipelined(t, Options{})
		c, r := p.dial()
		p.send(c, lookupOf("/held/0")+head+lookupOf("/2"))
		p.await("all run", func() bool { return p.numBegun() == 3 })
		p.s.Drain()
		p.release("/held/0")
		p.expect(r, "/held/0")
		answer := &fasthttp.Response{SkipBody: true}
		if err := answer.Read(r); err != nil || string(answer.Header.Peek("X-Uri")) != "/head" {
			t.Fatalf("got the answer to %q, error %v; want that to HEAD", answer.Header.Peek("X-Uri"), err)
		}
		p.expect(r, "/2")
		p.expectEnd(r)
	})
}

// TestClosingAnswerIsTheLast guards against requests that have run ahead and get no answer
// because one in front of them closes the connection, whoever was slower.
func TestClosingAnswerIsTheLast(t *testing.T) {
	t.Parallel()
	for _, closing := range []string{"/held/close/0", "/close/1", "/held/close/1"} {
		t.Run(closing, func(t *testing.T) {
			t.Parallel()
			p := startPipelined(t, Options{})
			uris := []string{"/held/0", "/1", "/held/2", "/3"}
			uris[int(closing[len(closing)-1]-'0')] = closing
			c, r := p.dial()
			p.send(c, lookupOf(uris[0])+lookupOf(uris[1])+lookupOf(uris[2])+lookupOf(uris[3]))
			p.await("all run", func() bool { return p.numBegun() == len(uris) })
			if strings.Contains(closing, "held") {
				p.release(closing)
			}
			settle()
			p.send(c, lookupOf("/late"))
			settle()
			for _, uri := range uris {
				if strings.Contains(uri, "held") && uri != closing {
					p.release(uri)
				}
			}
			p.expectAll(r, func(uri string) *fasthttp.Response { return p.expect(r, uri) }, uris...)
			p.expectEnd(r)
		})
	}
}

// TestNothingRunsBehindConflictingLengths guards against a request behind one whose end can
// be read in two ways.
func TestNothingRunsBehindConflictingLengths(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0")+"POST /both HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+lookupOf("/behind"))
	p.await("the first runs", func() bool { return p.hasBegun("/held/0") })
	settle()
	if p.hasBegun("/both") || p.hasBegun("/behind") {
		t.Errorf("requests %q ran, want the first alone", p.begun)
	}
	p.release("/held/0")
	p.expect(r, "/held/0")
}

// TestAnswerOfWhatHasRunIsNotRefused guards against a request that has run ahead and is
// refused when its turn comes, as the bound on bodies is lower or their memory is used up.
func TestAnswerOfWhatHasRunIsNotRefused(t *testing.T) {
	t.Parallel()
	const size = 20 << 10
	var limit atomic.Int64
	limit.Store(1 << 20)
	budget := memory.New(64<<10, time.Minute)
	p := startPipelined(t, Options{Bodies: &BodyOptions{
		Budget:  budget,
		Limit:   func() int { return int(limit.Load()) },
		IsOrder: func(*fasthttp.RequestCtx) bool { return false },
		Refuse:  func(rc *fasthttp.RequestCtx, err error) { rc.Error(err.Error(), fasthttp.StatusServiceUnavailable) },
	}})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0")+orderOf("/1", strings.Repeat("x", size))+lookupOf("/2"))
	p.await("all run", func() bool { return p.numBegun() == 3 })
	limit.Store(size / 2)
	others := budget.Claim(time.Now(), true, nil)
	defer others.Release()
	if !others.Acquire(60<<10, time.Second) {
		t.Fatal("the memory is not free")
	}
	p.release("/held/0")
	p.expect(r, "/held/0")
	p.expect(r, "/1")
	p.expect(r, "/2")
}

// TestShutdownAnswersWhatHasRunAhead guards against a shutdown that closes a connection
// while answers to requests that have run ahead are owed, and against handlers that run on
// after it.
func TestShutdownAnswersWhatHasRunAhead(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0")+lookupOf("/1")+lookupOf("/held/2"))
	p.await("all run", func() bool { return p.numBegun() == 3 })
	ended := make(chan error, 1)
	go func() { ended <- p.s.Shutdown(t.Context()) }()
	settle()
	p.release("/held/0")
	p.expect(r, "/held/0")
	p.expect(r, "/1")
	select {
	case err := <-ended:
		t.Fatalf("Shutdown ended with %v while a request runs", err)
	case <-time.After(100 * time.Millisecond):
	}
	p.release("/held/2")
	p.expect(r, "/held/2")
	p.expectEnd(r)
	if err := <-ended; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if p.s.pipeline.owed.Load() != 0 || p.s.pipeline.running.Load() != 0 {
		t.Errorf("%d answers owed, %d requests running after Shutdown", p.s.pipeline.owed.Load(), p.s.pipeline.running.Load())
	}
}

// TestShutdownEndsWithItsContext guards against a shutdown that waits for requests that
// have run ahead longer than it may.
func TestShutdownEndsWithItsContext(t *testing.T) {
	t.Parallel()
	p := startPipelined(t, Options{})
	c, _ := p.dial()
	p.send(c, lookupOf("/held/0")+lookupOf("/held/1"))
	p.await("both run", func() bool { return p.numBegun() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := p.s.Shutdown(ctx); err == nil {
		t.Error("Shutdown ended without an error while requests run")
	}
	_ = c.Close()
	p.await("both are cancelled", func() bool { return p.wasCancelled("/held/0") && p.wasCancelled("/held/1") })
}

// TestBoundOnConnectionsKeepsOwedAnswers guards against a new connection that takes the place
// of one whose client waits for answers to requests that have run.
func TestBoundOnConnectionsKeepsOwedAnswers(t *testing.T) {
	t.Parallel()
	g := newGuard(1, false)
	owing, far := net.Pipe()
	defer far.Close()
	c := &guardedConn{Conn: owing, guard: g}
	g.add(c)
	c.setOwed(true)
	if g.add(&guardedConn{guard: g}) {
		t.Error("a connection with owed answers gave way to a new one")
	}
	c.setOwed(false)
	if !g.add(&guardedConn{guard: g}) {
		t.Error("a connection without owed answers did not give way")
	}
}

// TestOwedAnswersUnderLoad drains a server while many clients have requests under way, and
// checks that what has run is answered, in order, on each connection.
func TestOwedAnswersUnderLoad(t *testing.T) {
	t.Parallel()
	const clients, requests = 30, 8 // fewer than maxAheadRunning
	p := startPipelined(t, Options{})
	var text bytes.Buffer
	text.WriteString(lookupOf("/held/0"))
	for range requests {
		text.WriteString(lookupOf("/1"))
	}
	var answered sync.WaitGroup
	for range clients {
		c, r := p.dial()
		p.send(c, text.String())
		answered.Go(func() {
			a := &fasthttp.Response{}
			for n := range 1 + requests {
				if err := a.Read(r); err != nil {
					t.Errorf("answer %d: %v", n, err)
					return
				}
				if last := n == requests; a.ConnectionClose() != last {
					t.Errorf("answer %d closes the connection: %v", n, a.ConnectionClose())
				}
			}
		})
	}
	p.await("all run", func() bool { return p.numBegun() == clients*(1+requests) })
	p.s.Drain()
	p.release("/held/0")
	answered.Wait()
}

// TestRefusalBehindWhatHasRunComesLast guards against a request that the server refuses, and
// whose refusal closes the connection, before those in front of it that have run are answered.
func TestRefusalBehindWhatHasRunComesLast(t *testing.T) {
	t.Parallel()
	const limit = 1 << 10
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no request":       {"\x16\x03\x01\r\n\r\n", fasthttp.StatusBadRequest},
		"invalid field":    {"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc", fasthttp.StatusBadRequest},
		"body too large":   {orderOf("/x", strings.Repeat("x", 2*limit)), fasthttp.StatusRequestEntityTooLarge},
		"header too large": {"GET /x HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 2*defaultHeadBytes) + "\r\n\r\n", fasthttp.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPipelined(t, Options{Bodies: &BodyOptions{
				Budget:  memory.New(1<<20, time.Minute),
				Limit:   func() int { return limit },
				IsOrder: func(*fasthttp.RequestCtx) bool { return false },
				Refuse: func(rc *fasthttp.RequestCtx, err error) {
					rc.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
					rc.SetBodyString(err.Error())
				},
			}})
			c2, r := p.dial()
			p.send(c2, lookupOf("/held/0")+lookupOf("/1")+lookupOf("/held/2")+c.text+lookupOf("/behind"))
			p.await("all run", func() bool { return p.hasBegun("/held/0") && p.hasBegun("/1") && p.hasBegun("/held/2") })
			settle()
			p.release("/held/0", "/held/2")
			for _, uri := range []string{"/held/0", "/1", "/held/2"} {
				p.expect(r, uri)
			}
			var refusal fasthttp.Response
			if err := refusal.Read(r); err != nil || refusal.StatusCode() != c.status || !refusal.ConnectionClose() {
				t.Errorf("got status %d, closes %v (%v); want %d and a close", refusal.StatusCode(), refusal.ConnectionClose(), err, c.status)
			}
			p.expectEnd(r)
			if p.hasBegun("/behind") {
				t.Error("a request behind a refusal ran")
			}
		})
	}
}

// TestNothingRunsBehindAnUpload guards against requests that run behind an upload, whose
// answer closes the connection.
func TestNothingRunsBehindAnUpload(t *testing.T) {
	t.Parallel()
	const whole = 1 << 10
	p := startPipelined(t, Options{Bodies: &BodyOptions{
		Budget:  memory.New(16<<20, time.Minute),
		Limit:   func() int { return 1 << 20 },
		Whole:   whole,
		IsOrder: func(*fasthttp.RequestCtx) bool { return false },
		Refuse:  func(rc *fasthttp.RequestCtx, err error) { rc.Error(err.Error(), fasthttp.StatusServiceUnavailable) },
	}})
	c, r := p.dial()
	p.send(c, lookupOf("/held/0")+lookupOf("/1")+orderOf("/order/held/upload", strings.Repeat("x", 40*whole))+lookupOf("/behind"))
	p.await("the lookups run", func() bool { return p.hasBegun("/held/0") && p.hasBegun("/1") })
	p.release("/held/0")
	p.expect(r, "/held/0")
	p.expect(r, "/1")
	p.await("the upload runs", func() bool { return p.hasBegun("/order/held/upload") })
	settle()
	p.release("/order/held/upload")
	if a := p.expect(r, "/order/held/upload"); !a.ConnectionClose() {
		t.Error("the answer to an upload does not close the connection")
	}
	if p.hasBegun("/behind") {
		t.Error("a request ran behind an upload")
	}
}
