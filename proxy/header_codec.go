package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// plainHeaderCodec implements hornbeamwell.HeaderCodec with headerTimeout,
// headerRequestID, headerRetry, headerRateLimit, headerLoad, headerLeaving, headerAPIKey
// and headerTeam, and hornbeamwell.HealthCodec with headerColdMs.
type plainHeaderCodec struct{}

var (
	_ hornbeamwell.HeaderCodec = plainHeaderCodec{}
	_ hornbeamwell.HealthCodec = plainHeaderCodec{}
)

// ReadHealth implements hornbeamwell.HealthCodec.
func (plainHeaderCodec) ReadHealth(_ int, h http.Header) hornbeamwell.HealthMetadata {
	millis, err := strconv.ParseUint(headerValue(h, headerColdMs), 10, 32)
	if err != nil {
		return hornbeamwell.HealthMetadata{}
	}
	return hornbeamwell.HealthMetadata{ColdRemaining: time.Duration(millis) * time.Millisecond, HasColdRemaining: true}
}

// ReadCall implements hornbeamwell.HeaderCodec.
func (plainHeaderCodec) ReadCall(h http.Header) hornbeamwell.CallMetadata {
	remaining, valid := parseDuration(h.Get(headerTimeout))
	if !valid {
		remaining = 0
	}
	return hornbeamwell.CallMetadata{ID: headerValue(h, headerRequestID), Remaining: remaining}
}

// TakeAPIKey implements hornbeamwell.HeaderCodec.
func (plainHeaderCodec) TakeAPIKey(h http.Header) string {
	key := headerValue(h, headerAPIKey)
	delete(h, headerAPIKey)
	return key
}

// SetTeam implements hornbeamwell.HeaderCodec.
func (plainHeaderCodec) SetTeam(h http.Header, team string) {
	delete(h, headerTeam)
	if team != "" {
		h[headerTeam] = []string{team}
	}
}

// SetCaller implements hornbeamwell.HeaderCodec. There is no header for the
// calling service.
func (plainHeaderCodec) SetCaller(http.Header, string) {}

// SetAttempt implements hornbeamwell.HeaderCodec.
func (plainHeaderCodec) SetAttempt(h http.Header, metadata hornbeamwell.AttemptMetadata) {
	h[headerTimeout] = []string{formatDuration(metadata.Remaining)}
}

// ReadResponse implements hornbeamwell.HeaderCodec.
func (plainHeaderCodec) ReadResponse(_ int, h http.Header) hornbeamwell.ResponseMetadata {
	metadata := hornbeamwell.ResponseMetadata{IsLeaving: headerValue(h, headerLeaving) != ""}
	metadata.SetRateLimit(h[headerRateLimit])
	metadata.SetLoad(h[headerLoad])
	return metadata
}

// SetRetryAfter implements hornbeamwell.HeaderCodec. Retry-After is rounded up
// to whole seconds, as HTTP requires.
func (plainHeaderCodec) SetRetryAfter(h http.Header, retryAfter time.Duration) {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	h[headerRetry] = []string{strconv.FormatInt(seconds, 10)}
}
