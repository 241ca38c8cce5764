package load

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

// Verdict is how a call ended for its caller.
type Verdict string

// The verdicts of a call.
const (
	// VerdictAnswered is the whole answer to the caller's own request.
	VerdictAnswered Verdict = "answered"
	// VerdictFailed is a failure of the target itself.
	VerdictFailed Verdict = "failed"
	// VerdictRefused is an answer that says that the call did not run.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown is an answer that says that the call may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictUnreachable means that no connection to the entry proxy opened.
	VerdictUnreachable Verdict = "unreachable"
	// VerdictLost means that no answer came.
	VerdictLost Verdict = "lost"
	// VerdictTruncated means that an answer came in part.
	VerdictTruncated Verdict = "cut"
	// VerdictMismatched means that the answer to another request came.
	VerdictMismatched Verdict = "crossed"
)

// The header in which a proxy says what is known of a call it gave up.
const (
	headerOutcome  = "Hornbeamwell-Outcome"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// readReason returns the reason in the body of a proxy's refusal, empty where
// it names none.
func readReason(body []byte) string {
	var refusal struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &refusal) != nil {
		return ""
	}
	return refusal.Error
}

// rootText returns the text of the innermost error, which names no address.
func rootText(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// judgeError returns the verdict on a call without a response.
func judgeError(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return VerdictUnreachable
	}
	return VerdictLost
}

// judge returns the verdict on a response. The body is what was read of it,
// and readErr why the reading ended early.
func judge(id string, want []byte, resp *http.Response, body []byte, readErr error) Verdict {
	if readErr != nil {
		return VerdictTruncated
	}
	switch resp.Header.Get(headerOutcome) {
	case outcomeNotRun:
		return VerdictRefused
	case outcomeUnknown:
		return VerdictUnknown
	}
	if resp.Header.Get(standin.HeaderRequestID) != id {
		return VerdictMismatched
	}
	if resp.StatusCode != http.StatusOK {
		return VerdictFailed
	}
	if bytes.Equal(body, want) {
		return VerdictAnswered
	}
	if bytes.HasPrefix(want, body) {
		return VerdictTruncated
	}
	return VerdictMismatched
}
