package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// Reason says in a word why a call was refused or given up.
type Reason string

// The reasons of refusals.
const (
	ReasonNoRoute       Reason = "no_route"
	ReasonBadRequest    Reason = "bad_request"
	ReasonBodyTooLarge  Reason = "body_too_large"
	ReasonNoTarget      Reason = "no_target"
	ReasonDraining      Reason = "draining"
	ReasonOverloaded    Reason = "overloaded"
	ReasonLate          Reason = "late"
	ReasonWrongTarget   Reason = "wrong_target"
	ReasonUnreachable   Reason = "unreachable"
	ReasonConnection    Reason = "connection_lost"
	ReasonTimeout       Reason = "timeout"
	ReasonCallerGone    Reason = "caller_gone"
	ReasonSuspect       Reason = "suspect"
	ReasonCut           Reason = "cut_answer"
	ReasonKeyMismatch   Reason = "key_mismatch"
	ReasonKeyUnprovable Reason = "key_unprovable"
	ReasonAnswerDropped Reason = "answer_not_kept"
)

// refusal is the final answer to a call that the proxies gave up.
type refusal struct {
	status  int
	outcome route.Outcome
	reason  Reason
	// retryAfter is 0 where coming back would not help.
	retryAfter time.Duration
}

// write sends the refusal at once.
func (f refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h["Content-Type"] = contentTypeJSON
	h[headerOutcome] = []string{string(f.outcome)}
	h[headerReason] = []string{string(f.reason)}
	if f.retryAfter > 0 {
		seconds := int64((f.retryAfter + time.Second - 1) / time.Second)
		h[headerRetry] = []string{strconv.FormatInt(seconds, 10)}
	}
	body := `{"error":"` + string(f.reason) + `","outcome":"` + string(f.outcome) + `"}` + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(f.status)
	// A caller that has gone reads no answer.
	_, _ = w.Write([]byte(body))
}

var contentTypeJSON = []string{"application/json"}

// defaultRetryAfter is the time after which a refused caller may come back
// where nothing better is known.
const defaultRetryAfter = time.Second

func notRun(status int, reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: status, outcome: route.OutcomeNotRun, reason: reason, retryAfter: retryAfter}
}

func unknownOutcome(status int, reason Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: status, outcome: route.OutcomeUnknown, reason: reason, retryAfter: retryAfter}
}
