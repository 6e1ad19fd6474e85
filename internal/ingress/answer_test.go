package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/memory"
)

// answerServer answers each request with size bytes that hold a share of the budget.
func answerServer(t *testing.T, budget *memory.Budget, size int) string {
	t.Helper()
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	s := NewWithOptions(Options{SmallQueues: true}, func(ctx context.Context, rc *fasthttp.RequestCtx) {
		room := budget.Claim(time.Now(), false, nil)
		if err := room.Await(ctx, int64(len(body))); err != nil {
			rc.Error(err.Error(), 502)
			return
		}
		SetAnswer(rc, body, room)
	})
	return listen(t, s)
}

// get requests an answer and reads its head. The rest does not fit into a small receive
// buffer.
func get(t *testing.T, address, method string, small bool) (net.Conn, *http.Response) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if small {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = io.WriteString(c, method+" / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	return c, resp
}

// Guards against an answer that is cut though its client reads, and against memory that is
// lost with an answer that is given up.
func TestAnswersShareTheMemory(t *testing.T) {
	const size, stall = 16 << 20, 200 * time.Millisecond
	budget := memory.New(2*size, stall) // lookups get room for one
	address := answerServer(t, budget, size)
	get(t, address, "GET", true) // stalls
	for range 2 {
		_, resp := get(t, address, "GET", false) // waits until the stalled one gives way
		body, err := io.ReadAll(resp.Body)
		if err != nil || len(body) != size || !bytes.HasSuffix(body, []byte("0123456789abcdef")) {
			t.Errorf("got %d bytes, %v; want all %d", len(body), err, size)
		}
	}
	if _, aborted, _ := budget.Stats(); aborted != 1 {
		t.Errorf("%d answers were aborted, want the stalled one", aborted)
	}
	if _, resp := get(t, address, "HEAD", false); resp.ContentLength != size {
		t.Errorf("HEAD: got length %d, want %d", resp.ContentLength, size)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		used, _, _ := budget.Stats()
		if used == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are used afterwards, want 0", used)
		}
	}
}
