package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/connection"
)

// errPeerBodySize means that the request of another proxy states no length, or too large a one.
var errPeerBodySize = errors.New("request body has no length or is too large")

// readPeerBody reads the body of a request of another proxy, which states its length. The
// memory to decode it is drawn from the budget until release is called.
func readPeerBody(r *http.Request, maxBytes int64) (body []byte, release func(), err error) {
	if r.ContentLength < 0 || r.ContentLength > maxBytes {
		return nil, nil, errPeerBodySize
	}
	// The decoded form takes about as much as the text.
	release, err = connection.Retain(r.Context(), 2*r.ContentLength)
	if err != nil {
		return nil, nil, fmt.Errorf("read request body: %w", err)
	}
	// The buffer grows as the body arrives.
	var buffer bytes.Buffer
	if _, err := io.CopyN(&buffer, r.Body, r.ContentLength); err != nil {
		release()
		return nil, nil, fmt.Errorf("read request body: %w", err)
	}
	return buffer.Bytes(), release, nil
}
