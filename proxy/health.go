package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// healthTimeout bounds a health request. A target answers in about a millisecond.
	healthTimeout = 500 * time.Millisecond
	// maxHealthBytes bounds how much of the body of a health response is read.
	maxHealthBytes = 4 << 10
	// maxStatus is the highest valid status of HTTP.
	maxStatus = 599
)

// errInvalidStatus means that a response has a status that HTTP does not define, so that
// nothing in it can be relied on.
var errInvalidStatus = errors.New("the response has an invalid status")

// newHealthClient returns the client for health requests. They are rare, so that no
// connection is kept.
func newHealthClient() *http.Client {
	return &http.Client{
		Timeout: healthTimeout,
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: loopbackDialTimeout}).DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// askHealthIfDue sends a health request to the target beside this proxy if one is due, and
// schedules the next one. It does not wait for the response.
func (p *Proxy) askHealthIfDue() {
	local := p.local.Load()
	codec, hasCodec := p.options.HeaderCodec.(hornbeamwell.HealthCodec)
	if local == nil || !hasCodec || local.State != hornbeamwell.TargetReady {
		return
	}
	now := p.options.Now()
	local.gate.mu.Lock()
	defer local.gate.mu.Unlock()
	cold := &local.gate.cold
	if cold.healthPath == "" || cold.isAsking {
		return
	}
	if cold.state.TakeHealthRequest(now) {
		cold.isAsking = true
		go p.askHealth(codec, local, cold.healthPath)
		return
	}
	at, isNeeded := cold.state.NextHealthRequest()
	if !isNeeded || !cold.healthAt.IsZero() && !at.Before(cold.healthAt) {
		return
	}
	cold.healthAt = at
	time.AfterFunc(at.Sub(now), func() { p.healthTimerFired(local.gate) })
}

func (p *Proxy) healthTimerFired(g *gate) {
	g.mu.Lock()
	g.cold.healthAt = time.Time{}
	g.mu.Unlock()
	p.askHealthIfDue()
}

// askHealth asks the target how long it will still be cold. An error changes nothing, so
// that a target that is assumed to be cold stays so.
func (p *Proxy) askHealth(codec hornbeamwell.HealthCodec, local *localTarget, path string) {
	sent := p.options.Now()
	healthRequests.Inc()
	metadata, status, err := p.requestHealth(codec, local, path)
	now := p.options.Now()
	elapsed := now.Sub(sent).Milliseconds()
	isAccepted := false
	p.changeCold(now, local, func(c *coldTarget) {
		c.isAsking = false
		if metadata.HasColdRemaining && p.isCurrent(local) {
			isAccepted = c.state.Health(now, sent, metadata.ColdRemaining)
		}
	}, "stated_ms", metadata.ColdRemaining.Milliseconds(), "age_ms", elapsed)
	if !isAccepted {
		healthRequestsFailed.Inc()
	}
	p.logCall(now, false, "event", "health_answered", "target", local.Name, "incarnation", local.Incarnation, "accepted", isAccepted,
		"status", status, "has_cold", metadata.HasColdRemaining, "cold_ms", metadata.ColdRemaining.Milliseconds(), "ms", elapsed, "err", err)
	p.askHealthIfDue()
}

// isCurrent reports whether the incarnation of the target is the present one.
func (p *Proxy) isCurrent(local *localTarget) bool {
	current := p.local.Load()
	return current != nil && current.gate == local.gate && current.Incarnation == local.Incarnation
}

func (p *Proxy) requestHealth(codec hornbeamwell.HealthCodec, local *localTarget, path string) (metadata hornbeamwell.HealthMetadata, status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+local.address.String()+path, http.NoBody)
	if err != nil {
		return metadata, 0, fmt.Errorf("create health request: %w", err)
	}
	keepUserAgent(request.Header)
	response, err := p.healthClient.Do(request)
	if err != nil {
		return metadata, 0, fmt.Errorf("send health request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.CopyN(io.Discard, response.Body, maxHealthBytes)
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return metadata, response.StatusCode, errInvalidStatus
	}
	return codec.ReadHealth(response.StatusCode, response.Header), response.StatusCode, nil
}

// targetColdChanges returns the counter of the changes of the cold state by their source.
func targetColdChanges(source route.ColdSource) interface{ Inc() } {
	switch source {
	case route.ColdFromStart:
		return coldChangesStart
	case route.ColdFromHeartbeat:
		return coldChangesHeartbeat
	case route.ColdFromHealth:
		return coldChangesHealth
	default:
		return coldChangesEvacuation
	}
}
