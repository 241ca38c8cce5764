package quota

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Bounds is the rule that all proxies together must keep: in any window, at most
// (rate x Window + burst) x (1 + Overshoot) + Slack calls of a team reach targets.
type Bounds struct {
	// Window is greater than zero.
	Window time.Duration
	// Overshoot and Slack are finite and not negative.
	Overshoot, Slack float64
}

// DefaultBounds returns the bounds that apply where the settings give none.
func DefaultBounds() Bounds { return Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20} }

const (
	// maxHold bounds the time for which an entry holds a token, minHold keeps a token
	// usable where the bounds leave no tolerance.
	maxHold = time.Second
	minHold = 20 * time.Millisecond
	// aloneTime is the time after the last reply of the owner for which an entry may
	// spend at the rate that the owner granted it.
	aloneTime = 3 * time.Second
	// aloneFraction is the fraction of the granted rate that an entry spends alone. The
	// rest covers rates that grew while two proxies took themselves to be the owner: with
	// the whole rate, and tokens set aside only after a silence of 800 ms, 2 of 150 random
	// courses had one call too many.
	aloneFraction = 0.8
	// keepAliveInterval is the interval at which an entry with a granted rate sends
	// requests, so that the owner sets few tokens aside for it.
	keepAliveInterval = 400 * time.Millisecond
	// settleTime is the time for which a new owner grants entries no more than they
	// had, and saves no tokens up, since for about a second other entries may still
	// follow the last owner. An owner that saved up meanwhile gave a team its burst
	// twice within one window.
	settleTime = 1200 * time.Millisecond
	// cutOffTime is the time after the end of the listing of a proxy from which on it does not
	// grant tokens while it reaches half of the members or fewer. Its entries learn that MaxWait
	// later with their next request, so that all of them have stopped before a new owner fills
	// its bucket.
	cutOffTime = settleTime - keepAliveInterval - 2*MaxWait
	// probeInterval is the time between two requests of an owner to each member after the
	// end of its listing, slowProbeInterval that time from settleTime later on: an owner that
	// reached most members until then has most likely lost only the control instances.
	probeInterval     = 300 * time.Millisecond
	slowProbeInterval = 2 * time.Second
	// maxProbed bounds the members that are asked. A third of many members exceeds a half of
	// so many chosen ones with a probability below 1e-4.
	maxProbed = 128
	// minOwnRate is the stated rate, per second, from which an entry spends at it while the
	// owner is in reach too. Below it, a token for each call costs about as many requests as
	// keepAliveInterval does. Without it the owner of a team with 727 calls a second got
	// a request for nearly each of them, more than a link of 2.5 Mbit/s carries.
	minOwnRate = 2.5
	// rateHeadroom is the stated rate in relation to the measured one, so that aloneFraction
	// of it lasts for the calls of an entry.
	rateHeadroom = 1.25
	// minDepth, depthTime and maxDepth bound the calls that an entry may let through at once
	// at its stated rate. The owner sets them aside.
	minDepth  = 2
	depthTime = 250 * time.Millisecond
	maxDepth  = 10
	// minAloneRate is the granted rate, per second, below which an entry has none to
	// spend alone. Setting tokens aside for infrequent callers would cost more calls
	// than it saves.
	minAloneRate = 1
)

// Limit returns the number of calls that any window may hold.
func (b Bounds) Limit(q hornbeamwell.Quota) float64 {
	return q.PerSecond*b.Window.Seconds() + q.Burst + b.excess(q)
}

// excess returns the number of calls of a window beyond the token bucket.
func (b Bounds) excess(q hornbeamwell.Quota) float64 {
	return b.Overshoot*(q.PerSecond*b.Window.Seconds()+q.Burst) + b.Slack
}

// hold returns the time for which an entry may hold a token. Tokens that are spent in a
// window were granted in a window that is longer by this time, which costs rate x hold
// calls: a quarter of the excess.
func (b Bounds) hold(q hornbeamwell.Quota) time.Duration {
	seconds := b.excess(q) / 4 / q.PerSecond
	return max(min(time.Duration(min(seconds, 1)*float64(time.Second)), maxHold), minHold)
}

// depth returns the calls that an entry with the stated rate may let through at once.
func depth(perSecond float64) float64 {
	return min(max(perSecond*depthTime.Seconds(), minDepth), maxDepth)
}

// reserveRate returns the calls per second that an entry may spend without an owner. All
// proxies together spend at most the other half of the excess.
func (b Bounds) reserveRate(q hornbeamwell.Quota, proxies int) float64 {
	return b.excess(q) * 3 / 8 / float64(max(proxies, 1)) / b.Window.Seconds()
}

// meter measures a rate over the last one to two slots.
type meter struct {
	slot          time.Duration
	start         time.Time
	count, before float64
}

func (m *meter) advance(now time.Time) {
	switch elapsed := now.Sub(m.start); {
	case elapsed >= 2*m.slot:
		m.start, m.count, m.before = now, 0, 0
	case elapsed >= m.slot:
		m.start, m.count, m.before = m.start.Add(m.slot), 0, m.count
	}
}

func (m *meter) add(now time.Time, count float64) {
	m.advance(now)
	m.count += count
}

// seed makes the meter start with the rate.
func (m *meter) seed(now time.Time, perSecond float64) {
	m.start, m.count, m.before = now, 0, perSecond*m.slot.Seconds()
}

// perSecond weighs the slot before by the part of it that is within one slot of now.
func (m *meter) perSecond(now time.Time) float64 {
	m.advance(now)
	passed := now.Sub(m.start).Seconds() / m.slot.Seconds()
	return (m.count + m.before*(1-passed)) / m.slot.Seconds()
}
