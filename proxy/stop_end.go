package proxy

import (
	"net/http"
	"time"
)

// responseEnd returns the end of the responses to calls with the given deadline.
func (p *Proxy) responseEnd(deadline time.Time) responseEnd {
	return func() (time.Time, bool) {
		if schedule := p.stopping.schedule.Load(); schedule != nil && schedule.SendBy().Before(deadline) {
			return schedule.SendBy(), true
		}
		return deadline, false
	}
}

// exitEnd returns the end of the response to the call: that of the call itself, or of a
// stop of this proxy or of the entry proxy.
func (p *Proxy) exitEnd(call *exitCall) responseEnd {
	own := p.responseEnd(call.waiter.Deadline)
	return func() (time.Time, bool) {
		end, isStop := own()
		if nanos := call.sendBy.Load(); nanos != 0 && !time.Unix(0, nanos).After(end) {
			return time.Unix(0, nanos), true
		}
		return end, isStop
	}
}

// setSendBy records that the entry proxy stops.
func (c *exitCall) setSendBy(at time.Time) { c.sendBy.Store(at.UnixNano()) }

// setSendByHeader tells the exit proxy that this proxy stops.
func (p *Proxy) setSendByHeader(now time.Time, h http.Header) {
	delete(h, headerSendBy)
	if schedule := p.stopping.schedule.Load(); schedule != nil {
		h[headerSendBy] = []string{formatDuration(schedule.SendBy().Sub(now))}
	}
}
