package hornbeamwell

import (
	"net/http"
	"time"
)

// CallHead is what a caller says of its call beside the HTTP request.
type CallHead struct {
	// ID is the caller's name of the call, empty where it gives none. A call
	// that the caller sends again has another one.
	ID string
	// Remaining is the time for which the caller waits, 0 where it says none.
	Remaining time.Duration
}

// SendHead is what a target is told of a call beside the HTTP request.
type SendHead struct {
	// Remaining is the time that the target has for the call.
	Remaining time.Duration
	// Target is the name of the target that the call is for, empty where
	// targets have none.
	Target string
}

// AnswerHead is what a target's answer says beside the HTTP response.
type AnswerHead struct {
	// NotRun is true where the target says that it did not run the call.
	NotRun bool
	// CallID is the id of the call that the answer is for, empty where the
	// answer does not tell.
	CallID string
	// IsForeign is true where the answer can't be the target's own.
	IsForeign bool
	// MayEndAtClose is true where an answer without a length is whole once its
	// connection ends in order. Otherwise it can't be told from a cut one.
	MayEndAtClose bool
}

// Dialect is the headers by which callers, proxies and targets speak of a call.
// Its methods are safe for concurrent use.
type Dialect interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(h http.Header) CallHead
	// MarkOrigin tells the target which service the call came from. It replaces
	// what the caller said.
	MarkOrigin(h http.Header, service string)
	// MarkSend tells the target about the call.
	MarkSend(h http.Header, head SendHead)
	// ReadAnswer reads the headers of a target's answer.
	ReadAnswer(status int, h http.Header) AnswerHead
	// MarkRefusal tells the caller the time after which to come back. It is
	// greater than zero.
	MarkRefusal(h http.Header, retryAfter time.Duration)
}
