package delivery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

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
	// digest is the sum of the groups' digests.
	digest uint64
}

type mirrorGroup struct {
	items  map[itemKey]*item
	digest uint64
}

// isWhole reports whether the group holds the service of its routes.
func (g mirrorGroup) isWhole(service string) bool {
	if _, found := g.items[itemKey{service, kindService, service}]; found {
		return true
	}
	for key := range g.items {
		if key.kind == kindRoute {
			return false
		}
	}
	return true
}

// change is an item that a part put or, where it is nil, removed.
type change struct {
	key  itemKey
	item *item
}

// patch makes a mirror from another and a part.
type patch struct {
	next    *mirror
	changes []change
	// copied are the groups that belong to next alone.
	copied map[string]bool
}

// apply returns the state after the part and the items that changed. On an
// error nothing has changed.
func (m *mirror) apply(part *wire.Part) (*mirror, []change, error) {
	p := &patch{next: &mirror{epoch: part.Epoch, version: part.Version}, copied: map[string]bool{}}
	if !part.Full {
		if part.BaseDigest != m.digest {
			return nil, nil, &BaseError{Want: part.BaseDigest, Have: m.digest}
		}
		p.next.groups = maps.Clone(m.groups)
		p.next.digest = m.digest
	}
	if p.next.groups == nil {
		p.next.groups = map[string]mirrorGroup{}
	}
	if err := p.change(part); err != nil {
		return nil, nil, err
	}
	if p.next.digest != part.Digest {
		return nil, nil, &DigestError{Want: part.Digest, Have: p.next.digest}
	}
	return p.next, p.changes, nil
}

// change replaces the groups of the part, then puts and removes its items.
func (p *patch) change(part *wire.Part) error {
	for _, g := range part.Replaced {
		p.clear(g.Service)
		if err := p.put(g.Items); err != nil {
			return err
		}
	}
	if err := p.put(part.Put); err != nil {
		return err
	}
	for _, k := range part.Removed {
		p.set(itemKey{k.Service, k.Kind, k.Name}, nil)
	}
	return nil
}

func (p *patch) put(raws []json.RawMessage) error {
	for _, raw := range raws {
		it, err := decodeItem(raw)
		if err != nil {
			return err
		}
		p.set(it.key, it)
	}
	return nil
}

// clear removes every item of the group.
func (p *patch) clear(service string) {
	g := p.next.groups[service]
	for key := range g.items {
		p.changes = append(p.changes, change{key: key})
	}
	p.next.digest -= g.digest
	delete(p.next.groups, service)
	p.copied[service] = true
}

// set puts or, for nil, removes the item. It copies a group before it changes
// it for the first time.
func (p *patch) set(key itemKey, it *item) {
	p.changes = append(p.changes, change{key, it})
	g := p.next.groups[key.service]
	if !p.copied[key.service] {
		p.copied[key.service] = true
		g.items = maps.Clone(g.items)
	}
	if g.items == nil {
		g.items = map[itemKey]*item{}
	}
	p.next.digest -= g.digest
	if old, found := g.items[key]; found {
		g.digest -= old.hash
		delete(g.items, key)
	}
	if it != nil {
		g.items[key] = it
		g.digest += it.hash
	}
	p.next.digest += g.digest
	if len(g.items) == 0 {
		delete(p.next.groups, key.service)
		return
	}
	p.next.groups[key.service] = g
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
