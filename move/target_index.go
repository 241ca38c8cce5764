package move

import (
	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// targetIndex holds the targets of the services with open moves, so that a step
// does not iterate over all targets of the mesh.
type targetIndex struct {
	// configurationVersion and targetsVersion are those that the index was built
	// from.
	configurationVersion hornbeamwell.ConfigVersion
	targetsVersion       uint64
	isBuilt              bool
	byService            map[string][]hornbeamwell.Target
}

// refresh rebuilds the index if the configuration or the targets of the board
// changed. It reports whether they did.
func (x *targetIndex) refresh(board *blackboard.Board) bool {
	if x.isBuilt && x.configurationVersion == board.Configuration.Version && x.targetsVersion == board.TargetsVersion {
		return false
	}
	x.configurationVersion, x.targetsVersion, x.isBuilt = board.Configuration.Version, board.TargetsVersion, true
	x.byService = map[string][]hornbeamwell.Target{}
	for i := range board.Configuration.Moves {
		if m := &board.Configuration.Moves[i]; !m.Phase.IsFinal() {
			x.byService[m.Service] = nil
		}
	}
	for id := range board.Targets {
		t := board.Targets[id]
		if targets, isMoving := x.byService[t.Service]; isMoving {
			x.byService[t.Service] = append(targets, t)
		}
	}
	return true
}

// byService groups observations by service.
func byService(observations []hornbeamwell.Observation) map[string][]hornbeamwell.Observation {
	out := map[string][]hornbeamwell.Observation{}
	for i := range observations {
		service := observations[i].Key.Service
		out[service] = append(out[service], observations[i])
	}
	return out
}
