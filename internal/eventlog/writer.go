// Package eventlog writes a process's structured log without ever blocking the
// process: lines pass through a bounded queue to one task that writes them, and
// the rate of each message is limited. Dropped and suppressed lines are counted,
// and the log reports their number.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"heathershed/internal/ring"
)

// ringSize bounds the lines waiting to be written.
const ringSize = 1024

// Writer queues complete lines and never blocks. It is safe for concurrent use.
type Writer struct {
	ring    *ring.Ring[[]byte]
	out     io.Writer
	dropped atomic.Uint64 // not yet reported in the log
	total   atomic.Uint64
}

// NewWriter returns a Writer to out. Run does the writing.
func NewWriter(out io.Writer) *Writer {
	return &Writer{ring: ring.New[[]byte](ringSize), out: out}
}

// Write implements io.Writer. It queues a copy of the line, or drops and counts
// it if the queue is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.ring.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// Run writes queued lines until ctx is done, then the lines still in the queue.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.ring.Out():
			if err := w.writeLine(line); err != nil {
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
			if err := w.writeLine(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// writeLine writes a line, preceded by the number of lines dropped before it, if
// any.
func (w *Writer) writeLine(line []byte) error {
	if n := w.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n); err != nil {
			return err
		}
	}
	_, err := w.out.Write(line)
	return err
}
