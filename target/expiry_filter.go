package target

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// expiryWindow is the period in which lease expiries are counted together.
	expiryWindow = 30 * time.Second
	// maxExpiredPercent is the maximum percentage of targets whose lease
	// expiries are accepted within a window. It applies to the targets of each
	// service and to all local targets, which are those announced by sessions
	// of this source and, on a leader, those inherited from its predecessor.
	maxExpiredPercent = 50
	// suppressionTimeout is the time after which a suppressed lease expiry is
	// accepted nevertheless.
	suppressionTimeout = 10 * time.Minute
)

var expiriesSuppressed = metrics.NewCounter("hornbeamwell_target_expiries_disbelieved_total")

// expiryFilter decides which lease expiries are accepted. Many at once are more
// likely to come from a fault in this source's sessions than from the targets,
// and are suppressed.
type expiryFilter struct {
	// departed holds the IDs of targets whose proxy closed its session. Their
	// expiries are always accepted.
	departed map[string]bool
	// suppressedSince is the time at which the expiry of a target was first
	// suppressed.
	suppressedSince map[string]time.Time
	// recent holds the expiries accepted within the last window.
	recent []recentExpiry
}

type recentExpiry struct {
	service string
	at      time.Time
}

func newExpiryFilter() *expiryFilter {
	return &expiryFilter{departed: map[string]bool{}, suppressedSince: map[string]time.Time{}}
}

func (e *expiryFilter) markDeparted(id string) { e.departed[id] = true }

// forget drops what is known of the last expiry of a target that is announced again or removed.
func (e *expiryFilter) forget(id string) {
	delete(e.departed, id)
	delete(e.suppressedSince, id)
}

// accept returns the targets in expired whose lease expiry is accepted. present
// holds all targets. local is the number of local targets (see
// maxExpiredPercent), including the expired ones.
func (e *expiryFilter) accept(now time.Time, expired []hornbeamwell.Target, present map[string]hornbeamwell.Target, local int) []hornbeamwell.Target {
	e.pruneRecent(now)
	counts := e.count(expired, present, local)
	var accepted []hornbeamwell.Target
	for _, t := range expired {
		if !e.isAccepted(now, t, counts) {
			continue
		}
		e.forget(t.ID)
		accepted = append(accepted, t)
	}
	for _, t := range accepted {
		e.recent = append(e.recent, recentExpiry{service: t.Service, at: now})
	}
	return accepted
}

func (e *expiryFilter) isAccepted(now time.Time, t hornbeamwell.Target, counts expiryCounts) bool {
	// Only expiries of ready targets that did not depart are ever suppressed.
	if e.departed[t.ID] || t.State != hornbeamwell.TargetReady {
		return true
	}
	if !counts.isMassExpiry(t.Service) {
		return true
	}
	since, known := e.suppressedSince[t.ID]
	if !known {
		expiriesSuppressed.Inc()
		e.suppressedSince[t.ID] = now
		return false
	}
	return now.Sub(since) >= suppressionTimeout
}

// pruneRecent drops the expiries that are older than the window.
func (e *expiryFilter) pruneRecent(now time.Time) {
	kept := e.recent[:0]
	for _, r := range e.recent {
		if now.Sub(r.at) < expiryWindow {
			kept = append(kept, r)
		}
	}
	e.recent = kept
}

// expiryCounts counts, by service, the targets that expired within the window
// and all targets, including these.
type expiryCounts struct {
	expired, total map[string]int
	// allExpired and allTotal count the local targets.
	allExpired, allTotal int
}

func (e *expiryFilter) count(expired []hornbeamwell.Target, present map[string]hornbeamwell.Target, local int) expiryCounts {
	counts := expiryCounts{
		expired:    map[string]int{},
		total:      map[string]int{},
		allExpired: len(expired) + len(e.recent),
		allTotal:   local + len(e.recent),
	}
	for _, target := range expired {
		counts.expired[target.Service]++
	}
	for _, r := range e.recent {
		counts.expired[r.service]++
		counts.total[r.service]++
	}
	for _, target := range present {
		if target.State != hornbeamwell.TargetGone {
			counts.total[target.Service]++
		}
	}
	return counts
}

// isMassExpiry reports whether the expired fraction of the service's targets or
// of all local targets is too large to be accepted.
func (c expiryCounts) isMassExpiry(service string) bool {
	return exceedsLimit(c.expired[service], c.total[service]) || exceedsLimit(c.allExpired, c.allTotal)
}

func exceedsLimit(expired, total int) bool {
	return expired*100 > total*maxExpiredPercent
}
