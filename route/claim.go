package route

import (
	"slices"
	"time"
)

// HoldStatus is what another proxy says of a key.
type HoldStatus int

// The answers to a claim.
const (
	// HoldNoReply means that the proxy did not answer.
	HoldNoReply HoldStatus = iota
	// HoldAccepted means that the proxy knew nothing of the key and now holds the
	// claim.
	HoldAccepted
	// HoldConflict means that the proxy has a claim or a run of the call, or
	// knows of another proxy's claim.
	HoldConflict
)

// HoldReply is the reply of one proxy to a claim.
type HoldReply struct {
	// Target is the target beside the asked proxy.
	Target string
	Status HoldStatus
	// Holder is the target whose proxy knows more. It is empty unless taken.
	Holder string
	// RecordAge is the age of the asked proxy's records.
	RecordAge time.Duration
	// FirstClaimAge is the time since the asking proxy first claimed the key there,
	// negative if this is the first time.
	FirstClaimAge time.Duration
	// Members are the targets whose proxies may have held an earlier claim, as
	// the asked proxy knows them.
	Members []string
	// HasPartialHistory is true where targets may have left that the asked proxy
	// never saw.
	HasPartialHistory bool
	// IsSpread is true where the asked proxy knows that the holders of every
	// earlier claim were in different availability zones.
	IsSpread bool
	// Zone is the availability zone of the target.
	Zone string
	// KnownFor is the time for which the asked proxy has known the asking
	// one, negative if it never heard of it.
	KnownFor time.Duration
}

// Claim is what a proxy knows when it decides whether to run a call.
type Claim struct {
	// Self is the target beside the deciding proxy, Zone its zone.
	Self, Zone string
	// HasPartialHistory is true where targets may have left that this proxy never
	// saw.
	HasPartialHistory bool
	// RecordAge is the age of the own records before the others were asked.
	RecordAge time.Duration
	// HeldFor is the target whose proxy claimed the key here before, empty
	// if none did. HeldAge is the time since then, after the others replied.
	HeldFor string
	HeldAge time.Duration
	// Witnesses are the targets whose proxies must hold the claim.
	Witnesses []string
	// Holders is the number of proxies that hold each claim, two but for a
	// service with a single present target.
	Holders int
	// IsSpread is true where the holders of every earlier claim were in
	// different availability zones.
	IsSpread bool
	Replies  []HoldReply
}

// ClaimVerdict is the decision about a claim.
type ClaimVerdict int

// The verdicts about a claim.
const (
	// ClaimRun means that the call provably did not run and may run here.
	ClaimRun ClaimVerdict = iota
	// ClaimElsewhere means that another proxy knows of the call.
	ClaimElsewhere
	// ClaimNotRun means that the call provably did not run but may not run
	// here now.
	ClaimNotRun
	// ClaimUnprovable means that an earlier run can't be ruled out.
	ClaimUnprovable
)

// newcomerMargin is the time by which a new target may be known to others
// before its own records begin.
const newcomerMargin = 2 * time.Second

// Decide returns the verdict and, for ClaimElsewhere, the target whose proxy
// knows more. A call that ran was held by two proxies before, in two zones where
// there were two; so where those that lost their memory can't have been both
// holders, the others would know. A service with one target has one holder.
func (c *Claim) Decide() (verdict ClaimVerdict, holder string) {
	held, isCleared := 0, c.HeldFor == ""
	for _, r := range c.Replies {
		if r.Status == HoldConflict {
			return ClaimElsewhere, r.Holder
		}
		if r.FirstClaimAge >= c.RecordAge {
			return ClaimUnprovable, ""
		}
		if r.Status == HoldAccepted {
			isCleared = isCleared || (r.Target == c.HeldFor && r.RecordAge > c.HeldAge)
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
// the proxies that lost their memory.
func (c *Claim) isRunPossible() bool {
	lost := c.lostZones()
	if c.Holders < holdersOfClaim {
		return len(lost) > 0
	}
	if len(lost) < holdersOfClaim {
		return false
	}
	isOneZone := !slices.ContainsFunc(lost, func(zone string) bool { return zone != lost[0] })
	return !isOneZone || !c.isSpread()
}

// lostZones returns the zones of the proxies that may have held an earlier claim
// and can't tell.
func (c *Claim) lostZones() []string {
	var zones []string
	if c.HasPartialHistory {
		for _, id := range c.unseen() {
			// The zone of a proxy that was not asked is taken for its own.
			zones = append(zones, "?"+id)
		}
		if !c.hasElder() {
			zones = append(zones, "?")
		}
	}
	if c.RecordAge < RecordLifetime && !c.isNewcomer() {
		zones = append(zones, c.Zone)
	}
	for _, r := range c.Replies {
		if r.Status == HoldNoReply || r.RecordAge < RecordLifetime {
			zones = append(zones, r.Zone)
		}
	}
	return zones
}

// isSpread reports whether a proxy with a full memory, this one or another,
// knows that earlier claims were held in two zones.
func (c *Claim) isSpread() bool {
	if !c.HasPartialHistory {
		return c.IsSpread
	}
	return slices.ContainsFunc(c.Replies, func(r HoldReply) bool {
		return r.Status == HoldAccepted && r.RecordAge >= RecordLifetime && !r.HasPartialHistory && r.IsSpread
	})
}

// unseen returns the proxies that others know as possible holders and that this
// one, too young to have seen them, did not ask.
func (c *Claim) unseen() []string {
	var unseen []string
	for _, r := range c.Replies {
		for _, id := range r.Members {
			if id != c.Self && !c.isAsked(id) && !slices.Contains(unseen, id) {
				unseen = append(unseen, id)
			}
		}
	}
	return unseen
}

func (c *Claim) isAsked(id string) bool {
	return slices.ContainsFunc(c.Replies, func(r HoldReply) bool { return r.Target == id })
}

// hasElder reports whether a proxy that remembers a record lifetime named the
// possible holders.
func (c *Claim) hasElder() bool {
	return slices.ContainsFunc(c.Replies, func(r HoldReply) bool {
		return r.Status == HoldAccepted && r.RecordAge >= RecordLifetime && !r.HasPartialHistory
	})
}

// isNewcomer reports whether a proxy with a full memory vouches that the own
// one is new rather than restarted.
func (c *Claim) isNewcomer() bool {
	for _, r := range c.Replies {
		if r.Status == HoldNoReply || r.RecordAge < RecordLifetime || r.HasPartialHistory {
			continue
		}
		return r.KnownFor <= c.RecordAge+newcomerMargin
	}
	return false
}
