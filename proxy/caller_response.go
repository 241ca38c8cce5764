package proxy

import (
	"context"
	"net/http"
)

// prepareResponse returns once the first byte of the response may be written, or the
// refusal that replaces it.
func (p *Proxy) prepareResponse(ctx context.Context, call *entryCall, pending *pendingCall, response *targetResponse) *refusal {
	refused := pending.claim(response)
	if refused == nil {
		if err := response.waitForLink(ctx, p.link, call.rule.Name, p.options.Now, p.responseEnd(call.deadline)); err != nil {
			p.countCut(ctx, entrySide, err)
			refused = lostExchange(ctx, err)
			refused.err = err
		}
	}
	if refused != nil {
		response.release()
		call.mayHaveRun = true
	}
	return refused
}

// respondToCaller writes the response to the caller. A truncated response
// aborts the connection, so that the caller can't mistake it for a complete
// one.
func (p *Proxy) respondToCaller(ctx context.Context, w http.ResponseWriter, r *http.Request, call *entryCall, response *targetResponse) {
	defer response.release()
	dropHopHeaders(response.Header)
	dropOwnHeaders(response.Header)
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	w.WriteHeader(response.StatusCode)
	p.link.RecordSize(call.rule.Name, response.ContentLength)
	endsWithConnection := !response.complete && response.ContentLength < 0
	if endsWithConnection {
		// An end of this process within the body resets the connection too.
		setReset(r, true)
	}
	written, err := response.copyTo(ctx, w, p.link, p.options.Now)
	var cause cutCause
	if err != nil {
		cause = p.countCut(ctx, entrySide, err)
	}
	p.logResponse(p.options.Now(), call, response, written, cause, err)
	if err != nil {
		responsesTruncated.Inc()
		abortResponse(r)
	}
	if endsWithConnection {
		setReset(r, false)
	}
	response.recordSize(p.link, call.rule.Name, written)
	response.copyTrailers(h)
}

// abortResponse ends the connection of the caller, or its HTTP/2 stream, within a response.
func abortResponse(r *http.Request) {
	setReset(r, true)
	panic(http.ErrAbortHandler)
}

// defaultLinger makes the close of a connection send what is queued, in the background.
const defaultLinger = -1

// setReset sets whether the close of the connection of an HTTP/1.0 caller resets it. To such a
// caller an orderly end is that of a body without a length.
func setReset(r *http.Request, isReset bool) {
	connection, canReset := r.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	if !canReset || r.ProtoAtLeast(1, 1) {
		return
	}
	linger := defaultLinger
	if isReset {
		linger = 0
	}
	// This fails only if the connection is closed.
	_ = connection.SetLinger(linger)
}
