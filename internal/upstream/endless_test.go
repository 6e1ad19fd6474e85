package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	chunks = okLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// endless is an upstream that answers each request with begin, and then with
// more until the caller closes the connection.
type endless struct {
	address string
	// open counts the connections.
	open atomic.Int64
}

func serveEndless(t *testing.T, begin, more string) *endless {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	e := &endless{address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.open.Add(1)
			go e.answer(c, begin, strings.Repeat(more, 1+4096/len(more)))
		}
	}()
	return e
}

func (e *endless) answer(c net.Conn, begin, more string) {
	defer e.open.Add(-1)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // bounds a test that fails
	r := bufio.NewReader(c)
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = r.ReadString('\n'); err != nil {
			return
		}
	}
	_, err := io.WriteString(c, begin)
	for err == nil {
		_, err = io.WriteString(c, more)
	}
}

// countingClient returns a client that counts the bytes it reads.
func countingClient(address string, memory int64) (*Client, *atomic.Int64) {
	count := new(atomic.Int64)
	client := New(address, 16, memory)
	dial := client.dial
	client.dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		return countingConn{c, count}, err
	}
	return client, count
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// withoutBody and longRequests are the requests that an answer without end may meet.
func withoutBody(r *fasthttp.Request) { r.Header.SetMethod("GET") }

// TestAnswerWithoutEndIsCutOff guards against bytes that are no answer and come without end,
// also while a long body is still being written: the process that reads them keeps them all.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	const maxBody = 1 << 20
	bodies := maps.Clone(longRequests)
	bodies["none"] = withoutBody
	cases := []struct{ name, begin, more string }{
		{"status line", "HTTP/1.1 200 ", "a"},
		{"header", okLine + "X: ", "a"},
		{"headers", okLine, "X: a\r\n"},
		{"no HTTP", "", "\x16\x03\x01"},
		{"empty lines", "", "\r\n"},
		{"answers before the final one", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"answers to other requests", "", okLine + "X-Id: other\r\nContent-Length: 0\r\n\r\n"},
		{"chunks", chunks, "4\r\naaaa\r\n"},
		{"one chunk", chunks + "7fffffff\r\n", "a"},
		{"chunk extension", chunks + "4;", "a"},
		{"chunk size", chunks, "0"},
		{"trailers", chunks + "0\r\n", "X: a\r\n"},
		{"trailer", chunks + "0\r\nX: ", "a"},
		{"length over the bound", okLine + "Content-Length: 99999999\r\n\r\n", "a"},
		{"no length", okLine + "\r\n", "a"},
		{"interim head", "HTTP/1.1 103 Early Hints\r\nX: ", "a"},
		{"head behind an interim one", "HTTP/1.1 103 Early Hints\r\n\r\n" + okLine, "X: a\r\n"},
	}
	for _, c := range cases {
		for body, set := range bodies {
			t.Run(c.name+", request body "+body, func(t *testing.T) {
				t.Parallel()
				e := serveEndless(t, c.begin, c.more)
				client, read := countingClient(e.address, 8<<20)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				req := long(set, true)
				req.MaxAnswer = maxBody
				req.Matches = func(a *fasthttp.Response) Match {
					if string(a.Header.Peek("X-Id")) == "other" {
						return MatchNone
					}
					return MatchNamed
				}
				var answer fasthttp.Response
				out := client.Do(ctx, req, &answer)
				if ctx.Err() != nil || out.Verdict != contract.MayHaveRun {
					t.Errorf("got outcome %+v, deadline passed: %v; want may-have-run before the deadline", out, ctx.Err() != nil)
				}
				if got := read.Load(); got > 2*maxBody {
					t.Errorf("read %d bytes of one answer, want at most %d", got, 2*maxBody)
				}
				for closed := time.Now().Add(time.Second); e.open.Load() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(closed) {
						t.Fatal("connection still open 1 s after")
					}
				}
			})
		}
	}
}

