package outcome

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/upstream"
)

// Guards against a wrong count of attempts at upstreams, and against a call that
// is reported as not run although an earlier attempt may have run.
func TestAttempts(t *testing.T) {
	overload := NotRunReply(contract.ReasonOverload, "")
	refused := NotRunReply(contract.ReasonUpstreamRefused, "")
	stale := NotRunReply(contract.ReasonStaleTarget, "")
	lost := Reply(contract.MayHaveRun, contract.ReasonLinkLost, "")
	for name, c := range map[string]struct {
		replies []*linkpb.CallReply
		want    Attempts
	}{
		"none":                         {nil, Attempts{}},
		"rejected before the upstream": {[]*linkpb.CallReply{overload, overload}, Attempts{}},
		"refused by upstreams":         {[]*linkpb.CallReply{refused, stale}, Attempts{ReachedUpstream: 2}},
		"may have run, then refused":   {[]*linkpb.CallReply{lost, overload}, Attempts{ReachedUpstream: 1, MayHaveRun: true}},
	} {
		var a Attempts
		for _, reply := range c.replies {
			a.Add(reply)
		}
		if a != c.want {
			t.Errorf("%s: got %+v, want %+v", name, a, c.want)
		}
		if got := MayHaveRun(a.MergeInto(NotRunReply(contract.ReasonOverload, ""))); got != c.want.MayHaveRun {
			t.Errorf("%s: call may have run after a final rejection: got %v", name, got)
		}
	}
}

// Guards against replies that share the body of the pooled answer, carry headers
// that must not pass, or carry an answer without having run.
func TestUpstreamReply(t *testing.T) {
	var answer fasthttp.Response
	answer.SetStatusCode(fasthttp.StatusTeapot)
	answer.SetBodyString("tea")
	answer.Header.Set("X-Kept", "1")
	answer.Header.Set("X-Dropped", "1")
	pass := func(name []byte) bool { return string(name) == "X-Kept" }

	ran := UpstreamReply(upstream.Outcome{Verdict: contract.Ran}, &answer, pass)
	answer.SetBodyString("xxx")
	if !Ran(ran) || ran.Status != fasthttp.StatusTeapot || string(ran.Body) != "tea" {
		t.Errorf("answered call: got %v, want status 418 and body \"tea\"", ran)
	}
	if len(ran.Headers) != 1 || string(ran.Headers[0].Name) != "X-Kept" {
		t.Errorf("got headers %v, want only X-Kept", ran.Headers)
	}
	out := upstream.Outcome{Verdict: contract.NotRun, Reason: contract.ReasonUpstreamRefused, RetryAfter: time.Second}
	if r := UpstreamReply(out, &answer, pass); Ran(r) || MayHaveRun(r) || r.Status != 0 || r.Body != nil || r.RetryAfterMs != 1000 {
		t.Errorf("refused call: got %v, want not-run without an answer, retry after 1000 ms", r)
	}
}

func TestMilliseconds(t *testing.T) {
	for d, want := range map[time.Duration]uint32{-time.Second: 0, 0: 0, 1500 * time.Microsecond: 1, time.Minute: 60000} {
		if got := Milliseconds(d); got != want {
			t.Errorf("%v: got %d, want %d", d, got, want)
		}
	}
}
