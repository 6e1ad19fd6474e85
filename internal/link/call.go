package link

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// sentKey is the context key of a call's sent flag.
type sentKey struct{}

// sentObserver notes, per call, that the request was handed to the connection.
type sentObserver struct{}

func (sentObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentObserver) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutPayload); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sentObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentObserver) HandleConn(context.Context, stats.ConnStats) {}

// call runs one call over the connection and turns every end into a reply.
func (c *conn) call(ctx context.Context, vm string, req *linkpb.CallRequest) *linkpb.CallReply {
	if left := timeLeft(ctx); left > 0 {
		req.TimeoutUs = left.Microseconds()
	}
	sent := new(atomic.Bool)
	began := time.Now()
	reply, err := c.client.Call(context.WithValue(ctx, sentKey{}, sent), req, grpc.WaitForReady(false))
	if err != nil {
		return failed(ctx, vm, sent.Load(), err)
	}
	c.session.answered(began)
	if uint64(len(reply.Body)) != reply.BodyLength {
		return failure(contract.MayHaveRun, contract.ReasonPartialAnswer, "answer cut on the link")
	}
	return reply
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// failed judges an error of the transport: a request that was never handed to
// the connection was not run.
func failed(ctx context.Context, vm string, sent bool, err error) *linkpb.CallReply {
	verdict := contract.NotRun
	if sent {
		verdict = contract.MayHaveRun
	}
	// The other end counts the deadline too, and may be a moment ahead.
	late := ctx.Err() == context.DeadlineExceeded || status.Code(err) == codes.DeadlineExceeded
	switch {
	case late:
		return failure(verdict, contract.ReasonDeadline, "no answer from "+vm)
	case ctx.Err() != nil:
		return failure(verdict, contract.ReasonCancelled, "")
	}
	return failure(verdict, contract.ReasonLinkLost, "link to "+vm+": "+err.Error())
}

func failure(v contract.Verdict, r contract.Reason, detail string) *linkpb.CallReply {
	return &linkpb.CallReply{Verdict: uint32(v), Reason: uint32(r), Detail: detail}
}
