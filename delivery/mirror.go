package delivery

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// BaseError says that a change is for another state than the one held.
type BaseError struct {
	// Want is the digest that the change is for, Have that of the state held.
	Want, Have uint64
}

// Error describes the error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("the change is for the state with digest %x, not %x", e.Want, e.Have)
}

// DigestError says that a change led to another state than the sender's.
type DigestError struct {
	Want, Have uint64
}

// Error describes the error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("the change leads to digest %x, not to the sender's %x", e.Have, e.Want)
}

// mirror is the receiving end of one stream. It never changes after it was
// made.
type mirror struct {
	epoch, version uint64
	groups         map[string]mirrorGroup
	digest         uint64
}

type mirrorGroup struct {
	items  map[itemKey]*item
	digest uint64
}

// apply returns the state after the part. On an error nothing has changed.
func (m *mirror) apply(part *wire.Part) (*mirror, error) {
	next := &mirror{epoch: part.Epoch, version: part.Version, groups: map[string]mirrorGroup{}}
	if !part.Full {
		if part.BaseDigest != m.digest {
			return nil, &BaseError{Want: part.BaseDigest, Have: m.digest}
		}
		next.groups = maps.Clone(m.groups)
		if next.groups == nil {
			next.groups = map[string]mirrorGroup{}
		}
	}
	for _, g := range part.Replaced {
		if err := next.replace(g); err != nil {
			return nil, err
		}
	}
	if err := next.change(part); err != nil {
		return nil, err
	}
	for _, g := range next.groups {
		next.digest += g.digest
	}
	if next.digest != part.Digest {
		return nil, &DigestError{Want: part.Digest, Have: next.digest}
	}
	return next, nil
}

func (m *mirror) replace(g wire.Group) error {
	if len(g.Items) == 0 {
		delete(m.groups, g.Service)
		return nil
	}
	fresh := mirrorGroup{items: make(map[itemKey]*item, len(g.Items))}
	for _, raw := range g.Items {
		it, err := decodeItem(raw)
		if err != nil {
			return err
		}
		fresh.items[it.key] = it
		fresh.digest += it.hash
	}
	m.groups[g.Service] = fresh
	return nil
}

// change puts and removes the items of the part. It copies a group before it
// changes it for the first time.
func (m *mirror) change(part *wire.Part) error {
	copied := map[string]bool{}
	for _, raw := range part.Put {
		it, err := decodeItem(raw)
		if err != nil {
			return err
		}
		m.set(copied, it.key, it)
	}
	for _, k := range part.Removed {
		m.set(copied, itemKey{k.Service, k.Kind, k.Name}, nil)
	}
	return nil
}

func (m *mirror) set(copied map[string]bool, key itemKey, it *item) {
	g := m.groups[key.service]
	if !copied[key.service] {
		copied[key.service] = true
		g.items = maps.Clone(g.items)
		if g.items == nil {
			g.items = map[itemKey]*item{}
		}
	}
	if old, found := g.items[key]; found {
		g.digest -= old.hash
		delete(g.items, key)
	}
	if it != nil {
		g.items[key] = it
		g.digest += it.hash
	}
	if len(g.items) == 0 {
		delete(m.groups, key.service)
		return
	}
	m.groups[key.service] = g
}

func (m *mirror) base() wire.Base {
	return wire.Base{Epoch: m.epoch, Version: m.version, Digest: m.digest}
}

func (m *mirror) groupDigests() []wire.GroupDigest {
	digests := make([]wire.GroupDigest, 0, len(m.groups))
	for service, g := range m.groups {
		digests = append(digests, wire.GroupDigest{Service: service, Digest: g.digest})
	}
	slices.SortFunc(digests, func(a, b wire.GroupDigest) int { return strings.Compare(a.Service, b.Service) })
	return digests
}

// each calls visit for every item, in no order.
func (m *mirror) each(visit func(*item)) {
	for _, g := range m.groups {
		for _, it := range g.items {
			visit(it)
		}
	}
}

// configuration returns the configuration that the mirror holds.
func (m *mirror) configuration() *hornbeamwell.Configuration {
	c := &hornbeamwell.Configuration{Version: hornbeamwell.ConfigVersion(m.version)}
	m.each(func(it *item) {
		switch {
		case it.service != nil:
			c.Services = append(c.Services, *it.service)
		case it.route != nil:
			c.Routes = append(c.Routes, *it.route)
		case it.move != nil:
			c.Moves = append(c.Moves, *it.move)
		}
	})
	slices.SortFunc(c.Services, func(a, b hornbeamwell.Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Routes, func(a, b hornbeamwell.Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Moves, compareMoves)
	return c
}

func compareMoves(a, b hornbeamwell.Move) int {
	if order := a.AcceptedAt.Compare(b.AcceptedAt); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// targets returns the targets that the mirror holds, sorted by id.
func (m *mirror) targets() []hornbeamwell.Target {
	var targets []hornbeamwell.Target
	m.each(func(it *item) {
		if it.target != nil {
			targets = append(targets, *it.target)
		}
	})
	slices.SortFunc(targets, func(a, b hornbeamwell.Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}
