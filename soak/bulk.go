package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	// minBulkRoutes and maxBulkRoutes bound the routes that a large change adds.
	minBulkRoutes = 200
	maxBulkRoutes = 1000
	// keptBulkChanges is the number of large changes whose routes are kept. A later one
	// removes those of the oldest.
	keptBulkChanges = 2
	// meanSeriesPause is the mean time between the starts of two series of large changes,
	// maxSeriesPause bounds the time between two events of a series.
	meanSeriesPause = 3 * time.Second
	maxSeriesPause  = time.Second
	// minFreeze and maxFreeze bound the time for which a proxy is frozen in a series.
	minFreeze = 300 * time.Millisecond
	maxFreeze = 1500 * time.Millisecond
	// calmTime is the time before the events in which large responses and large changes
	// are all that happens. calmChanges is the number of these changes.
	calmTime    = 4 * time.Second
	calmChanges = 2
)

// seriesFaults are the events that accompany a series of large changes.
var seriesFaults = []Kind{KindStopEntry, KindStopExit, KindFreezeProxy, KindReloadProxy}

// planSeries returns series of large changes with an event that overlaps each. They have
// random numbers of their own, so that the other events of a seed do not depend on them.
func planSeries(seed uint64, duration time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 5))
	var events []Event
	add := func(at time.Duration, kind Kind) {
		e := Event{
			At: at, Kind: kind, Choice: random.Uint64(),
			Duration: minFreeze + time.Duration(random.Int64N(int64(maxFreeze-minFreeze))),
		}
		if at < duration {
			events = append(events, e)
		}
	}
	pause := func() time.Duration { return time.Duration(random.Int64N(int64(maxSeriesPause))) }
	for at := initialDelay; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanSeriesPause))
		if at >= duration {
			return events
		}
		add(at, KindBulkChange)
		add(at+pause(), seriesFaults[random.IntN(len(seriesFaults))])
		for range random.IntN(3) {
			at += pause()
			add(at, KindBulkChange)
		}
	}
}

// playCalm adds large changes while callers receive large responses and no fault happens.
func (r *runner) playCalm(ctx context.Context) {
	r.logf("%s without a fault", calmTime)
	random := rand.New(rand.NewPCG(r.options.Seed, 6))
	for range calmChanges {
		if !sleep(ctx, calmTime/(calmChanges+1)) {
			return
		}
		r.logf("%s", r.operator.changeBulk(random.Uint64()))
	}
	sleep(ctx, calmTime/(calmChanges+1))
}

// reload sends SIGHUP to a process.
func (r *runner) reload(e Event, p *Process) string {
	if !r.tryLock(p.ID) {
		return ""
	}
	defer r.unlock(p.ID)
	p.signal(syscall.SIGHUP)
	return r.logEvent(e, p.ID)
}

// seriesProxies are the proxies that a series of large changes freezes or reloads. Proxies
// that are stopped only gracefully are not among those to freeze.
func (r *runner) seriesProxies(kind Kind) []*Process {
	if kind == KindFreezeProxy {
		return append(r.site.archiveProxies(), r.underFaults...)
	}
	return append(r.site.archiveProxies(), r.site.Entries...)
}

// bulkRoute returns the name of a route of a large change.
func bulkRoute(change, i int) string { return fmt.Sprintf("bulk-%d-%d", change, i) }

// changeBulk adds hundreds of routes in one change and removes those of an earlier one.
func (o *operator) changeBulk(choice uint64) string {
	o.bulkMu.Lock()
	defer o.bulkMu.Unlock()
	number, count := o.bulkNumber, minBulkRoutes+int(choice%(maxBulkRoutes-minBulkRoutes+1))
	o.bulkNumber++
	request := &schema.ChangeRequest{RequestId: uuid.NewString()}
	for i := range count {
		request.Routes = append(request.Routes, NewRoute(bulkRoute(number, i), fmt.Sprintf("/bulk/%d/%d/", number, i), serviceCredit, true))
	}
	if len(o.bulkChanges) >= keptBulkChanges {
		oldest := o.bulkChanges[0]
		for i := range oldest.routes {
			request.RemovedRoutes = append(request.RemovedRoutes, bulkRoute(oldest.number, i))
		}
	}
	version, code := o.send(int(choice%uint64(len(o.r.site.Controls))), request)
	if version == 0 {
		if code == connect.CodeInvalidArgument || code == connect.CodeAborted {
			o.r.addFinding("a change of %d routes was refused (%s) although it is valid and expects no version", count, code)
		}
		// Whether routes of the oldest change were removed is not known.
		o.bulkChanges = nil
		return fmt.Sprintf("added %d routes, outcome unknown", count)
	}
	o.recordAccepted(version, nil)
	if len(request.GetRemovedRoutes()) > 0 {
		o.bulkChanges = o.bulkChanges[1:]
	}
	o.bulkChanges = append(o.bulkChanges, bulkChange{number: number, routes: count})
	return fmt.Sprintf("added %d routes and removed %d, version %d", count, len(request.GetRemovedRoutes()), version)
}

// bulkChange is an accepted large change whose routes were not removed.
type bulkChange struct{ number, routes int }

// checkBulkChanges checks that the configuration holds every route of the accepted large
// changes.
func (o *operator) checkBulkChanges(names map[string]bool) {
	o.bulkMu.Lock()
	defer o.bulkMu.Unlock()
	for _, c := range o.bulkChanges {
		missing := 0
		for i := range c.routes {
			if !names[bulkRoute(c.number, i)] {
				missing++
			}
		}
		if missing > 0 {
			o.r.addFinding("%d of %d routes of an accepted large change are missing", missing, c.routes)
		}
	}
}
