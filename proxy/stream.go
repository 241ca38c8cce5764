package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// smallAnswer is the size up to which an answer is read to its end before the
// first byte is passed on, so that a cut one can still be answered otherwise.
const smallAnswer = 32 << 10

// pieceBytes is the most of a long answer that is sent at once, 11 ms of a link
// of 12 Mbit/s.
const pieceBytes = 16 << 10

// copyBuffers holds the buffers for answers.
var copyBuffers = sync.Pool{New: func() any { return new([smallAnswer]byte) }}

// answer is a target's answer on its way to the caller.
type answer struct {
	*http.Response
	// buffer holds the first bytes. It belongs to copyBuffers.
	buffer *[smallAnswer]byte
	// held is the number of bytes in the buffer.
	held int
	// whole is true when the buffer holds the whole body.
	whole bool
}

// readAnswer takes the response over. It reads a small body to its end and
// returns the error of a cut one; the body is closed then.
func readAnswer(response *http.Response) (*answer, error) {
	a := &answer{Response: response}
	switch {
	case response.ContentLength == 0 || response.Body == http.NoBody:
		a.whole = true
		return a, a.Body.Close()
	case response.ContentLength < 0 || response.ContentLength > smallAnswer:
		return a, nil
	}
	a.buffer, _ = copyBuffers.Get().(*[smallAnswer]byte)
	n, err := io.ReadFull(response.Body, a.buffer[:response.ContentLength])
	a.held = n
	a.whole = true
	if err != nil {
		a.release()
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	// The read of the end lets the connection go back to its pool.
	if _, err := response.Body.Read(a.buffer[n:]); err != nil && !errors.Is(err, io.EOF) {
		a.release()
		return nil, fmt.Errorf("read the end of the answer: %w", err)
	}
	return a, nil
}

// release closes the body and gives the buffer back.
func (a *answer) release() {
	if a == nil {
		return
	}
	_ = a.Body.Close()
	if a.buffer != nil {
		copyBuffers.Put(a.buffer)
		a.buffer = nil
	}
}

// errCallerWrite means that the caller took no more of the answer.
var errCallerWrite = errors.New("the caller takes no more of the answer")

// copyTo passes the body on with back pressure, a long one in its turn on the
// link. Errors of the writer wrap errCallerWrite, the others are those of a cut
// answer.
func (a *answer) copyTo(ctx context.Context, w http.ResponseWriter, link *route.Link, now func() time.Time) error {
	if a.whole {
		if a.held == 0 {
			return nil
		}
		link.RecordShort(now(), a.held)
		if _, err := w.Write(a.buffer[:a.held]); err != nil {
			return fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		return nil
	}
	buffer, _ := copyBuffers.Get().(*[smallAnswer]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	turn := link.Reserve(now(), max(a.ContentLength, 0))
	sent := int64(0)
	defer func() { turn.Release(sent) }()
	for {
		n, err := a.Body.Read(buffer[:pieceBytes])
		if n > 0 {
			if a.ContentLength < 0 {
				turn, sent = link.Reserve(now(), int64(n)), 0
			}
			if !sleepUntil(ctx, now(), turn.SendTime(sent)) {
				return fmt.Errorf("%w: %w", errCallerWrite, ctx.Err())
			}
			sent += int64(n)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return fmt.Errorf("%w: %w", errCallerWrite, writeErr)
			}
			if a.ContentLength < 0 && flusher != nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the answer: %w", err)
		}
	}
}

// sleepUntil waits for a time, and reports false where the context ended first.
func sleepUntil(ctx context.Context, now, at time.Time) bool {
	wait := at.Sub(now)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// copyTrailers passes the trailers on, which are known after the body.
func (a *answer) copyTrailers(h http.Header) {
	for name, values := range a.Trailer {
		h[http.TrailerPrefix+name] = values
	}
}
