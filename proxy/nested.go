package proxy

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// nestedCalls relates the calls that the local target makes while it runs calls to the
// ends of these. It is safe for concurrent use.
type nestedCalls struct {
	// isActive is true where the target states its pace or the configuration has teams.
	isActive atomic.Bool
	// refusedAt is the time, in Unix nanoseconds, at which a call from the target's
	// machine was last refused, 0 before the first.
	refusedAt atomic.Int64
	mu        sync.Mutex
	shortage  route.NestedShortage
}

// reportRefused records that a call that entered here was refused. Whether the target
// itself made it is not known: its callers may run on the same machine.
func (n *nestedCalls) reportRefused(now time.Time, r *http.Request, local *localTarget, refused *refusal) {
	if local == nil || !n.isActive.Load() || refused.outcome != route.OutcomeNotRun || refused.status != http.StatusServiceUnavailable {
		return
	}
	from, err := netip.ParseAddr(callerAddress(r))
	if err != nil || !from.IsLoopback() && from.Unmap() != local.address.Addr().Unmap() {
		return
	}
	n.refusedAt.Store(now.UnixNano())
}

// recordRun records the end of a run. It was in vain if it failed and a call from the
// target's machine was refused meanwhile. Both are required, because other callers'
// calls are refused too, and because a target may do without the response.
func (n *nestedCalls) recordRun(started, now time.Time, call *exitCall, run *exitRun) {
	if !n.isActive.Load() || run.refused != nil {
		return
	}
	inVain := run.status() >= http.StatusInternalServerError && n.refusedAt.Load() >= started.UnixNano()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shortage.Record(now, call.route, inVain)
}

// refuse refuses a call whose run would probably be in vain.
func (n *nestedCalls) refuse(now time.Time, call *exitCall, random route.Random) *refusal {
	if !n.isActive.Load() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	call.inVainShare = n.shortage.Share(now, call.route)
	if n.shortage.Admits(call.inVainShare, random) {
		return nil
	}
	nestedRefused.Inc()
	return notRun(http.StatusServiceUnavailable, ReasonNestedRefused, max(n.shortage.RetryAfter(call.inVainShare), minRetryAfter))
}

// isCanary reports whether the target has the canary version of a move.
func (p *Proxy) isCanary(target *localTarget) bool {
	service := p.table.Load().services[target.Service]
	return service != nil && service.Canary() != "" && service.Canary() == target.Version
}

// refuseInVain refuses a call whose run would probably be in vain. The calls of a canary
// are not refused for that, because its failures are evidence against its move.
func (p *Proxy) refuseInVain(now time.Time, call *exitCall) *refusal {
	if p.isCanary(call.local) {
		return nil
	}
	return p.nested.refuse(now, call, p.options.Rand)
}
