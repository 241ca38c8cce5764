package route

import (
	"slices"
	"time"
)

// HoldStatus is the result of a hold request, by which a proxy claims a key at
// another proxy.
type HoldStatus int

// The results of a hold request.
const (
	// HoldNoReply means that the proxy sent no valid reply. It may have refused
	// the request.
	HoldNoReply HoldStatus = iota
	// HoldAccepted means that the proxy holds the claim. It had no record of the
	// key, or one of an earlier claim by the asking proxy.
	HoldAccepted
	// HoldConflict means that the proxy has claimed or run the call itself, or
	// has a record of another proxy's claim.
	HoldConflict
)

// HoldReply is the reply of one proxy to a hold request.
type HoldReply struct {
	// Target is the id of the target beside the replying proxy.
	Target string
	Status HoldStatus
	// Holder is the id of the target whose proxy claimed or ran the call. It is
	// empty unless Status is HoldConflict.
	Holder string
	// RecordAge is the time for which the replying proxy has kept records
	// without a gap.
	RecordAge time.Duration
	// FirstClaimAge is the time since the asking proxy first claimed the key
	// there. It is negative if this is its first claim.
	FirstClaimAge time.Duration
	// Members are the targets whose proxies may have held an earlier claim,
	// according to the replying proxy.
	Members []string
	// HasPartialHistory is true if targets may have left before the replying
	// proxy began to record them.
	HasPartialHistory bool
	// IsSpread is true if the replying proxy knows that the holders of every
	// earlier claim were in different availability zones.
	IsSpread bool
	// Zone is the availability zone of the target.
	Zone string
	// KnownFor is the time since the replying proxy first saw the asking one.
	// It is negative if it never saw it.
	KnownFor time.Duration
}

// Claim is the input of the decision whether a proxy may run a call.
type Claim struct {
	// Self is the target beside the deciding proxy, Zone is its availability
	// zone.
	Self, Zone string
	// HasPartialHistory is true if targets may have left before this proxy
	// began to record them.
	HasPartialHistory bool
	// RecordAge is the time for which this proxy had kept records without a gap
	// before it asked the others.
	RecordAge time.Duration
	// PreviousHolder is the target whose proxy claimed the key at this proxy
	// before, empty if none did. PreviousClaimAge is the time since it first did
	// so, measured after the others replied.
	PreviousHolder   string
	PreviousClaimAge time.Duration
	// Witnesses are the targets whose proxies must hold the claim.
	Witnesses []string
	// HolderCount is the number of proxies that hold each claim. It is two, or
	// the number of present targets of Self's version if that is lower.
	HolderCount int
	// IsSpread is true if the holders of every earlier claim were in
	// different availability zones.
	IsSpread bool
	Replies  []HoldReply
}

// ClaimVerdict is the decision on a claim.
type ClaimVerdict int

// The verdicts on a claim.
const (
	// ClaimRun means that the call provably did not run and may run here.
	ClaimRun ClaimVerdict = iota
	// ClaimElsewhere means that another proxy has a record of the call.
	ClaimElsewhere
	// ClaimNotRun means that the call provably did not run but may not run here
	// now.
	ClaimNotRun
	// ClaimUnprovable means that an earlier run cannot be ruled out.
	ClaimUnprovable
)

// joinMargin is the time by which other proxies may see a new target before its
// own proxy begins to keep records.
const joinMargin = 2 * time.Second

