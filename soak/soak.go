package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell/load"
)

const (
	// MinProcesses is the size of the smallest site: three control instances, a
	// proxy with a target for each placement, and two proxies for callers.
	MinProcesses = 13
	// minProcessesFiveControls is the size of the smallest site that has five control
	// instances instead of three.
	minProcessesFiveControls = 30
	// callRate is the number of calls per second of one load. During the events
	// each half of the entry proxies has its own load. After the recovery one more
	// load uses all of them.
	callRate = 120
	// recoveryTimeout is the guaranteed time after the last fault within which the
	// whole site works again.
	recoveryTimeout = 15 * time.Second
	// recoveredLoadTime is the duration of the load on a recovered site, and
	// recoveredShare the share of its calls that has to be answered.
	recoveredLoadTime = 3 * time.Second
	recoveredShare    = 0.99
)

// Options configures a soak.
type Options struct {
	Seed uint64
	// Duration is the time during which events start.
	Duration  time.Duration
	Processes int
	Program   Program
	// EndsWithPowerLoss is true if all processes lose their power at one moment after
	// the events, and as many control instances as the system tolerates their disks.
	EndsWithPowerLoss bool
	// Folder holds settings, data folders and logs. It must exist.
	Folder string
	// Progress receives the lines of progress with the time since the start. It is
	// called from several goroutines.
	Progress func(since time.Duration, line string)
}

// Report holds the results of a soak.
type Report struct {
	Seed      uint64
	Processes int
	// Events counts the events that took place. Skipped counts those that did not,
	// because another event affected the same process, disk, link or target, another
	// move or loss of a disk was in progress, or the system did not tolerate the loss
	// of a disk. It also counts moves that did not end and races in which both changes
	// were accepted.
	Events, Skipped map[Kind]int
	// Steady is the load through the entry proxies that were stopped only
	// gracefully, UnderFaults the load through those that were also killed and
	// paused.
	Steady, UnderFaults load.Report
	// Archive is the load with large responses through all entry proxies, ArchiveSound
	// the number of its idempotent calls on whose way nothing had a fault, and LongLinkWaits
	// the number of responses that waited for a link for a second or more.
	Archive                     load.Report
	ArchiveSound, LongLinkWaits int
	// Slow is the load with calls on which targets work for long, through all entry proxies.
	Slow load.Report
	// StopCalls counts the calls through entry proxies that were stopped with a grace period
	// meanwhile, Abandoned those of them that ended as abandoned.
	StopCalls, Abandoned int
	// Changes counts the accepted changes, Moves the accepted moves that ended.
	Changes, Moves int
	// Reads counts the reads of the version that received a response, Probes the
	// probes of the newest generation that were answered with status 200.
	Reads, Probes int
	// Recovery is the time from the last fault until the whole site worked again.
	Recovery time.Duration
	// Findings are the violated guarantees, and the events and checks that could not
	// be carried out. The first one ends the run.
	Findings []string
}

// Run runs a soak to its end or until the first finding. The error says why the
// soak could not be started. If the context ends later, Run stops early and returns
// no error.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Processes < MinProcesses {
		return nil, fmt.Errorf("%d processes are too few: at least %d are required", options.Processes, MinProcesses)
	}
	site, err := newSoakSite(ctx, options)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRunner(options, site, stop)
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	err = r.run(ctx)
	return r.finish(), err
}

// newSoakSite lays out the site: about two thirds of the proxies have a target,
// the others serve callers.
func newSoakSite(ctx context.Context, options Options) (*Site, error) {
	controls := 3
	if options.Processes >= minProcessesFiveControls {
		controls = 5
	}
	proxies := options.Processes - controls
	exits := max(len(placements), proxies*2/3)
	site, err := NewSite(ctx, SiteOptions{
		Program: options.Program, Folder: options.Folder, UsesForwarders: true, Pace: "site",
		Controls: controls, Exits: exits, Entries: proxies - exits, Graces: drawGraces(options.Seed, controls, exits, proxies-exits),
		ExitLinkMbps: func(i int) float64 { return placements[i%len(placements)].linkMbps },
	})
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	for _, p := range site.Processes() {
		p.ClockOffset = time.Duration(random.Int64N(int64(2*maxClockSkew))) - maxClockSkew
	}
	for i, p := range site.Exits {
		placement := placements[i%len(placements)]
		target := &Target{Proxy: p, Service: placement.service, Version: placement.version, FailureShare: placement.failureShare, CountsLateCalls: true}
		if err := site.AddTarget(ctx, target); err != nil {
			return nil, err
		}
	}
	return site, nil
}

// maxClockSkew bounds the offset of the time of day of a process.
const maxClockSkew = 2 * time.Second

// The services of the site and their versions.
const (
	serviceCredit  = "credit"
	serviceBooking = "booking"
	versionOld     = "v1"
	versionGood    = "good"
	versionBad     = "bad"
)

