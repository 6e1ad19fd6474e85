package hedge

import (
	"context"
	"testing"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/outcome"
)

var (
	ran     = &linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 200}
	lost    = outcome.Reply(contract.MayHaveRun, contract.ReasonDeadline, "")
	refused = outcome.NotRunReply(contract.ReasonOverload, "")
)

// replyAfter returns reply once c is closed, or a cancelled one when ctx ends.
func replyAfter(ctx context.Context, c chan struct{}, reply *linkpb.CallReply) *linkpb.CallReply {
	select {
	case <-c:
		return reply
	case <-ctx.Done():
		return outcome.Reply(contract.MayHaveRun, contract.ReasonCancelled, "")
	}
}

// Guards against losing an answer, or a may-have-run verdict, of either attempt.
func TestFirstCompleteAnswerIsReturned(t *testing.T) {
	now, never := make(chan struct{}), make(chan struct{})
	close(now)
	cases := []struct {
		name                string
		suspected           bool
		firstAt, secondAt   chan struct{}
		first, second, want *linkpb.CallReply
	}{
		{"not suspected", false, now, never, lost, ran, lost},
		{"suspected attempt answers first", true, now, never, ran, ran, ran},
		{"second attempt answers first", true, never, now, lost, ran, ran},
		{"second attempt is refused", true, now, now, ran, refused, ran},
		{"both attempts are refused", true, now, now, refused, refused, refused},
		{"first attempt may have run", true, now, now, lost, refused, lost},
		{"second attempt may have run", true, now, now, refused, lost, lost},
		{"no second attempt", true, now, now, lost, nil, lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := func(ctx context.Context, suspect func()) (*linkpb.CallReply, bool) {
				if c.suspected {
					go suspect()
				}
				return replyAfter(ctx, c.firstAt, c.first), c.suspected
			}
			second := func(ctx context.Context) *linkpb.CallReply { return replyAfter(ctx, c.secondAt, c.second) }
			got, suspected := Run(t.Context(), first, second)
			if got != c.want || suspected != c.suspected {
				t.Errorf("got %v, suspected %v; want %v, %v", got, suspected, c.want, c.suspected)
			}
		})
	}
}

// Guards against a hedged attempt that continues after the first one answered.
func TestOtherAttemptIsCancelled(t *testing.T) {
	cancelled := make(chan struct{})
	first := func(_ context.Context, suspect func()) (*linkpb.CallReply, bool) {
		go suspect()
		return ran, true
	}
	second := func(ctx context.Context) *linkpb.CallReply {
		<-ctx.Done()
		close(cancelled)
		return lost
	}
	if got, _ := Run(t.Context(), first, second); got != ran {
		t.Fatalf("got %v, want the first attempt's answer", got)
	}
	<-cancelled
}
