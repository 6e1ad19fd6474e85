package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/contract"
	"heathershed/internal/memory"
)

// Guards against requests that run though their answers will find no memory, at the node of
// their client or beside the upstream, and against a size that is believed for good.
func TestRequestWithoutMemoryForItsAnswerIsRejectedUnrun(t *testing.T) {
	const size = 1 << 20
	_, near, far := startPair(t)
	runs := make(chan struct{}, 64)
	far.up.set(func(rw http.ResponseWriter, _ *http.Request) {
		runs <- struct{}{}
		_, _ = rw.Write([]byte("x"))
	})
	responses := near.node.budgets.responses
	full := responses.Claim(time.Now(), true, nil)
	if !full.Acquire(responses.LargestLookup(), 0) {
		t.Fatal("no memory")
	}
	full.Settle(responses.LargestLookup())
	near.node.answerSizes.Observe(time.Now(), "far", size)
	got := near.requestWithin(waitTimeout, "GET", "/far/", nil)
	if got.status != http.StatusServiceUnavailable || got.retryAfter == "" || len(runs) != 0 {
		t.Errorf("without memory: got %+v, %d runs", got, len(runs))
	}
	near.node.answerSizes = memory.Sizes{}
	if got := near.requestWithin(waitTimeout, "GET", "/far/", nil); got.status != http.StatusOK {
		t.Errorf("no size is known: got %+v", got)
	}
	full.Release()
	near.node.answerSizes.Observe(time.Now(), "far", size)
	if got := near.requestWithin(waitTimeout, "GET", "/far/", nil); got.status != http.StatusOK || len(runs) != 2 {
		t.Errorf("with memory: got %+v, %d runs", got, len(runs))
	}
	if used, _, _ := responses.Stats(); used != 0 {
		t.Errorf("%d bytes are reserved afterwards, want 0", used)
	}
}

// Guards against a client that has left being taken for a deadline.
func TestLostAnswerNamesItsReason(t *testing.T) {
	for err, want := range map[error]contract.Reason{
		context.Canceled:         contract.ReasonCancelled,
		context.DeadlineExceeded: contract.ReasonDeadline,
		errors.New("other"):      contract.ReasonDeadline,
	} {
		reply := lostAnswer(err, 1<<20)
		if contract.Reason(reply.Reason) != want || contract.Verdict(reply.Verdict) != contract.MayHaveRun {
			t.Errorf("%v: got %v", err, reply)
		}
	}
}
