package move

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// checkInvariants reports violated invariants of the decision that changes m to
// next.
func (p Policy) checkInvariants(now time.Time, m, next hornbeamwell.Move, evidence *Evidence, mesh MeshState) {
	if m.Phase.IsFinal() {
		hornbeamwell.ReportViolation("move_final_changed", "move %s changed from the final phase %s to %s", m.ID, m.Phase, next.Phase)
	}
	if next.Step != m.Step+1 {
		hornbeamwell.ReportViolation("move_step", "move %s went from step %d to %d", m.ID, m.Step, next.Step)
	}
	if next.Phase == hornbeamwell.PhaseDone && m.Phase != hornbeamwell.PhaseHolding {
		hornbeamwell.ReportViolation("move_done_without_hold", "move %s went from %s to done", m.ID, m.Phase)
	}
	p.checkShareAfterVerdict(m, next)
	p.checkShareBound(now, m, next, evidence, mesh)
}

// checkShareAfterVerdict checks that the share is zero if, and after warming only
// if, the canary is taken back, and that a take-back is not reversed.
func (p Policy) checkShareAfterVerdict(m, next hornbeamwell.Move) {
	isTakeBack := next.Phase == hornbeamwell.PhaseTakingBack || next.Phase == hornbeamwell.PhaseTakenBack
	if isTakeBack != (next.Share == 0 && next.Phase != hornbeamwell.PhaseAccepted && next.Phase != hornbeamwell.PhaseWarming) {
		hornbeamwell.ReportViolation("move_share_of_phase", "move %s has share %d in %s", m.ID, next.Share, next.Phase)
	}
	if m.Phase == hornbeamwell.PhaseTakingBack && !isTakeBack {
		hornbeamwell.ReportViolation("move_share_after_verdict", "move %s went from taking_back to %s", m.ID, next.Phase)
	}
}

// checkShareBound checks that the share grows above UnprovedShare only with
// proof. Without a bad verdict, it may also do so if the stage is forced or the old
// version has no ready target.
func (p Policy) checkShareBound(now time.Time, m, next hornbeamwell.Move, evidence *Evidence, mesh MeshState) {
	if next.Share <= m.Share || next.Share <= p.UnprovedShare {
		return
	}
	i := p.stageAfter(m.Share)
	isForced := p.isForced(now, m, i) || mesh.From.Ready == 0
	if isForced && !evidence.Verdict().Bad {
		return
	}
	if next.Share != p.Stages[i].Share || evidence.missingProof(p.Stages[i], m.Share) != "" {
		hornbeamwell.ReportViolation("move_share_unproved", "move %s raised its share from %d to %d without proof", m.ID, m.Share, next.Share)
	}
}
