package hedge

import (
	"context"
	"testing"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/outcome"
)

// The verdict of the hedged attempt was read after its reply had been passed on.
func TestReplyBelongsToTheCallerOfRun(t *testing.T) {
	first := func(_ context.Context, suspect func()) (*linkpb.CallReply, bool) {
		go suspect()
		return outcome.Reply(contract.MayHaveRun, contract.ReasonLinkLost, ""), true
	}
	second := func(context.Context) *linkpb.CallReply {
		return outcome.Reply(contract.MayHaveRun, contract.ReasonDeadline, "")
	}
	for range 1000 {
		reply, _ := Run(t.Context(), first, second)
		reply.Verdict = uint32(contract.NotRun) // found by the race detector
	}
}
