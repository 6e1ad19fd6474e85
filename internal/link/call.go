package link

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/fieldline"
)

// sentKey is the context key of a call's sent flag.
type sentKey struct{}

// sentObserver is a gRPC stats handler that sets a call's sent flag once the
// request has been handed to the connection.
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

// call runs one call over the connection. Every outcome is a reply, errors of
// the transport included.
func (c *conn) call(ctx context.Context, vm string, req *linkpb.CallRequest) *linkpb.CallReply {
	if left := timeLeft(ctx); left > 0 {
		req.TimeoutUs = left.Microseconds()
	}
	if body := UploadOf(ctx); body != nil {
		return c.upload(ctx, vm, req, body)
	}
	sent := new(atomic.Bool)
	start := time.Now()
	reply, err := c.client.Call(context.WithValue(ctx, sentKey{}, sent), req, grpc.WaitForReady(false))
	if err != nil {
		return replyForError(ctx, vm, sent.Load(), err)
	}
	return c.complete(ctx, vm, reply, start)
}

// complete completes and checks the reply to a call that was sent at the given time.
func (c *conn) complete(ctx context.Context, vm string, reply *linkpb.CallReply, sent time.Time) *linkpb.CallReply {
	c.session.replyReceived(sent)
	if reply.Held != 0 {
		reply = c.fetch(ctx, vm, reply)
	}
	if uint64(len(reply.Body)) != reply.BodyLength {
		return failure(contract.MayHaveRun, contract.ReasonPartialAnswer, "answer cut on the link")
	}
	if contract.Verdict(reply.Verdict) == contract.Ran && !endsExchange(reply.Status) {
		return failure(contract.MayHaveRun, contract.ReasonPartialAnswer, "answer on the link has no valid status")
	}
	if slices.ContainsFunc(reply.Headers, isInvalid) {
		return failure(contract.MayHaveRun, contract.ReasonPartialAnswer, "answer on the link has an invalid field")
	}
	return reply
}

// isInvalid reports whether a header can't be written as a field line. The other node may be
// of a version that does not check those of its upstream.
func isInvalid(h *linkpb.Header) bool { return !fieldline.IsField(string(h.Name), string(h.Value)) }

// endsExchange reports whether an answer of this status is the final one. Those from 100
// to 199 announce another one, except 101.
func endsExchange(status uint32) bool {
	return status == http.StatusSwitchingProtocols || status >= http.StatusOK && status < endOfStatuses
}

// endOfStatuses is the first number above those that HTTP defines as statuses.
const endOfStatuses = 600

// timeLeft returns the time until the deadline of ctx; 0 if it has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// replyForError turns an error of the transport into a reply. A request that
// was never handed to the connection was not run; any other may have run.
func replyForError(ctx context.Context, vm string, sent bool, err error) *linkpb.CallReply {
	verdict := contract.NotRun
	if sent {
		verdict = contract.MayHaveRun
	}
	// The peer counts down the timeout too, and may reach its end slightly
	// earlier.
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