// placements are the targets of the exit proxies, repeated in this order.
var placements = []struct {
	service, version string
	failureShare     float64
	// linkMbps is the link capacity of the proxy, 0 if it has no bound.
	linkMbps float64
}{
	{serviceCredit, versionOld, 0, 0},
	{serviceBooking, versionOld, 0, 0},
	{serviceCredit, versionOld, 0, 0},
	{serviceBooking, versionGood, 0, 0},
	{serviceBooking, versionBad, 0.4, 0},
	{serviceBooking, versionOld, 0, 0},
	{serviceArchive, versionOld, 0, archiveLinkMbps},
	{serviceArchive, versionOld, 0, archiveLinkMbps},
}

// callMix returns the kinds of calls of the callers.
func callMix() []load.Call {
	return []load.Call{
		{Weight: 1, Method: "POST", Path: keyedPath, Keyed: true, BodyBytes: 200, ResponseBytes: 400},
		{Weight: 1, Method: "POST", Path: "/credits/plain", BodyBytes: 200, ResponseBytes: 400},
		{Weight: 2, Method: "GET", Path: "/profiles", Idempotent: true, ResponseBytes: 2000},
		{Weight: 1, Method: "POST", Path: "/bookings", BodyBytes: 100, ResponseBytes: 200},
		{Weight: 2, Method: "GET", Path: "/slots", Idempotent: true, ResponseBytes: 300},
	}
}

type runner struct {
	options   Options
	site      *Site
	startedAt time.Time
	// stop ends the run at the first finding.
	stop     context.CancelFunc
	operator *operator
	// steady are the entry proxies that are stopped only gracefully, and
	// underFaults those that are also killed and paused.
	steady, underFaults []*Process
	faults              faultLog
	archive             archive
	// shortCalls holds the results of all calls but those of the archive.
	shortCalls archive

	mu sync.Mutex
	// busy holds the names that tryLock has reserved.
	busy   map[string]bool
	report Report
}

func newRunner(options Options, site *Site, stop context.CancelFunc) *runner {
	r := &runner{options: options, site: site, stop: stop, startedAt: time.Now(), busy: map[string]bool{}}
	r.report = Report{Seed: options.Seed, Processes: len(site.Processes()), Events: map[Kind]int{}, Skipped: map[Kind]int{}}
	for i, p := range site.Entries {
		if i%2 == 0 {
			r.steady = append(r.steady, p)
		} else {
			r.underFaults = append(r.underFaults, p)
		}
	}
	r.operator = newOperator(r)
	return r
}

func (r *runner) logf(format string, values ...any) {
	r.options.Progress(time.Since(r.startedAt), fmt.Sprintf(format, values...))
}

// addFinding records a violated guarantee, or a check that could not be carried out,
// and ends the run.
func (r *runner) addFinding(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.mu.Lock()
	r.report.Findings = append(r.report.Findings, text)
	r.mu.Unlock()
	r.logf("FINDING: %s", text)
	r.stop()
}

// start starts the site and applies its first configuration.
func (r *runner) start(ctx context.Context) error {
	if err := r.site.StartProcesses(); err != nil {
		return err
	}
	for _, t := range r.site.Targets {
		if err := t.Start(); err != nil {
			return err
		}
	}
	if err := r.operator.applyInitial(); err != nil {
		return err
	}
	if err := r.site.AwaitTargets(startTimeout); err != nil {
		return err
	}
	r.logf("started %d processes, seed %d", len(r.site.Processes()), r.options.Seed)
	return ctx.Err()
}

// run runs the events while callers send calls and the guarantees are checked.
func (r *runner) run(ctx context.Context) error {
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watches sync.WaitGroup
	watches.Go(func() { r.operator.readLoop(watchCtx) })
	watches.Go(func() { r.watchProcesses(watchCtx) })
	for _, p := range r.site.Entries {
		watches.Go(func() { r.probeLoop(watchCtx, p) })
	}
	loadCtx, stopLoads := context.WithCancel(watchCtx)
	defer stopLoads()
	steady, err := r.startRecordedLoad(loadCtx, r.steady, callMix(), callRate, 2*routeTimeout)
	if err != nil {
		return err
	}
	underFaults, err := r.startRecordedLoad(loadCtx, r.underFaults, callMix(), callRate, 2*routeTimeout)
	if err != nil {
		return err
	}
	archive, err := r.startArchiveLoad(loadCtx)
	if err != nil {
		return err
	}
	slow, err := r.startRecordedLoad(loadCtx, r.site.Entries, slowCalls(), slowCallRate, 2*slowTimeout)
	if err != nil {
		return err
	}
	endLoads := sync.OnceFunc(func() {
		stopLoads()
		r.report.Steady, r.report.UnderFaults, r.report.Archive, r.report.Slow = <-steady, <-underFaults, <-archive, <-slow
	})
	defer endLoads()
	r.playCalm(ctx)
	r.runEvents(ctx)
	if ctx.Err() == nil && r.options.EndsWithPowerLoss {
		// Calls that are cut by the loss of power are no finding.
		endLoads()
		r.losePowerEverywhere(ctx)
	}
	if ctx.Err() == nil {
		r.checkRecovery(ctx)
	}
	stopWatching()
	watches.Wait()
	return nil
}