// Decide returns the verdict and, for ClaimElsewhere, the target whose proxy
// has the record.
//
// Before a call runs, two proxies hold its claim, in two availability zones
// if the version of the service has targets in two. A call with no record
// therefore did not run unless both holders may be among the proxies that lost
// their records. A version with one target has one holder.
func (c *Claim) Decide() (verdict ClaimVerdict, holder string) {
	held, isCleared := 0, c.PreviousHolder == ""
	for _, r := range c.Replies {
		if r.Status == HoldConflict {
			return ClaimElsewhere, r.Holder
		}
		// This proxy claimed the key before its records began, so it may have
		// run the call.
		if r.FirstClaimAge >= c.RecordAge {
			return ClaimUnprovable, ""
		}
		if r.Status == HoldAccepted {
			// The earlier claim at this proxy is cleared if the proxy that made it
			// has lost no record since and no longer has a record of that claim.
			isCleared = isCleared || (r.Target == c.PreviousHolder && r.RecordAge > c.PreviousClaimAge)
			if slices.Contains(c.Witnesses, r.Target) {
				held++
			}
		}
	}
	switch {
	case !isCleared || c.isRunPossible():
		return ClaimUnprovable, ""
	case held < len(c.Witnesses):
		return ClaimNotRun, ""
	default:
		return ClaimRun, ""
	}
}

// isRunPossible reports whether all holders of an earlier claim may be among
// the proxies that lost their records.
func (c *Claim) isRunPossible() bool {
	lost := c.lostZones()
	if c.HolderCount < holdersPerClaim {
		return len(lost) > 0
	}
	if len(lost) < holdersPerClaim {
		return false
	}
	isOneZone := !slices.ContainsFunc(lost, func(zone string) bool { return zone != lost[0] })
	return !isOneZone || !c.isSpread()
}

// lostZones returns the zones of the proxies that may have held an earlier
// claim and have no complete records.
func (c *Claim) lostZones() []string {
	var zones []string
	if c.HasPartialHistory {
		for _, id := range c.unaskedMembers() {
			// The zone of a proxy that was not asked is unknown and counts as a
			// zone of its own.
			zones = append(zones, "?"+id)
		}
		if !c.hasCompleteReply() {
			zones = append(zones, "?")
		}
	}
	if c.RecordAge < RecordLifetime && !c.isFirstStart() {
		zones = append(zones, c.Zone)
	}
	for _, r := range c.Replies {
		if r.Status == HoldNoReply || r.RecordAge < RecordLifetime {
			zones = append(zones, r.Zone)
		}
	}
	return zones
}

// isSpread reports whether the holders of earlier claims are known to have been
// in two zones. If the history of this proxy is partial, it relies on a reply
// with complete records and history.
func (c *Claim) isSpread() bool {
	if !c.HasPartialHistory {
		return c.IsSpread
	}
	return slices.ContainsFunc(c.Replies, func(r HoldReply) bool {
		return r.Status == HoldAccepted && r.RecordAge >= RecordLifetime && !r.HasPartialHistory && r.IsSpread
	})
}

// unaskedMembers returns the possible holders that the replies list and that
// this proxy, whose history is too short, did not ask.
func (c *Claim) unaskedMembers() []string {
	var unasked []string
	for _, r := range c.Replies {
		for _, id := range r.Members {
			if id != c.Self && !c.isAsked(id) && !slices.Contains(unasked, id) {
				unasked = append(unasked, id)
			}
		}
	}
	return unasked
}

func (c *Claim) isAsked(id string) bool {
	return slices.ContainsFunc(c.Replies, func(r HoldReply) bool { return r.Target == id })
}

// hasCompleteReply reports whether a proxy that has kept records and history
// for a record lifetime listed the possible holders.
func (c *Claim) hasCompleteReply() bool {
	return slices.ContainsFunc(c.Replies, func(r HoldReply) bool {
		return r.Status == HoldAccepted && r.RecordAge >= RecordLifetime && !r.HasPartialHistory
	})
}

// isFirstStart reports whether this proxy is new rather than restarted,
// according to the first reply with complete records and history.
func (c *Claim) isFirstStart() bool {
	for _, r := range c.Replies {
		if r.Status == HoldNoReply || r.RecordAge < RecordLifetime || r.HasPartialHistory {
			continue
		}
		return r.KnownFor <= c.RecordAge+joinMargin
	}
	return false
}
