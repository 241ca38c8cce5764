package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// plainDialect is the product's own headers.
type plainDialect struct{}

var _ hornbeamwell.HeaderCodec = plainDialect{}

// ReadCall implements hornbeamwell.Dialect.
func (plainDialect) ReadCall(h http.Header) hornbeamwell.CallMetadata {
	remaining, valid := parseTimeout(h.Get(headerTimeout))
	if !valid {
		remaining = 0
	}
	return hornbeamwell.CallMetadata{ID: headerValue(h, headerRequestID), Remaining: remaining}
}

// SetCaller implements hornbeamwell.Dialect. Targets of the product are not
// told.
func (plainDialect) SetCaller(http.Header, string) {}

// SetAttempt implements hornbeamwell.Dialect.
func (plainDialect) SetAttempt(h http.Header, head hornbeamwell.AttemptMetadata) {
	h[headerTimeout] = []string{formatTimeout(head.Remaining)}
}

// ReadResponse implements hornbeamwell.Dialect.
func (plainDialect) ReadResponse(int, http.Header) hornbeamwell.ResponseMetadata {
	return hornbeamwell.ResponseMetadata{}
}

// SetRetryAfter implements hornbeamwell.Dialect in whole seconds, as HTTP has it.
func (plainDialect) SetRetryAfter(h http.Header, retryAfter time.Duration) {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	h[headerRetry] = []string{strconv.FormatInt(seconds, 10)}
}
