package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxBufferedBody is the size up to which a request body of known length is read
// before the call is sent, so that the call can be sent again and a slow caller
// occupies no slot.
const maxBufferedBody = 64 << 10

// errBodyTooLarge means that a body exceeds the limit of its route.
var errBodyTooLarge = errors.New("request body exceeds the limit of the route")

// errAbandoned means that an abandoned attempt continued to read the body.
var errAbandoned = errors.New("attempt abandoned")

// requestBody is the body of a call, shared by all of its attempts.
type requestBody struct {
	// buffered holds the whole body if it is small and its length is known.
	buffered []byte
	// stream is the body if it is not buffered, nil otherwise.
	stream io.Reader
	length int64

	mu sync.Mutex
	// streamStarted is true from the first read of the stream on.
	streamStarted bool
	// remaining is the number of bytes that the stream may still return.
	remaining int64
	tooLarge  bool
	attempt   *streamAttempt
}

// readBody reads a small body to its end. It keeps a larger one, or one of
// unknown length, as a stream.
func readBody(r *http.Request, maxBytes int64) (*requestBody, error) {
	if r.ContentLength > maxBytes {
		return nil, errBodyTooLarge
	}
	b := &requestBody{length: r.ContentLength, remaining: maxBytes}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		b.stream = r.Body
		return b, nil
	}
	b.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b.buffered); err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	return b, nil
}

// next returns the body for another attempt. It returns false if an earlier
// attempt began to read from the stream.
func (b *requestBody) next() (io.ReadCloser, bool) {
	if b.stream == nil {
		if len(b.buffered) == 0 {
			return http.NoBody, true
		}
		return io.NopCloser(bytes.NewReader(b.buffered)), true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streamStarted {
		return nil, false
	}
	if b.attempt != nil {
		b.attempt.abandoned = true
	}
	b.attempt = &streamAttempt{body: b}
	return b.attempt, true
}

// again returns a buffered body from its beginning.
func (b *requestBody) again() (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(b.buffered)), nil
}

// isAvailable reports whether there is a body for another attempt.
func (b *requestBody) isAvailable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stream == nil || !b.streamStarted
}

// isTooLarge reports whether the stream exceeded the limit.
func (b *requestBody) isTooLarge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLarge
}

// streamAttempt reads the stream for one attempt.
type streamAttempt struct {
	body *requestBody
	// abandoned is true once another attempt has taken over. It is guarded by
	// the body's mutex.
	abandoned bool
}

// Read reads from the stream.
func (s *streamAttempt) Read(p []byte) (int, error) {
	b := s.body
	b.mu.Lock()
	if s.abandoned {
		b.mu.Unlock()
		return 0, errAbandoned
	}
	b.streamStarted = true
	b.mu.Unlock()
	n, err := b.stream.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.tooLarge = true
		return 0, errBodyTooLarge
	}
	return n, err
}

// Close leaves the stream open. The server closes it.
func (s *streamAttempt) Close() error { return nil }
