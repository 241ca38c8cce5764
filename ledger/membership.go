package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// ChangeKind is the kind of a member change.
type ChangeKind string

// The kinds of member changes.
const (
	// AddMember adds an instance as a learner, which becomes a voter once it
	// has caught up.
	AddMember ChangeKind = "add"
	// RemoveMember removes an instance.
	RemoveMember ChangeKind = "remove"
)

// MemberChange is one change of the list of members.
type MemberChange struct {
	Kind ChangeKind
	// Member needs only an ID for a removal. Identity and Role are ignored.
	Member hornbeamwell.LedgerMember
}

// joiningMember is an instance to be added whose identity the leader does not
// know yet.
type joiningMember struct {
	member   hornbeamwell.LedgerMember
	deadline time.Time
}

// joinTimeout is the time for which a leader requests the identity of a new
// instance, and the longest time for which ChangeMember waits.
const joinTimeout = 30 * time.Second

// changeMember starts a member change.
func (c *core) changeMember(now time.Time, change MemberChange) {
	if c.role != RoleLeader {
		c.out.rejected = &hornbeamwell.NotLeaderError{Leader: c.leader.ID}
		return
	}
	if !c.mayChange() {
		c.out.rejected = errChangePending
		return
	}
	current, known := memberByID(c.log.members(), change.Member.ID)
	switch change.Kind {
	case AddMember:
		c.out.rejected = c.addMember(now, change.Member, current, known)
	case RemoveMember:
		c.out.rejected = c.removeMember(now, current, known)
	default:
		c.out.rejected = invalid("change", "is neither add nor remove")
	}
}

func (c *core) addMember(now time.Time, m, current hornbeamwell.LedgerMember, known bool) error {
	if known && current.Address != m.Address {
		return invalid("member.address", "the member exists at "+current.Address.String()+"; remove it first")
	}
	if known {
		return nil
	}
	if m.ID == "" || !m.Address.IsValid() {
		return invalid("member", "needs an id and an address")
	}
	c.joining[m.ID] = joiningMember{member: m, deadline: now.Add(joinTimeout)}
	c.send(endpointOf(m), IdentityRequest{})
	return nil
}

func (c *core) removeMember(now time.Time, current hornbeamwell.LedgerMember, known bool) error {
	if !known {
		return hornbeamwell.ErrNotFound
	}
	if current.Role == hornbeamwell.LedgerVoter && c.voterCount() == 1 {
		return invalid("member.id", "is the last voter")
	}
	members := slices.DeleteFunc(slices.Clone(c.log.members()), func(m hornbeamwell.LedgerMember) bool {
		return m.ID == current.ID
	})
	if !c.hasActiveQuorum(now, members) {
		return errNoQuorumAfterRemoval
	}
	c.appendMembers(now, members)
	return nil
}

// hasActiveQuorum reports whether a quorum of the voters in a list, this leader
// included, replied within the minimum election timeout. A list without such a
// quorum could not be committed.
func (c *core) hasActiveQuorum(now time.Time, members []hornbeamwell.LedgerMember) bool {
	voters, active := 0, 0
	for _, m := range members {
		if m.Role != hornbeamwell.LedgerVoter {
			continue
		}
		voters++
		p := c.progress[m.ID]
		isActive := p != nil && p.member.Identity == m.Identity && now.Sub(p.lastContact) <= c.config.timing.ElectionMin
		if isActive || m.Identity == c.config.self.Identity {
			active++
		}
	}
	return active > voters/2
}

// mayChange reports whether the last change is committed and this leader has
// committed an entry of its own, so that old and new quorums intersect.
func (c *core) mayChange() bool {
	return c.role == RoleLeader && c.hasCommittedInTerm() && c.log.membersIndex() <= c.commit
}

// appendMembers appends a new list of members, which takes effect at once.
func (c *core) appendMembers(now time.Time, members []hornbeamwell.LedgerMember) {
	data, err := wire.EncodeLedgerMembers(members)
	if err != nil {
		hornbeamwell.ReportViolation("ledger_membership_entry", "%v", err)
		return
	}
	c.appendAsLeader(hornbeamwell.LedgerMembership, [][]byte{data})
	c.updateProgress(now)
	c.replicate(now)
	c.advanceLeaderCommit(now)
}

// requestIdentities repeats the identity requests to new instances and drops
// those past their deadline.
func (c *core) requestIdentities(now time.Time) {
	for id, j := range c.joining {
		if now.After(j.deadline) {
			delete(c.joining, id)
			continue
		}
		c.send(endpointOf(j.member), IdentityRequest{})
	}
}

// updateIdentity handles an identity that the leader received. A new member,
// and a member with a new identity because it lost its disk, becomes a learner.
// Nothing is done while mayChange is false. A member's new identity is also ignored
// while the list with it would have no active quorum.
func (c *core) updateIdentity(now time.Time, from Endpoint, zone string) {
	if !c.mayChange() {
		return
	}
	members := slices.Clone(c.log.members())
	if j, ok := c.joining[from.ID]; ok {
		delete(c.joining, from.ID)
		j.member.Identity = from.Identity
		j.member.Zone = cmp.Or(j.member.Zone, zone)
		j.member.Role = hornbeamwell.LedgerLearner
		c.appendMembers(now, append(members, j.member))
		return
	}
	at := slices.IndexFunc(members, func(m hornbeamwell.LedgerMember) bool { return m.ID == from.ID })
	if at < 0 && c.config.seeds != nil {
		c.addLearner(now, from, zone)
		return
	}
	if at < 0 || members[at].Identity == from.Identity || from.ID == c.config.self.ID {
		return
	}
	members[at].Identity = from.Identity
	members[at].Zone = cmp.Or(zone, members[at].Zone)
	members[at].Role = hornbeamwell.LedgerLearner
	if !c.hasActiveQuorum(now, members) {
		return
	}
	metricMembersReplaced.Inc()
	c.appendMembers(now, members)
}

// mayCampaign reports whether this instance is a voter, or was one until a
// removal that is not known to be committed. In the second case it may be the
// only one that can win, because its log may be the longest.
func (c *core) mayCampaign() bool {
	if c.isVoter(c.config.self.Identity) {
		return true
	}
	before, ok := memberByID(c.log.membersAt(c.commit), c.config.self.ID)
	return ok && before.Role == hornbeamwell.LedgerVoter && before.Identity == c.config.self.Identity
}

func (c *core) isVoter(identity string) bool {
	return slices.ContainsFunc(c.log.members(), func(m hornbeamwell.LedgerMember) bool {
		return m.Identity == identity && m.Role == hornbeamwell.LedgerVoter
	})
}

func (c *core) voterCount() int {
	voters := 0
	for _, m := range c.log.members() {
		if m.Role == hornbeamwell.LedgerVoter {
			voters++
		}
	}
	return voters
}

// forEachPeer calls a function for every other member with the role.
func (c *core) forEachPeer(fn func(hornbeamwell.LedgerMember), role hornbeamwell.LedgerRole) {
	for _, m := range c.log.members() {
		if m.Role == role && m.Identity != c.config.self.Identity {
			fn(m)
		}
	}
}

func memberByID(members []hornbeamwell.LedgerMember, id string) (hornbeamwell.LedgerMember, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return hornbeamwell.LedgerMember{}, false
}

func endpointOf(m hornbeamwell.LedgerMember) Endpoint {
	return Endpoint{ID: m.ID, Identity: m.Identity, Address: m.Address}
}
