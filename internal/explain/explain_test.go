package explain

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// The logs in testdata were written by nodes under injected faults. They are the
// three examples in docs/OPERATIONS.md.
func TestTracesOfRecordedLogs(t *testing.T) {
	cases := []struct {
		name, file, id string
		lines          int
		cause          string
	}{
		{"lookup shed under overload", "shed.log", "7c55a2ddd2e9c3f3", 2,
			"r-fpdbiiy was shed at sidecar-plateau-4: what it leads to has no room (threshold 174)"},
		{"order that may have run", "order.log", "0454190961b53da0", 2,
			"r-fcutus9 at instance i-c58039c20d beside sidecar-pikine-3: status 504 of the upstream"},
		{"failure in the deepest call", "call.log", "0935aeaf653577c6", 8,
			"r-r97dj46 at instance i-aa69c14811 beside sidecar-plateau-4: status 500 of the upstream"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log, err := os.ReadFile("testdata/" + c.file)
			if err != nil {
				t.Fatal(err)
			}
			x := New()
			if err := x.Read(bytes.NewReader(log)); err != nil {
				t.Fatal(err)
			}
			trace, ok := x.Trace(c.id)
			if !ok || len(trace.Lines) != c.lines {
				t.Fatalf("got %d lines, want %d", len(trace.Lines), c.lines)
			}
			var text strings.Builder
			if err := trace.Write(&text); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(text.String(), "\ncause: "+c.cause+"\n") {
				t.Fatalf("want cause %q in\n%s", c.cause, text.String())
			}
		})
	}
}

func TestInvalidLinesAreIgnored(t *testing.T) {
	x := New()
	log := "not a log line\n{\"id\":\"a\",\"msg\n12.5 vm-1 {\"at\":\"vm-1\",\"msg\":\"request failed\",\"id\":\"a\",\"suppressed\":3}\n{\"msg\":\"log lines dropped\",\"count\":4}\n"
	if err := x.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	trace, ok := x.Trace("a")
	if !ok || len(trace.Lines) != 1 || trace.Missing != 7 {
		t.Fatalf("got %+v, want 1 line and 7 missing", trace)
	}
	if _, ok := x.Trace("b"); ok {
		t.Fatal("got a trace of a request that no line names")
	}
}

// Two calls that name each other as parent must not cause endless recursion.
func TestParentCycleTerminates(t *testing.T) {
	x := New()
	log := `{"msg":"request failed","id":"a","parent":"b"}` + "\n" + `{"msg":"request failed","id":"b","parent":"a"}` + "\n"
	if err := x.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if trace, ok := x.Trace("a"); !ok || trace.Cause == nil || len(trace.Lines) != 2 {
		t.Fatalf("got %+v, %v; want 2 lines and a cause", trace, ok)
	}
}
