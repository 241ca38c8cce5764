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

// extensionBytes is the link time, in bytes, that is reserved for a response that turns out
// to be longer than expected. More would keep the link free for a response that has nearly
// ended or sends little.
const extensionBytes = 64 << 10

// copyBuffers holds buffers for response bodies.
var copyBuffers = sync.Pool{New: func() any { return new([maxBufferedResponse]byte) }}

// targetResponse is a target's response on its way to the caller.
type targetResponse struct {
	*http.Response
	// buffer holds the body if it is small and its length is known, and otherwise its
	// first bytes. It is nil for an empty body. release returns it to copyBuffers.
	buffer *[maxBufferedResponse]byte
	// buffered is the number of bytes in the buffer.
	buffered int
	// complete is true if the body is empty or in the buffer.
	complete bool
	// reservation is the link time of a body that is not complete, linkWait the time for
	// which its first byte waited for it.
	reservation route.Reservation
	linkWait    time.Duration
	// sent is the part of the reservation that is used.
	sent int64
	// end returns the time by which the response has to be sent.
	end responseEnd
}

// responseEnd returns the time by which a response has to be sent, and whether that is
// the end of a planned stop. A stop may begin at any time.
type responseEnd func() (at time.Time, isStop bool)

// mayHaveBody reports whether a body may follow the header. The length in the response to
// HEAD is that of another response.
func mayHaveBody(response *http.Response) bool {
	isHead := response.Request != nil && response.Request.Method == http.MethodHead
	return !isHead && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
}

// newTargetResponse takes ownership of the response. It reads a small body to its end and
// the first bytes of any other one, and returns an error if that fails; the body is closed
// then.
func newTargetResponse(response *http.Response) (*targetResponse, error) {
	t := &targetResponse{Response: response}
	switch {
	case response.ContentLength == 0 || response.Body == http.NoBody || !mayHaveBody(response):
		t.complete = true
		return t, t.Body.Close()
	}
	t.buffer, _ = copyBuffers.Get().(*[maxBufferedResponse]byte)
	if response.ContentLength < 0 || response.ContentLength > maxBufferedResponse {
		if err := t.readFirst(); err != nil {
			return nil, err
		}
		return t, nil
	}
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

// readFirst reads the first bytes of the body.
func (t *targetResponse) readFirst() error {
	n, err := io.ReadAtLeast(t.Body, t.buffer[:chunkBytes], 1)
	t.buffered = n
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && t.ContentLength < 0:
		return nil
	default:
		t.release()
		return fmt.Errorf("read response body: %w", err)
	}
}

// release closes the body, returns the buffer to its pool and gives the rest of the link
// time back.
func (t *targetResponse) release() {
	if t == nil {
		return
	}
	_ = t.Body.Close()
	t.reservation.Release(t.sent)
	t.reservation = route.Reservation{}
	if t.buffer != nil {
		copyBuffers.Put(t.buffer)
		t.buffer = nil
	}
}

// errCallerWrite means that the response was not written to the caller or, on
// the exit side, to the entry proxy.
var errCallerWrite = errors.New("cannot write response")

// linkPoll is the interval at which a response that waits for the link notices that a
// stop has begun, or that it may be sent earlier.
const linkPoll = 50 * time.Millisecond

// waitForLink reserves time on the link and waits for it, unless the response is complete.
// Nothing of the response has been written then: a proxy goes on to send interim responses,
// and can still refuse the call. An error wraps errCallerWrite. It means that the context
// ended first, or that the response would be cut by the end of a stop, which wraps
// errStopEnds.
func (t *targetResponse) waitForLink(ctx context.Context, link *route.Link, routeName string, now func() time.Time, end responseEnd) error {
	if t.complete || t.buffered == 0 {
		return nil
	}
	began := now()
	t.end = end
	endAt, _ := end()
	// A response without a length is probably as long as others of its route.
	mean := link.MeanSize(routeName)
	switch {
	case t.ContentLength >= 0:
		t.reservation = link.ReserveBy(began, t.ContentLength, endAt)
	case mean < route.LongResponse:
		t.reservation = link.ReserveShort(began)
	default:
		t.reservation = link.ReserveBy(began, mean, endAt)
	}
	for at := began; ; at = now() {
		endAt, isStop := end()
		t.reservation.SetEnd(at, endAt)
		sendAt, finish := t.reservation.SendTime(0), t.reservation.Finish()
		if at.After(sendAt) {
			// The process got the processor late.
			finish = at.Add(finish.Sub(sendAt))
		}
		if isStop && finish.After(endAt) {
			return fmt.Errorf("%w: wait for link: %w", errCallerWrite, errStopEnds)
		}
		if !sendAt.After(at) {
			t.linkWait = at.Sub(began)
			return nil
		}
		if poll := at.Add(linkPoll); poll.Before(sendAt) {
			sendAt = poll
		}
		if !sleepUntil(ctx, at, sendAt) {
			return fmt.Errorf("%w: wait for link: %w", errCallerWrite, ctx.Err())
		}
	}
}

// copyTo writes the body with back pressure, after waitForLink, and returns the number of
// bytes that were written. A body that is not complete is paced by the schedule of the
// link. An error wraps errCallerWrite if a write failed or the context ended during a wait
// for the link. Any other error means a truncated response.
func (t *targetResponse) copyTo(ctx context.Context, w http.ResponseWriter, link *route.Link, now func() time.Time) (int64, error) {
	if t.complete {
		if t.buffered == 0 {
			return 0, nil
		}
		link.RecordShort(now(), t.buffered)
		n, err := w.Write(t.buffer[:t.buffered])
		if err != nil {
			return int64(n), fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		return int64(n), nil
	}
	flusher, _ := w.(http.Flusher)
	n, written := t.buffered, int64(0)
	for n > 0 {
		if !sleepUntil(ctx, now(), t.reservation.SendTime(t.sent)) {
			return written, fmt.Errorf("%w: %w", errCallerWrite, ctx.Err())
		}
		t.sent += int64(n)
		accepted, err := w.Write(t.buffer[:n])
		written += int64(accepted)
		if err != nil {
			return written, fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		if t.ContentLength < 0 && flusher != nil {
			flusher.Flush()
		}
		n, err = io.ReadAtLeast(t.Body, t.buffer[:chunkBytes], 1)
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, fmt.Errorf("read response body: %w", err)
		}
		if !t.reservation.Covers(t.sent + int64(n)) {
			t.reservation.Release(t.sent)
			endAt, _ := t.end()
			t.reservation, t.sent = link.ReserveBy(now(), extensionBytes, endAt), 0
		}
	}
	return written, nil
}

// recordSize records the size of a response of which the bytes were written.
func (t *targetResponse) recordSize(link *route.Link, routeName string, written int64) {
	if t.ContentLength < 0 {
		link.RecordSize(routeName, written)
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
