package ledger

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Status is the state of the ledger as known to one instance.
type Status struct {
	ID, Identity string
	// Cluster is empty if the instance belongs to no cluster yet.
	Cluster string
	Term    uint64
	Role    Role
	// Leader is the id of the leader, empty when none is known.
	Leader        string
	LeaderAddress netip.AddrPort
	// HoldsLease is true while this instance holds the leader lease, so that no
	// other instance can lead.
	HoldsLease bool
	// LeaseEnd is zero if this instance does not lead, has committed nothing in
	// its term, or no quorum has acknowledged a heartbeat.
	LeaseEnd time.Time
	// Applied is at most Commit, and Commit at most LastIndex.
	Commit, Applied, LastIndex uint64
	Members                    []MemberStatus
}

// MemberStatus is the state of one member as known to one instance.
type MemberStatus struct {
	hornbeamwell.LedgerMember
	// Match is the last index that the member is known to have synced. It is 0
	// if this instance does not lead or is the member.
	Match uint64
	// LastContact is the time of the last reply from the member to this leader.
	// It is zero if there is none, if the connection to the member broke since,
	// or if this instance does not lead or is the member.
	LastContact time.Time
}

// hasSameLeadership reports whether s and other agree in everything whose
// change OnLeadership reports.
func (s *Status) hasSameLeadership(other *Status) bool {
	return s.Term == other.Term && s.Role == other.Role && s.Leader == other.Leader &&
		s.LeaderAddress == other.LeaderAddress && s.HoldsLease == other.HoldsLease &&
		slices.EqualFunc(s.Members, other.Members, func(a, b MemberStatus) bool { return a.LedgerMember == b.LedgerMember })
}

// status returns the current status.
func (c *core) status(now time.Time) Status {
	leaseEnd := c.leaseEnd(now)
	s := Status{
		ID:            c.config.self.ID,
		Identity:      c.config.self.Identity,
		Cluster:       c.cluster(),
		Term:          c.vote.Term,
		Role:          c.role,
		Leader:        c.leader.ID,
		LeaderAddress: c.leader.Address,
		HoldsLease:    now.Before(leaseEnd),
		LeaseEnd:      leaseEnd,
		Commit:        c.commit,
		Applied:       c.delivered,
		LastIndex:     c.log.lastIndex(),
	}
	for _, m := range c.log.members() {
		status := MemberStatus{LedgerMember: m}
		if p := c.progress[m.ID]; p != nil {
			status.Match, status.LastContact = p.match, p.reachedAt()
		}
		s.Members = append(s.Members, status)
	}
	return s
}
