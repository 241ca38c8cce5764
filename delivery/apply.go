package delivery

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// nextConfiguration returns a new configuration with the changes applied. The
// previous configuration is not modified.
func nextConfiguration(before *hornbeamwell.Configuration, version uint64, changes []change) *hornbeamwell.Configuration {
	c := &hornbeamwell.Configuration{Version: hornbeamwell.ConfigVersion(version)}
	c.Services = merge(before.Services, changesOfKind(changes, kindService, func(it *item) *hornbeamwell.Service { return it.service }),
		func(s *hornbeamwell.Service) string { return s.Name })
	c.Routes = merge(before.Routes, changesOfKind(changes, kindRoute, func(it *item) *hornbeamwell.Route { return it.route }),
		func(r *hornbeamwell.Route) string { return r.Name })
	c.Teams = merge(before.Teams, changesOfKind(changes, kindTeam, func(it *item) *hornbeamwell.Team { return it.team }),
		func(t *hornbeamwell.Team) string { return t.Name })
	c.Evacuations = merge(before.Evacuations, changesOfKind(changes, kindEvacuation, func(it *item) *hornbeamwell.Evacuation { return it.evacuation }),
		func(e *hornbeamwell.Evacuation) string { return e.Zone })
	moves := changesOfKind(changes, kindMove, func(it *item) *hornbeamwell.Move { return it.move })
	if len(moves) == 0 {
		c.Moves = before.Moves
		return c
	}
	byID := slices.Clone(before.Moves)
	slices.SortFunc(byID, func(a, b hornbeamwell.Move) int { return strings.Compare(a.ID, b.ID) })
	c.Moves = merge(byID, moves, func(m *hornbeamwell.Move) string { return m.ID })
	slices.SortFunc(c.Moves, compareMoves)
	return c
}

func compareMoves(a, b hornbeamwell.Move) int {
	if order := a.AcceptedAt.Compare(b.AcceptedAt); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// nextTargets returns the targets, sorted by ID, with the changes applied. Targets that
// no proxy can use are left out.
func nextTargets(before []hornbeamwell.Target, changes []change) []hornbeamwell.Target {
	changed := changesOfKind(changes, kindTarget, (*item).usableTarget)
	return merge(before, changed, func(t *hornbeamwell.Target) string { return t.ID })
}

// namedChange is a resource that was put or, if the value is nil, removed.
type namedChange[T any] struct {
	name  string
	value *T
}

// skippedTargets returns the number of changes that put an item without a usable target.
func skippedTargets(changes []change) int {
	skipped := 0
	for _, c := range changes {
		if c.item != nil && c.item.usableTarget() == nil {
			skipped++
		}
	}
	return skipped
}

// changesOfKind returns the changes of one kind sorted by name, at most one for
// each name. A resource whose service changed counts as put, regardless of the
// order of its two changes.
func changesOfKind[T any](changes []change, kind string, value func(*item) *T) []namedChange[T] {
	last := map[string]*T{}
	for _, c := range changes {
		switch {
		case c.key.kind != kind:
		case c.item != nil:
			last[c.key.name] = value(c.item)
		case last[c.key.name] == nil:
			last[c.key.name] = nil
		}
	}
	selected := make([]namedChange[T], 0, len(last))
	for name, v := range last {
		selected = append(selected, namedChange[T]{name, v})
	}
	slices.SortFunc(selected, func(a, b namedChange[T]) int { return strings.Compare(a.name, b.name) })
	return selected
}

// merge applies sorted changes to sorted resources.
func merge[T any](current []T, changes []namedChange[T], name func(*T) string) []T {
	if len(changes) == 0 {
		return current
	}
	next := make([]T, 0, len(current)+len(changes))
	for _, c := range changes {
		i, found := slices.BinarySearchFunc(current, c.name, func(t T, n string) int { return strings.Compare(name(&t), n) })
		next = append(next, current[:i]...)
		current = current[i:]
		if found {
			current = current[1:]
		}
		if c.value != nil {
			next = append(next, *c.value)
		}
	}
	next = append(next, current...)
	if len(next) == 0 {
		return nil
	}
	return next
}
