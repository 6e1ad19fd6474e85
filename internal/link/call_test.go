package link

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heathershed/internal/contract"
)

// Guards against a wrong verdict or reason while the two ends of a link do not
// yet agree that a call has ended.
func TestReplyForTransportError(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	past, stop := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer stop()
	cases := []struct {
		name string
		ctx  context.Context
		sent bool
		code codes.Code
		want contract.Reason
	}{
		{"peer sees the deadline first", t.Context(), true, codes.DeadlineExceeded, contract.ReasonDeadline},
		{"local deadline", past, true, codes.Canceled, contract.ReasonDeadline},
		{"caller left", cancelled, true, codes.Canceled, contract.ReasonCancelled},
		{"link closed", t.Context(), true, codes.Canceled, contract.ReasonLinkLost},
		{"never sent", t.Context(), false, codes.Unavailable, contract.ReasonLinkLost},
	}
	for _, c := range cases {
		reply := replyForError(c.ctx, "vm-1", c.sent, status.Error(c.code, "x"))
		want := contract.NotRun
		if c.sent {
			want = contract.MayHaveRun
		}
		if contract.Reason(reply.Reason) != c.want || contract.Verdict(reply.Verdict) != want {
			t.Errorf("%s: got %v %v, want %v %v", c.name, contract.Verdict(reply.Verdict), contract.Reason(reply.Reason), want, c.want)
		}
	}
}
