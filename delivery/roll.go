package delivery

import (
	"strings"
	"sync"

	"github.com/hornbeamwell/hornbeamwell"
)

// roll is one version of the targets' presence with the views of it.
type roll struct {
	// whole holds targets in every state, for sources.
	whole *view
	// present leaves out the targets that are gone, for proxies.
	present *view
	// changed are the services that differ from the roll before.
	changed map[string]bool

	mu sync.Mutex
	// isCurrent is false once another roll followed. It is guarded by mu.
	isCurrent bool
	// parts holds the views by services. It is guarded by mu.
	parts map[string]*view
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
	if r.isCurrent {
		r.parts[key] = made
	}
	return made
}

// supersede lets go of what only the current roll needs.
func (r *roll) supersede() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCurrent = false
	r.parts = map[string]*view{}
}

// rollMaker makes rolls that share what has not changed.
type rollMaker struct {
	epoch uint64
	// items are the targets of the last roll by id.
	items map[string]*item
	last  *roll
}

func newRollMaker(epoch uint64) *rollMaker {
	return &rollMaker{epoch: epoch, items: map[string]*item{}}
}

// make returns the roll of the targets.
func (m *rollMaker) make(version uint64, targets map[string]hornbeamwell.Target) (*roll, error) {
	all := map[string][]*item{}
	changed := map[string]bool{}
	for id, t := range targets {
		it, found := m.items[id]
		if !found || *it.target != t {
			fresh, err := encodeItem(&item{key: itemKey{t.Service, kindTarget, id}, target: &t})
			if err != nil {
				return nil, err
			}
			if found {
				changed[it.key.service] = true
			}
			changed[t.Service] = true
			m.items[id] = fresh
			it = fresh
		}
		all[t.Service] = append(all[t.Service], it)
	}
	m.sweep(targets, changed)
	if m.last != nil {
		m.last.supersede()
	}
	m.last = m.next(version, all, changed)
	return m.last, nil
}

// sweep drops the targets that are no longer on the board.
func (m *rollMaker) sweep(targets map[string]hornbeamwell.Target, changed map[string]bool) {
	if len(m.items) == len(targets) {
		return
	}
	for id, it := range m.items {
		if _, found := targets[id]; !found {
			changed[it.key.service] = true
			delete(m.items, id)
		}
	}
}

// next returns the roll of the items, with the groups of the last one where the
// service has not changed.
func (m *rollMaker) next(version uint64, all map[string][]*item, changed map[string]bool) *roll {
	var whole, present []*group
	for service, items := range all {
		if m.last != nil && !changed[service] {
			whole = appendGroup(whole, m.last.whole, service)
			present = appendGroup(present, m.last.present, service)
			continue
		}
		whole = append(whole, newSortedGroup(service, items))
		if here := withoutGone(items); len(here) > 0 {
			present = append(present, newSortedGroup(service, here))
		}
	}
	sortGroups(whole)
	sortGroups(present)
	return &roll{
		whole:     newView(m.epoch, version, whole),
		present:   newView(m.epoch, version, present),
		changed:   changed,
		isCurrent: true,
		parts:     map[string]*view{},
	}
}

func appendGroup(groups []*group, from *view, service string) []*group {
	if g, found := from.group(service); found {
		return append(groups, g)
	}
	return groups
}

func withoutGone(items []*item) []*item {
	var here []*item
	for _, it := range items {
		if it.target.State != hornbeamwell.TargetGone {
			here = append(here, it)
		}
	}
	return here
}
