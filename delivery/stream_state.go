package delivery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// BaseError is returned for a change that applies to another state than the
// current one.
type BaseError struct {
	// Want is the digest that the change applies to, Have the digest of the
	// current state.
	Want, Have uint64
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("change applies to state digest %x, current digest is %x", e.Want, e.Have)
}

// DigestError is returned for a change whose result differs from the sender's
// state.
type DigestError struct {
	// Want is the digest of the sender's state, Have the digest of the result.
	Want, Have uint64
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("change produced state digest %x, sender has %x", e.Have, e.Want)
}

// streamState is the received state of one stream. It is immutable.
type streamState struct {
	epoch, version uint64
	groups         map[string]streamGroup
	// digest is the sum of the groups' digests.
	digest uint64
	// keepsUnreadable is true where an item that can't be decoded does not refuse the
	// change. It stays in the state, so that the digests match, and has no resource.
	keepsUnreadable bool
}

type streamGroup struct {
	items  map[itemKey]*item
	digest uint64
}

// isComplete reports whether the group contains its service or has no routes.
func (g streamGroup) isComplete(service string) bool {
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

// change is an item that a part put or, if the item is nil, removed.
type change struct {
	key  itemKey
	item *item
}

// patch builds a stream state from another one and a part.
type patch struct {
	next    *streamState
	changes []change
	// copied are the groups that next does not share with the previous state.
	copied map[string]bool
}

// apply returns the state after the part and the items that changed. The
// receiver is not modified.
func (s *streamState) apply(part *wire.Part) (*streamState, []change, error) {
	p := &patch{next: &streamState{epoch: part.Epoch, version: part.Version, keepsUnreadable: s.keepsUnreadable}, copied: map[string]bool{}}
	if !part.Full {
		if part.BaseDigest != s.digest {
			return nil, nil, &BaseError{Want: part.BaseDigest, Have: s.digest}
		}
		p.next.groups = maps.Clone(s.groups)
		p.next.digest = s.digest
	}
	if p.next.groups == nil {
		p.next.groups = map[string]streamGroup{}
	}
	if err := p.applyPart(part); err != nil {
		return nil, nil, err
	}
	if p.next.digest != part.Digest {
		return nil, nil, &DigestError{Want: part.Digest, Have: p.next.digest}
	}
	return p.next, p.changes, nil
}

// applyPart replaces the groups of the part, then puts and removes its items.
func (p *patch) applyPart(part *wire.Part) error {
	for _, g := range part.Replaced {
		p.deleteGroup(g.Service)
		if err := p.put(g.Service, g.Items); err != nil {
			return err
		}
	}
	if err := p.put(globalGroup, part.Put); err != nil {
		return err
	}
	for _, k := range part.Removed {
		p.set(itemKey{k.Service, k.Kind, k.Name}, nil)
	}
	return nil
}

// put puts the items. Those that can't be decoded go into the group of the service. If
// this is not their group at the source, the group's digest differs, and the source
// replaces the group after the next resync.
func (p *patch) put(service string, raws []json.RawMessage) error {
	for _, raw := range raws {
		it, err := decodeItem(raw)
		if err != nil && p.next.keepsUnreadable {
			it = unreadableItem(service, raw)
		} else if err != nil {
			return err
		}
		p.set(it.key, it)
	}
	return nil
}

// deleteGroup removes the group with all its items.
func (p *patch) deleteGroup(service string) {
	g := p.next.groups[service]
	for key := range g.items {
		p.changes = append(p.changes, change{key: key})
	}
	p.next.digest -= g.digest
	delete(p.next.groups, service)
	p.copied[service] = true
}

// set puts the item or, if it is nil, removes it. A shared group is copied
// before its first change.
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

func (s *streamState) base() wire.Base {
	return wire.Base{Epoch: s.epoch, Version: s.version, Digest: s.digest}
}

func (s *streamState) groupDigests() []wire.GroupDigest {
	digests := make([]wire.GroupDigest, 0, len(s.groups))
	for service, g := range s.groups {
		digests = append(digests, wire.GroupDigest{Service: service, Digest: g.digest})
	}
	slices.SortFunc(digests, func(a, b wire.GroupDigest) int { return strings.Compare(a.Service, b.Service) })
	return digests
}

// forEach calls visit for every item, in no particular order.
func (s *streamState) forEach(visit func(*item)) {
	for _, g := range s.groups {
		for _, it := range g.items {
			visit(it)
		}
	}
}