// startLoad sends calls through the entry proxies until the context ends. The
// returned channel receives the report.
func (r *runner) startLoad(ctx context.Context, entries []*Process, calls []load.Call) (<-chan load.Report, error) {
	return r.startLoadWith(ctx, r.loadOptions(entries, calls))
}

// loadOptions returns the options of a load through the entry proxies.
func (r *runner) loadOptions(entries []*Process, calls []load.Call) load.Options {
	options := load.Options{
		Calls: calls, Rate: callRate, Resend: true, Seed: r.options.Seed, Timeout: 2 * routeTimeout,
		CountRuns: func(_ context.Context, prefix string) (load.RunCounts, error) {
			return load.RunCounts{Counts: r.site.Runs.WithPrefix(prefix)}, nil
		},
	}
	for _, p := range entries {
		options.Entries = append(options.Entries, p.Callers)
	}
	return options
}

func (r *runner) startLoadWith(ctx context.Context, options load.Options) (<-chan load.Report, error) {
	callers, err := load.New(options)
	if err != nil {
		return nil, fmt.Errorf("set up the load: %w", err)
	}
	ended := make(chan load.Report, 1)
	go func() {
		report, err := callers.Run(ctx)
		if err != nil {
			r.addFinding("the load could not be checked: %v", err)
		}
		ended <- report
	}()
	return ended, nil
}

// runEvents starts each event at its time, while targets state rate limits, and waits
// until all have ended.
func (r *runner) runEvents(ctx context.Context) {
	began := time.Now()
	var events, limits sync.WaitGroup
	limitCtx, stopLimits := context.WithCancel(ctx)
	limits.Go(func() { r.limitTargets(limitCtx) })
	defer limits.Wait()
	defer stopLimits()
	defer events.Wait()
	for _, e := range Plan(r.options.Seed, r.options.Duration) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(e.At))):
		}
		events.Go(func() { r.handleEvent(ctx, e) })
	}
}

// handleEvent injects one event and counts it.
func (r *runner) handleEvent(ctx context.Context, e Event) {
	summary, err := r.inject(ctx, e)
	r.mu.Lock()
	defer r.mu.Unlock()
	if summary == "" && err == nil {
		r.report.Skipped[e.Kind]++
		return
	}
	r.report.Events[e.Kind]++
	if err != nil {
		r.report.Findings = append(r.report.Findings, fmt.Sprintf("%s: %v", e.Kind, err))
		r.stop()
	}
}

// tryLock reserves a process, disk, link or target, the right to move a service
// or the right to delete a data folder for an event. It returns false if another
// event has reserved the same name.
func (r *runner) tryLock(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return false
	}
	r.busy[name] = true
	return true
}

func (r *runner) unlock(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, name)
}

// watchProcesses reports processes that exit unexpectedly.
func (r *runner) watchProcesses(ctx context.Context) {
	for sleep(ctx, watchPeriod) {
		for _, p := range r.site.Processes() {
			if failure := p.Failure(); failure != "" {
				r.addFinding("%s", failure)
				return
			}
		}
	}
}

// watchPeriod is the time between two checks of the processes.
const watchPeriod = 200 * time.Millisecond

// checkRecovery waits until the whole site works after the last fault, then checks
// the configuration and sends calls.
func (r *runner) checkRecovery(ctx context.Context) {
	r.logf("the last fault has ended")
	began := time.Now()
	if err := r.site.AwaitInForce(r.operator.latestVersion(), recoveryTimeout); err != nil {
		r.addFinding("the site has not recovered: %v", err)
		return
	}
	if err := r.site.AwaitTargets(recoveryTimeout - time.Since(began)); err != nil {
		r.addFinding("the site has not recovered: %v", err)
		return
	}
	r.report.Recovery = time.Since(began)
	r.logf("recovered after %s", r.report.Recovery.Round(time.Millisecond))
	r.operator.checkConfiguration()
	callCtx, stopCalling := context.WithTimeout(ctx, recoveredLoadTime)
	defer stopCalling()
	// Keyed calls may end as unknown for two minutes after the proxies of two
	// zones lost their records.
	plain := slices.DeleteFunc(callMix(), func(c load.Call) bool { return c.Keyed })
	ended, err := r.startLoad(callCtx, r.site.Entries, plain)
	if err != nil {
		r.addFinding("load after the recovery: %v", err)
		return
	}
	report := <-ended
	if answered := report.Verdicts[load.VerdictAnswered]; float64(answered) < recoveredShare*float64(report.Sent) {
		r.addFinding("after the recovery %d of %d calls were answered: %v %v", answered, report.Sent, report.Verdicts, report.Reasons)
	}
}

// finish checks the counts of the whole run and returns the report.
func (r *runner) finish() *Report {
	for _, finding := range r.checkCounts() {
		r.addFinding("%s", finding)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Changes, report.Moves, report.Reads = r.operator.counts()
	return &report
}

// sleep waits and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// EventCounts returns the counts of the events, sorted by kind.
func (r *Report) EventCounts() string {
	parts := make([]string, 0, len(r.Events))
	for _, kind := range slices.Sorted(maps.Keys(r.Events)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, r.Events[kind]))
	}
	return strings.Join(parts, ", ")
}
