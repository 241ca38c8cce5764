package proxy

import (
	"context"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// maxStoredBody bounds the body of a response that is stored for resends.
const maxStoredBody = 16 << 10

// serveKeyed serves a call that runs at most once.
func (p *Proxy) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, call *exitCall) {
	body, err := readBody(r, unboundedBody)
	if err != nil {
		p.refuseAtExit(w, call.id, unknownOutcome(http.StatusBadRequest, ReasonBadRequest, 0))
		return
	}
	id := route.RecordID{Route: call.route, Key: call.key}
	fingerprint := keyFingerprint(r, body, call.team())
	for {
		// The evacuation may end between the claim and the refusal.
		isEvacuated := p.isEvacuated(call.local)
		record, claim := p.keys.findOrClaim(p.options.Now(), id, fingerprint, call.local.ID, !p.isDraining(call.local) && !isEvacuated)
		if claim != nil {
			p.serveClaim(ctx, w, r, &keyedCall{exitCall: call, recordID: id, claimedRecord: claim, body: body})
			return
		}
		if record == nil && isEvacuated {
			p.refuseAtExit(w, call.id, evacuatedRefusal())
			return
		}
		if record == nil && p.isDraining(call.local) {
			p.refuseAtExit(w, call.id, notRun(http.StatusServiceUnavailable, ReasonDraining, defaultRetryAfter))
			return
		}
		if record == nil {
			p.refuseAtExit(w, call.id, unknownOutcome(http.StatusServiceUnavailable, ReasonKeyUnprovable, defaultRetryAfter))
			return
		}
		current := p.keys.snapshot(record)
		if current.Fingerprint != fingerprint {
			p.refuseAtExit(w, call.id, unknownOutcome(http.StatusUnprocessableEntity, ReasonKeyMismatch, 0))
			return
		}
		// The run of the key that is replayed or awaited counts as one of this attempt.
		if !p.attemptRecords.handOver(call.attempt) {
			p.refuseAtExit(w, call.id, withdrawnRefusal())
			return
		}
		if current.State == route.RecordFinished || current.State == route.RecordUnknown {
			p.replay(w, call, &current)
			return
		}
		select {
		case <-ctx.Done():
			p.refuseAtExit(w, call.id, unknownOutcome(http.StatusGatewayTimeout, ReasonTimeout, defaultRetryAfter))
			return
		case <-current.Ended:
		}
	}
}

// unboundedBody is the body limit of the exit proxy. The entry proxy applies
// the limit of the route.
const unboundedBody = 1 << 62

// keyedCall is a call whose key this proxy claims.
type keyedCall struct {
	*exitCall
	*claimedRecord
	recordID route.RecordID
	body     *requestBody
}

// serveClaim asks the other holders to hold the claim and runs the call if their
// replies permit it.
func (p *Proxy) serveClaim(ctx context.Context, w http.ResponseWriter, r *http.Request, call *keyedCall) {
	// The run continues if the entry proxy disconnects, so that a resend gets
	// its response. The timeout of the call starts again here.
	call.pending.end()
	ctx, pending := p.beginPending(context.WithoutCancel(ctx), p.options.Now(), exitSide, call.route)
	defer pending.release()
	call.pending = pending
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	refused := p.decideClaim(ctx, call)
	if refused == nil {
		refused = p.acquireSlot(ctx, p.options.Now(), call.exitCall)
		if refused != nil {
			refused.keyProved = true
			p.keys.update(func(records *route.Records) { records.Remove(call.recordID, call.record) })
		}
	}
	if refused != nil {
		p.refuseAtExit(w, call.id, refused)
		return
	}
	p.runKeyed(ctx, w, r, call)
}

// decideClaim returns nil if the call provably did not run and may run here.
func (p *Proxy) decideClaim(ctx context.Context, call *keyedCall) *refusal {
	claim := route.Claim{
		Self:              call.local.ID,
		HasPartialHistory: p.keys.isHistoryPartial(p.options.Now()),
		Zone:              call.local.Zone,
		RecordAge:         p.keys.recordsAge(p.options.Now()),
		PreviousHolder:    call.previousHolder,
		Witnesses:         call.Witnesses,
		HolderCount:       call.Count,
		IsSpread:          call.IsSpread,
		Replies:           p.requestHolds(ctx, call.recordID, call.local.ID, call.Peers),
	}
	now := p.options.Now()
	claim.PreviousClaimAge = now.Sub(call.previousClaimAt)
	verdict, holder := claim.Decide()
	p.keys.mu.Lock()
	defer p.keys.mu.Unlock()
	switch verdict {
	case route.ClaimRun:
		return nil
	case route.ClaimElsewhere:
		p.keys.records.Redirect(now, call.recordID, call.record, holder)
		refused := unknownOutcome(http.StatusServiceUnavailable, ReasonMoved, defaultRetryAfter)
		refused.holder = holder
		return refused
	case route.ClaimNotRun:
		p.keys.records.Remove(call.recordID, call.record)
		refused := notRun(http.StatusServiceUnavailable, ReasonNoTarget, defaultRetryAfter)
		refused.keyProved = true
		return refused
	default:
		keysUnprovable.Inc()
		p.keys.records.MarkUnknown(now, call.record)
		return unknownOutcome(http.StatusServiceUnavailable, ReasonKeyUnprovable, 0)
	}
}

