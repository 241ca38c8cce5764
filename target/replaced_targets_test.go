package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// lostAndBack loses the sessions of 6 of 10 targets, all of which are announced again before
// the suppression of their expiry ends.
func lostAndBack(m *Membership, now time.Time, step func(time.Time)) {
	for i := range 6 {
		m.SessionLost(now, SessionID(fmt.Sprintf("proxy/%d", i)))
	}
	for d := time.Duration(0); d <= LeaseDuration+time.Minute; d += time.Second {
		step(now.Add(d))
	}
	announceTen(m)
	step(now.Add(LeaseDuration + time.Minute))
}

func announceTen(m *Membership) {
	for i := range 10 {
		session := SessionID(fmt.Sprintf("proxy/%d", i))
		m.Announce(session, []hornbeamwell.Target{testTarget(string(session), 1, 1, hornbeamwell.TargetReady)})
	}
}

// TestMassExpiryIsSuppressedEachTime guards against a suppression that holds once for each
// target: when as many were lost again, long after they had returned, they were removed at once.
func TestMassExpiryIsSuppressedEachTime(t *testing.T) {
	t.Parallel()
	m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
	step := func(now time.Time) {
		m.Step(now, board)
		if len(board.Targets) != 10 {
			t.Fatalf("%d targets are left, want all", len(board.Targets))
		}
	}
	announceTen(m)
	step(now)
	for range 3 {
		lostAndBack(m, now, step)
		now = now.Add(time.Hour)
	}
}

// TestReplacedTargetsLeaveNothing guards against what a membership keeps of targets that were
// replaced by others with other ids, in any of the ways in which they end.
func TestReplacedTargetsLeaveNothing(t *testing.T) {
	t.Parallel()
	const present, replaced = 20, 5000
	ends := map[string]func(m *Membership, now time.Time, session SessionID, last hornbeamwell.Target){
		"goodbye": func(m *Membership, now time.Time, session SessionID, _ hornbeamwell.Target) {
			m.SessionClosed(now, session)
		},
		"lost": func(m *Membership, now time.Time, session SessionID, _ hornbeamwell.Target) {
			m.SessionLost(now, session)
		},
		"deregistered": func(m *Membership, now time.Time, session SessionID, last hornbeamwell.Target) {
			last.State, last.Sequence = hornbeamwell.TargetGone, last.Sequence+1
			m.Announce(session, []hornbeamwell.Target{last})
			m.RecordDepartures(now, []hornbeamwell.Departure{{Target: last, RecordedAt: now}})
			m.SessionClosed(now, session)
		},
		"moved and back": func(m *Membership, now time.Time, session SessionID, last hornbeamwell.Target) {
			m.SessionClosed(now, session)
			m.Announce(session+"'", []hornbeamwell.Target{last})
			m.SessionLost(now, session+"'")
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
			started := func(i int) (SessionID, hornbeamwell.Target) {
				id := fmt.Sprint(i)
				return SessionID("proxy/" + id), testTarget(id, 1, 1, hornbeamwell.TargetReady)
			}
			for i := range present + replaced {
				session, fresh := started(i)
				m.Announce(session, []hornbeamwell.Target{fresh})
				m.Step(now, board)
				if i >= present {
					oldSession, old := started(i - present)
					end(m, now, oldSession, old)
				}
				now = now.Add(time.Minute)
				m.Step(now, board)
				m.TakeChangedIDs()
				m.TakeDeparted()
				m.TakeChanges()
			}
			now = now.Add(time.Hour)
			m.Step(now, board)
			m.TakeChangedIDs()
			checkSizes(t, m, board, present)
		})
	}
}

func checkSizes(t *testing.T, m *Membership, board *blackboard.Board, most int) {
	t.Helper()
	for what, count := range map[string]int{
		"targets on the board": len(board.Targets), "local targets": len(m.local), "targets of the leader": len(m.fromLeader),
		"gone targets": len(m.goneSince), "expired targets": len(m.recentlyExpired), "dirty": len(m.dirty), "changed": len(m.changedIDs),
		"announced": len(m.announced), "expired": len(m.expired), "departed sessions": len(m.expiryFilter.departed),
		"suppressed": len(m.expiryFilter.suppressedSince), "recent expiries": len(m.expiryFilter.recent),
		"departures": len(m.departures.known), "unreported departures": len(m.departures.unreported),
	} {
		if count > most {
			t.Errorf("%s: %d, want at most %d", what, count, most)
		}
	}
}
