package main

import (
	"os"
	"testing"
	"time"

	"heathershed/internal/eventlog"
)

func TestUnreadLogPipeDoesNotDelayExit(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	lines := eventlog.NewWriter(w)
	waitLog, endLog := startLogWriter(lines)
	const more = 1 << 20 // than a pipe holds
	if _, err := lines.Write(make([]byte, more)); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	endLog()
	waitLog()
	if took := time.Since(began); took > 2*logFlushTimeout {
		t.Fatalf("the end took %v", took)
	}
}
