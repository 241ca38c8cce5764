package delivery

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// group holds the items of one service. It is immutable and shared by views.
type group struct {
	service string
	// items are sorted by key. There are none in an outline.
	items []*item
	// digest is the sum of the items' hashes.
	digest uint64
	// digestOnly is true if the items are not known.
	digestOnly bool
	bytes      int
	// outline has the keys and the hashes of the items alone. It is nil in an outline.
	outline *group
	// keys and hashes are those of the items of an outline, in the order of the keys.
	keys   []itemKey
	hashes []uint64
}

// newGroup returns a group of the items, which must be sorted. Its keys are shared with the
// previous group of the service, which may be nil, if they are the same.
func newGroup(previous *group, service string, items []*item) *group {
	g := &group{service: service, items: items, outline: &group{service: service}}
	g.outline.hashes = make([]uint64, 0, len(items))
	for _, it := range items {
		g.digest += it.hash
		g.bytes += len(it.raw)
		g.outline.hashes = append(g.outline.hashes, it.hash)
	}
	g.outline.digest = g.digest
	if previous != nil && previous.outline.hasKeysOf(items) {
		g.outline.keys = previous.outline.keys
		return g
	}
	g.outline.keys = make([]itemKey, 0, len(items))
	for _, it := range items {
		g.outline.keys = append(g.outline.keys, it.key)
	}
	return g
}

// hasKeysOf reports whether the outline has the keys of the items.
func (g *group) hasKeysOf(items []*item) bool {
	return slices.EqualFunc(g.keys, items, func(key itemKey, it *item) bool { return key == it.key })
}

// outlined returns the outline of the group.
func (g *group) outlined() *group {
	if g.outline == nil {
		return g
	}
	return g.outline
}

const (
	// groupBytes and keyBytes are the memory of a group, with its place in a view, and of
	// a key, without texts.
	groupBytes = 160
	keyBytes   = 48
	hashBytes  = 8
)

// bytesBeside returns the memory that only this outline takes beside the next one of the
// service, which may be nil.
func (g *group) bytesBeside(next *group) int {
	if g == next {
		return 0
	}
	bytes := groupBytes + hashBytes*len(g.hashes)
	if next != nil && len(g.keys) > 0 && len(next.keys) > 0 && &g.keys[0] == &next.keys[0] {
		return bytes
	}
	for _, key := range g.keys {
		bytes += keyBytes + len(key.service) + len(key.name)
	}
	return bytes
}

func newSortedGroup(previous *group, service string, items []*item) *group {
	slices.SortFunc(items, func(a, b *item) int { return a.key.compare(b.key) })
	return newGroup(previous, service, items)
}

func sortGroups(groups []*group) {
	slices.SortFunc(groups, func(a, b *group) int { return strings.Compare(a.service, b.service) })
}

func (g *group) item(key itemKey) (*item, bool) {
	i, found := slices.BinarySearchFunc(g.items, key, func(it *item, k itemKey) int { return it.key.compare(k) })
	if !found {
		return nil, false
	}
	return g.items[i], true
}

// view is one version of a stream. It is immutable.
type view struct {
	epoch, version uint64
	// groups are sorted by service. None is empty.
	groups []*group
	// digest is the sum of the groups' digests.
	digest uint64
	bytes  int
	// outline has the outlines of the groups. It is nil in an outline.
	outline *view
}

func newView(epoch, version uint64, groups []*group) *view {
	v := &view{epoch: epoch, version: version, groups: groups}
	outlines := make([]*group, 0, len(groups))
	for _, g := range groups {
		v.digest += g.digest
		v.bytes += g.bytes
		outlines = append(outlines, g.outlined())
	}
	v.outline = &view{epoch: epoch, version: version, groups: outlines, digest: v.digest}
	return v
}

// outlined returns the outline of the view, which suffices as the base of a change. It does not
// keep the items in memory.
func (v *view) outlined() *view {
	if v == nil || v.outline == nil {
		return v
	}
	return v.outline
}

// bytesBeside returns the memory that only this outline takes beside the next one, which may
// be nil.
func (v *view) bytesBeside(next *view) int {
	const slotBytes = 8
	bytes := groupBytes + slotBytes*len(v.groups)
	for _, g := range v.groups {
		var other *group
		if next != nil {
			other, _ = next.group(g.service)
		}
		bytes += g.bytesBeside(other)
	}
	return bytes
}

func (v *view) group(service string) (*group, bool) {
	i, found := slices.BinarySearchFunc(v.groups, service, func(g *group, name string) int {
		return strings.Compare(g.service, name)
	})
	if !found {
		return nil, false
	}
	return v.groups[i], true
}

func (v *view) item(key itemKey) (*item, bool) {
	g, found := v.group(key.service)
	if !found {
		return nil, false
	}
	return g.item(key)
}

func (v *view) routes() []*hornbeamwell.Route {
	var routes []*hornbeamwell.Route
	for _, g := range v.groups {
		for _, it := range g.items {
			if it.route != nil {
				routes = append(routes, it.route)
			}
		}
	}
	return routes
}

// filter returns the part of the view that belongs to the services, which must
// be sorted.
func (v *view) filter(services []string) *view {
	groups := make([]*group, 0, len(services)+1)
	if g, found := v.group(globalGroup); found {
		groups = append(groups, g)
	}
	for _, name := range services {
		if g, found := v.group(name); found {
			groups = append(groups, g)
		}
	}
	return newView(v.epoch, v.version, groups)
}

// groupItems sorts the items into groups. A group with the same items as in the
// previous view is shared with it.
func groupItems(previous *view, items []*item) []*group {
	slices.SortFunc(items, func(a, b *item) int { return a.key.compare(b.key) })
	var groups []*group
	for len(items) > 0 {
		service := items[0].key.service
		end := slices.IndexFunc(items, func(it *item) bool { return it.key.service != service })
		if end < 0 {
			end = len(items)
		}
		groups = append(groups, reuseGroup(previous, service, items[:end:end]))
		items = items[end:]
	}
	return groups
}

func reuseGroup(previous *view, service string, items []*item) *group {
	var before *group
	if previous != nil {
		before, _ = previous.group(service)
	}
	if before != nil && slices.Equal(before.items, items) {
		return before
	}
	return newGroup(before, service, items)
}
