package hornbeamwell

import (
	"net/http"
	"strings"
	"time"
)

// CallMetadata is the metadata of a call in the headers of the caller's
// request.
type CallMetadata struct {
	// ID identifies the call, empty where the caller sends no id. A call that
	// the caller sends again has another id.
	ID string
	// Remaining is the time until the caller's deadline, 0 where the caller
	// sends none.
	Remaining time.Duration
}

// AttemptMetadata is the metadata of a call in the headers of the request to a
// target.
type AttemptMetadata struct {
	// Remaining is the time that the target has for the call.
	Remaining time.Duration
	// Target is the name of the target that the call is for, empty where
	// targets have none.
	Target string
}

// ResponseMetadata is the metadata of a call in the headers of a target's
// response.
type ResponseMetadata struct {
	// NotRun is true where the target states that it did not run the call.
	NotRun bool
	// CallID is the id of the call that the response is for, empty where the
	// response carries none.
	CallID string
	// RequiresCallID is true where the response says nothing about a call unless it
	// carries its id, as always where NotRun is true. Only the first response on a
	// connection needs none.
	RequiresCallID bool
	// IsForeign is true where the response cannot come from the target itself.
	IsForeign bool
	// AllowsCloseDelimited is true where a response without a length is
	// complete once its connection is closed cleanly. Otherwise it cannot be
	// distinguished from a truncated one.
	AllowsCloseDelimited bool
	// IsOtherTarget is true where another target than the one that the call names
	// refused the call. What the response states about a target is then not about
	// that one.
	IsOtherTarget bool
	// RateLimit is the rate of calls that the target accepts. It is meaningless if
	// HasInvalidRateLimit is true: the response states a limit that can't be read.
	RateLimit           RateLimit
	HasInvalidRateLimit bool
	// IsLeaving is true where the target states that it is about to stop.
	IsLeaving bool
	// Load is the load that the target states. It states nothing if HasInvalidLoad is
	// true: the response states a load that can't be read.
	Load           LoadStatement
	HasInvalidLoad bool
}

// SetRateLimit sets the rate limit from the values of the header that states it. Without
// a value the target states none.
func (m *ResponseMetadata) SetRateLimit(values []string) {
	if len(values) == 0 {
		m.RateLimit, m.HasInvalidRateLimit = RateLimit{}, false
		return
	}
	limit, valid := ParseRateLimit(strings.Join(values, ","))
	m.RateLimit, m.HasInvalidRateLimit = limit, !valid
}

// SetLoad sets the load from the values of the header that states it. Without a value
// the target states none.
func (m *ResponseMetadata) SetLoad(values []string) {
	m.Load, m.HasInvalidLoad = LoadStatement{}, len(values) > 0
	if len(values) != 1 {
		return
	}
	load, valid := ParseLoadStatement(values[0])
	m.Load, m.HasInvalidLoad = load, !valid
}

// HeaderCodec maps the headers of a platform to the metadata of calls. Its
// methods are safe for concurrent use.
type HeaderCodec interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(h http.Header) CallMetadata
	// TakeAPIKey removes the header with the caller's API key and returns the key. It
	// returns an empty string unless there is exactly one.
	TakeAPIKey(h http.Header) string
	// SetTeam sets the header that names the caller's team. It replaces the value
	// that the caller sent, and removes it where the team is empty.
	SetTeam(h http.Header, team string)
	// SetCaller sets the header that names the calling service. It replaces the
	// value that the caller sent.
	SetCaller(h http.Header, service string)
	// SetAttempt sets the headers of the request to a target.
	SetAttempt(h http.Header, metadata AttemptMetadata)
	// ReadResponse reads the headers of a target's response.
	ReadResponse(status int, h http.Header) ResponseMetadata
	// SetRetryAfter sets the header with the time after which the caller may
	// retry. The time is greater than zero.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
}

// HealthMetadata is what a target states in a response of its health endpoint.
type HealthMetadata struct {
	// ColdRemaining is the time for which the target will still be cold. It is not
	// negative, and meaningless unless HasColdRemaining is true.
	ColdRemaining    time.Duration
	HasColdRemaining bool
}

// HealthCodec is implemented by a HeaderCodec of a platform whose targets have health
// endpoints. Its methods are safe for concurrent use.
type HealthCodec interface {
	// ReadHealth reads the headers of a response of a target's health endpoint.
	ReadHealth(status int, h http.Header) HealthMetadata
}
