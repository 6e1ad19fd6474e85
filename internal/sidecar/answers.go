package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/link"
	"heathershed/internal/memory"
	"heathershed/internal/outcome"
)

// An answer holds memory at the node beside its upstream until it is passed on, and at the
// node of its client until the client has taken it. Where an answer is expected to find no
// room at one of them, its request is rejected before it runs. Once it has run, its answer
// waits for room: beside the upstream, until the client's node fetches it.

const (
	// freeLinkAnswer is the size in bytes up to which an answer is sent over a link at
	// once. It must then wait for room at the node of the client.
	freeLinkAnswer = 64 << 10
	// roomMargin is how much larger than expected an answer may be that is sent at once.
	roomMargin = 2
)

// reserveRoom reserves memory for the answer of a call until c.releaseRoom, as far as the
// route's answers are known to need some. The returned reply rejects the call if there is
// none. Memory that is reserved but still empty rejects nothing: most answers keep theirs
// for a short time only.
func (n *Node) reserveRoom(now time.Time, c *call) *linkpb.CallReply {
	c.room = n.budgets.responses.Claim(now, !c.route.Idempotent, nil)
	expected := n.answerSizes.Expected(now, c.route.Name)
	if expected.Bytes <= ingress.FreeAnswer || c.room.Acquire(expected.Bytes, abortWait) || n.budgets.responses.MostlyFree() {
		return nil
	}
	settled, reserved, size := n.budgets.responses.Usage()
	detail := fmt.Sprintf("%s; answers to clients hold %d KiB and %d KiB are reserved of %d",
		noAnswerMemory(expected), settled>>10, reserved>>10, size>>10)
	return outcome.RetryAfterReply(c.room.RoomIn(now, expected.Bytes), contract.ReasonOverload, detail)
}

// noAnswerMemory tells for which expectation a request is rejected.
func noAnswerMemory(expected memory.Expectation) string {
	return fmt.Sprintf("no memory is left for the answer: %d KiB are expected, learnt %d ms ago", expected.Bytes>>10, expected.Age.Milliseconds())
}

// awaitRoom waits until there is memory for an answer of n bytes to a call.
func (c *call) awaitRoom(ctx context.Context, n int64) error {
	if n <= ingress.FreeAnswer {
		return nil
	}
	return c.room.Await(ctx, n)
}

// withRoom returns a context in which answers from other nodes wait for the call's room.
// An attempt that was given up may still ask for it when the call has ended.
func (c *call) withRoom(ctx context.Context) context.Context {
	return link.WithRoom(ctx, c.awaitRoom)
}

// answerRoom returns the size in bytes of an answer that may be sent at once.
func (c *call) answerRoom() uint64 {
	if c.room == nil {
		return freeLinkAnswer
	}
	return uint64(max(roomMargin*c.room.Held(), freeLinkAnswer))
}

// settleRoom waits until there is memory for the answer of a call that has run. Without it
// the reply says that the answer is lost.
func (n *Node) settleRoom(ctx context.Context, c *call, reply *linkpb.CallReply) *linkpb.CallReply {
	if !outcome.Ran(reply) {
		return reply
	}
	size := int64(len(reply.Body))
	n.answerSizes.Observe(time.Now(), c.route.Name, size)
	if ingress.RunsAhead(ctx) { // the ingress reserves memory when the answer is due
		c.room.Release()
		return reply
	}
	if err := c.awaitRoom(ctx, size); err != nil {
		return lostAnswer(err, size)
	}
	if size <= ingress.FreeAnswer {
		c.room.Release()
	} else {
		c.room.Settle(size)
	}
	return reply
}

// lostAnswer returns the reply to a call that has run and whose answer of size bytes has
// found no memory.
func lostAnswer(err error, size int64) *linkpb.CallReply {
	reason := contract.ReasonDeadline
	if errors.Is(err, context.Canceled) {
		reason = contract.ReasonCancelled
	}
	return outcome.Reply(contract.MayHaveRun, reason, fmt.Sprintf("no memory was left for the answer of %d KiB", size>>10))
}

// setBody makes the body of a reply that of the answer. A large one keeps its room until
// it is written.
func (c *call) setBody(rc *fasthttp.RequestCtx, body []byte) {
	if c.room == nil || c.room.Held() == 0 {
		rc.Response.SetBodyRaw(body) // the reply is this request's alone
		return
	}
	ingress.SetAnswer(rc, body, c.room)
	c.roomPassed = true
}

// releaseRoom gives back the memory of an answer that is not written.
func (c *call) releaseRoom() {
	if c.room != nil && !c.roomPassed {
		c.room.Release()
	}
}

// expectedAnswer returns the size in bytes to expect of the answer to a request.
func (n *Node) expectedAnswer(req *fasthttp.Request) int64 {
	route, ok := n.routeOf(req)
	if !ok {
		return 0
	}
	return n.answerSizes.Expected(time.Now(), route.Name).Bytes
}

// reserveAnswer reserves memory for the answer that the local upstream will give to a
// call. The returned reply rejects the call if there is none.
func (n *Node) reserveAnswer(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	expected := n.answerSizes.Expected(time.Now(), req.Kind)
	room, ok := n.upstream.Reserve(ctx, expected.Bytes)
	if ok {
		return nil
	}
	n.metrics.countRejected(contract.ReasonOverload)
	return outcome.RetryAfterReply(room, contract.ReasonOverload, noAnswerMemory(expected)+", beside its upstream")
}
