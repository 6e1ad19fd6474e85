package explain

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// TestStoriesOfRealRuns replays lines that nodes wrote under faults; they are
// the three stories of docs/OPERATIONS.md.
func TestStoriesOfRealRuns(t *testing.T) {
	cases := []struct {
		name, file, id string
		lines          int
		cause          string
	}{
		{"lookup refused under overload", "shed.log", "7c55a2ddd2e9c3f3", 2,
			"r-fpdbiiy was shed at sidecar-plateau-4: what it leads to has no room (threshold 174)"},
		{"order that may have run", "order.log", "0454190961b53da0", 2,
			"r-fcutus9 at instance i-c58039c20d beside sidecar-pikine-3: status 504 of the upstream"},
		{"failed in a call at the bottom", "call.log", "0935aeaf653577c6", 8,
			"r-r97dj46 at instance i-aa69c14811 beside sidecar-plateau-4: status 500 of the upstream"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log, err := os.ReadFile("testdata/" + c.file)
			if err != nil {
				t.Fatal(err)
			}
			b := New()
			if err := b.Read(bytes.NewReader(log)); err != nil {
				t.Fatal(err)
			}
			s, ok := b.Trace(c.id)
			if !ok || len(s.Lines) != c.lines {
				t.Fatalf("%d lines, want %d", len(s.Lines), c.lines)
			}
			var text strings.Builder
			if err := s.Write(&text); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(text.String(), "\ncause: "+c.cause+"\n") {
				t.Fatalf("want the cause %q in\n%s", c.cause, text.String())
			}
		})
	}
}

func TestForeignAndCutLinesAreLeftOut(t *testing.T) {
	b := New()
	log := "not a log line\n{\"id\":\"a\",\"msg\n12.5 vm-1 {\"at\":\"vm-1\",\"msg\":\"request failed\",\"id\":\"a\",\"suppressed\":3}\n{\"msg\":\"log lines dropped\",\"count\":4}\n"
	if err := b.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	s, ok := b.Trace("a")
	if !ok || len(s.Lines) != 1 || s.Missing != 7 {
		t.Fatalf("%+v", s)
	}
	if _, ok := b.Trace("b"); ok {
		t.Fatal("a story of a request that no line names")
	}
}

func TestCallsThatNameEachOtherEnd(t *testing.T) {
	b := New()
	log := `{"msg":"request failed","id":"a","parent":"b"}` + "\n" + `{"msg":"request failed","id":"b","parent":"a"}` + "\n"
	if err := b.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if s, ok := b.Trace("a"); !ok || s.Cause == nil || len(s.Lines) != 2 {
		t.Fatalf("%+v, %v", s, ok)
	}
}
