package move

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

const (
	benchServices = 1_500
	benchTargets  = 20_000
	benchMoves    = 100
	// benchEvents is the number of events per second, each of which runs a step
	// of the controller.
	benchEvents = 200
)

func benchBoard() *blackboard.Board {
	board := boardWith(moveInPhase(hornbeamwell.PhaseStages, 500))
	c := &hornbeamwell.Configuration{Version: 7}
	for i := range benchServices {
		name := fmt.Sprintf("service-%04d", i)
		c.Services = append(c.Services, hornbeamwell.Service{Name: name, Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}, {Name: "v2"}}})
		if i < benchMoves {
			m := moveInPhase(hornbeamwell.PhaseStages, 500)
			m.ID, m.Service, m.Deadline = name, name, start.Add(24*time.Hour)
			c.Moves = append(c.Moves, m)
		}
	}
	board.Configuration = c
	for i := range benchTargets {
		id := fmt.Sprintf("target-%05d", i)
		board.Targets[id] = hornbeamwell.Target{
			ID: id, Service: c.Services[i%benchServices].Name, Version: []string{"v1", "v2"}[i/benchServices%2],
			Slots: 10, State: hornbeamwell.TargetReady, Incarnation: 1,
		}
	}
	return board
}

// BenchmarkControllerSecond measures one second of the leader's work with 100
// open moves, 20,000 targets and 200 events.
func BenchmarkControllerSecond(b *testing.B) {
	board := benchBoard()
	c := NewController(ControllerOptions{Policy: DefaultPolicy(), Propose: func(hornbeamwell.Move) {}})
	now := start
	for b.Loop() {
		for i := range benchEvents {
			now = now.Add(time.Second / benchEvents)
			for _, m := range board.Configuration.Moves[i%benchMoves : i%benchMoves+1] {
				for _, version := range []string{"v1", "v2"} {
					o := observed(version, 50, 0)
					o.Key.Service = m.Service
					board.Evidence = append(board.Evidence, o)
				}
			}
			c.Step(now, board)
		}
	}
}
