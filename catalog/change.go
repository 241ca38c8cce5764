package catalog

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// ErrStaleBase means that a change was computed from an older configuration.
// The proposer recomputes the change; the error is not returned to operators.
var ErrStaleBase = errors.New("the change was computed from an older configuration")

// Resources are the parts of a configuration that operators set.
type Resources struct {
	Services []hornbeamwell.Service
	Routes   []hornbeamwell.Route
	Teams    []hornbeamwell.Team
}

// Change sets and removes resources by name. All others stay as they are.
type Change struct {
	Resources
	// RemovedServices, RemovedRoutes and RemovedTeams must not contain names that
	// Resources sets.
	RemovedServices, RemovedRoutes, RemovedTeams []string
}

// Diff returns the change from the current resources to the wanted ones.
func Diff(current *hornbeamwell.Configuration, wanted Resources) Change {
	var change Change
	change.Services, change.RemovedServices = diffByName(current.Services, wanted.Services, serviceName)
	change.Routes, change.RemovedRoutes = diffByName(current.Routes, wanted.Routes, routeName)
	change.Teams, change.RemovedTeams = diffByName(current.Teams, wanted.Teams, teamName)
	return change
}

// diffByName returns the wanted elements that are new or different, and the
// names of current elements that are not wanted.
func diffByName[T any](current, wanted []T, name func(T) string) (set []T, removed []string) {
	before := make(map[string]T, len(current))
	for _, c := range current {
		before[name(c)] = c
	}
	for _, w := range wanted {
		if c, found := before[name(w)]; !found || !reflect.DeepEqual(c, w) {
			set = append(set, w)
		}
		delete(before, name(w))
	}
	for n := range before {
		removed = append(removed, n)
	}
	slices.Sort(removed)
	return set, removed
}

// Result returns the resources after the change, sorted by name.
func (c Change) Result(current *hornbeamwell.Configuration) Resources {
	return Resources{
		Services: mergeByName(current.Services, c.Services, c.RemovedServices, serviceName),
		Routes:   mergeByName(current.Routes, c.Routes, c.RemovedRoutes, routeName),
		Teams:    mergeByName(current.Teams, c.Teams, c.RemovedTeams, teamName),
	}
}

// mergeByName returns the current elements after the change, sorted by name.
// Elements that are set twice are kept twice so that validation finds them.
func mergeByName[T any](current, set []T, removed []string, name func(T) string) []T {
	dropped := make(map[string]bool, len(set)+len(removed))
	for _, s := range set {
		dropped[name(s)] = true
	}
	for _, r := range removed {
		dropped[r] = true
	}
	merged := make([]T, 0, len(current)+len(set))
	for _, c := range current {
		if !dropped[name(c)] {
			merged = append(merged, c)
		}
	}
	merged = append(merged, set...)
	slices.SortStableFunc(merged, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return merged
}

func serviceName(s hornbeamwell.Service) string { return s.Name }

func routeName(r hornbeamwell.Route) string { return r.Name }

func teamName(t hornbeamwell.Team) string { return t.Name }

// CheckChange returns a *hornbeamwell.InvalidError with every fault of the
// configuration after the change, or nil. The fields of faults are relative to
// the change if the change sets the resource.
func CheckChange(current *hornbeamwell.Configuration, change Change) error {
	result := change.Result(current)
	err := CheckApply(current, result)
	var invalid *hornbeamwell.InvalidError
	if !errors.As(err, &invalid) {
		invalid = &hornbeamwell.InvalidError{}
	}
	faults := faultList{faults: slices.Clone(invalid.Faults)}
	faults.renameFields("services", changeFields("services", result.Services, change.Services, serviceName))
	faults.renameFields("routes", changeFields("routes", result.Routes, change.Routes, routeName))
	faults.renameFields("teams", changeFields("teams", result.Teams, change.Teams, teamName))
	checkRemoved(&faults, "removed_services", current.Services, change.RemovedServices, serviceName)
	checkRemoved(&faults, "removed_routes", current.Routes, change.RemovedRoutes, routeName)
	checkRemoved(&faults, "removed_teams", current.Teams, change.RemovedTeams, teamName)
	return faults.err()
}

// checkRemoved adds a fault for each removed name that does not exist.
func checkRemoved[T any](f *faultList, field string, current []T, removed []string, name func(T) string) {
	known := make(map[string]bool, len(current))
	for _, c := range current {
		known[name(c)] = true
	}
	for i, r := range removed {
		if !known[r] {
			f.add(indexedField(field, i), "%q is not part of the configuration", r)
		}
	}
}

// changeFields returns, for each element of the result, its field in the change.
// An element that the change does not set is identified by its name.
func changeFields[T any](list string, result, set []T, name func(T) string) []string {
	indexes := make(map[string]int, len(set))
	for j, s := range set {
		indexes[name(s)] = j
	}
	fields := make([]string, 0, len(result))
	for _, r := range result {
		field := list + " " + name(r)
		if j, found := indexes[name(r)]; found {
			field = indexedField(list, j)
		}
		fields = append(fields, field)
	}
	return fields
}

// renameFields replaces the indexes into the result in fault fields with the
// fields of the change.
func (f *faultList) renameFields(list string, fields []string) {
	for i, fault := range f.faults {
		for j, field := range fields {
			if rest, found := strings.CutPrefix(fault.Field, indexedField(list, j)); found {
				f.faults[i].Field = field + rest
				break
			}
		}
	}
}
