package move

import (
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Decide returns the next state of a move and whether it differs from the
// present one. It does not modify its arguments. Nil evidence is the same as
// empty evidence.
func (p Policy) Decide(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) (hornbeamwell.Move, bool) {
	if m.Phase.IsFinal() {
		return m, false
	}
	if evidence == nil {
		evidence = NewEvidence(p, m, now)
	}
	next, changed := p.next(now, m, evidence, mesh)
	if !changed {
		return m, false
	}
	next = nextStep(next)
	next.Figures = evidence.Figures()
	p.checkInvariants(now, m, next, evidence, mesh)
	return next, true
}

func (p Policy) next(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) (hornbeamwell.Move, bool) {
	if mesh.Removed != "" {
		return ended(now, m, hornbeamwell.PhaseTakenBack, mesh.Removed+" is no longer configured"), true
	}
	if m.Phase == hornbeamwell.PhaseTakingBack {
		return p.finishTakeBack(now, m, mesh)
	}
	if fault := p.fault(now, m, evidence, mesh); fault != "" {
		return takingBack(now, m, fault+mesh.From.takeBackWarning()), true
	}
	if m.Phase != hornbeamwell.PhaseHolding && !now.Before(p.decideBy(m)) {
		return p.endAtDeadline(now, m, evidence, mesh), true
	}
	if mesh.To.isEvacuated() && m.Phase != hornbeamwell.PhaseHolding {
		// The missing calls of the canary count neither for nor against it.
		return m, false
	}
	if evidence.Verdict().Alarming && m.Share > p.ProbeShare {
		return p.fallBack(now, m, evidence.Verdict().Text, evidence, mesh), true
	}
	if evidence.isStarved() {
		return p.fallBack(now, m, "proxies stopped sending calls to it", evidence, mesh), true
	}
	if m.Paused && now.Before(pauseEnd(m)) {
		return m, false
	}
	return p.advance(now, m, evidence, mesh)
}

// fault describes why the canary is bad. It is empty if nothing shows a fault.
func (p Policy) fault(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) string {
	if verdict := evidence.Verdict(); verdict.Bad {
		return verdict.Text
	}
	if fault := evidence.thresholdFault(); fault != "" {
		return fault
	}
	if fault := evidence.partFault(); fault != "" {
		return fault
	}
	if mesh.isCrashLooping(p.CrashLoopRestarts) {
		return fmt.Sprintf("targets of %s crash again and again: %d restarts of %d targets", m.To, mesh.To.Restarts, mesh.To.Targets)
	}
	emptySince := mesh.To.EmptySince
	if m.Share > 0 && !emptySince.IsZero() && now.Sub(emptySince) >= p.NoTargetTimeout {
		return fmt.Sprintf("%s has had no ready target for %v", m.To, now.Sub(emptySince).Round(time.Second))
	}
	return ""
}

// fallBack lowers the share to at most ProbeShare until both versions are
// compared. The new step also closes the circuit breakers that proxies opened on
// the canary. A canary that looks bad more than maxFallbacks times is taken back.
func (p Policy) fallBack(now time.Time, m hornbeamwell.Move, text string, evidence *Evidence, mesh MeshState) hornbeamwell.Move {
	if evidence.fallbacks >= p.maxFallbacks(m) {
		return takingBack(now, m, fmt.Sprintf("bad at a share of %s again: %s", percent(m.Share), text)+mesh.From.takeBackWarning())
	}
	share := min(m.Share, p.ProbeShare)
	return entered(now, m, hornbeamwell.PhaseStages, share,
		fmt.Sprintf("both versions are compared at a share of %s: %s", percent(share), text))
}

// advance returns the next step of a move without signs of a fault.
func (p Policy) advance(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) (hornbeamwell.Move, bool) {
	switch m.Phase {
	case hornbeamwell.PhaseAccepted:
		return entered(now, m, hornbeamwell.PhaseWarming, 0, "waits for ready targets of "+m.To), true
	case hornbeamwell.PhaseWarming, hornbeamwell.PhaseStages:
		return p.raiseShare(now, m, evidence, mesh)
	case hornbeamwell.PhaseHolding:
		return p.finishHolding(now, m, evidence, mesh)
	default:
		return m, false
	}
}

// raiseShare raises the share to that of the next stage unless the stage is
// blocked.
func (p Policy) raiseShare(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) (hornbeamwell.Move, bool) {
	i := p.stageAfter(m.Share)
	if i == len(p.Stages) {
		return entered(now, m, hornbeamwell.PhaseHolding, hornbeamwell.FullShare, holdReason(m)), true
	}
	if p.stageBlocker(now, m, i, evidence, mesh) != "" {
		return m, false
	}
	share := p.Stages[i].Share
	if i == 0 {
		share = p.firstShare(now, m, evidence)
	}
	if share == hornbeamwell.FullShare {
		return entered(now, m, hornbeamwell.PhaseHolding, share, holdReason(m)), true
	}
	return entered(now, m, hornbeamwell.PhaseStages, share, p.raiseReason(m, i, share, evidence)), true
}

// stageBlocker describes what stage i waits for. It is empty if the stage may
// begin.
func (p Policy) stageBlocker(now time.Time, m hornbeamwell.Move, i int, evidence *Evidence, mesh MeshState) string {
	stage := p.Stages[i]
	if !mesh.To.hasCapacity(fractionOf(stage.Share), p.MinSlotRatio, mesh.From) {
		return fmt.Sprintf("ready targets of %s with slots for a share of %s", m.To, percent(stage.Share))
	}
	if evidence.IsDoubtful() {
		return "calls that settle a doubt: " + evidence.Verdict().Text
	}
	if m.Share > 0 && !m.Hastened && now.Sub(m.StageAt) < p.dwell(m, evidence) {
		return "the shortest time of a stage"
	}
	if p.isForced(now, m, i) {
		return ""
	}
	if m.Share > 0 && !mesh.InForce && now.Sub(m.StageAt) < p.InForceTimeout {
		return "the present share to be in force on every proxy"
	}
	return evidence.missingProof(stage, m.Share)
}

func (p Policy) raiseReason(m hornbeamwell.Move, i int, raised hornbeamwell.Share, evidence *Evidence) string {
	share := percent(raised)
	if missing := evidence.missingProof(p.Stages[i], m.Share); missing != "" {
		return fmt.Sprintf("share raised to %s to meet the deadline, which is preferred, without %s", share, missing)
	}
	if i == 0 {
		return fmt.Sprintf("%s has ready targets and receives %s until it is proved", m.To, share)
	}
	return fmt.Sprintf("share raised to %s: %s", share, evidence.summary())
}

func (p Policy) finishHolding(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) (hornbeamwell.Move, bool) {
	if p.holdBlocker(now, m, evidence, mesh) != "" {
		return m, false
	}
	reason := fmt.Sprintf("%s serves every call: %s", m.To, evidence.summary())
	return ended(now, m, hornbeamwell.PhaseDone, reason+mesh.inForceWarning()), true
}

// holdBlocker describes what a holding move waits for. It is empty if the hold is
// over.
func (p Policy) holdBlocker(now time.Time, m hornbeamwell.Move, evidence *Evidence, mesh MeshState) string {
	end := p.holdEnd(m)
	if now.Before(end) && !m.Hastened {
		return "the end of the hold"
	}
	waitEnd := p.holdWaitEnd(m)
	if !mesh.isInForceEverywhere() && now.Before(waitEnd) {
		return "the full share to be in force on every proxy"
	}
	if mesh.To.isEvacuated() && now.Before(waitEnd) {
		return "the end of the evacuation of the zones of " + m.To
	}
	if evidence.IsDoubtful() && now.Before(waitEnd) {
		return "calls that settle a doubt: " + evidence.Verdict().Text
	}
	return ""
}

// finishTakeBack ends a take-back once it is in force everywhere, at the latest
// after InForceTimeout. With DefaultPolicy, the lease on the share has then expired
// on every proxy that lost contact with the control instances.
func (p Policy) finishTakeBack(now time.Time, m hornbeamwell.Move, mesh MeshState) (hornbeamwell.Move, bool) {
	if !mesh.isInForceEverywhere() && now.Sub(m.StageAt) < p.InForceTimeout {
		return m, false
	}
	return ended(now, m, hornbeamwell.PhaseTakenBack, m.Reason+mesh.inForceWarning()), true
}

// entered returns the move at the start of a phase or stage.
func entered(now time.Time, m hornbeamwell.Move, phase hornbeamwell.Phase, share hornbeamwell.Share, reason string) hornbeamwell.Move {
	m.Phase = phase
	m.Share = share
	m.StageAt = now
	m.Hastened = false
	m.Reason = reason
	return m
}

// takingBack returns the move in the phase taking_back, with a share of zero.
func takingBack(now time.Time, m hornbeamwell.Move, reason string) hornbeamwell.Move {
	m.Paused = false
	return entered(now, m, hornbeamwell.PhaseTakingBack, 0, reason)
}

// ended returns the move in a final phase.
func ended(now time.Time, m hornbeamwell.Move, phase hornbeamwell.Phase, reason string) hornbeamwell.Move {
	share := hornbeamwell.FullShare
	if phase == hornbeamwell.PhaseTakenBack {
		share = 0
	}
	m.Paused = false
	m = entered(now, m, phase, share, reason)
	m.EndedAt = now
	return m
}

func holdReason(m hornbeamwell.Move) string {
	return fmt.Sprintf("%s serves every call; %s stays warm for %v", m.To, m.From, m.Hold)
}

// takeBackWarning says that the old version has no ready target for the calls of
// the canary. It is empty if there is one.
func (p Pool) takeBackWarning() string {
	if p.Ready > 0 {
		return ""
	}
	return "; the old version has no ready target, so calls are refused until one announces itself"
}

func fractionOf(share hornbeamwell.Share) float64 {
	return float64(share) / float64(hornbeamwell.FullShare)
}

func percent(share hornbeamwell.Share) string {
	return fmt.Sprintf("%g%%", float64(share)/100)
}
