package hornbeamwell

import (
	"net/http"
	"time"
)

// CallMetadata is what a caller says of its call beside the HTTP request.
type CallMetadata struct {
	// ID is the caller's name of the call, empty where it gives none. A call
	// that the caller sends again has another one.
	ID string
	// Remaining is the time for which the caller waits, 0 where it says none.
	Remaining time.Duration
}

// AttemptMetadata is what a target is told of a call beside the HTTP request.
type AttemptMetadata struct {
	// Remaining is the time that the target has for the call.
	Remaining time.Duration
	// Target is the name of the target that the call is for, empty where
	// targets have none.
	Target string
}

// ResponseMetadata is what a target's answer says beside the HTTP response.
type ResponseMetadata struct {
	// NotRun is true where the target says that it did not run the call.
	NotRun bool
	// CallID is the id of the call that the answer is for, empty where the
	// answer does not tell.
	CallID string
	// IsForeign is true where the answer can't be the target's own.
	IsForeign bool
	// AllowsCloseDelimited is true where an answer without a length is whole once its
	// connection ends in order. Otherwise it can't be told from a cut one.
	AllowsCloseDelimited bool
}

// HeaderCodec is the headers by which callers, proxies and targets speak of a call.
// Its methods are safe for concurrent use.
type HeaderCodec interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(h http.Header) CallMetadata
	// SetCaller tells the target which service the call came from. It replaces
	// what the caller said.
	SetCaller(h http.Header, service string)
	// SetAttempt tells the target about the call.
	SetAttempt(h http.Header, head AttemptMetadata)
	// ReadResponse reads the headers of a target's answer.
	ReadResponse(status int, h http.Header) ResponseMetadata
	// SetRetryAfter tells the caller the time after which to come back. It is
	// greater than zero.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
}
