package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/proxy"
	"github.com/hornbeamwell/hornbeamwell/route"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/standin"
)

const (
	// minGrace and maxGrace bound the grace period of a process.
	minGrace = 3 * time.Second
	maxGrace = 6 * time.Second
	// meanStopPause is the mean time between the starts of two planned stops.
	meanStopPause = 2 * time.Second
	// lastSixth is the fraction of a grace period from which on a call may be abandoned if
	// its target is at work on it.
	lastSixth = 5.0 / 6
	// slowCallRate is the number of calls per second on which targets work for long, one in
	// slowCallWeight of them for slowCallDelay. With a mean below that, a stopping proxy
	// accepts calls whose targets are still at work when it abandons them.
	slowCallRate   = 10
	slowCallWeight = 3
	slowCallDelay  = 2500 * time.Millisecond
	slowTimeout    = 8 * time.Second
	slowPrefix     = "/credits/slow"
	longPath       = slowPrefix + "/long"
	keyedPath      = "/credits/keyed"
	// maxStopFindings bounds the calls that are reported one by one.
	maxStopFindings = 5
)

// drawGraces gives half of the processes of each kind a grace period.
func drawGraces(seed uint64, controls, exits, entries int) map[string]time.Duration {
	random := rand.New(rand.NewPCG(seed, 7))
	graces := map[string]time.Duration{}
	for _, kind := range []struct {
		name  string
		count int
	}{{"control", controls}, {"exit", exits}, {"entry", entries}} {
		for _, i := range random.Perm(kind.count)[:(kind.count+1)/2] {
			grace := minGrace + time.Duration(random.Int64N(int64(maxGrace-minGrace)))
			graces[fmt.Sprintf("%s-%d", kind.name, i)] = grace.Round(time.Millisecond)
		}
	}
	return graces
}

// planStops returns the planned stops of a run. They have random numbers of their own, so
// that the other events of a seed do not depend on them.
func planStops(seed uint64, duration time.Duration) []Event {
	kinds := []Kind{KindPlannedStopEntry, KindPlannedStopEntry, KindPlannedStopExit, KindPlannedStopExit, KindPlannedStopControl}
	random := rand.New(rand.NewPCG(seed, 8))
	var events []Event
	for at := initialDelay; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanStopPause))
		if at >= duration {
			return events
		}
		events = append(events, Event{
			At: at, Kind: kinds[random.IntN(len(kinds))], Choice: random.Uint64(),
			Duration: minEventDuration + time.Duration(random.Int64N(int64(maxEventDuration-minEventDuration))),
		})
	}
}

// withGrace returns the processes with a grace period that events of a kind stop.
func (r *runner) withGrace(kind Kind) []*Process {
	all := map[Kind][]*Process{
		KindPlannedStopEntry: r.site.Entries, KindPlannedStopExit: r.site.Exits, KindPlannedStopControl: r.site.Controls,
	}[kind]
	return slices.DeleteFunc(slices.Clone(all), func(p *Process) bool { return p.Grace == 0 })
}

// slowCalls returns the kinds of calls on some of which targets work for long.
func slowCalls() []load.Call {
	return []load.Call{
		{Weight: slowCallWeight - 1, Method: "POST", Path: slowPrefix, BodyBytes: 100, ResponseBytes: 200},
		{Weight: 1, Method: "POST", Path: longPath, BodyBytes: 100, ResponseBytes: 200},
	}
}

func slowPaths() []standin.PathFault {
	return []standin.PathFault{{Prefix: longPath, Delay: slowCallDelay}}
}

func slowRoute() *schema.Route {
	r := NewRoute("slow", slowPrefix, serviceCredit, false, "POST")
	r.Timeout = durationpb.New(slowTimeout)
	return r
}

// startRecordedLoad sends calls through the entry proxies until the context ends, and keeps
// their results. The returned channel receives the report.
func (r *runner) startRecordedLoad(ctx context.Context, entries []*Process, calls []load.Call, rate float64, timeout time.Duration) (<-chan load.Report, error) {
	options := r.loadOptions(entries, calls)
	options.Rate, options.Timeout = rate, timeout
	options.Record = r.shortCalls.record
	return r.startLoadWith(ctx, options)
}

