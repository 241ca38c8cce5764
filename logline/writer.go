// Package logline writes the log lines of a process asynchronously, so that
// logging never blocks, and bounds what libraries log. The Writer runs in the
// processes that package platform starts. Any goroutine may write to it; a single
// goroutine runs Writer.Run, which writes the queued lines in batches.
package logline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines bounds the queue.
	maxQueuedLines = 2048
	// batchBytes is the size at which a batch is written.
	batchBytes = 32 << 10
	// maxLineBytes bounds the length of a line, since a line may hold what a client sent.
	// The queue then holds at most 8 MiB.
	maxLineBytes = 4 << 10
	// flushInterval is the maximum time for which a line waits to be written
	// together with others. Batches keep the number of writes of a busy process
	// low.
	flushInterval = 100 * time.Millisecond
)

var (
	linesDropped = metrics.NewCounter("hornbeamwell_log_lines_dropped_total")
	linesCut     = metrics.NewCounter("hornbeamwell_log_lines_cut_total")
)

// Writer queues lines and writes them in batches. If the queue is full, a line
// is dropped and counted; the next batch reports the number.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// reported is the drop count that the last report covered. Only Run uses
	// it.
	reported uint64
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- cutLine(line):
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// cutEnd ends a line that was cut.
const cutEnd = " cut=true\n"

// cutLine returns a copy of at most maxLineBytes of the line.
func cutLine(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	linesCut.Inc()
	return append(bytes.ToValidUTF8(line[:maxLineBytes-len(cutEnd)], nil), cutEnd...)
}

// Run writes queued lines until the context ends, then the remaining ones. It
// returns the context's error.
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

// batch writes a line together with those that follow within flushInterval.
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

// flush writes the lines. The log itself cannot report a failed write, so the
// drop counter does. It counts the whole batch as one line.
func (w *Writer) flush(lines []byte) {
	if dropped := linesDropped.Get(); dropped > w.reported {
		lines = fmt.Appendf(lines, "event=log_lines_dropped lines=%d\n", dropped-w.reported)
		w.reported = dropped
	}
	if _, err := w.out.Write(lines); err != nil {
		linesDropped.Inc()
	}
}
