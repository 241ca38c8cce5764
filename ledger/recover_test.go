package ledger

import (
	"errors"
	"fmt"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestRecoverFromOneOfThreeDisks(t *testing.T) {
	limits := DefaultLimits()
	limits.SnapshotEntries = 10
	g := newGroup(t, 3, limits)
	var last uint64
	for i := range 25 {
		last = g.propose(fmt.Sprint("before ", i)).Index
	}
	g.waitApplied(last)
	for i := range 3 {
		g.stop(i)
	}
	for i := 1; i < 3; i++ {
		emptyFolder(t, g.folders[i])
	}
	if _, err := Inspect(g.folders[1]); !errors.Is(err, hornbeamwell.ErrNotFound) {
		t.Fatalf("inspection of an empty folder: error %v, want ErrNotFound", err)
	}
	before, err := Inspect(g.folders[0])
	if err != nil {
		t.Fatal(err)
	}
	after, err := Recover(g.folders[0], g.members[0], &listStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	if before.LastIndex < last || after.LastIndex != before.LastIndex+recoveryIndexGap || len(after.Members) != 1 || after.Cluster == before.Cluster {
		t.Fatalf("state after the recovery %+v, before it %+v", after, before)
	}
	g.start(0)
	if index := g.propose("after").Index; index <= after.LastIndex {
		t.Fatalf("index %d may be that of a lost command", index)
	}
	g.stop(0)
	if got := len(g.restarted(0).commands); got != 26 {
		t.Fatalf("%d commands after the recovery, want 26", got)
	}
	g.start(0)
	for i := 1; i < 3; i++ {
		g.start(i)
		add := MemberChange{Kind: AddMember}
		add.Member.ID, add.Member.Address = g.members[i].ID, g.members[i].Address
		g.eventually("added "+add.Member.ID, func() bool {
			return g.instances[g.leader()].ledger.ChangeMember(t.Context(), add) == nil
		})
	}
	g.waitApplied(g.propose("with three again").Index)
}
