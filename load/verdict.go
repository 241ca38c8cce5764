package load

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

// Verdict classifies how a call ended for its caller.
type Verdict string

// The verdicts of a call.
const (
	// VerdictAnswered is the complete response to the caller's own request.
	VerdictAnswered Verdict = "answered"
	// VerdictFailed is an error response of the target itself.
	VerdictFailed Verdict = "failed"
	// VerdictRefused is a response that says that the call did not run.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown is a response that says that the call may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictUnreachable means that no connection to the entry proxy could be
	// opened.
	VerdictUnreachable Verdict = "unreachable"
	// VerdictLost means that no response arrived.
	VerdictLost Verdict = "lost"
	// VerdictTruncated means that only part of a response arrived.
	VerdictTruncated Verdict = "cut"
	// VerdictMismatched means that the response to another request arrived.
	VerdictMismatched Verdict = "crossed"
)

// headerOutcome is the header in which a proxy, if it has no response of a
// target, states whether the call ran. The other constants are the values that
// classify recognizes.
const (
	headerOutcome  = "Hornbeamwell-Outcome"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// readReason returns the reason in the body of a proxy's refusal, empty if the
// body holds none.
func readReason(body []byte) string {
	var refusal struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &refusal) != nil {
		return ""
	}
	return refusal.Error
}

// rootMessage returns the message of the innermost error, which contains no
// address.
func rootMessage(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// classifyError returns the verdict on a call without a response.
func classifyError(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return VerdictUnreachable
	}
	return VerdictLost
}

// classify returns the verdict on a response. body is the part that was read,
// and readErr the error that ended the read early.
func classify(id string, want []byte, resp *http.Response, body []byte, readErr error) Verdict {
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
