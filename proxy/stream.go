package proxy

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// smallAnswer is the size up to which an answer is read to its end before the
// first byte is passed on, so that a cut one can still be answered otherwise.
const smallAnswer = 32 << 10

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

// copyTo passes the body on with back pressure. Errors of the writer wrap
// errCallerWrite, the others are those of a cut answer.
func (a *answer) copyTo(w http.ResponseWriter) error {
	if a.whole {
		if a.held == 0 {
			return nil
		}
		if _, err := w.Write(a.buffer[:a.held]); err != nil {
			return fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		return nil
	}
	buffer, _ := copyBuffers.Get().(*[smallAnswer]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := a.Body.Read(buffer[:])
		if n > 0 {
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

// copyTrailers passes the trailers on, which are known after the body.
func (a *answer) copyTrailers(h http.Header) {
	for name, values := range a.Trailer {
		h[http.TrailerPrefix+name] = values
	}
}
