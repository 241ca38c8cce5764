package proxy

import (
	"net/http"
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// checkResponse returns a refusal if the response says that the target did not
// run the call, or if it may belong to another call, comes from another target or
// has no detectable end. The connection is closed then, because more bytes may
// follow. A target may repeat its response to an earlier call on the connection: only
// on a new one does a response without an id belong to the call.
func checkResponse(call *exitCall, connection *pooledConnection, response *http.Response, metadata hornbeamwell.ResponseMetadata) *refusal {
	switch {
	case isForeign(call, response, metadata):
		responsesForeign.Inc()
		return unknownOutcome(http.StatusBadGateway, ReasonForeignResponse, 0)
	case (metadata.NotRun || metadata.RequiresCallID) && metadata.CallID == "" && !connection.isNew():
		responsesWithoutID.Inc()
		return unknownOutcome(http.StatusBadGateway, ReasonForeignResponse, 0)
	case metadata.NotRun:
		return notRun(http.StatusServiceUnavailable, ReasonShed, defaultRetryAfter)
	case isCloseDelimited(response) && (!metadata.AllowsCloseDelimited || hasMergedLength(response)),
		hasIgnoredLength(response.Header), connection.raw.hasIgnoredEncoding(), !response.ProtoAtLeast(1, 0):
		return unknownOutcome(http.StatusBadGateway, ReasonTruncated, 0)
	default:
		return nil
	}
}

// isForeign reports whether the response does not come from the target, is for another call,
// or is none: a switch of the protocol, which no call asks for, or an invalid status.
func isForeign(call *exitCall, response *http.Response, metadata hornbeamwell.ResponseMetadata) bool {
	isOtherCall := metadata.CallID != "" && metadata.CallID != call.callID
	return metadata.IsForeign || isOtherCall || response.StatusCode < http.StatusOK
}

// isCloseDelimited reports whether the body ends with the connection, so that a
// truncated body can't be told from a complete one.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && mayHaveBody(response)
}

// hasMergedLength reports whether the status or the value of a header has the name of a header
// that tells the end of the body, because the line before it lost its end or it is folded.
func hasMergedLength(response *http.Response) bool {
	if isLengthIn(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, isLengthIn) {
			return true
		}
	}
	return false
}

func isLengthIn(text string) bool {
	lower := strings.ToLower(text)
	return strings.Contains(lower, "content-length:") || strings.Contains(lower, "transfer-encoding:")
}

// hasIgnoredLength reports whether a space follows the name of a header that tells the end
// of the body. net/http accepts such a name but ignores the header, and takes the end of the
// connection for the end of the body.
func hasIgnoredLength(h http.Header) bool {
	for name := range h {
		trimmed := strings.TrimRight(name, " ")
		if len(trimmed) < len(name) && (strings.EqualFold(trimmed, "Content-Length") || strings.EqualFold(trimmed, "Transfer-Encoding")) {
			return true
		}
	}
	return false
}