// unknownLength are the beginnings of answers whose length is not known.
var unknownLength = map[string]string{
	"chunks":    chunks + fmt.Sprintf("%x\r\n", largeBody),
	"no length": okLine + "\r\n",
}

const (
	largeBody = 9 << 20
	// atOnce is the number of requests that are sent at once.
	atOnce = 12
)

// sendAtOnce sends requests that allow a large body, and returns their outcomes as
// they end.
func sendAtOnce(ctx context.Context, client *Client) <-chan Outcome {
	done := make(chan Outcome, atOnce)
	for range atOnce {
		go func() {
			req := get(false)
			req.MaxAnswer, req.AllowUntilClose = largeBody, true
			var answer fasthttp.Response
			done <- client.Do(ctx, req, &answer)
		}()
	}
	return done
}

func TestAnswersWithoutEndEndWithTheMemory(t *testing.T) {
	const memory = 2 << 20
	for name, begin := range unknownLength {
		t.Run(name, func(t *testing.T) {
			e := serveEndless(t, begin, "a")
			client, read := countingClient(e.address, memory)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			done := sendAtOnce(ctx, client)
			for range atOnce {
				if out := <-done; out.Verdict != contract.MayHaveRun || out.Reason != contract.ReasonTooLarge {
					t.Errorf("got outcome %+v, want may-have-run too-large", out)
				}
			}
			if got, most := read.Load(), int64(atOnce*(memory+2*freeBytes)); got > most {
				t.Errorf("read %d bytes of %d answers, want at most %d", got, atOnce, most)
			}
		})
	}
}

// TestAnswersOfUnknownLengthShareTheMemory sends answers each of which needs more
// than half of the memory and then stops.
func TestAnswersOfUnknownLengthShareTheMemory(t *testing.T) {
	const memory = 2 << 20
	for name, begin := range unknownLength {
		t.Run(name, func(t *testing.T) {
			scripts := make([]script, atOnce)
			for i := range scripts {
				scripts[i] = script{reply: begin + strings.Repeat("a", memory/2+freeBytes), hang: true}
			}
			client := New(serve(t, scripts...), atOnce, memory)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			done := sendAtOnce(ctx, client)
			for range atOnce - 1 {
				if out := <-done; out.Reason != contract.ReasonTooLarge {
					t.Errorf("got outcome %+v, want too-large", out)
				}
			}
			cancel()
			if out := <-done; out.Reason != contract.ReasonCancelled {
				t.Errorf("got outcome %+v of the one that has memory, want cancelled", out)
			}
		})
	}
}

func TestLargeAnswersWaitForMemory(t *testing.T) {
	const size = 1 << 20
	reply := okLine + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("a", size) // serve closes
	scripts := make([]script, 8)
	for i := range scripts {
		scripts[i] = script{reply: reply}
	}
	client := New(serve(t, scripts...), 4, size+size/2)
	done := make(chan Outcome, len(scripts))
	for range scripts {
		go func() {
			req := get(true)
			req.MaxAnswer = 2 * size
			var answer fasthttp.Response
			done <- client.Do(t.Context(), req, &answer)
		}()
	}
	for range scripts {
		if out := <-done; out.Verdict != contract.Ran {
			t.Errorf("got outcome %+v, want ran", out)
		}
	}
}

func TestAnswerWithALargeHeadIsWhole(t *testing.T) {
	for _, size := range []int{4000, 5000, 20000} {
		head := okLine + "X-Large: " + strings.Repeat("a", size) + "\r\nContent-Length: 2\r\n\r\n"
		client := New(serve(t, script{reply: head + "hi"}), 4, 1<<20)
		var answer fasthttp.Response
		out := client.Do(t.Context(), get(true), &answer)
		if out.Verdict != contract.Ran || string(answer.Body()) != "hi" || len(answer.Header.Peek("X-Large")) != size {
			t.Errorf("head of %d bytes: got outcome %+v, body %q; want the whole answer", size, out, answer.Body())
		}
	}
}
