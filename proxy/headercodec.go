package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// plainHeaderCodec is the product's own headers.
type plainHeaderCodec struct{}

var _ hornbeamwell.HeaderCodec = plainHeaderCodec{}

// ReadCall implements hornbeamwell.Dialect.
func (plainHeaderCodec) ReadCall(h http.Header) hornbeamwell.CallMetadata {
	remaining, valid := parseTimeout(h.Get(headerTimeout))
	if !valid {
		remaining = 0
	}
	return hornbeamwell.CallMetadata{ID: headerValue(h, headerRequestID), Remaining: remaining}
}

// SetCaller implements hornbeamwell.Dialect. Targets of the product are not
// told.
func (plainHeaderCodec) SetCaller(http.Header, string) {}

// SetAttempt implements hornbeamwell.Dialect.
func (plainHeaderCodec) SetAttempt(h http.Header, metadata hornbeamwell.AttemptMetadata) {
	h[headerTimeout] = []string{formatTimeout(metadata.Remaining)}
}

// ReadResponse implements hornbeamwell.Dialect.
func (plainHeaderCodec) ReadResponse(int, http.Header) hornbeamwell.ResponseMetadata {
	return hornbeamwell.ResponseMetadata{}
}

// SetRetryAfter implements hornbeamwell.Dialect in whole seconds, as HTTP has it.
func (plainHeaderCodec) SetRetryAfter(h http.Header, retryAfter time.Duration) {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	h[headerRetry] = []string{strconv.FormatInt(seconds, 10)}
}
