package sidecar

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/eventlog"
	"heathershed/internal/outcome"
	"heathershed/internal/routes"
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
