package delivery

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// nextConfiguration returns the configuration after the changes. The one before
// stays as it is.
func nextConfiguration(before *hornbeamwell.Configuration, version uint64, changes []change) *hornbeamwell.Configuration {
	c := &hornbeamwell.Configuration{Version: hornbeamwell.ConfigVersion(version)}
	c.Services = merge(before.Services, pick(changes, kindService, func(it *item) *hornbeamwell.Service { return it.service }),
		func(s *hornbeamwell.Service) string { return s.Name })
	c.Routes = merge(before.Routes, pick(changes, kindRoute, func(it *item) *hornbeamwell.Route { return it.route }),
		func(r *hornbeamwell.Route) string { return r.Name })
	moves := pick(changes, kindMove, func(it *item) *hornbeamwell.Move { return it.move })
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

// nextTargets returns the targets, sorted by id, after the changes.
func nextTargets(before []hornbeamwell.Target, changes []change) []hornbeamwell.Target {
	changed := pick(changes, kindTarget, func(it *item) *hornbeamwell.Target { return it.target })
	return merge(before, changed, func(t *hornbeamwell.Target) string { return t.ID })
}

// named is a resource that was put or, where it is nil, removed.
type named[T any] struct {
	name  string
	value *T
}

// pick returns the changes of one kind, one for each name, sorted. A resource
// that went from one service to another is put, whichever change comes first.
func pick[T any](changes []change, kind string, value func(*item) *T) []named[T] {
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
	picked := make([]named[T], 0, len(last))
	for name, v := range last {
		picked = append(picked, named[T]{name, v})
	}
	slices.SortFunc(picked, func(a, b named[T]) int { return strings.Compare(a.name, b.name) })
	return picked
}

// merge returns the sorted resources with the sorted changes applied.
func merge[T any](held []T, changes []named[T], name func(*T) string) []T {
	if len(changes) == 0 {
		return held
	}
	next := make([]T, 0, len(held)+len(changes))
	for _, c := range changes {
		i, found := slices.BinarySearchFunc(held, c.name, func(t T, n string) int { return strings.Compare(name(&t), n) })
		next = append(next, held[:i]...)
		held = held[i:]
		if found {
			held = held[1:]
		}
		if c.value != nil {
			next = append(next, *c.value)
		}
	}
	next = append(next, held...)
	if len(next) == 0 {
		return nil
	}
	return next
}
