package review

import (
	"cmp"
	"slices"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
)

// Resource is the type of a resource.
type Resource string

// Types of resources.
const (
	ResourceService Resource = "service"
	ResourceRoute   Resource = "route"
	ResourceTeam    Resource = "team"
)

// ChangeKind says what happens to a resource.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeChanged ChangeKind = "changed"
	ChangeRemoved ChangeKind = "removed"
)

// Difference is a resource that differs between two configurations.
type Difference struct {
	Resource Resource
	Name     string
	Change   ChangeKind
	// Fields are the names of the changed fields in the order of the schema. They are
	// empty unless Change is ChangeChanged.
	Fields []string
	// KeysAdded and KeysRemoved count the changed keys of a team.
	KeysAdded, KeysRemoved int
}

// Differences returns what changes if the wanted resources replace those of the current
// configuration: services, then routes, then teams, each by name. Names are unique.
func Differences(current *hornbeamwell.Configuration, wanted catalog.Resources) []Difference {
	return slices.Concat(
		compareByName(ResourceService, current.Services, wanted.Services, func(s hornbeamwell.Service) string { return s.Name }, compareService),
		compareByName(ResourceRoute, current.Routes, wanted.Routes, func(r hornbeamwell.Route) string { return r.Name }, compareRoute),
		compareByName(ResourceTeam, current.Teams, wanted.Teams, func(t hornbeamwell.Team) string { return t.Name }, compareTeam),
	)
}

// compareByName compares the elements of the same name. An element that is added or
// removed is compared with the zero value, for the count of its keys.
func compareByName[T any](resource Resource, current, wanted []T, name func(T) string, compare func(before, after T) Difference) []Difference {
	before := make(map[string]T, len(current))
	for _, c := range current {
		before[name(c)] = c
	}
	var differences []Difference
	add := func(change ChangeKind, n string, d Difference) {
		d.Resource, d.Name, d.Change = resource, n, change
		if change != ChangeChanged {
			d.Fields = nil
		}
		differences = append(differences, d)
	}
	for _, w := range wanted {
		c, isKnown := before[name(w)]
		delete(before, name(w))
		d := compare(c, w)
		switch {
		case !isKnown:
			add(ChangeAdded, name(w), d)
		case len(d.Fields) > 0:
			add(ChangeChanged, name(w), d)
		}
	}
	for n, c := range before {
		var none T
		add(ChangeRemoved, n, compare(c, none))
	}
	slices.SortFunc(differences, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return differences
}

// field is a field of a resource, compared.
type field struct {
	name    string
	isEqual bool
}

func changedFields(fields []field) []string {
	var changed []string
	for _, f := range fields {
		if !f.isEqual {
			changed = append(changed, f.name)
		}
	}
	return changed
}

func compareService(a, b hornbeamwell.Service) Difference {
	byName := func(x, y hornbeamwell.TargetVersion) int { return cmp.Compare(x.Name, y.Name) }
	return Difference{Fields: changedFields([]field{
		{"versions", slices.Equal(slices.SortedFunc(slices.Values(a.Versions), byName), slices.SortedFunc(slices.Values(b.Versions), byName))},
		{"open", a.IsOpen == b.IsOpen},
		{"cold_start", a.ColdStart == b.ColdStart},
		{"cold_rate", a.ColdRate == b.ColdRate},
		{"health_path", a.HealthPath == b.HealthPath},
	})}
}

func compareRoute(a, b hornbeamwell.Route) Difference {
	return Difference{Fields: changedFields([]field{
		{"host", a.Host == b.Host},
		{"path_prefix", a.PathPrefix == b.PathPrefix},
		{"methods", slices.Equal(slices.Sorted(slices.Values(a.Methods)), slices.Sorted(slices.Values(b.Methods)))},
		{"service", a.Service == b.Service},
		{"idempotent", a.Idempotent == b.Idempotent},
		{"class", a.Class == b.Class},
		{"timeout", a.Timeout == b.Timeout},
		{"max_body_bytes", a.MaxBodyBytes == b.MaxBodyBytes},
		{"max_attempts", a.MaxAttempts == b.MaxAttempts},
		{"split", slices.Equal(a.Split, b.Split)},
		{"priority", a.Priority == b.Priority},
		{"latency_objective", a.LatencyObjective == b.LatencyObjective},
		{"public", a.IsPublic == b.IsPublic},
	})}
}

func compareTeam(a, b hornbeamwell.Team) Difference {
	added, removed := countMissing(b.KeyHashes, a.KeyHashes), countMissing(a.KeyHashes, b.KeyHashes)
	return Difference{
		Fields: changedFields([]field{
			{"key_hashes", added+removed == 0},
			{"priority", a.Priority == b.Priority},
			{"calls_per_second", a.Quota.PerSecond == b.Quota.PerSecond},
			{"burst", a.Quota.Burst == b.Quota.Burst},
		}),
		KeysAdded:   added,
		KeysRemoved: removed,
	}
}

// countMissing returns the number of elements of a that b does not contain.
func countMissing(a, b []hornbeamwell.KeyHash) int {
	known := make(map[hornbeamwell.KeyHash]bool, len(b))
	for _, hash := range b {
		known[hash] = true
	}
	missing := 0
	for _, hash := range a {
		if !known[hash] {
			missing++
		}
	}
	return missing
}