// checkStops returns the calls that were lost or cut although their entry proxy was not
// killed, paused or disturbed, and those that ended as unknown at a planned stop although
// no target was at work on them in its last sixth.
func (r *runner) checkStops() []string {
	entries := map[netip.AddrPort]*Process{}
	for _, p := range r.site.Entries {
		entries[p.Callers] = p
	}
	var findings []string
	for _, calls := range []*archive{&r.shortCalls, &r.archive} {
		calls.mu.Lock()
		for _, result := range calls.results {
			entry := entries[result.Entry]
			r.countStopCall(result, entry)
			if fault := r.stopFault(result, entry, calls == &r.archive); fault != "" {
				findings = append(findings, fmt.Sprintf("call %s of %s through %s, %.2f s to %.2f s, %s %q: %s", result.ID, result.Path, entry.ID,
					result.Sent.Sub(r.startedAt).Seconds(), result.Ended.Sub(r.startedAt).Seconds(), result.Verdict, result.Reason, fault))
			}
		}
		calls.mu.Unlock()
	}
	if more := len(findings) - maxStopFindings; more > 0 {
		findings = append(findings[:maxStopFindings], fmt.Sprintf("%d more calls were lost, cut or abandoned", more))
	}
	return findings
}

func (r *runner) countStopCall(result load.Result, entry *Process) {
	if len(entry.stopsBetween(result.Sent, result.Ended)) == 0 {
		return
	}
	r.report.StopCalls++
	if result.Reason == string(proxy.ReasonAbandoned) {
		r.report.Abandoned++
	}
}

// stopFault returns which guarantee of stops the result violates, empty if none. checkArchive
// checks the large responses that were lost or cut.
func (r *runner) stopFault(result load.Result, entry *Process, isArchive bool) string {
	switch {
	case isArchive && result.Verdict != load.VerdictUnknown:
		return ""
	case result.Verdict == load.VerdictLost && !r.faults.hadFault(result.Sent, result.Ended, false, entry.ID):
		return "lost although its entry was not killed or paused"
	case result.Verdict == load.VerdictTruncated && !r.faults.hadFault(result.Sent, result.Ended, false, entry.ID):
		return "cut although its entry was not killed or paused"
	case result.Verdict != load.VerdictUnknown || result.Reason == string(proxy.ReasonKeyUnprovable):
		return ""
	case result.Path == keyedPath && result.Reason == string(proxy.ReasonNotConfigured):
		// The proxy did not accept the call, but earlier ones with the key may have run.
		return ""
	}
	stops := entry.stopsBetween(result.Sent, result.Ended)
	if result.Reason == string(proxy.ReasonAbandoned) {
		for _, p := range r.site.Exits {
			stops = append(stops, p.stopsBetween(result.Sent, result.Ended)...)
		}
	}
	if len(stops) == 0 || r.hadServerFault(result) || slices.ContainsFunc(stops, func(s route.Stop) bool {
		return r.site.Runs.WasAtWork(result.ID, s.Began.Add(time.Duration(lastSixth*float64(s.Grace))))
	}) {
		return ""
	}
	return fmt.Sprintf("no response at the planned stop that began at %.2f s, with no target at work in its last sixth", stops[0].Began.Sub(r.startedAt).Seconds())
}

// serviceOf returns the service that the site's routes select for a path.
func serviceOf(path string) string {
	switch {
	case strings.HasPrefix(path, "/archive"):
		return serviceArchive
	case path == "/bookings" || path == "/slots":
		return serviceBooking
	}
	return serviceCredit
}

// hadServerFault reports whether a proxy or link of the service of a call had a fault, or a
// target one or a drain, while the call lasted or shortly before. Every exit proxy may hold
// the record of a call with a key.
func (r *runner) hadServerFault(result load.Result) bool {
	var servers, targets []string
	service := serviceOf(result.Path)
	for _, t := range r.site.Targets {
		if t.Service != service && result.Path != keyedPath {
			continue
		}
		targets = append(targets, targetName(t))
		servers = append(servers, t.Proxy.ID, linkName(t.Proxy.ID), linkName("the "+targetName(t)))
	}
	from := result.Sent.Add(-faultAftermath)
	return r.faults.hadFault(from, result.Ended, false, servers...) || r.faults.hadFault(from, result.Ended, true, targets...)
}
