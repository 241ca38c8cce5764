package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

// epoch is the start time of every simulated move.
var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// overtime is the longest simulated time after the deadline.
const overtime = 10 * time.Minute

// Outcome is the result of one simulated move.
type Outcome struct {
	Move hornbeamwell.Move
	// Harmed counts the calls that failed or were slow because of the fault.
	Harmed uint64
	// FirstHarmAt is the time after the start at which the fault first harmed a
	// call, zero if it never did.
	FirstHarmAt time.Duration
	// TakenBackAt is the time from the start of the move to the decision that
	// lowered the share to zero. It is zero if there was none.
	TakenBackAt time.Duration
	// Shares holds the decided share at the end of each window.
	Shares []hornbeamwell.Share
	// HarmedByWindow holds the number of harmed calls of each window.
	HarmedByWindow []uint64
}

// RunCase simulates a case with a policy.
func RunCase(policy move.Policy, c Case) Outcome {
	return run(&policyDecider{policy: policy}, &c)
}

// RunCaseBaseline simulates a case with the baseline.
func RunCaseBaseline(c Case) Outcome {
	return run(&baselineDecider{}, &c)
}

func run(d decider, c *Case) Outcome {
	r := &caseRun{c: c, calls: newCallGenerator(c), decider: d, targets: newTargetModel(c), breaker: breaker{proxies: c.Proxies}}
	r.outcome.Move = hornbeamwell.Move{
		ID: "trial", Service: c.Service.Name, From: oldVersion, To: newVersion,
		AcceptedAt: epoch, Deadline: epoch.Add(c.Deadline), Hold: c.Hold,
		Prefer: c.Prefer, Phase: hornbeamwell.PhaseAccepted, Step: 1, StageAt: epoch,
	}
	for after := time.Duration(0); after < c.Deadline+overtime; after += window {
		if r.outcome.Move.Phase.IsFinal() && r.shareInForce(after) == r.outcome.Move.Share {
			break
		}
		r.runWindow(after)
	}
	return r.outcome
}

// caseRun is the state of one simulated move.
type caseRun struct {
	c       *Case
	calls   *callGenerator
	decider decider
	targets *targetModel
	breaker breaker
	// breakerResetAt is the time at which the last step comes into force.
	breakerResetAt time.Duration
	outcome        Outcome
}

func (r *caseRun) runWindow(after time.Duration) {
	if after == r.breakerResetAt {
		r.breaker.reset()
	}
	t := r.split(after)
	t.share = r.breaker.limit(t.share)
	out := r.calls.draw(t)
	r.breaker.observe(out.observations)
	r.outcome.Harmed += out.harmed
	if out.harmed > 0 && r.outcome.FirstHarmAt == 0 {
		r.outcome.FirstHarmAt = after
	}
	r.outcome.HarmedByWindow = append(r.outcome.HarmedByWindow, out.harmed)
	r.targets.step(after)
	if !r.isControlDown(after) {
		r.decide(after+window, out.observations)
	}
	r.outcome.Shares = append(r.outcome.Shares, r.outcome.Move.Share)
}

func (r *caseRun) decide(after time.Duration, seen []hornbeamwell.Observation) {
	now := epoch.Add(after)
	m := r.outcome.Move
	mesh := r.targets.meshState(now)
	mesh.InForce = r.shareInForce(after) == m.Share
	if r.split(after).disconnected > 0 {
		mesh.SilentCount = 1
	}
	next := r.decider.decide(now, m, seen, mesh)
	if next.Step != m.Step {
		r.breakerResetAt = after + r.c.PropagationDelay
	}
	if next.Share == 0 && m.Share > 0 {
		r.outcome.TakenBackAt = after
	}
	r.outcome.Move = next
}

// isControlDown reports whether a disturbance stops the decisions. It discards the
// evidence during a change of leader.
func (r *caseRun) isControlDown(after time.Duration) bool {
	down := false
	for i := range r.c.Disturbances {
		d := &r.c.Disturbances[i]
		if !d.isActive(after) || d.Kind != ControlOutage && d.Kind != LeaderChange {
			continue
		}
		down = true
		if d.Kind == LeaderChange {
			r.decider.dropEvidence(epoch.Add(after), r.outcome.Move)
		}
	}
	return down
}

// shareInForce returns the share that was decided PropagationDelay ago.
func (r *caseRun) shareInForce(after time.Duration) hornbeamwell.Share {
	i := int((after-r.c.PropagationDelay)/window) - 1
	if after < r.c.PropagationDelay+window || len(r.outcome.Shares) == 0 {
		return 0
	}
	return r.outcome.Shares[min(i, len(r.outcome.Shares)-1)]
}

// split returns how the calls of a window are split. Proxies disconnected from
// the control instances keep their share until its lease expires.
func (r *caseRun) split(after time.Duration) traffic {
	t := traffic{after: after, share: r.shareInForce(after)}
	for i := range r.c.Disturbances {
		d := &r.c.Disturbances[i]
		if d.Kind != DisconnectProxies || !d.isActive(after) {
			continue
		}
		t.disconnected = d.Magnitude
		if after < d.At+leaseTime {
			t.disconnectedShare = r.shareInForce(d.At)
		}
	}
	return t
}

// targetModel counts the restarts of the canary's targets.
type targetModel struct {
	c        *Case
	restarts int
}

func newTargetModel(c *Case) *targetModel { return &targetModel{c: c} }

func (m *targetModel) step(after time.Duration) {
	if every := m.c.Fault.CrashEvery; every > 0 && after >= m.c.Fault.Onset && after%every < window {
		m.restarts++
	}
	for i := range m.c.Disturbances {
		if d := &m.c.Disturbances[i]; d.Kind == RestartAll && d.At <= after && after < d.At+window {
			m.restarts += m.c.Service.Targets
		}
	}
}

func (m *targetModel) meshState(time.Time) move.MeshState {
	n := m.c.Service.Targets
	all := move.Pool{Ready: n, Slots: n * m.c.Service.Slots, Targets: n}
	s := move.MeshState{From: all, To: all}
	s.To.Restarts = m.restarts
	s.To.MaxRestarts = (m.restarts + n - 1) / n
	return s
}
