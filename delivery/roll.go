package delivery

import (
	"maps"
	"slices"
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
	// services holds the targets of the last roll by service and id.
	services map[string]map[string]*item
	// places holds the service of each target by id.
	places map[string]string
	last   *roll
}

func newRollMaker(epoch uint64) *rollMaker {
	return &rollMaker{epoch: epoch, services: map[string]map[string]*item{}, places: map[string]string{}}
}

// make returns the roll of the targets, of which those with the ids changed
// since the last one.
func (m *rollMaker) make(version uint64, targets map[string]hornbeamwell.Target, ids map[string]bool) (*roll, error) {
	changed := map[string]bool{}
	for id := range ids {
		t, found := targets[id]
		if err := m.place(id, t, found, changed); err != nil {
			return nil, err
		}
	}
	if m.last != nil {
		m.last.supersede()
	}
	m.last = m.next(version, changed)
	return m.last, nil
}

// place takes the target, which may be gone from the board, and notes the
// services that changed with it.
func (m *rollMaker) place(id string, t hornbeamwell.Target, found bool, changed map[string]bool) error {
	before, was := m.places[id]
	if was && (!found || before != t.Service) {
		changed[before] = true
		delete(m.services[before], id)
		delete(m.places, id)
	}
	if !found {
		return nil
	}
	if held := m.services[t.Service][id]; held != nil && *held.target == t {
		return nil
	}
	fresh, err := encodeItem(&item{key: itemKey{t.Service, kindTarget, id}, target: &t})
	if err != nil {
		return err
	}
	if m.services[t.Service] == nil {
		m.services[t.Service] = map[string]*item{}
	}
	changed[t.Service] = true
	m.services[t.Service][id] = fresh
	m.places[id] = t.Service
	return nil
}

// next returns the roll with new groups for the services that changed.
func (m *rollMaker) next(version uint64, changed map[string]bool) *roll {
	var whole, present []*group
	if m.last != nil {
		whole = withoutServices(m.last.whole.groups, changed)
		present = withoutServices(m.last.present.groups, changed)
	}
	for service := range changed {
		items := slices.Collect(maps.Values(m.services[service]))
		if len(items) == 0 {
			delete(m.services, service)
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

func withoutServices(groups []*group, services map[string]bool) []*group {
	kept := make([]*group, 0, len(groups)+len(services))
	for _, g := range groups {
		if !services[g.service] {
			kept = append(kept, g)
		}
	}
	return kept
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
