package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// Reason identifies why a call was refused or abandoned.
type Reason string

// The reasons of refusals.
const (
	ReasonNoRoute         Reason = "no_route"
	ReasonNotConfigured   Reason = "not_configured"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonKeysStale       Reason = "keys_stale"
	ReasonBadRequest      Reason = "bad_request"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonNoTarget        Reason = "no_target"
	ReasonDraining        Reason = "draining"
	ReasonOverloaded      Reason = "overloaded"
	ReasonDeadline        Reason = "late"
	ReasonRateLimited     Reason = "rate_limited"
	ReasonLinkBusy        Reason = "link_busy"
	ReasonNestedRefused   Reason = "nested_refused"
	ReasonWrongTarget     Reason = "wrong_target"
	ReasonUnreachable     Reason = "unreachable"
	ReasonConnection      Reason = "connection_lost"
	ReasonTimeout         Reason = "timeout"
	ReasonCallerGone      Reason = "caller_gone"
	ReasonSuspect         Reason = "suspect"
	ReasonTruncated       Reason = "cut_answer"
	ReasonKeyMismatch     Reason = "key_mismatch"
	ReasonKeyUnprovable   Reason = "key_unprovable"
	ReasonResponseNotKept Reason = "answer_not_kept"
	ReasonMoved           Reason = "moved"
	ReasonShed            Reason = "shed_by_target"
	ReasonRefusedInQueue  Reason = "waited_in_vain"
	ReasonSuspectTimeout  Reason = "suspect_waited_in_vain"
	ReasonForeignResponse Reason = "foreign_answer"
	ReasonEvacuated       Reason = "evacuated"
	ReasonQuotaExceeded   Reason = "quota_exceeded"
	ReasonThrottled       Reason = "throttled"
	ReasonWithdrawn       Reason = "withdrawn"
	ReasonAbandoned       Reason = "abandoned"
	ReasonMemory          Reason = "no_memory"
)

// refusal is the result of an attempt or of a whole call that a proxy refused or
// abandoned.
type refusal struct {
	status  int
	outcome route.Outcome
	reason  Reason
	// keyProved is true if the outcome holds for every call with the same key,
	// not only for this one.
	keyProved bool
	// isUnanswered is true if the exit proxy of an attempt did not answer although the
	// call has time left, isUnsettled if the attempt may still be withdrawn, and
	// isWithdrawn if it was.
	isUnanswered, isUnsettled, isWithdrawn bool
	// holder is the target whose proxy has a record of the key. It is empty
	// unless the reason is ReasonMoved.
	holder string
	// retryAfter is the time after which a retry may succeed, 0 if a retry would
	// not help.
	retryAfter time.Duration
	// err is why there is no whole response, nil if that is not known.
	err error
}

func (f refusal) write(w http.ResponseWriter, codec hornbeamwell.HeaderCodec) {
	h := w.Header()
	h["Content-Type"] = contentTypeJSON
	h[headerOutcome] = []string{string(f.outcome)}
	h[headerReason] = []string{string(f.reason)}
	if f.reason == ReasonDraining {
		// A new connection of the caller may reach another proxy.
		h["Connection"] = valueClose
	}
	if f.keyProved {
		h[headerKeyProved] = valueTrue
	}
	if f.holder != "" {
		h[headerHolder] = []string{f.holder}
	}
	if f.retryAfter > 0 {
		codec.SetRetryAfter(h, f.retryAfter)
	}
	body := `{"error":"` + string(f.reason) + `","outcome":"` + string(f.outcome) + `"}` + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(f.status)
	// Errors are ignored: a caller that disconnected reads no response.
	_, _ = w.Write([]byte(body))
}

var (
	contentTypeJSON = []string{"application/json"}
	valueClose      = []string{"close"}
	valueTrue       = []string{"true"}
)

const (
	// defaultRetryAfter is the time after which a refused caller may retry if no
	// better one is known. Changes of the targets arrive within it.
	defaultRetryAfter = 250 * time.Millisecond
	// minRetryAfter is the minimum retry time after a target was short of slots
	// or its link was busy.
	minRetryAfter = 50 * time.Millisecond
	// retryJitter is the width of the interval from which the retry time is
	// drawn, as a fraction of that time. Thus refused callers do not all retry at
	// the same time.
	retryJitter = 0.5
)

// withJitter returns the refusal with a random retry time around the given one.
func (f refusal) withJitter(random route.Random) *refusal {
	if f.retryAfter > 0 {
		factor := 1 + retryJitter*(float64(random.IntN(1000))/1000-0.5)
		f.retryAfter = time.Duration(float64(f.retryAfter) * factor)
	}
	return &f
}

func notRun(status int, reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: status, outcome: route.OutcomeNotRun, reason: reason, retryAfter: retryAfter}
}

func unknownOutcome(status int, reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: status, outcome: route.OutcomeUnknown, reason: reason, retryAfter: retryAfter}
}

// withdrawnRefusal returns the refusal of an attempt that its entry proxy withdrew.
func withdrawnRefusal() *refusal {
	return notRun(http.StatusServiceUnavailable, ReasonWithdrawn, defaultRetryAfter)
}

// reachedTarget reports whether the target may have received the call.
func (f *refusal) reachedTarget() bool {
	return f.outcome != route.OutcomeNotRun || f.reason == ReasonShed
}

// isConnectionFault reports whether the connection was lost, or the response was
// truncated or not valid, so that a new connection may help.
func (f *refusal) isConnectionFault() bool {
	return f.reason == ReasonConnection || f.reason == ReasonTruncated
}

// afterAttempts returns the refusal that the caller gets after all attempts. The last
// one may not have run, but the caller must not be told so if an earlier one may have.
func (f *refusal) afterAttempts(mayHaveRun bool) *refusal {
	if !mayHaveRun || f.outcome != route.OutcomeNotRun {
		return f
	}
	adjusted := *f
	adjusted.outcome = route.OutcomeUnknown
	adjusted.status = http.StatusBadGateway
	return &adjusted
}

// withEarlierRetry returns the refusal of an attempt that follows a refused one. Where a
// rate limit refused it, the caller may retry as soon as either target has room, since
// the limit of one target says nothing about the others.
func (f *refusal) withEarlierRetry(previous *refusal) *refusal {
	if f.reason != ReasonRateLimited || previous == nil || previous.retryAfter == 0 || previous.retryAfter >= f.retryAfter {
		return f
	}
	adjusted := *f
	adjusted.retryAfter = previous.retryAfter
	return &adjusted
}

// forKey returns the refusal, with an unknown outcome where the call has an
// idempotency key and the outcome "not run" is not proved for the key. Unless a
// record proves otherwise, an earlier call with the same key may have run, so
// "not run" would be wrong for the key.
func (f *refusal) forKey(r *http.Request) *refusal {
	if _, found := r.Header[headerKey]; !found || f.keyProved || f.outcome != route.OutcomeNotRun {
		return f
	}
	adjusted := *f
	adjusted.outcome = route.OutcomeUnknown
	return &adjusted
}
