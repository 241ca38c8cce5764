package delivery

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hornbeamwell/hornbeamwell"
)

// presenceSnapshot is one version of the targets' presence and the views of it
// that subscribers have.
type presenceSnapshot struct {
	// full holds targets in every state, for relays and followers.
	full *view
	// present omits the targets that are gone, for proxies.
	present *view
	// changed are the services whose targets differ from the previous snapshot.
	changed map[string]bool

	mu sync.Mutex
	// isCurrent is false after a newer snapshot has replaced this one. It is
	// guarded by mu.
	isCurrent bool
	// views caches the views by services, whose names have viewBytes. Both are guarded by mu.
	views     map[string]*view
	viewBytes int
}

// viewFor returns the view of a proxy with the services; nil means all.
func (s *presenceSnapshot) viewFor(services []string) *view {
	if services == nil {
		return s.present
	}
	key := strings.Join(services, "\x00")
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached, found := s.views[key]; found {
		return cached
	}
	created := s.present.filter(services)
	if s.isCurrent && s.viewBytes+len(key) <= maxViewKeyBytes {
		s.viewBytes += len(key)
		s.views[key] = created
	}
	return created
}

// supersede records that a newer snapshot has replaced this one and releases
// the caches that only the current snapshot needs.
func (s *presenceSnapshot) supersede() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCurrent = false
	s.views, s.viewBytes = map[string]*view{}, 0
}

// outlined returns what a source keeps of the snapshot once it is past.
func (s *presenceSnapshot) outlined() *presenceOutline {
	return &presenceOutline{full: s.full.outlined(), present: s.present.outlined()}
}

// presenceOutline is what a source keeps of a past version of the targets' presence. It is
// immutable.
type presenceOutline struct{ full, present *view }

// viewFor returns the view of a proxy with the services; nil means all.
func (o *presenceOutline) viewFor(services []string) *view {
	if services == nil {
		return o.present
	}
	return o.present.filter(services).outlined()
}

// bytesBeside implements sized.
func (o *presenceOutline) bytesBeside(next *presenceOutline) int {
	if next == nil {
		return o.full.bytesBeside(nil) + o.present.bytesBeside(nil)
	}
	return o.full.bytesBeside(next.full) + o.present.bytesBeside(next.present)
}

// presenceBuilder builds snapshots that share unchanged groups.
type presenceBuilder struct {
	epoch uint64
	// services holds the targets of the last snapshot by service and ID.
	services map[string]map[string]*item
	// serviceByID holds the service of each target by ID.
	serviceByID map[string]string
	last        *presenceSnapshot
}

func newPresenceBuilder(epoch uint64) *presenceBuilder {
	return &presenceBuilder{epoch: epoch, services: map[string]map[string]*item{}, serviceByID: map[string]string{}}
}

// build returns the snapshot of the targets, of which only those with the
// changedIDs differ from the last snapshot.
func (b *presenceBuilder) build(version uint64, targets map[string]hornbeamwell.Target, changedIDs map[string]bool) (*presenceSnapshot, error) {
	changed := map[string]bool{}
	for id := range changedIDs {
		t, found := targets[id]
		if err := b.update(id, t, found, changed); err != nil {
			return nil, err
		}
	}
	if b.last != nil {
		b.last.supersede()
	}
	b.last = b.snapshot(version, changed)
	return b.last, nil
}

// update records the target or, if found is false, its removal from the board,
// and adds the services whose targets differ to changed.
func (b *presenceBuilder) update(id string, t hornbeamwell.Target, found bool, changed map[string]bool) error {
	before, known := b.serviceByID[id]
	if known && (!found || before != t.Service) {
		changed[before] = true
		delete(b.services[before], id)
		delete(b.serviceByID, id)
	}
	if !found {
		return nil
	}
	if current := b.services[t.Service][id]; current != nil && *current.target == t {
		return nil
	}
	fresh, err := encodeItem(&item{key: itemKey{t.Service, kindTarget, id}, target: &t})
	if err != nil {
		return err
	}
	if b.services[t.Service] == nil {
		b.services[t.Service] = map[string]*item{}
	}
	changed[t.Service] = true
	b.services[t.Service][id] = fresh
	b.serviceByID[id] = t.Service
	return nil
}

// snapshot returns a snapshot with new groups for the services that changed.
func (b *presenceBuilder) snapshot(version uint64, changed map[string]bool) *presenceSnapshot {
	var full, present []*group
	if b.last != nil {
		full = withoutServices(b.last.full.groups, changed)
		present = withoutServices(b.last.present.groups, changed)
	}
	for service := range changed {
		items := slices.Collect(maps.Values(b.services[service]))
		if len(items) == 0 {
			delete(b.services, service)
			continue
		}
		full = append(full, newSortedGroup(b.lastGroup(service, false), service, items))
		if remaining := withoutGone(items); len(remaining) > 0 {
			present = append(present, newSortedGroup(b.lastGroup(service, true), service, remaining))
		}
	}
	sortGroups(full)
	sortGroups(present)
	return &presenceSnapshot{
		full:      newView(b.epoch, version, full),
		present:   newView(b.epoch, version, present),
		changed:   changed,
		isCurrent: true,
		views:     map[string]*view{},
	}
}

// lastGroup returns the group of the service in the last snapshot, nil if there is none.
func (b *presenceBuilder) lastGroup(service string, isPresent bool) *group {
	if b.last == nil {
		return nil
	}
	last := b.last.full
	if isPresent {
		last = b.last.present
	}
	g, _ := last.group(service)
	return g
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
	var remaining []*item
	for _, it := range items {
		if it.target.State != hornbeamwell.TargetGone {
			remaining = append(remaining, it)
		}
	}
	return remaining
}
