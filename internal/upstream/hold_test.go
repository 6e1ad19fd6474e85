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
			const memory = 5 * size // the buffer of an unknown length is up to twice as large
			client := New(serve(t, script{reply: okLine + reply}, script{reply: okLine + reply}, script{reply: okLine + reply}), 4, memory)
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
