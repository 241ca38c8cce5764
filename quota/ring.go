package quota

import (
	"maps"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// Ring assigns each team to a member by rendezvous hashing. A change of the members
// costs one hash for each team and joined member, and a full search only for the
// teams whose owner left.
type Ring struct {
	members map[string]bool
	owners  map[string]ringOwner
}

type ringOwner struct {
	member string
	weight uint64
}

// Size returns the number of members.
func (r *Ring) Size() int { return len(r.members) }

// SetMembers replaces the members.
func (r *Ring) SetMembers(members []string) {
	next := make(map[string]bool, len(members))
	var joined []string
	for _, m := range members {
		if !next[m] && !r.members[m] {
			joined = append(joined, m)
		}
		next[m] = true
	}
	r.members = next
	for team, owner := range r.owners {
		if !next[owner.member] {
			delete(r.owners, team)
			continue
		}
		for _, m := range joined {
			owner = owner.best(team, m)
		}
		r.owners[team] = owner
	}
}

// RetainTeams removes all teams that are not among the given ones.
func (r *Ring) RetainTeams(isKept func(team string) bool) {
	maps.DeleteFunc(r.owners, func(team string, _ ringOwner) bool { return !isKept(team) })
}

// Owner returns the member that owns the team, empty without members.
func (r *Ring) Owner(team string) string {
	if owner, found := r.owners[team]; found {
		return owner.member
	}
	var owner ringOwner
	for m := range r.members {
		owner = owner.best(team, m)
	}
	if owner.member == "" {
		return ""
	}
	if r.owners == nil {
		r.owners = map[string]ringOwner{}
	}
	r.owners[team] = owner
	return owner.member
}

func (o ringOwner) best(team, member string) ringOwner {
	weight := route.HashWeight(team, member)
	if o.member == "" || weight > o.weight || weight == o.weight && member < o.member {
		return ringOwner{member: member, weight: weight}
	}
	return o
}
