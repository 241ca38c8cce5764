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

func sample(id string, incarnation, sequence uint64, state hornbeamwell.TargetState) hornbeamwell.Target {
	return hornbeamwell.Target{
		ID: id, Service: "orders", Version: "v1", Slots: 1, Connections: 1,
		Incarnation: incarnation, Sequence: sequence, State: state,
	}
}

// TestCrossedAnnouncementsNeverGoBack sends the history of targets through two
// sessions in any order, with repeats and lost sessions. What ended may be
// forgotten after goneKept.
func TestCrossedAnnouncementsNeverGoBack(t *testing.T) {
	states := []hornbeamwell.TargetState{hornbeamwell.TargetReady, hornbeamwell.TargetDraining, hornbeamwell.TargetGone}
	rapid.Check(t, func(t *rapid.T) {
		m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
		newest, heldAt := map[string]hornbeamwell.Target{}, map[string]time.Time{}
		holder := func(t *rapid.T) SessionID { return SessionID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")) }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "id")
				if held, found := heldAt[id]; found && now.Sub(held) >= goneKept && now.Sub(held) < goneKept+time.Minute {
					// It may or may not be forgotten yet.
					return
				}
				incarnation, step := rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(0, 2).Draw(t, "step")
				announced := sample(id, incarnation, step+1, states[step])
				if last, found := newest[id]; !found || announced.IsNewer(&last) {
					newest[id], heldAt[id] = announced, now
				}
				m.Announce(holder(t), []hornbeamwell.Target{announced})
			},
			"lose": func(t *rapid.T) { m.SessionLost(now, holder(t)) },
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				m.Step(now, board)
				for id, last := range newest {
					held, found := board.Targets[id]
					if found && held.State != hornbeamwell.TargetGone {
						heldAt[id] = now
					}
					if now.Sub(heldAt[id]) >= goneKept {
						delete(newest, id)
						continue
					}
					if found && last.IsNewer(&held) {
						t.Fatalf("%s went back to %d/%d from %d/%d", id, held.Incarnation, held.Sequence, last.Incarnation, last.Sequence)
					}
				}
			},
		})
	})
}

func TestMassExpiryIsNotBelieved(t *testing.T) {
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
				holder := SessionID(fmt.Sprintf("proxy/%d", i))
				m.Announce(holder, []hornbeamwell.Target{sample(string(holder), 1, 1, hornbeamwell.TargetReady)})
			}
			m.Step(now, board)
			for i := range c.lost {
				m.SessionLost(now, SessionID(fmt.Sprintf("proxy/%d", i)))
			}
			m.Step(now.Add(leaseTime-time.Millisecond), board)
			if len(board.Targets) != c.all {
				t.Fatalf("%d targets before the end of the leases", len(board.Targets))
			}
			m.Step(now.Add(leaseTime+time.Second), board)
			if len(board.Targets) != c.left {
				t.Fatalf("%d targets are left, want %d", len(board.Targets), c.left)
			}
		})
	}
}

// TestLeaderDropsATargetThatASourceHolds checks that a source announces a target
// again which the leader dropped and its session still vouches for.
func TestLeaderDropsATargetThatASourceHolds(t *testing.T) {
	m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
	board.Leadership.HoldsLease = false
	held := sample("t1", 1, 1, hornbeamwell.TargetReady)
	m.Announce("proxy/t1", []hornbeamwell.Target{held})
	m.SetLeaderTargets([]hornbeamwell.Target{held})
	m.Step(now, board)
	m.TakeChanges()
	m.SetLeaderTargets(nil)
	m.Step(now, board)
	announced, _ := m.TakeChanges()
	if len(announced) != 1 || len(board.Targets) != 1 {
		t.Fatalf("%d announced again, %d on the board", len(announced), len(board.Targets))
	}
}

// TestTakenOverTargetOutlivesItsOldSession checks that the end of a session takes
// no target away that another one vouches for since.
func TestTakenOverTargetOutlivesItsOldSession(t *testing.T) {
	m, board, now := NewMembership(MembershipOptions{}), newBoard(), time.Unix(1_800_000_000, 0)
	held := sample("t1", 1, 1, hornbeamwell.TargetReady)
	m.Announce("relay/r1", []hornbeamwell.Target{held, sample("t2", 1, 1, hornbeamwell.TargetReady)})
	m.Announce("relay/r2", []hornbeamwell.Target{held})
	m.Step(now, board)
	m.Expire(now, "relay/r1", []hornbeamwell.Target{held})
	m.SessionLost(now, "relay/r1")
	m.Step(now.Add(leaseTime+time.Second), board)
	if _, found := board.Targets["t1"]; !found || len(board.Targets) != 1 {
		t.Fatalf("targets %v are left", board.Targets)
	}
}
