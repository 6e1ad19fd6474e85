package main

import (
	"os"
	"testing"
	"time"

	"heathershed/internal/eventlog"
)

// TestUnreadLogPipeDoesNotDelayExit guards against a process that can't exit
// because nobody reads the pipe that its log goes to.
func TestUnreadLogPipeDoesNotDelayExit(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	lines := eventlog.NewWriter(w)
	waitLog, endLog := startLogWriter(lines)
	const more = 1 << 20 // more than a pipe buffers
	if _, err := lines.Write(make([]byte, more)); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	endLog()
	waitLog()
	if took := time.Since(began); took > 2*logFlushTimeout {
		t.Fatalf("waiting for the log took %v, want at most twice the flush timeout", took)
	}
}
