package delivery

import (
	"fmt"
	"strings"
	"sync"

	"github.com/hornbeamwell/hornbeamwell"
)

// edition is one configuration with the views that subscribers have of it. It
// keeps no part of the configuration that the editions before do not share.
type edition struct {
	whole *view

	mu sync.Mutex
	// isCurrent is false once another edition followed. It is guarded by mu.
	isCurrent bool
	// index is nil until it is needed. It is guarded by mu.
	index *routeIndex
	// closures holds the views by interests. It is guarded by mu.
	closures map[string]*closureView
}

// closureView is what a proxy with certain interests holds.
type closureView struct {
	// services are nil where the view is the whole.
	services []string
	view     *view
}

// newEdition encodes the configuration. It shares what has not changed with
// the previous edition, which may be nil.
func newEdition(previous *edition, c *hornbeamwell.Configuration) (*edition, error) {
	var before *view
	if previous != nil {
		before = previous.whole
	}
	items := configurationItems(c)
	for i, it := range items {
		encoded, err := encodeItem(it)
		if err != nil {
			return nil, fmt.Errorf("configuration %d: %w", c.Version, err)
		}
		items[i] = shared(before, encoded)
	}
	whole := newView(0, uint64(c.Version), groupItems(before, items))
	return &edition{whole: whole, isCurrent: true, closures: map[string]*closureView{}}, nil
}

// configurationItems returns copies of the configuration's resources, so that
// an item does not hold on to a whole configuration.
func configurationItems(c *hornbeamwell.Configuration) []*item {
	items := make([]*item, 0, len(c.Services)+len(c.Routes)+len(c.Moves))
	for _, s := range c.Services {
		items = append(items, &item{key: itemKey{s.Name, kindService, s.Name}, service: &s})
	}
	for _, r := range c.Routes {
		items = append(items, &item{key: itemKey{r.Service, kindRoute, r.Name}, route: &r})
	}
	for _, m := range c.Moves {
		items = append(items, &item{key: itemKey{m.Service, kindMove, m.ID}, move: &m})
	}
	return items
}

// shared returns the item of the previous view where it equals the new one.
func shared(previous *view, fresh *item) *item {
	if previous == nil {
		return fresh
	}
	if old, found := previous.item(fresh.key); found && old.hash == fresh.hash {
		return old
	}
	return fresh
}

// closureOf returns the view of a proxy with the interests; none means all.
func (e *edition) closureOf(interests []string) *closureView {
	if len(interests) == 0 {
		return &closureView{view: e.whole}
	}
	key := strings.Join(interests, "\x00")
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, found := e.closures[key]; found {
		return known
	}
	if e.index == nil {
		e.index = newRouteIndex(e.whole.routes())
	}
	services := e.index.closure(interests)
	made := &closureView{services: services, view: e.whole.only(services)}
	if e.isCurrent {
		e.closures[key] = made
	} else {
		e.index = nil
	}
	return made
}

// supersede lets go of what only the current edition needs.
func (e *edition) supersede() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isCurrent = false
	e.index = nil
	e.closures = map[string]*closureView{}
}
