// Package eventlog writes a process's structured log without ever holding up
// the process: lines go through a bounded ring to one duty that writes them,
// and each kind of line has a rate. What is left out is counted and told.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"heathershed/internal/ring"
)

// ringSize bounds the lines that wait to be written.
const ringSize = 1024

// Writer takes whole lines and never blocks. It is safe for concurrent use.
type Writer struct {
	ring    *ring.Ring[[]byte]
	out     io.Writer
	dropped atomic.Uint64 // since the last line that told of them
	total   atomic.Uint64
}

// NewWriter returns a Writer to out; nothing is written before Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{ring: ring.New[[]byte](ringSize), out: out}
}

// Write implements io.Writer: it queues a copy of the line, or counts it as
// dropped where the reader of the log is slower.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.ring.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// Run writes until ctx ends, then what is left in the ring.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.ring.Out():
			if err := w.put(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return w.drain()
		}
	}
}

func (w *Writer) drain() error {
	for {
		select {
		case line := <-w.ring.Out():
			if err := w.put(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// put writes a line, and before it how many were dropped.
func (w *Writer) put(line []byte) error {
	if n := w.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n); err != nil {
			return err
		}
	}
	_, err := w.out.Write(line)
	return err
}
