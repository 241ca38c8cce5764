package delivery

import (
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// group holds the items of one service. It is immutable and shared by views.
type group struct {
	service string
	// items are sorted by key.
	items []*item
	// digest is the sum of the items' hashes.
	digest uint64
	// digestOnly is true if the items are not known.
	digestOnly bool
	bytes      int
}

func newGroup(service string, items []*item) *group {
	g := &group{service: service, items: items}
	for _, it := range items {
		g.digest += it.hash
		g.bytes += len(it.raw)
	}
	return g
}

func newSortedGroup(service string, items []*item) *group {
	slices.SortFunc(items, func(a, b *item) int { return a.key.compare(b.key) })
	return newGroup(service, items)
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
}

func newView(epoch, version uint64, groups []*group) *view {
	v := &view{epoch: epoch, version: version, groups: groups}
	for _, g := range groups {
		v.digest += g.digest
		v.bytes += g.bytes
	}
	return v
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
	if previous != nil {
		if g, found := previous.group(service); found && slices.Equal(g.items, items) {
			return g
		}
	}
	return newGroup(service, items)
}
