package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// History records the targets and the shares of one service over the last
// record lifetime. It determines which proxies may have a record of a key. It
// is not safe for concurrent use.
type History struct {
	members map[string]*member
	// shares holds the shares in force during the record lifetime, the current
	// ones last.
	shares []recordedShares
}

type member struct {
	target hornbeamwell.Target
	// present is true while the target may own keys.
	present bool
	// presentSince is the time since which the target has been present without
	// a break or a change of its version.
	presentSince time.Time
	// isListed is false if the latest list of targets lacks this target. leftAt
	// is the time of the first such list.
	isListed bool
	leftAt   time.Time
	// firstSeen is the time at which the target was first listed.
	firstSeen time.Time
}

type recordedShares struct {
	service *Service
	// until is zero for the current shares.
	until time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{members: make(map[string]*member)}
}

// Observe records the shares and the targets of the service that are in force
// from now on. Targets of other services are ignored.
func (h *History) Observe(now time.Time, service *Service, targets []hornbeamwell.Target) {
	h.observeShares(now, service)
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		if t.Service != service.Name {
			continue
		}
		listed[t.ID] = true
		h.observeTarget(now, t)
	}
	for id, m := range h.members {
		if !listed[id] && m.isListed {
			m.isListed, m.present = false, false
			m.leftAt = now
		}
		if !m.isListed && now.Sub(m.leftAt) > RecordLifetime {
			delete(h.members, id)
		}
	}
}

func (h *History) observeTarget(now time.Time, t hornbeamwell.Target) {
	m := h.members[t.ID]
	if m == nil {
		m = &member{firstSeen: now, presentSince: now}
		h.members[t.ID] = m
	}
	isPresent := t.State == hornbeamwell.TargetReady
	if isPresent && (!m.present || m.target.Version != t.Version) {
		m.presentSince = now
	}
	m.target = t
	m.present = isPresent
	m.isListed = true
}

func (h *History) observeShares(now time.Time, service *Service) {
	if n := len(h.shares); n > 0 {
		if h.shares[n-1].service.hasSameShares(service) {
			return
		}
		h.shares[n-1].until = now
	}
	h.shares = append(h.shares, recordedShares{service: service})
	h.shares = slices.DeleteFunc(h.shares, func(p recordedShares) bool {
		return !p.until.IsZero() && now.Sub(p.until) > RecordLifetime
	})
}

// KnownFor returns the time since the target was first seen. It returns false
// for an unknown target.
func (h *History) KnownFor(now time.Time, id string) (time.Duration, bool) {
	m := h.members[id]
	if m == nil {
		return 0, false
	}
	return now.Sub(m.firstSeen), true
}

// Target returns the target as last listed.
func (h *History) Target(id string) (hornbeamwell.Target, bool) {
	m := h.members[id]
	if m == nil {
		return hornbeamwell.Target{}, false
	}
	return m.target, true
}

// Holders lists the proxies that are involved in the claim of a key.
type Holders struct {
	// Peers are the targets whose proxies may have been the owner of the key or
	// its witness within a record lifetime, and those of Witnesses.
	Peers []hornbeamwell.Target
	// Witnesses are the targets whose proxies must hold the claim: the present
	// holders without the asking one.
	Witnesses []string
	// Count is the number of present holders, at most holdersPerClaim. It is 0
	// if the asking target is unknown.
	Count int
	// IsSpread is true if the two holders of every earlier claim were in
	// different availability zones.
	IsSpread bool
}

// Holders returns the proxies that the proxy of self asks before it runs the
// call with the key.
func (h *History) Holders(now time.Time, key, self string) Holders {
	found := Holders{IsSpread: true}
	asked := map[string]bool{self: true}
	add := func(m *member) {
		if !asked[m.target.ID] {
			asked[m.target.ID] = true
			found.Peers = append(found.Peers, m.target)
		}
	}
	for _, version := range h.versions(KeyPoint(key)) {
		possible, isSpread := h.possibleHolders(now, h.ranked(key, version))
		found.IsSpread = found.IsSpread && isSpread
		for _, m := range possible {
			add(m)
		}
	}
	own := h.members[self]
	if own == nil {
		return found
	}
	for _, m := range presentHolders(h.ranked(key, own.target.Version)) {
		found.Count++
		if m.target.ID != self {
			found.Witnesses = append(found.Witnesses, m.target.ID)
			add(m)
		}
	}
	return found
}

// presentHolders returns the owner, which is the first present member, and the
// witness, or as many of them as there are. The witness is the first present
// member after the owner in another zone, or else the second present member.
func presentHolders(ranked []*member) []*member {
	var owner, second *member
	for _, m := range ranked {
		switch {
		case !m.present:
		case owner == nil:
			owner = m
		case m.target.Zone != owner.target.Zone:
			return []*member{owner, m}
		case second == nil:
			second = m
		}
	}
	switch {
	case owner == nil:
		return nil
	case second == nil:
		return []*member{owner}
	default:
		return []*member{owner, second}
	}
}

// Members returns the ids of self and of the targets that Holders lists for it.
func (h *History) Members(now time.Time, key, self string) (ids []string, isSpread bool) {
	holders := h.Holders(now, key, self)
	ids = make([]string, 0, 1+len(holders.Peers))
	ids = append(ids, self)
	for _, t := range holders.Peers {
		ids = append(ids, t.ID)
	}
	return ids, holders.IsSpread
}

// versions returns the versions that the point was assigned to within a record
// lifetime.
func (h *History) versions(point hornbeamwell.Share) []string {
	var found []string
	for _, p := range h.shares {
		for _, allowCanary := range []bool{true, false} {
			if v := p.service.Version(point, allowCanary); !slices.Contains(found, v) {
				found = append(found, v)
			}
		}
	}
	return found
}

// ranked returns the members of a version by decreasing hash weight, so that
// the first present one is the owner of the key.
func (h *History) ranked(key, version string) []*member {
	var members []*member
	for _, m := range h.members {
		if m.target.Version == version {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(HashWeight(key, b.target.ID), HashWeight(key, a.target.ID)),
			cmp.Compare(a.target.ID, b.target.ID),
		)
	})
	return members
}

// possibleHolders returns the members that may have been the owner or the
// witness at some time in the record lifetime. Members that rank behind the
// first one that was present throughout were never the owner; members that rank
// behind the first such member in another zone were never the witness. If both
// exist, every pair of holders was in two zones. If all members are in a single
// zone, members that rank behind the second one that was present throughout were
// never the witness.
func (h *History) possibleHolders(now time.Time, ranked []*member) (members []*member, isSpread bool) {
	isOneZone := !slices.ContainsFunc(ranked, func(m *member) bool { return m.target.Zone != ranked[0].target.Zone })
	var first *member
	for i, m := range ranked {
		if !m.present || now.Sub(m.presentSince) <= RecordLifetime {
			continue
		}
		switch {
		case first == nil:
			first = m
		case m.target.Zone != first.target.Zone:
			return ranked[:i+1], true
		case isOneZone:
			return ranked[:i+1], false
		}
	}
	return ranked, false
}

// holdersPerClaim is the number of proxies that hold a claim before its call
// runs: the owner and its witness.
const holdersPerClaim = 2
