package delivery

import (
	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// maxEvidenceKeys limits the distinct observation keys that wait to be sent to
// the leader.
const maxEvidenceKeys = 20_000

// outbox collects a source's messages for the leader. It keeps only the newest
// record of each target and proxy and the sum of the observations of each key,
// so that its memory is bounded while the leader is slow.
type outbox struct {
	announced, lost map[string]hornbeamwell.Target
	proxies         map[string]wire.ReportedProxy
	report          *wire.Report
	evidence        map[hornbeamwell.EvidenceKey]*hornbeamwell.Observation
}

func newOutbox() outbox {
	return outbox{
		announced: map[string]hornbeamwell.Target{},
		lost:      map[string]hornbeamwell.Target{},
		proxies:   map[string]wire.ReportedProxy{},
		evidence:  map[hornbeamwell.EvidenceKey]*hornbeamwell.Observation{},
	}
}

// resetForNewSession drops the messages for the previous session, except for
// observations.
func (o *outbox) resetForNewSession() {
	clear(o.announced)
	clear(o.lost)
	clear(o.proxies)
	o.report = nil
}

func (o *outbox) addTargets(announced, lost []hornbeamwell.Target) {
	for _, t := range announced {
		o.announced[t.ID] = t
		delete(o.lost, t.ID)
	}
	for _, t := range lost {
		o.lost[t.ID] = t
		delete(o.announced, t.ID)
	}
}

// setReport replaces the pending report. It keeps the unsent changes of the
// previous one unless the new report is full.
func (o *outbox) setReport(report wire.Report) {
	if report.Full {
		clear(o.proxies)
	} else if o.report != nil {
		report.Full = o.report.Full
	}
	for _, p := range report.Changes {
		o.proxies[p.ID] = p
	}
	report.Changes = nil
	o.report = &report
}

// addEvidence adds the observations to the sums by key.
func (o *outbox) addEvidence(observations []hornbeamwell.Observation) {
	for i := range observations {
		observation := observations[i]
		sum, found := o.evidence[observation.Key]
		if !found && len(o.evidence) >= maxEvidenceKeys {
			evidenceDropped.Inc()
			continue
		}
		if !found {
			o.evidence[observation.Key] = &observation
			continue
		}
		sum.Calls += observation.Calls
		sum.Failures += observation.Failures
		sum.ColdCalls += observation.ColdCalls
		sum.Latency.Merge(&observation.Latency)
	}
}

// hasPending reports whether there is a message to send, other than
// observations.
func (o *outbox) hasPending() bool {
	return o.report != nil || len(o.announced) > 0 || len(o.lost) > 0
}

// take returns the messages to send and empties the outbox.
func (o *outbox) take() []notification {
	var out []notification
	if len(o.announced) > 0 {
		out = append(out, notification{wire.MethodAnnounce, wire.Announce{Targets: takeTargets(o.announced)}})
	}
	if len(o.lost) > 0 {
		out = append(out, notification{wire.MethodLost, wire.LostTargets{Targets: takeTargets(o.lost)}})
	}
	if o.report != nil {
		for _, p := range o.proxies {
			o.report.Changes = append(o.report.Changes, p)
		}
		clear(o.proxies)
		out = append(out, notification{wire.MethodReport, *o.report})
		o.report = nil
	}
	if len(o.evidence) > 0 {
		out = append(out, notification{wire.MethodEvidence, wire.Evidence{Observations: o.takeEvidence()}})
	}
	return out
}

func takeTargets(pending map[string]hornbeamwell.Target) []wire.Target {
	targets := make([]wire.Target, 0, len(pending))
	for _, t := range pending {
		targets = append(targets, wire.FromTarget(t))
	}
	clear(pending)
	return targets
}

func (o *outbox) takeEvidence() []wire.Observation {
	observations := make([]wire.Observation, 0, len(o.evidence))
	for _, observation := range o.evidence {
		observations = append(observations, wire.FromObservation(*observation))
	}
	clear(o.evidence)
	return observations
}
