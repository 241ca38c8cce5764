package delivery

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
)

// TestLeaderCollectsNoChangesOfTargets guards against the targets that were replaced during a
// leadership, which the leader kept for a session that it doesn't have.
func TestLeaderCollectsNoChangesOfTargets(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	membership := target.NewMembership(target.MembershipOptions{})
	source := NewSource(SourceOptions{ID: "c1", Membership: membership})
	u := NewUpstream(UpstreamOptions{ID: "c1", Source: source, Membership: membership})
	board := &blackboard.Board{
		Configuration: &hornbeamwell.Configuration{}, Targets: map[string]hornbeamwell.Target{},
		Leadership: blackboard.Leadership{HoldsLease: true},
	}
	for i := range 1000 {
		session := target.SessionID(fmt.Sprint(i))
		membership.Announce(session, []hornbeamwell.Target{sampleTarget(string(session), "orders", 1)})
		membership.Step(now, board)
		membership.SessionClosed(now, session)
		now = now.Add(time.Minute)
		membership.Step(now, board)
		u.Step(now, board)
	}
	announced, expired := membership.TakeChanges()
	if len(announced) != 0 || len(expired) != 0 {
		t.Errorf("%d announced and %d expired targets are kept", len(announced), len(expired))
	}
}
