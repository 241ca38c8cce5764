package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// plainDialect is the product's own headers.
type plainDialect struct{}

var _ hornbeamwell.Dialect = plainDialect{}

// ReadCall implements hornbeamwell.Dialect.
func (plainDialect) ReadCall(h http.Header) hornbeamwell.CallHead {
	remaining, valid := parseTimeout(h.Get(headerTimeout))
	if !valid {
		remaining = 0
	}
	return hornbeamwell.CallHead{ID: headerValue(h, headerRequestID), Remaining: remaining}
}

// MarkOrigin implements hornbeamwell.Dialect. Targets of the product are not
// told.
func (plainDialect) MarkOrigin(http.Header, string) {}

// MarkSend implements hornbeamwell.Dialect.
func (plainDialect) MarkSend(h http.Header, head hornbeamwell.SendHead) {
	h[headerTimeout] = []string{formatTimeout(head.Remaining)}
}

// ReadAnswer implements hornbeamwell.Dialect.
func (plainDialect) ReadAnswer(int, http.Header) hornbeamwell.AnswerHead {
	return hornbeamwell.AnswerHead{}
}

// MarkRefusal implements hornbeamwell.Dialect in whole seconds, as HTTP has it.
func (plainDialect) MarkRefusal(h http.Header, retryAfter time.Duration) {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	h[headerRetry] = []string{strconv.FormatInt(seconds, 10)}
}
