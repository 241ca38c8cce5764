package delivery

import (
	"fmt"
	"strings"
	"sync"

	"github.com/hornbeamwell/hornbeamwell"
)

// configSnapshot is one configuration and the views of it that subscribers
// have. Items that did not change are shared with the previous snapshot.
type configSnapshot struct {
	full *view

	mu sync.Mutex
	// isCurrent is false after a newer snapshot has replaced this one. It is
	// guarded by mu.
	isCurrent bool
	// index is built on first use. It is guarded by mu.
	index *routeIndex
	// closures caches the views by interests, whose texts have closureBytes. Both are guarded
	// by mu.
	closures     map[string]*closureView
	closureBytes int
}

// maxViewKeyBytes bounds the texts by which the views of one snapshot are cached. A subscriber
// may send any interests.
const maxViewKeyBytes = 8 << 20

// closureView is the part of a configuration that a proxy with certain
// interests receives.
type closureView struct {
	// services is nil if the view is the full configuration.
	services []string
	view     *view
}

// newConfigSnapshot encodes the configuration. Unchanged items are shared with
// the previous snapshot, which may be nil.
func newConfigSnapshot(previous *configSnapshot, c *hornbeamwell.Configuration) (*configSnapshot, error) {
	var before *view
	if previous != nil {
		before = previous.full
	}
	items := configurationItems(c)
	for i, it := range items {
		encoded, err := encodeItem(it)
		if err != nil {
			return nil, fmt.Errorf("configuration %d: %w", c.Version, err)
		}
		items[i] = reuseItem(before, encoded)
	}
	full := newView(0, uint64(c.Version), groupItems(before, items))
	return &configSnapshot{full: full, isCurrent: true, closures: map[string]*closureView{}}, nil
}

// configurationItems returns copies of the configuration's resources, so that
// an item does not keep a whole configuration in memory.
func configurationItems(c *hornbeamwell.Configuration) []*item {
	items := make([]*item, 0, len(c.Services)+len(c.Routes)+len(c.Moves)+len(c.Teams)+len(c.Evacuations))
	for _, s := range c.Services {
		items = append(items, &item{key: itemKey{s.Name, kindService, s.Name}, service: &s})
	}
	for _, r := range c.Routes {
		items = append(items, &item{key: itemKey{r.Service, kindRoute, r.Name}, route: &r})
	}
	for _, m := range c.Moves {
		items = append(items, &item{key: itemKey{m.Service, kindMove, m.ID}, move: &m})
	}
	for _, t := range c.Teams {
		items = append(items, &item{key: itemKey{globalGroup, kindTeam, t.Name}, team: &t})
	}
	for _, e := range c.Evacuations {
		items = append(items, &item{key: itemKey{globalGroup, kindEvacuation, e.Zone}, evacuation: &e})
	}
	return items
}

// reuseItem returns the item of the previous view if it equals the new one.
func reuseItem(previous *view, fresh *item) *item {
	if previous == nil {
		return fresh
	}
	if old, found := previous.item(fresh.key); found && old.hash == fresh.hash {
		return old
	}
	return fresh
}

// closureOf returns the view of a proxy with the interests; empty means all.
func (s *configSnapshot) closureOf(interests []string) *closureView {
	if len(interests) == 0 {
		return &closureView{view: s.full}
	}
	key := strings.Join(interests, "\x00")
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached, found := s.closures[key]; found {
		return cached
	}
	if s.index == nil {
		s.index = newRouteIndex(s.full.routes())
	}
	services := s.index.closure(interests)
	created := &closureView{services: services, view: s.full.filter(services)}
	if s.isCurrent && s.closureBytes+len(key) <= maxViewKeyBytes {
		s.closureBytes += len(key)
		s.closures[key] = created
	}
	if !s.isCurrent {
		s.index = nil
	}
	return created
}

// supersede records that a newer snapshot has replaced this one, releases the caches that only
// the current snapshot needs, and returns what a source keeps of it.
func (s *configSnapshot) supersede() *configOutline {
	s.mu.Lock()
	defer s.mu.Unlock()
	outline := &configOutline{full: s.full.outlined(), index: s.index}
	s.isCurrent = false
	s.index = nil
	s.closures, s.closureBytes = map[string]*closureView{}, 0
	return outline
}
