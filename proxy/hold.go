package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// The values of the hold header in a reply.
const (
	holdHeld  = "held"
	holdTaken = "taken"
)

// holdTimeout bounds the wait for the proxies that are asked to hold a claim.
const holdTimeout = 500 * time.Millisecond

// serveHold replies to another proxy that claims a key.
func (p *Proxy) serveHold(w http.ResponseWriter, r *http.Request) {
	now := p.options.Now()
	local := p.local.Load()
	if local == nil || local.ID != r.Header.Get(headerTarget) {
		p.refuseAtExit(w, "", notRun(http.StatusServiceUnavailable, ReasonWrongTarget, 0))
		return
	}
	claimant := r.Header.Get(headerHold)
	id := route.RecordID{Route: r.Header.Get(headerRoute), Key: r.Header.Get(headerKey)}
	if len(id.Key) > maxKeyLength || !areNames(id.Route, claimant) {
		p.refuseAtExit(w, "", notRun(http.StatusBadRequest, ReasonBadRequest, 0))
		return
	}
	p.keys.mu.Lock()
	if p.keys.closed {
		p.keys.mu.Unlock()
		p.refuseAtExit(w, "", notRun(http.StatusServiceUnavailable, ReasonDraining, 0))
		return
	}
	record, repeated, isRoom := p.keys.hold(now, id, claimant)
	if !isRoom {
		p.keys.mu.Unlock()
		p.refuseAtExit(w, "", notRun(http.StatusServiceUnavailable, ReasonMemory, defaultRetryAfter))
		return
	}
	members, isSpread := p.keys.history.Members(now, id.Key, local.ID)
	knownFor, known := p.keys.history.KnownFor(now, claimant)
	isPartial := p.keys.isHistoryPartial(now)
	p.keys.mu.Unlock()
	h := w.Header()
	h[headerMemory] = []string{formatDuration(p.keys.recordsAge(now))}
	h[headerMembers] = members
	if isPartial {
		h[headerYoung] = valueTrue
	}
	if isSpread {
		h[headerSpread] = valueTrue
	}
	if known {
		h[headerKnows] = []string{formatDuration(knownFor)}
	}
	switch {
	case record.State != route.RecordHeld:
		h[headerHold] = []string{holdTaken}
		h[headerHolder] = []string{local.ID}
	case record.Holder != claimant:
		h[headerHold] = []string{holdTaken}
		h[headerHolder] = []string{record.Holder}
	default:
		h[headerHold] = []string{holdHeld}
		if repeated {
			h[headerEarlier] = []string{formatDuration(now.Sub(record.First))}
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// requestHolds asks the proxies beside the targets to hold the claim.
func (p *Proxy) requestHolds(ctx context.Context, id route.RecordID, self string, peers []hornbeamwell.Target) []route.HoldReply {
	if len(peers) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	replies := make([]route.HoldReply, len(peers))
	done := make(chan struct{}, len(peers))
	for i := range peers[1:] {
		go func() {
			replies[i+1] = p.requestHold(ctx, id, self, peers[i+1])
			done <- struct{}{}
		}()
	}
	replies[0] = p.requestHold(ctx, id, self, peers[0])
	for range peers[1:] {
		<-done
	}
	return replies
}

// requestHold asks one proxy to hold the claim. Without a valid reply the
// status is HoldNoReply.
func (p *Proxy) requestHold(ctx context.Context, id route.RecordID, self string, target hornbeamwell.Target) route.HoldReply {
	reply := route.HoldReply{Target: target.ID, Zone: target.Zone, FirstClaimAge: -1, KnownFor: -1}
	peer := p.peers.get(target.Exit)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.pool.address+"/", nil)
	if err != nil {
		return reply
	}
	request.Header[headerHold] = []string{self}
	request.Header[headerTarget] = []string{target.ID}
	request.Header[headerRoute] = []string{id.Route}
	request.Header[headerKey] = []string{id.Key}
	response, err := peer.exchange(ctx, p.options.Now, request)
	if err != nil {
		return reply
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return readHoldReply(reply, response.Header)
}

func readHoldReply(reply route.HoldReply, h http.Header) route.HoldReply {
	recordAge, valid := parseDuration(h.Get(headerMemory))
	if !valid {
		return reply
	}
	reply.RecordAge = recordAge
	reply.Members = h[headerMembers]
	reply.HasPartialHistory = headerValue(h, headerYoung) != ""
	reply.IsSpread = headerValue(h, headerSpread) != ""
	if knownFor, valid := parseDuration(h.Get(headerKnows)); valid {
		reply.KnownFor = knownFor
	}
	switch h.Get(headerHold) {
	case holdTaken:
		reply.Status = route.HoldConflict
		reply.Holder = h.Get(headerHolder)
	case holdHeld:
		reply.Status = route.HoldAccepted
		if firstClaimAge, repeated := parseDuration(h.Get(headerEarlier)); repeated {
			reply.FirstClaimAge = firstClaimAge
		}
	}
	return reply
}
