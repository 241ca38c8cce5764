package proxy

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// availableVersions returns the candidates outside the evacuated zones by version.
// Versions without any are left out.
func availableVersions(versions map[string][]*route.Candidate, evacuated map[string]bool) map[string][]*route.Candidate {
	if len(evacuated) == 0 {
		return versions
	}
	zones := slices.Collect(maps.Keys(evacuated))
	available := make(map[string][]*route.Candidate, len(versions))
	for version, candidates := range versions {
		if outside := route.Outside(candidates, zones); len(outside) > 0 {
			available[version] = outside
		}
	}
	return available
}

// applyEvacuations refuses the calls that wait for the local target if its zone is
// evacuated, and logs a change of the evacuated zones. It is called after the table is in
// force. A call that is queued later is refused before it is sent to the target.
func (p *Proxy) applyEvacuations(now time.Time, before map[string]bool, next *table, evacuations []hornbeamwell.Evacuation) {
	local := p.local.Load()
	isLocal := local != nil && next.Evacuated[local.Zone]
	if isLocal {
		local.refuseWaiting()
	}
	if maps.Equal(before, next.Evacuated) {
		return
	}
	evacuationChanges.Inc()
	var latest time.Duration
	if len(evacuations) > 0 {
		newest := slices.MaxFunc(evacuations, func(a, b hornbeamwell.Evacuation) int { return a.StartedAt.Compare(b.StartedAt) })
		latest = now.Sub(newest.StartedAt)
	}
	_ = p.options.Logger.Log("event", "evacuations_applied", "version", uint64(next.Version),
		"zones", formatZones(next.Evacuated), "before", formatZones(before), "latest_start_age_ms", latest.Milliseconds(),
		"own_target", isLocal)
}

// formatZones returns the zones in a fixed order.
func formatZones(zones map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(zones)), ",")
}

// isEvacuated reports whether the zone of the local target is evacuated.
func (p *Proxy) isEvacuated(target *localTarget) bool { return p.table.Load().Evacuated[target.Zone] }

// refuseEvacuated refuses a call that has not been sent to the local target if the
// target's zone is evacuated.
func (p *Proxy) refuseEvacuated(target *localTarget) *refusal {
	if !p.isEvacuated(target) {
		return nil
	}
	return evacuatedRefusal()
}

// evacuatedRefusal returns the refusal of an exit whose target is in an evacuated zone,
// and counts it.
func evacuatedRefusal() *refusal {
	exitEvacuated.Inc()
	return notRun(http.StatusServiceUnavailable, ReasonEvacuated, defaultRetryAfter)
}

// acquireSlot waits for a slot of the local target, unless the run of the call would
// probably be in vain. A call that an evacuation removed from the queue has the reason of
// its own, so that its entry avoids the zone.
func (p *Proxy) acquireSlot(ctx context.Context, now time.Time, call *exitCall) *refusal {
	if p.attemptRecords.stateOf(call.attempt) == attemptWithdrawn {
		return withdrawnRefusal()
	}
	if refused := p.refuseInVain(now, call); refused != nil {
		return refused
	}
	refused := call.local.gate.acquire(ctx, now, &call.waiter)
	if refused == nil {
		return nil
	}
	if evacuated := p.refuseEvacuated(call.local); evacuated != nil {
		return evacuated
	}
	if p.attemptRecords.stateOf(call.attempt) == attemptWithdrawn {
		return withdrawnRefusal()
	}
	return refused
}

// refreshEvacuations replaces the service state of a call that is to be sent again,
// where an evacuation came into force after the previous attempt was chosen. A service
// that no longer exists keeps its state without any target.
func (p *Proxy) refreshEvacuations(call *entryCall) {
	current := p.table.Load()
	if call.attempts == 0 || len(current.Evacuated) == 0 {
		return
	}
	if service := current.services[call.service.Name]; service != nil {
		call.service = service
		return
	}
	call.evacuated = slices.AppendSeq(call.evacuated, maps.Keys(current.Evacuated))
}

// mayTryAgain reports whether the call may be sent to a target again. A refreshed service may
// have lost the target.
func (p *Proxy) mayTryAgain(call *entryCall, target *route.Candidate) bool {
	return call.service.upstreams[target.ID] != nil && !target.IsLeaving() && !p.table.Load().Evacuated[target.Zone] && !slices.Contains(call.evacuated, target.Zone)
}

// outsideEvacuated returns the candidates outside the zones whose exits refused the
// call because of an evacuation.
func (c *entryCall) outsideEvacuated(candidates []*route.Candidate) []*route.Candidate {
	if len(c.evacuated) == 0 {
		return candidates
	}
	return route.Outside(candidates, c.evacuated)
}