// runKeyed runs an admitted call and stores its response.
func (p *Proxy) runKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, call *keyedCall) {
	exitAdmitted.Inc()
	started := p.options.Now()
	p.keys.update(func(records *route.Records) { records.Start(started, call.record) })
	body, _ := call.body.next()
	// net/http looks at the body of the original request before it writes the response.
	r = r.WithContext(ctx)
	r.Body = body
	run := p.forward(ctx, r, call.exitCall, started)
	run.endPending(call.pending)
	stored := p.recordEnd(call, run)
	now := p.options.Now()
	call.local.gate.release(now, &call.waiter, now.Sub(started), run.isShed())
	p.nested.recordRun(started, now, call.exitCall, run)
	switch {
	case run.refused != nil:
		run.refused.keyProved = run.refused.outcome == route.OutcomeNotRun
		p.refuseAtExit(w, call.id, run.refused)
	case stored != nil:
		run.response.release()
		run.connection.finish(now)
		p.writeStored(w, call.exitCall, stored)
	default:
		p.forwardResponse(ctx, w, call.exitCall, run)
	}
}

// recordEnd records how the run ended. It returns the copy of the response that
// storeResponse made, nil if there is none.
func (p *Proxy) recordEnd(call *keyedCall, run *exitRun) *route.StoredResponse {
	now := p.options.Now()
	var stored *route.StoredResponse
	if run.refused == nil {
		stored = storeResponse(run.response)
	}
	p.keys.update(func(records *route.Records) {
		switch {
		case run.refused == nil:
			records.Finish(now, call.record, stored)
		case run.refused.outcome == route.OutcomeNotRun:
			records.Remove(call.recordID, call.record)
		default:
			records.MarkUnknown(now, call.record)
		}
	})
	return stored
}

// storeResponse copies a small complete response. It returns nil for any other.
func storeResponse(response *targetResponse) *route.StoredResponse {
	if !response.complete || response.buffered > maxStoredBody {
		return nil
	}
	dropHopHeaders(response.Header)
	dropOwnHeaders(response.Header)
	stored := &route.StoredResponse{Status: response.StatusCode, Header: response.Header}
	if response.buffered > 0 {
		stored.Body = append(stored.Body, response.buffer[:response.buffered]...)
	}
	return stored
}

// replay answers a resend with the result of the first run.
func (p *Proxy) replay(w http.ResponseWriter, call *exitCall, record *route.Record) {
	switch {
	case record.State == route.RecordUnknown:
		p.refuseAtExit(w, call.id, unknownOutcome(http.StatusConflict, ReasonKeyUnprovable, 0))
	case record.Response == nil:
		p.refuseAtExit(w, call.id, &refusal{status: http.StatusConflict, outcome: route.OutcomeRan, reason: ReasonResponseNotKept})
	default:
		keysReplayed.Inc()
		p.writeStored(w, call, record.Response)
	}
}

// writeStored sends a stored response to the entry proxy.
func (p *Proxy) writeStored(w http.ResponseWriter, call *exitCall, stored *route.StoredResponse) {
	h := w.Header()
	for name, values := range stored.Header {
		h[name] = values
	}
	h[headerCall] = []string{call.ranReply()}
	setStatementHeaders(p.options.Now(), h, call.local)
	w.WriteHeader(stored.Status)
	// Errors are ignored: a resend gets the response if the record has it.
	_, _ = w.Write(stored.Body)
}

// keyFingerprint returns a digest of the method, the path, the query, a small body and
// the caller's team, so that no team gets the response to another one.
func keyFingerprint(r *http.Request, body *requestBody, team string) uint64 {
	digest := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = io.WriteString(digest, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = digest.Write(body.buffered)
	if team != "" {
		_, _ = io.WriteString(digest, "\n"+team)
	}
	return digest.Sum64()
}
