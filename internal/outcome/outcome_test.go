package outcome

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/upstream"
)

func TestAttempts(t *testing.T) {
	overload := NotRunReply(contract.ReasonOverload, "")
	refused := NotRunReply(contract.ReasonUpstreamRefused, "")
	stale := NotRunReply(contract.ReasonStaleTarget, "")
	lost := Reply(contract.MayHaveRun, contract.ReasonLinkLost, "")
	for name, c := range map[string]struct {
		replies []*linkpb.CallReply
		want    Attempts
	}{
		"none":                       {nil, Attempts{}},
		"refused at a door":          {[]*linkpb.CallReply{overload, overload}, Attempts{}},
		"refused by upstreams":       {[]*linkpb.CallReply{refused, stale}, Attempts{ReachedUpstream: 2}},
		"may have run, then refused": {[]*linkpb.CallReply{lost, overload}, Attempts{ReachedUpstream: 1, MayHaveRun: true}},
	} {
		var a Attempts
		for _, reply := range c.replies {
			a.Add(reply)
		}
		if a != c.want {
			t.Errorf("%s: %+v, want %+v", name, a, c.want)
		}
		if got := MayHaveRun(a.MergeInto(NotRunReply(contract.ReasonOverload, ""))); got != c.want.MayHaveRun {
			t.Errorf("%s: the last refusal may have run: %v", name, got)
		}
	}
}

func TestAtUpstream(t *testing.T) {
	var answer fasthttp.Response
	answer.SetStatusCode(fasthttp.StatusTeapot)
	answer.SetBodyString("tea")
	answer.Header.Set("X-Kept", "1")
	answer.Header.Set("X-Dropped", "1")
	pass := func(name []byte) bool { return string(name) == "X-Kept" }

	ran := UpstreamReply(upstream.Outcome{Verdict: contract.Ran}, &answer, pass)
	answer.SetBodyString("xxx")
	if !Ran(ran) || ran.Status != fasthttp.StatusTeapot || string(ran.Body) != "tea" {
		t.Errorf("ran: %v", ran)
	}
	if len(ran.Headers) != 1 || string(ran.Headers[0].Name) != "X-Kept" {
		t.Errorf("headers %v, want X-Kept alone", ran.Headers)
	}
	out := upstream.Outcome{Verdict: contract.NotRun, Reason: contract.ReasonUpstreamRefused, RetryAfter: time.Second}
	if r := UpstreamReply(out, &answer, pass); Ran(r) || MayHaveRun(r) || r.Status != 0 || r.Body != nil || r.RetryAfterMs != 1000 {
		t.Errorf("refused: %v", r)
	}
}

func TestMilliseconds(t *testing.T) {
	for d, want := range map[time.Duration]uint32{-time.Second: 0, 0: 0, 1500 * time.Microsecond: 1, time.Minute: 60000} {
		if got := Milliseconds(d); got != want {
			t.Errorf("%v: %d, want %d", d, got, want)
		}
	}
}
