package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// stuck is a reader that never reads.
type stuck struct{ held chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.held
	return len(p), nil
}

func TestStuckReaderHoldsUpNobody(t *testing.T) {
	held := make(chan struct{})
	w := NewWriter(stuck{held})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	log := slog.New(slog.NewJSONHandler(w, nil))
	began := time.Now()
	for i := range 3 * ringSize {
		log.Info("line", "n", i)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("logging beside a stuck reader took %v", took)
	}
	if w.Dropped() == 0 {
		t.Fatal("nothing counted as dropped")
	}
	cancel()
	close(held)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestDroppedLinesAreToldAndTheRestIsWhole(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for i := range ringSize + 5 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.Run(ended); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if !strings.Contains(text, `"count":5`) || strings.Count(text, "line ") != ringSize {
		t.Fatalf("want %d lines and the count of 5 dropped", ringSize)
	}
}

func TestRateOfOneMessageLeavesRoomForOthers(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(NewLimiter(slog.NewTextHandler(&out, nil)))
	for range 1000 {
		log.Info("often")
	}
	log.Info("seldom")
	log.Error("often")
	if n := strings.Count(out.String(), "level=INFO msg=often"); n < int(burst) || n > int(2*burst) {
		t.Fatalf("%d lines of the frequent message, want about %.0f", n, burst)
	}
	for _, want := range []string{"msg=seldom", "level=ERROR msg=often"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line %q", want)
		}
	}
}

func TestNextLineTellsWhatWasLeftOut(t *testing.T) {
	s := &limits{kinds: make(map[kind]*bucket)}
	k := kind{slog.LevelInfo, "k"}
	now := time.Unix(1000, 0)
	for range int(burst) + 7 {
		s.take(now, k)
	}
	if left, ok := s.take(now.Add(time.Second), k); !ok || left != 7 {
		t.Fatalf("left out %d, passes %v; want 7 and true", left, ok)
	}
}

func TestLinesThatFoundNoRoomAreToldToo(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(NewLimiter(slog.NewTextHandler(&out, nil))).With("at", "vm")
	for range 1000 {
		if Allowed(log, "often") {
			log.Info("often")
		}
	}
	if n := strings.Count(out.String(), "msg=often"); n < int(burst) || n > int(2*burst) {
		t.Fatalf("%d lines, want about %.0f", n, burst)
	}
	if !Allowed(log, "seldom") || !Allowed(slog.New(slog.DiscardHandler), "often") {
		t.Fatal("no room for another message, or without a limiter")
	}
	s := &limits{kinds: make(map[kind]*bucket)}
	now, k := time.Unix(1000, 0), kind{slog.LevelInfo, "k"}
	for s.hasRoom(now, k) {
		s.take(now, k)
	}
	if left, ok := s.take(now.Add(time.Second), k); !ok || left != 1 {
		t.Fatalf("left out %d, passes %v; want 1 and true", left, ok)
	}
}

var _ io.Writer = (*Writer)(nil)
