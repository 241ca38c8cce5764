// Package logline writes log lines without making their authors wait.
package logline

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 2048
	// batchBytes is the size from which a batch of lines is written.
	batchBytes = 32 << 10
	// flushInterval bounds the time for which a line waits for others, so that
	// a busy process makes few writes.
	flushInterval = 100 * time.Millisecond
)

var linesDropped = metrics.NewCounter("hornbeamwell_log_lines_dropped_total")

// Writer queues lines and writes them in batches. A line that finds the queue
// full is dropped and counted; the next batch says how many were.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// reported is the count at the last batch that told of it. It belongs to
	// Run.
	reported uint64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Run writes queued lines until the context ends, then those that still wait.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.drain()
			return ctx.Err()
		case line := <-w.lines:
			w.batch(ctx, line)
		}
	}
}

// batch writes a line with those that come soon after it.
func (w *Writer) batch(ctx context.Context, first []byte) {
	buffer := append(make([]byte, 0, batchBytes), first...)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for len(buffer) < batchBytes {
		select {
		case line := <-w.lines:
			buffer = append(buffer, line...)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	w.flush(buffer)
}

func (w *Writer) drain() {
	buffer := make([]byte, 0, batchBytes)
	for range len(w.lines) {
		buffer = append(buffer, <-w.lines...)
	}
	w.flush(buffer)
}

// flush writes the lines. A log that can't be written has nowhere to be
// reported but in a counter.
func (w *Writer) flush(lines []byte) {
	if dropped := linesDropped.Get(); dropped > w.reported {
		lines = fmt.Appendf(lines, "event=log_lines_dropped lines=%d\n", dropped-w.reported)
		w.reported = dropped
	}
	if _, err := w.out.Write(lines); err != nil {
		linesDropped.Inc()
	}
}
