package catalog

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// hasEvacuation reports whether the zone is evacuated.
func (c *Catalog) hasEvacuation(zone string) bool {
	_, found := findEvacuation(c.configuration.Evacuations, zone)
	return found
}

func findEvacuation(evacuations []hornbeamwell.Evacuation, zone string) (int, bool) {
	return slices.BinarySearchFunc(evacuations, zone, func(e hornbeamwell.Evacuation, z string) int { return strings.Compare(e.Zone, z) })
}

// applyEvacuation starts or ends the evacuation of a zone, which must not be in that
// state already. The zone may be unknown: all its instances may be without power.
func applyEvacuation(next *hornbeamwell.Configuration, command Command) Outcome {
	var faults faultList
	faults.checkName("zone", command.Zone)
	if err := faults.err(); err != nil {
		return Outcome{Err: err}
	}
	next.Evacuations = slices.Clone(next.Evacuations)
	i, _ := findEvacuation(next.Evacuations, command.Zone)
	if command.Kind == KindEndEvacuation {
		next.Evacuations = slices.Delete(next.Evacuations, i, i+1)
		return Outcome{}
	}
	next.Evacuations = slices.Insert(next.Evacuations, i, hornbeamwell.Evacuation{Zone: command.Zone, StartedAt: command.At})
	return Outcome{}
}
