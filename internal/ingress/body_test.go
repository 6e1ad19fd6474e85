package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/memory"
)

const testLimit = 256 << 10

// bodyServer is a server that answers with the length of the body, within a budget.
// Requests for /order are orders.
type bodyServer struct {
	*Server
	t       *testing.T
	address string
	budget  *memory.Budget
	handled atomic.Int64
}

func serveBodies(t *testing.T, conns int) *bodyServer {
	t.Helper()
	s := &bodyServer{t: t, budget: memory.New(2*testLimit, 50*time.Millisecond)}
	status := map[error]int{ErrBodyTooLarge: 413, ErrNoMemory: 503, ErrBodySlow: 408}
	s.Server = NewWithOptions(Options{
		MaxConns: conns,
		Bodies: &BodyOptions{
			Budget:  s.budget,
			Limit:   func() int { return testLimit },
			IsOrder: func(rc *fasthttp.RequestCtx) bool { return string(rc.Path()) == "/order" },
			Refuse: func(rc *fasthttp.RequestCtx, err error) {
				if status[err] == 0 {
					rc.Error(err.Error(), 400)
					return
				}
				rc.Error(err.Error(), status[err])
			},
		},
	}, func(_ context.Context, rc *fasthttp.RequestCtx) {
		s.handled.Add(1)
		_, _ = fmt.Fprint(rc, len(rc.Request.Body()))
	})
	s.address = listen(t, s.Server)
	return s
}

// listen serves on a free port until the test ends, and returns its address.
func listen(t *testing.T, s *Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return ln.Addr().String()
}

// dial connects and sends text.
func (s *bodyServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// answer reads one answer.
func (s *bodyServer) answer(c net.Conn) (status int, body string) {
	s.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func declared(path string, n int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, n, body)
}

func chunked(path string, chunk, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", path)
	for ; n > 0; n -= chunk {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", min(chunk, n), strings.Repeat("a", min(chunk, n)))
	}
	return b.String()
}

// Guards against a body within the limit that is refused or cut, and against one that
// changes the request behind it on its connection.
func TestBodiesWithinTheLimitAreServed(t *testing.T) {
	s := serveBodies(t, 0)
	for _, n := range []int{0, 1, freeBody - 1, freeBody, freeBody + 1, testLimit - 1, testLimit} {
		for name, text := range map[string]string{
			"declared": declared("/", n, strings.Repeat("a", n)),
			"chunked":  chunked("/", 1000, n) + "0\r\n\r\n",
		} {
			c := s.dial(text)
			if status, body := s.answer(c); status != 200 || body != fmt.Sprint(n) {
				t.Errorf("%s, %d bytes: got status %d, body %q", name, n, status, body)
			}
			_, _ = io.WriteString(c, declared("/", 3, "abc"))
			if status, body := s.answer(c); status != 200 || body != "3" {
				t.Errorf("%s, the request behind %d bytes: got status %d, body %q", name, n, status, body)
			}
		}
	}
	if used, _, _ := s.budget.Stats(); used != 0 {
		t.Errorf("%d bytes are used afterwards, want 0", used)
	}
}

// Guards against a refusal that waits for the body, or asks for it.
func TestDeclaredLengthOverTheLimitIsRefusedUnread(t *testing.T) {
	s := serveBodies(t, 0)
	for name, extra := range map[string]string{"": "", "expects": "Expect: 100-continue\r\n", "marked": headerRefused + ": 1\r\n"} {
		c := s.dial(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", extra, testLimit+1))
		if status, _ := s.answer(c); status != 413 {
			t.Errorf("%s: got status %d, want 413", name, status)
		}
	}
	c := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + headerRefused + ": 1\r\n\r\n")
	if status, _ := s.answer(c); status != 200 {
		t.Errorf("request that a client has marked as refused: got status %d, want 200", status)
	}
	c = s.dial(chunked("/", 64<<10, testLimit+1))
	if status, _ := s.answer(c); status != 413 {
		t.Errorf("chunks over the limit: got status %d, want 413", status)
	}
	if got := s.handled.Load(); got != 1 {
		t.Errorf("%d requests were handled, want 1", got)
	}
}

// Guards against stalled bodies that keep the memory of an order, and against a
// rejection that was handled.
func TestStalledBodiesGiveWay(t *testing.T) {
	s := serveBodies(t, 0)
	var stalled []net.Conn
	for range 3 {
		stalled = append(stalled, s.dial(declared("/", testLimit, strings.Repeat("a", testLimit/2+1000))))
	}
	deadline := time.Now().Add(30 * time.Second)
	for {
		c := s.dial(declared("/order", testLimit, strings.Repeat("a", testLimit)))
		status, _ := s.answer(c)
		if status == 200 {
			break
		}
		if status != 503 || time.Now().After(deadline) {
			t.Fatalf("order: got status %d", status)
		}
	}
	if used, aborted, refused := s.budget.Stats(); aborted+refused == 0 || used > 2*testLimit {
		t.Errorf("%d bytes used, %d transfers aborted, %d refused", used, aborted, refused)
	}
	for _, c := range stalled {
		_ = c.Close()
	}
	if got := s.handled.Load(); got != 1 {
		t.Errorf("%d requests were handled, want that of the order alone", got)
	}
}

// Guards against connections without a bound, and against a bound that closes one with
// a request in it.
func TestOldestConnectionWithoutRequestGivesWay(t *testing.T) {
	s := serveBodies(t, 2)
	oldest := s.dial("")
	time.Sleep(10 * time.Millisecond)
	second := s.dial("GET / HTTP/1.1\r\nHost")
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		if open, _ := s.Connections(); open == 2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("connections are not accepted")
		}
	}
	third := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _ := s.answer(third); status != 200 {
		t.Errorf("new connection: got status %d", status)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection is still open")
	}
	_, _ = io.WriteString(second, ": h\r\n\r\n")
	if status, _ := s.answer(second); status != 200 {
		t.Errorf("younger connection: got status %d", status)
	}
	if open, closed := s.Connections(); open != 2 || closed != 1 {
		t.Errorf("%d connections open, %d closed; want 2 and 1", open, closed)
	}
}
