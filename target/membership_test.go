package target

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

func newBoard() *blackboard.Board {
	return &blackboard.Board{
		Configuration: &hornbeamwell.Configuration{},
		Targets:       map[string]hornbeamwell.Target{},
		Leadership:    blackboard.Leadership{HoldsLease: true},
	}
}

func testTarget(id string, incarnation, sequence uint64, state hornbeamwell.TargetState) hornbeamwell.Target {
	return hornbeamwell.Target{
		ID: id, Service: "orders", Version: "v1", Slots: 1, Connections: 1,
		Incarnation: incarnation, Sequence: sequence, State: state,
	}
}

// TestReorderedAnnouncementsNeverRevertTarget sends announcements of targets
// over two sessions in any order, with duplicates and lost sessions, and checks
// that the board never returns to an older announcement. A target that has been
// gone for goneRetention may start over.
func TestReorderedAnnouncementsNeverRevertTarget(t *testing.T) {
	states := []hornbeamwell.TargetState{hornbeamwell.TargetReady, hornbeamwell.TargetDraining, hornbeamwell.TargetGone}
	rapid.Check(t, func(t *rapid.T) {
		m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
		newest, presentAt := map[string]hornbeamwell.Target{}, map[string]time.Time{}
		session := func(t *rapid.T) SessionID { return SessionID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "session")) }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "id")
				if last, found := presentAt[id]; found && now.Sub(last) >= goneRetention && now.Sub(last) < goneRetention+time.Minute {
					// The target may or may not have been removed yet.
					return
				}
				incarnation, step := rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(0, 2).Draw(t, "step")
				announced := testTarget(id, incarnation, step+1, states[step])
				if last, found := newest[id]; !found || announced.IsNewer(&last) {
					newest[id], presentAt[id] = announced, now
				}
				m.Announce(session(t), []hornbeamwell.Target{announced})
			},
			"lose": func(t *rapid.T) { m.SessionLost(now, session(t)) },
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				m.Step(now, board)
				for id, last := range newest {
					onBoard, found := board.Targets[id]
					if found && onBoard.State != hornbeamwell.TargetGone {
						presentAt[id] = now
					}
					if now.Sub(presentAt[id]) >= goneRetention {
						delete(newest, id)
						continue
					}
					if found && last.IsNewer(&onBoard) {
						t.Fatalf("target %s reverted to incarnation %d, sequence %d from incarnation %d, sequence %d", id, onBoard.Incarnation, onBoard.Sequence, last.Incarnation, last.Sequence)
					}
				}
			},
		})
	})
}

func TestMassExpiryIsSuppressed(t *testing.T) {
	for _, c := range []struct{ all, lost, left int }{
		{all: 10, lost: 3, left: 7},
		{all: 10, lost: 5, left: 5},
		{all: 10, lost: 6, left: 10},
		{all: 3, lost: 1, left: 2},
		{all: 1, lost: 1, left: 1},
	} {
		t.Run(fmt.Sprintf("%d of %d", c.lost, c.all), func(t *testing.T) {
			m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
			for i := range c.all {
				session := SessionID(fmt.Sprintf("proxy/%d", i))
				m.Announce(session, []hornbeamwell.Target{testTarget(string(session), 1, 1, hornbeamwell.TargetReady)})
			}
			m.Step(now, board)
			for i := range c.lost {
				m.SessionLost(now, SessionID(fmt.Sprintf("proxy/%d", i)))
			}
			m.Step(now.Add(LeaseDuration-time.Millisecond), board)
			if len(board.Targets) != c.all {
				t.Fatalf("%d targets are on the board before the leases expired, want all", len(board.Targets))
			}
			m.Step(now.Add(LeaseDuration+time.Second), board)
			if len(board.Targets) != c.left {
				t.Fatalf("%d targets are left, want %d", len(board.Targets), c.left)
			}
		})
	}
}

// TestSourceReannouncesTargetRemovedByLeader checks that a source announces a
// target again that the leader removed while its downstream session is open.
func TestSourceReannouncesTargetRemovedByLeader(t *testing.T) {
	m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
	board.Leadership.HoldsLease = false
	target := testTarget("t1", 1, 1, hornbeamwell.TargetReady)
	m.Announce("proxy/t1", []hornbeamwell.Target{target})
	m.SetLeaderTargets([]hornbeamwell.Target{target})
	m.Step(now, board)
	m.TakeChanges()
	m.SetLeaderTargets(nil)
	m.Step(now, board)
	announced, _ := m.TakeChanges()
	if len(announced) != 1 || len(board.Targets) != 1 {
		t.Fatalf("%d targets are announced again and %d are on the board, want 1 and 1", len(announced), len(board.Targets))
	}
}

// TestTargetSurvivesEndOfPreviousSession checks that the end of a session does
// not remove a target that another session has announced since.
func TestTargetSurvivesEndOfPreviousSession(t *testing.T) {
	m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
	target := testTarget("t1", 1, 1, hornbeamwell.TargetReady)
	m.Announce("relay/r1", []hornbeamwell.Target{target, testTarget("t2", 1, 1, hornbeamwell.TargetReady)})
	m.Announce("relay/r2", []hornbeamwell.Target{target})
	m.Step(now, board)
	m.Expire(now, "relay/r1", []hornbeamwell.Target{target})
	m.SessionLost(now, "relay/r1")
	m.Step(now.Add(LeaseDuration+time.Second), board)
	if _, found := board.Targets["t1"]; !found || len(board.Targets) != 1 {
		t.Fatalf("the targets on the board are %v, want only t1", board.Targets)
	}
}
