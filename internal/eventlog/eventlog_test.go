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

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	release := make(chan struct{})
	w := NewWriter(blockedWriter{release})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	log := slog.New(slog.NewJSONHandler(w, nil))
	began := time.Now()
	for i := range 3 * ringSize {
		log.Info("line", "n", i)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("logging with a blocked output took %v, want at most 5s", took)
	}
	if w.Dropped() == 0 {
		t.Fatal("no line counted as dropped")
	}
	cancel()
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestDroppedLinesAreReported(t *testing.T) {
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
		t.Fatalf("want %d lines and a report of 5 dropped", ringSize)
	}
}

func TestFrequentMessageDoesNotSuppressOthers(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(NewLimiter(slog.NewTextHandler(&out, nil)))
	for range 1000 {
		log.Info("often")
	}
	log.Info("seldom")
	log.Error("often")
	if n := strings.Count(out.String(), "level=INFO msg=often"); n < int(burst) || n > int(2*burst) {
		t.Fatalf("got %d lines of the frequent message, want about %.0f", n, burst)
	}
	for _, want := range []string{"msg=seldom", "level=ERROR msg=often"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log contains no %q", want)
		}
	}
}

func TestNextLineReportsSuppressed(t *testing.T) {
	s := &limits{buckets: make(map[key]*bucket)}
	k := key{slog.LevelInfo, "k"}
	now := time.Unix(1000, 0)
	for range int(burst) + 7 {
		s.take(now, k)
	}
	if suppressed, ok := s.take(now.Add(time.Second), k); !ok || suppressed != 7 {
		t.Fatalf("got %d suppressed, allowed %v; want 7 and true", suppressed, ok)
	}
}

func TestAllowedCountsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(NewLimiter(slog.NewTextHandler(&out, nil))).With("at", "vm")
	for range 1000 {
		if Allowed(log, "often") {
			log.Info("often")
		}
	}
	if n := strings.Count(out.String(), "msg=often"); n < int(burst) || n > int(2*burst) {
		t.Fatalf("got %d lines, want about %.0f", n, burst)
	}
	if !Allowed(log, "seldom") || !Allowed(slog.New(slog.DiscardHandler), "often") {
		t.Fatal("Allowed is false for another message, or without a Limiter")
	}
	s := &limits{buckets: make(map[key]*bucket)}
	now, k := time.Unix(1000, 0), key{slog.LevelInfo, "k"}
	for s.allowed(now, k) {
		s.take(now, k)
	}
	if suppressed, ok := s.take(now.Add(time.Second), k); !ok || suppressed != 1 {
		t.Fatalf("got %d suppressed, allowed %v; want 1 and true", suppressed, ok)
	}
}

var _ io.Writer = (*Writer)(nil)
