package delivery

import (
	"fmt"
	"maps"
	"strings"
	"sync"

	"github.com/hornbeamwell/hornbeamwell"
)

// edition is one configuration with the views that subscribers have of it.
type edition struct {
	configuration *hornbeamwell.Configuration
	whole         *view

	mu sync.Mutex
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
	items := make([]*item, 0, len(c.Services)+len(c.Routes)+len(c.Moves))
	for i := range c.Services {
		s := &c.Services[i]
		items = append(items, &item{key: itemKey{s.Name, kindService, s.Name}, service: s})
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		items = append(items, &item{key: itemKey{r.Service, kindRoute, r.Name}, route: r})
	}
	for i := range c.Moves {
		m := &c.Moves[i]
		items = append(items, &item{key: itemKey{m.Service, kindMove, m.ID}, move: m})
	}
	for i, it := range items {
		encoded, err := encodeItem(*it)
		if err != nil {
			return nil, fmt.Errorf("configuration %d: %w", c.Version, err)
		}
		items[i] = shared(before, encoded)
	}
	whole := newView(0, uint64(c.Version), groupItems(before, items))
	return &edition{configuration: c, whole: whole, closures: map[string]*closureView{}}, nil
}

// shared returns the item of the previous view where it equals the new one.
func shared(previous *view, fresh *item) *item {
	if previous == nil {
		return fresh
	}
	g, found := previous.group(fresh.key.service)
	if !found {
		return fresh
	}
	if old, found := g.item(fresh.key); found && old.hash == fresh.hash {
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
	services := closure(e.configuration, interests)
	made := &closureView{services: services, view: e.whole.only(services)}
	e.closures[key] = made
	return made
}

// roll is one version of the targets' presence with the views of it.
type roll struct {
	// whole holds targets in every state, for sources.
	whole *view
	// present leaves out the targets that are gone, for proxies.
	present *view

	mu sync.Mutex
	// parts holds the views by services. It is guarded by mu.
	parts map[string]*view
}

// newRoll encodes the targets. It shares what has not changed with the
// previous roll, which may be nil.
func newRoll(previous *roll, epoch, version uint64, targets map[string]hornbeamwell.Target) (*roll, error) {
	var before, presentBefore *view
	if previous != nil {
		before, presentBefore = previous.whole, previous.present
	}
	all := make([]*item, 0, len(targets))
	present := make([]*item, 0, len(targets))
	for target := range maps.Values(targets) {
		it, err := targetItem(before, target)
		if err != nil {
			return nil, err
		}
		all = append(all, it)
		if target.State != hornbeamwell.TargetGone {
			present = append(present, it)
		}
	}
	return &roll{
		whole:   newView(epoch, version, groupItems(before, all)),
		present: newView(epoch, version, groupItems(presentBefore, present)),
		parts:   map[string]*view{},
	}, nil
}

func targetItem(previous *view, target hornbeamwell.Target) (*item, error) {
	key := itemKey{target.Service, kindTarget, target.ID}
	if previous != nil {
		if g, found := previous.group(key.service); found {
			if old, found := g.item(key); found && *old.target == target {
				return old, nil
			}
		}
	}
	return encodeItem(item{key: key, target: &target})
}

// of returns the view of a proxy that holds the services; nil means all.
func (r *roll) of(services []string) *view {
	if services == nil {
		return r.present
	}
	key := strings.Join(services, "\x00")
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, found := r.parts[key]; found {
		return known
	}
	made := r.present.only(services)
	r.parts[key] = made
	return made
}
