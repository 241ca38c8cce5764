package ledger

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/catalog"
)

// orderEvacuation commits an order of an operator at the present leader.
func (g *group) orderEvacuation(kind catalog.Kind, zone string) Result {
	g.t.Helper()
	command, err := catalog.EncodeCommand(catalog.Command{Kind: kind, Zone: zone, At: time.Now()})
	if err != nil {
		g.t.Fatal(err)
	}
	return g.propose(string(command))
}

// checkEvacuated waits until every running instance has applied the index and checks
// whether each has the zone evacuated.
func (g *group) checkEvacuated(index uint64, zone string, want bool) {
	g.t.Helper()
	g.waitApplied(index)
	for i, in := range g.instances {
		if in == nil {
			continue
		}
		got := false
		for _, e := range in.machine.(*catalog.Catalog).Configuration().Evacuations {
			got = got || e.Zone == zone
		}
		if got != want {
			g.t.Errorf("instance %d: the evacuation of %s is %v, want %v", i, zone, got, want)
		}
	}
}

// TestEvacuationSurvivesLossOfLeaderAndPower guards against the loss of an order that a
// leader acknowledged right before it stopped, and of one before all instances stopped.
func TestEvacuationSurvivesLossOfLeaderAndPower(t *testing.T) {
	g := prepareGroup(t, 3, DefaultLimits())
	g.newMachine = func() StateMachine { return catalog.New(nil) }
	g.startAll()
	acknowledged := g.orderEvacuation(catalog.KindStartEvacuation, "north")
	old := g.leader()
	g.stop(old)
	g.checkEvacuated(acknowledged.Index, "north", true)
	resent := g.orderEvacuation(catalog.KindStartEvacuation, "north")
	g.checkEvacuated(resent.Index, "north", true)
	g.start(old)
	ended := g.orderEvacuation(catalog.KindEndEvacuation, "north")
	last := g.orderEvacuation(catalog.KindStartEvacuation, "south")
	for i := range g.instances {
		g.stop(i)
	}
	for i := range g.instances {
		g.start(i)
	}
	g.checkEvacuated(ended.Index, "north", false)
	g.checkEvacuated(last.Index, "south", true)
}
