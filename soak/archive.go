package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	// serviceArchive is the service with large responses.
	serviceArchive = "archive"
	// archiveLinkMbps is the link capacity of each proxy of its targets.
	archiveLinkMbps = 8
	// archiveOverload is the load relative to the capacity of these links. Above 1,
	// responses wait for the link for as long as the routes allow.
	archiveOverload = 1.1
	// archiveObjective bounds the wait for the link through the refusals of the exit
	// proxies, archiveTimeout a whole call.
	archiveObjective = 2500 * time.Millisecond
	archiveTimeout   = 8 * time.Second
	// archiveBodyDelay is the time between header and body of some responses, longer than
	// a connection between proxies may be silent.
	archiveBodyDelay = 1200 * time.Millisecond
	// faultAftermath is the time after a fault for which it may still cause a call to be
	// repeated.
	faultAftermath = 3 * time.Second
	// longLinkWait is the wait for the link from which on a response counts as delayed.
	longLinkWait = time.Second
	// maxArchiveFindings bounds the calls that are reported one by one.
	maxArchiveFindings = 5
)

// archiveCalls returns the kinds of calls with large responses.
func archiveCalls() []load.Call {
	return []load.Call{
		{Weight: 3, Method: "GET", Path: "/archive/small", Idempotent: true, ResponseBytes: 60_000},
		{Weight: 2, Method: "GET", Path: "/archive/chunked", Idempotent: true, ResponseBytes: 150_000, Chunked: true},
		{Weight: 1, Method: "GET", Path: "/archive/large", Idempotent: true, ResponseBytes: 300_000},
		{Weight: 1, Method: "GET", Path: "/archive/late", Idempotent: true, ResponseBytes: 90_000, BodyDelay: archiveBodyDelay},
		{Weight: 1, Method: "GET", Path: "/archive/late", Idempotent: true, ResponseBytes: 90_000, BodyDelay: archiveBodyDelay, Chunked: true},
		{Weight: 1, Method: "POST", Path: "/archive/orders", BodyBytes: 500, ResponseBytes: 120_000},
	}
}

// archiveRoutes returns the routes of these calls.
func archiveRoutes() []*schema.Route {
	routes := []*schema.Route{
		NewRoute("archive-order", "/archive/orders", serviceArchive, false, "POST"),
		NewRoute("archive-small", "/archive/small", serviceArchive, true),
		NewRoute("archive-chunked", "/archive/chunked", serviceArchive, true),
		NewRoute("archive-large", "/archive/large", serviceArchive, true),
		NewRoute("archive-late", "/archive/late", serviceArchive, true),
	}
	for _, r := range routes {
		r.Timeout = durationpb.New(archiveTimeout)
		r.LatencyObjective = durationpb.New(archiveObjective)
	}
	return routes
}

// archiveRate returns the calls per second that overload the links of a number of proxies.
func archiveRate(proxies int) float64 {
	var weight, weighted float64
	for _, c := range archiveCalls() {
		weight += c.Weight
		weighted += c.Weight * float64(c.ResponseBytes)
	}
	const bytesPerSecond = archiveLinkMbps * 1e6 / 8
	return archiveOverload * float64(proxies) * bytesPerSecond * weight / weighted
}

// archive holds the results of the calls with large responses.
type archive struct {
	mu      sync.Mutex
	results []load.Result
}

func (a *archive) record(result load.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, result)
}

// archiveProxies returns the proxies of the targets with large responses.
func (s *Site) archiveProxies() []*Process {
	var proxies []*Process
	for _, t := range s.Targets {
		if t.Service == serviceArchive {
			proxies = append(proxies, t.Proxy)
		}
	}
	return proxies
}

// startArchiveLoad sends calls with large responses through all entry proxies until the
// context ends. The returned channel receives the report.
func (r *runner) startArchiveLoad(ctx context.Context) (<-chan load.Report, error) {
	options := r.loadOptions(r.site.Entries, archiveCalls())
	options.Rate = archiveRate(len(r.site.archiveProxies()))
	options.Timeout = 2 * archiveTimeout
	options.Record = r.archive.record
	return r.startLoadWith(ctx, options)
}

// checkArchive returns the large responses that ended early or did not arrive, and the
// calls that ran again, without a fault that explains it.
func (r *runner) checkArchive() []string {
	r.archive.mu.Lock()
	defer r.archive.mu.Unlock()
	entries := map[netip.AddrPort]string{}
	for _, p := range r.site.Entries {
		entries[p.Callers] = p.ID
	}
	runs := r.site.Runs.WithPrefix("")
	var findings []string
	for _, result := range r.archive.results {
		entry := entries[result.Entry]
		fault := r.archiveFault(result, entry, runs[result.ID])
		if fault == "" {
			continue
		}
		findings = append(findings, fmt.Sprintf("large response %s through %s from %q, %.2f s to %.2f s, %d runs, %q: %s", result.ID, entry, result.Target,
			result.Sent.Sub(r.startedAt).Seconds(), result.Ended.Sub(r.startedAt).Seconds(), runs[result.ID], result.Reason, fault))
	}
	if more := len(findings) - maxArchiveFindings; more > 0 {
		findings = append(findings[:maxArchiveFindings], fmt.Sprintf("%d more large responses were cut, lost or run again", more))
	}
	return findings
}

// archiveFault returns which guarantee the result violates, empty if none.
func (r *runner) archiveFault(result load.Result, entry string, runs int) string {
	servers := r.archiveServers("")
	switch {
	case result.Verdict == load.VerdictTruncated && !r.faults.hadFault(result.Sent, result.Ended, false, append(r.archiveServers(result.Target), entry)...):
		return "cut although entry, exit, target and links were sound"
	case result.Verdict == load.VerdictLost && !r.faults.hadFault(result.Sent, result.Ended, false, entry):
		return "lost although the entry was sound"
	case !result.Idempotent:
		return ""
	case r.faults.hadFault(result.Sent.Add(-faultAftermath), result.Ended, true, append(servers, entry)...):
		return ""
	}
	r.report.ArchiveSound++
	if runs > 1 {
		return "run again although every process, target and link on its way was sound"
	}
	return ""
}

// archiveServers returns the names under which the fault log knows a target with large
// responses, its proxy and the links to both. An empty name selects all such targets.
func (r *runner) archiveServers(target string) []string {
	var names []string
	for _, t := range r.site.Targets {
		id := t.Proxy.ID
		if t.Service == serviceArchive && (target == "" || target == id) {
			names = append(names, id, linkName(id), targetName(t), linkName("the "+targetName(t)))
		}
	}
	return names
}

// countLinkWaits returns how many responses the log of a proxy says to have waited for the
// link for longLinkWait or more.
func countLinkWaits(path string) (int, error) {
	log, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read a log: %w", err)
	}
	count := 0
	for _, rest := range bytes.Split(log, []byte(" link_wait_ms="))[1:] {
		digits := rest
		if end := bytes.IndexAny(rest, " \n"); end >= 0 {
			digits = rest[:end]
		}
		if milliseconds, err := strconv.Atoi(string(digits)); err == nil && time.Duration(milliseconds)*time.Millisecond >= longLinkWait {
			count++
		}
	}
	return count, nil
}
