package proxy

import (
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// evidence counts the attempts at the targets of a service during a move. It
// exists from the first table of the move to the last.
type evidence struct {
	moveID string
	mu     sync.Mutex
	// observations holds the counts since the last TakeEvidence.
	observations map[hornbeamwell.EvidenceKey]*hornbeamwell.Observation
	breaker      route.Breaker
}

// evidenceFor returns the evidence of the service's move, nil outside a move.
// It keeps the counts as long as the move is the same.
func evidenceFor(before *serviceState, service *route.Service) *evidence {
	if service.Move == nil {
		return nil
	}
	var e *evidence
	if before != nil && before.evidence != nil && before.evidence.moveID == service.Move.ID {
		e = before.evidence
	} else {
		e = &evidence{
			moveID:       service.Move.ID,
			observations: make(map[hornbeamwell.EvidenceKey]*hornbeamwell.Observation),
		}
	}
	e.mu.Lock()
	e.breaker.SetStep(service.Move.Step)
	e.mu.Unlock()
	return e
}

// sample is the result of one attempt.
type sample struct {
	key     hornbeamwell.EvidenceKey
	latency time.Duration
	failed  bool
	cold    bool
	// isCanary is true for a call to the version that the move introduces.
	isCanary bool
}

func (e *evidence) add(now time.Time, s sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.observations[s.key]
	if o == nil {
		o = &hornbeamwell.Observation{Key: s.key}
		e.observations[s.key] = o
	}
	if s.cold {
		o.ColdCalls++
	} else {
		o.Calls++
	}
	switch {
	case s.cold:
	case s.failed:
		o.Failures++
	default:
		o.Latency.Add(s.latency)
	}
	if e.breaker.Report(now, s.key.Route, s.isCanary, s.failed) {
		breakerTrips.Inc()
	}
}

// allowsCanary reports whether the canary version may receive calls, judging by
// the calls of this proxy.
func (e *evidence) allowsCanary() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.breaker.IsOpen()
}

// TakeEvidence returns the calls counted since the last TakeEvidence, for the
// services with an open move.
func (p *Proxy) TakeEvidence(_ time.Time) []hornbeamwell.Observation {
	var taken []hornbeamwell.Observation
	for _, service := range p.table.Load().services {
		if service.evidence == nil {
			continue
		}
		taken = service.evidence.take(taken)
	}
	return taken
}

func (e *evidence) take(taken []hornbeamwell.Observation) []hornbeamwell.Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.observations {
		taken = append(taken, *o)
	}
	clear(e.observations)
	return taken
}
