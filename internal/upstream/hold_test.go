package upstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

// Guards against an answer that gives its share of the memory back before it has been
// passed on, and against a share that is never given back.
func TestAnswerKeepsItsShareUntilReleased(t *testing.T) {
	const size = 1 << 20
	for name, reply := range map[string]string{
		"declared": fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("a", size),
		"chunked":  "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("a", size)),
	} {
		t.Run(name, func(t *testing.T) {
			const memory = 5 * size                                            // the buffer of an unknown length is up to twice as large
			closing := script{reply: okLine + "Connection: close\r\n" + reply} // as serve does
			client := New(serve(t, closing, closing, closing), 4, memory)
			do := func(held func() *Held) *Held {
				ctx, h := WithHeld(t.Context())
				if early := held(); early != nil {
					h.Release() // an attempt that ends after its caller has gone
				}
				req := get(true)
				req.MaxAnswer = 2 * size
				var answer fasthttp.Response
				if out := client.Do(ctx, req, &answer); out.Verdict != contract.Ran || len(answer.Body()) != size {
					t.Fatalf("got outcome %+v and %d bytes", out, len(answer.Body()))
				}
				return h
			}
			first := do(func() *Held { return nil })
			if client.memory.left.TryAcquire(memory - share(size) + 1) {
				t.Error("the answer has no share of the memory")
			}
			second := do(func() *Held { return first })
			if client.memory.left.TryAcquire(memory - share(size) + 1) {
				t.Error("the first answer has lost its share")
			}
			second.Release()
			first.Release()
			first.Release()
			if !client.memory.left.TryAcquire(memory) {
				t.Error("a share was not given back")
			}
		})
	}
}

// Guards against requests that run though their answers will find no memory, against
// memory that only is expected to be used and rejects requests, and against a reservation
// that is lost.
func TestReserve(t *testing.T) {
	const size, whole = 1 << 20, 2 << 20
	client := New("127.0.0.1:1", 4, whole)
	reserve := func() (*Held, bool) {
		ctx, h := WithHeld(t.Context())
		_, ok := client.Reserve(ctx, size)
		return h, ok
	}
	first, _ := reserve()
	second, _ := reserve()
	third, ok := reserve()
	if !ok {
		t.Error("reserved memory rejects a request although nothing holds bytes")
	}
	for _, h := range []*Held{first, second} {
		if got := h.take(client.memory); got != share(size) {
			t.Errorf("reserved %d bytes, want %d", got, share(size))
		}
		h.keep(client.memory, share(size)) // the answer was read
	}
	if _, ok := reserve(); ok {
		t.Error("a request runs although answers hold the memory")
	}
	for _, h := range []*Held{first, second, third} {
		h.Release()
	}
	if !client.memory.left.TryAcquire(whole) || client.memory.reserved != 0 || client.memory.used != 0 {
		t.Errorf("afterwards: %d reserved, %d used", client.memory.reserved, client.memory.used)
	}
}
