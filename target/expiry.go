package target

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// expiryWindow is the time within which lease ends count together.
	expiryWindow = 30 * time.Second
	// maxExpiredPercent bounds the targets of a service, and of all that
	// sessions of this source announced, whose lease ends are believed within
	// a window.
	maxExpiredPercent = 50
	// disbelievedKept is the time for which a target is kept whose lease end
	// was not believed.
	disbelievedKept = 10 * time.Minute
)

var expiriesDisbelieved = metrics.NewCounter("hornbeamwell_target_expiries_disbelieved_total")

// expiry decides which lease ends are believed. Many at once are more likely a
// fault of this side's sessions than of the targets.
type expiry struct {
	// excused are targets whose proxy said goodbye: they are always believed.
	excused map[string]bool
	// since is the time at which a lease end was first not believed.
	since map[string]time.Time
	// recent are the believed lease ends of the last window.
	recent []expiredTarget
}

type expiredTarget struct {
	service string
	at      time.Time
}

func newExpiry() *expiry {
	return &expiry{excused: map[string]bool{}, since: map[string]time.Time{}}
}

func (e *expiry) excuse(id string) { e.excused[id] = true }

// believed returns the targets of ended whose lease end is believed. Present
// are all targets and local is the number of those that sessions of this
// source announced, the ended ones included.
func (e *expiry) believed(now time.Time, ended []hornbeamwell.Target, present map[string]hornbeamwell.Target, local int) []hornbeamwell.Target {
	e.forget(now)
	all := e.count(ended, present, local)
	var believed []hornbeamwell.Target
	for _, t := range ended {
		if !e.isBelieved(now, t, all) {
			continue
		}
		delete(e.excused, t.ID)
		delete(e.since, t.ID)
		believed = append(believed, t)
	}
	for _, t := range believed {
		e.recent = append(e.recent, expiredTarget{service: t.Service, at: now})
	}
	return believed
}

func (e *expiry) isBelieved(now time.Time, t hornbeamwell.Target, all tally) bool {
	if e.excused[t.ID] || t.State != hornbeamwell.TargetReady {
		return true
	}
	if !all.isMass(t.Service) {
		return true
	}
	since, known := e.since[t.ID]
	if !known {
		expiriesDisbelieved.Inc()
		e.since[t.ID] = now
		return false
	}
	return now.Sub(since) >= disbelievedKept
}

// forget drops the lease ends that are older than the window.
func (e *expiry) forget(now time.Time) {
	kept := e.recent[:0]
	for _, r := range e.recent {
		if now.Sub(r.at) < expiryWindow {
			kept = append(kept, r)
		}
	}
	e.recent = kept
}

// tally counts the targets that ended within the window and those that there
// were at its start.
type tally struct {
	ended, total map[string]int
	// allEnded and allTotal count the targets of this source's sessions.
	allEnded, allTotal int
}

func (e *expiry) count(ended []hornbeamwell.Target, present map[string]hornbeamwell.Target, local int) tally {
	t := tally{
		ended:    map[string]int{},
		total:    map[string]int{},
		allEnded: len(ended) + len(e.recent),
		allTotal: local + len(e.recent),
	}
	for _, target := range ended {
		t.ended[target.Service]++
	}
	for _, r := range e.recent {
		t.ended[r.service]++
		t.total[r.service]++
	}
	for _, target := range present {
		if target.State != hornbeamwell.TargetGone {
			t.total[target.Service]++
		}
	}
	return t
}

// isMass reports whether too large a share of the service's targets or of all
// targets ended to believe it.
func (t tally) isMass(service string) bool {
	return isOver(t.ended[service], t.total[service]) || isOver(t.allEnded, t.allTotal)
}

func isOver(ended, total int) bool {
	return ended*100 > total*maxExpiredPercent
}
