package sidecar

import (
	"bytes"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/eventlog"
	"heathershed/internal/outcome"
	"heathershed/internal/routes"
	"heathershed/internal/vm/scheduler"
)

// BenchmarkLogOfRefusal measures logging rejected requests at a rate at which
// most of the lines are dropped.
func BenchmarkLogOfRefusal(b *testing.B) {
	handler := eventlog.NewLimiter(slog.NewJSONHandler(io.Discard, nil))
	n := &Node{log: slog.New(handler).With("at", "vm")}
	c := &call{attempt: "a-1", route: &routes.Route{Name: "r"}, service: "s", deadline: time.Now().Add(time.Second)}
	reply := outcome.NotRunReply(contract.ReasonOverload, "no room")
	b.ReportAllocs()
	for b.Loop() {
		n.logEnd(c, reply, time.Millisecond)
	}
}

func TestMovesOfTheThresholdAreLogged(t *testing.T) {
	var log bytes.Buffer
	n := &Node{log: slog.New(slog.NewTextHandler(&log, nil))}
	logged := contract.Level(0)
	for _, threshold := range []contract.Level{0, 100, 200, 300, 400, 100, 0, 0} {
		logged = n.logThreshold(scheduler.Load{Threshold: threshold}, logged)
	}
	var got []string
	for line := range strings.Lines(log.String()) {
		_, text, _ := strings.Cut(line, "threshold moved\" ")
		got = append(got, strings.Join(strings.Fields(text)[:2], " "))
	}
	want := []string{"threshold=200 from=0", "threshold=400 from=200", "threshold=100 from=400", "threshold=0 from=100"}
	if !slices.Equal(got, want) {
		t.Errorf("got lines %q, want %q", got, want)
	}
}

func TestEndsOfClientsRequestsAreCounted(t *testing.T) {
	cases := []struct {
		reply *linkpb.CallReply
		want  clientEnd
	}{
		{&linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 200}, clientServed},
		{&linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 404}, clientServed},
		{&linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 500}, clientUpstreamFailed},
		{outcome.NotRunReply(contract.ReasonOverload, ""), clientRejected},
		{outcome.Reply(contract.MayHaveRun, contract.ReasonDeadline, ""), clientFailed},
	}
	for _, c := range cases {
		if got := clientEndOf(c.reply); got != c.want {
			t.Errorf("verdict %v, status %d: got %s, want %s", contract.Verdict(c.reply.Verdict), c.reply.Status, clientEndNames[got], clientEndNames[c.want])
		}
	}
	m := newMetrics()
	m.countEnd(&call{inner: true}, &linkpb.CallReply{Verdict: uint32(contract.NotRun), Reason: contract.NumReasons}) // of a newer node
}
