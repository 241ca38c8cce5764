package proxy

import (
	"net/http"
	"time"
)

// setSendByHeader tells the exit proxy that this proxy stops.
func (p *Proxy) setSendByHeader(now time.Time, h http.Header) {
	delete(h, headerSendBy)
	if schedule := p.stopping.schedule.Load(); schedule != nil {
		h[headerSendBy] = []string{formatDuration(schedule.SendBy().Sub(now))}
	}
}
