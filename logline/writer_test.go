package logline

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// blockedOutput blocks until it is released.
type blockedOutput struct {
	bytes.Buffer
	release chan struct{}
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(b)
}

func TestWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	t.Parallel()
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	const lines = 20 * maxQueuedLines
	started := time.Now()
	for range lines {
		if _, err := w.Write([]byte("event=call\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("%d lines to a blocked output took %s", lines, took)
	}
	close(out.release)
	cancel()
	<-done
	written := strings.Count(out.String(), "event=call\n")
	if written == 0 || written >= lines {
		t.Errorf("%d of %d lines were written", written, lines)
	}
	if !strings.Contains(out.String(), "event=log_lines_dropped") {
		t.Error("the output does not report the dropped lines")
	}
}

// TestLongLinesAreCut guards against lines that hold what a client sent and fill the memory of
// the queue.
func TestLongLinesAreCut(t *testing.T) {
	t.Parallel()
	out := &blockedOutput{release: make(chan struct{})}
	close(out.release)
	w := NewWriter(out)
	for _, line := range []string{"event=short\n", "event=long text=" + strings.Repeat("é", 30_000) + "\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = w.Run(ctx)
	lines := strings.SplitAfter(out.String(), "\n")
	if lines[0] != "event=short\n" {
		t.Errorf("the short line is %q", lines[0])
	}
	if !strings.HasPrefix(lines[1], "event=long") || !strings.HasSuffix(lines[1], cutEnd) || len(lines[1]) > maxLineBytes || !utf8.ValidString(lines[1]) {
		t.Errorf("a line of %d bytes, valid %v: %.40q", len(lines[1]), utf8.ValidString(lines[1]), lines[1])
	}
}
