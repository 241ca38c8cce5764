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

// maxBufferedResponse is the size up to which a response of known length is read
// to its end before its first byte is forwarded, so that a truncated one can
// still be replaced by a refusal.
const maxBufferedResponse = 32 << 10

// chunkBytes bounds the bytes of a long response that are written in one piece.
// They take 11 ms on a link of 12 Mbit/s.
const chunkBytes = 16 << 10

// copyBuffers holds buffers for response bodies.
var copyBuffers = sync.Pool{New: func() any { return new([maxBufferedResponse]byte) }}

// targetResponse is a target's response on its way to the caller.
type targetResponse struct {
	*http.Response
	// buffer holds the body if it is small and its length is known. It is nil
	// otherwise and for an empty body. release returns it to copyBuffers.
	buffer *[maxBufferedResponse]byte
	// buffered is the number of bytes in the buffer.
	buffered int
	// complete is true if the body is empty or in the buffer.
	complete bool
}

// newTargetResponse takes ownership of the response. It reads a small body to
// its end and returns an error if the body is truncated; the body is closed
// then.
func newTargetResponse(response *http.Response) (*targetResponse, error) {
	t := &targetResponse{Response: response}
	switch {
	case response.ContentLength == 0 || response.Body == http.NoBody:
		t.complete = true
		return t, t.Body.Close()
	case response.ContentLength < 0 || response.ContentLength > maxBufferedResponse:
		return t, nil
	}
	t.buffer, _ = copyBuffers.Get().(*[maxBufferedResponse]byte)
	n, err := io.ReadFull(response.Body, t.buffer[:response.ContentLength])
	t.buffered = n
	t.complete = true
	if err != nil {
		t.release()
		return nil, fmt.Errorf("read response body: %w", err)
	}
	// The connection is reusable only after the end of the body has been read.
	if _, err := response.Body.Read(t.buffer[n:]); err != nil && !errors.Is(err, io.EOF) {
		t.release()
		return nil, fmt.Errorf("read end of response body: %w", err)
	}
	return t, nil
}

// release closes the body and returns the buffer to its pool.
func (t *targetResponse) release() {
	if t == nil {
		return
	}
	_ = t.Body.Close()
	if t.buffer != nil {
		copyBuffers.Put(t.buffer)
		t.buffer = nil
	}
}

// errCallerWrite means that the response was not written to the caller or, on
// the exit side, to the entry proxy.
var errCallerWrite = errors.New("cannot write response")

// copied is what was written of a response.
type copied struct {
	bytes int64
	// linkWait is the time for which the first byte waited for the link.
	linkWait time.Duration
}

// copyTo writes the body with back pressure. A body that is not buffered is
// paced by the schedule of the link. An error wraps errCallerWrite if a write
// failed or the context ended during a wait for the link. Any other error means
// a truncated response.
func (t *targetResponse) copyTo(ctx context.Context, w http.ResponseWriter, link *route.Link, now func() time.Time) (copied, error) {
	var done copied
	if t.complete {
		if t.buffered == 0 {
			return done, nil
		}
		link.RecordShort(now(), t.buffered)
		n, err := w.Write(t.buffer[:t.buffered])
		done.bytes = int64(n)
		if err != nil {
			return done, fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		return done, nil
	}
	buffer, _ := copyBuffers.Get().(*[maxBufferedResponse]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	reservation := link.Reserve(now(), max(t.ContentLength, 0))
	sent := int64(0)
	defer func() { reservation.Release(sent) }()
	for {
		n, err := t.Body.Read(buffer[:chunkBytes])
		if n > 0 {
			if t.ContentLength < 0 {
				reservation, sent = link.Reserve(now(), int64(n)), 0
			}
			waitsSince := now()
			if !sleepUntil(ctx, waitsSince, reservation.SendTime(sent)) {
				return done, fmt.Errorf("%w: %w", errCallerWrite, ctx.Err())
			}
			if done.bytes == 0 {
				done.linkWait = now().Sub(waitsSince)
			}
			sent += int64(n)
			written, writeErr := w.Write(buffer[:n])
			done.bytes += int64(written)
			if writeErr != nil {
				return done, fmt.Errorf("%w: %w", errCallerWrite, writeErr)
			}
			if t.ContentLength < 0 && flusher != nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return done, nil
		}
		if err != nil {
			return done, fmt.Errorf("read response body: %w", err)
		}
	}
}

// sleepUntil waits until the given time. It returns false if the context ended
// first.
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

// copyTrailers copies the trailers, which are known after the body.
func (t *targetResponse) copyTrailers(h http.Header) {
	for name, values := range t.Trailer {
		h[http.TrailerPrefix+name] = values
	}
}
