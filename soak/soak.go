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
	// MinProcesses is the smallest site: three control instances, a proxy
	// beside a target of each version, and two proxies for callers.
	MinProcesses = 11
	// manyProcesses is the size from which on there are five control instances.
	manyProcesses = 30
	// callRate is the number of calls a second to each half of the entries.
	callRate = 120
	// recoveryTime is the time after the last fault in which the whole site has
	// to work again, as the users ask.
	recoveryTime = 15 * time.Second
	// recoveredTime is how long calls are sent to a site that has recovered,
	// and recoveredShare the part of them that has to be answered.
	recoveredTime  = 3 * time.Second
	recoveredShare = 0.99
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Duration is the time in which events begin.
	Duration  time.Duration
	Processes int
	Program   Program
	// Folder holds settings, data folders and logs. It exists.
	Folder string
	// Progress is told what happens, with the time since the start. It is called
	// from several goroutines.
	Progress func(since time.Duration, line string)
}

// Report is what a run saw.
type Report struct {
	Seed      uint64
	Processes int
	// Events counts what was done, Skipped what its victim was too busy for.
	Events, Skipped map[Kind]int
	// Steady are the calls through proxies that were only ever stopped
	// gracefully, Rough those through proxies that had every fault.
	Steady, UnderFaults load.Report
	// Changes and Moves were accepted.
	Changes, Moves int
	// Reads and Probes are the questions that were answered.
	Reads, Probes int
	// Recovery is the time after the last fault until everything worked.
	Recovery time.Duration
	// Findings are the broken promises; the first one ends the run.
	Findings []string
}

// Run runs a soak to its end or to the first finding. The error says why it
// could not be carried through.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Processes < MinProcesses {
		return nil, fmt.Errorf("%d processes are too few: give %d or more", options.Processes, MinProcesses)
	}
	site, err := newSite(ctx, options)
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
	err = r.play(ctx)
	return r.finish(), err
}

// newSite describes the site: about half of the proxies stand beside targets.
func newSite(ctx context.Context, options Options) (*Site, error) {
	controls := 3
	if options.Processes >= manyProcesses {
		controls = 5
	}
	proxies := options.Processes - controls
	exits := max(len(places), proxies*2/3)
	site, err := NewSite(ctx, SiteOptions{
		Program: options.Program, Folder: options.Folder, IsRelayed: true, Pace: "site",
		Controls: controls, Exits: exits, Entries: proxies - exits,
	})
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	for _, p := range site.Processes() {
		p.TimeOfDay = time.Duration(random.Int64N(int64(2*mostSkew))) - mostSkew
	}
	for i, p := range site.Exits {
		place := places[i%len(places)]
		target := &Target{Proxy: p, Service: place.service, Version: place.version, FailureShare: place.failures, CountsLateCalls: true}
		if err := site.AddTarget(ctx, target); err != nil {
			return nil, err
		}
	}
	return site, nil
}

// mostSkew bounds how far the time of day of a process is off.
const mostSkew = 2 * time.Second

// The services of the site and their versions.
const (
	serviceCredit  = "credit"
	serviceBooking = "booking"
	versionOld     = "v1"
	versionGood    = "good"
	versionBad     = "bad"
)

// places are the targets beside the exits, over and over.
var places = []struct {
	service, version string
	failures         float64
}{
	{serviceCredit, versionOld, 0},
	{serviceBooking, versionOld, 0},
	{serviceCredit, versionOld, 0},
	{serviceBooking, versionGood, 0},
	{serviceBooking, versionBad, 0.4},
	{serviceBooking, versionOld, 0},
}

// calls are the kinds of calls of the callers.
func calls() []load.Call {
	return []load.Call{
		{Weight: 1, Method: "POST", Path: "/credits/keyed", Keyed: true, BodyBytes: 200, ResponseBytes: 400},
		{Weight: 1, Method: "POST", Path: "/credits/plain", BodyBytes: 200, ResponseBytes: 400},
		{Weight: 2, Method: "GET", Path: "/profiles", Idempotent: true, ResponseBytes: 2000},
		{Weight: 1, Method: "POST", Path: "/bookings", BodyBytes: 100, ResponseBytes: 200},
		{Weight: 2, Method: "GET", Path: "/slots", Idempotent: true, ResponseBytes: 300},
	}
}

// runner plays one run.
type runner struct {
	options   Options
	site      *Site
	startedAt time.Time
	// stop ends the run at the first finding.
	stop     context.CancelFunc
	operator *operator
	// steady and rough are the entries that were only stopped gracefully, and
	// those that had every fault.
	steady, rough []*Process

	mu sync.Mutex
	// busy are the processes, disks, links and targets that something happens
	// to.
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
			r.rough = append(r.rough, p)
		}
	}
	r.operator = newOperator(r)
	return r
}

func (r *runner) say(format string, values ...any) {
	r.options.Progress(time.Since(r.startedAt), fmt.Sprintf(format, values...))
}

// find keeps a broken promise and ends the run.
func (r *runner) find(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.mu.Lock()
	r.report.Findings = append(r.report.Findings, text)
	r.mu.Unlock()
	r.say("FINDING: %s", text)
	r.stop()
}

// start brings the site up.
func (r *runner) start(ctx context.Context) error {
	if err := r.site.StartProcesses(); err != nil {
		return err
	}
	for _, t := range r.site.Targets {
		if err := t.Start(); err != nil {
			return err
		}
	}
	if err := r.operator.applyFirst(); err != nil {
		return err
	}
	if err := r.site.AwaitTargets(startTimeout); err != nil {
		return err
	}
	r.say("%d processes run; seed %d", len(r.site.Processes()), r.options.Seed)
	return ctx.Err()
}

// play lets the events happen while callers call and the promises are watched.
func (r *runner) play(ctx context.Context) error {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watches sync.WaitGroup
	watches.Go(func() { r.operator.read(watching) })
	watches.Go(func() { r.watchProcesses(watching) })
	for _, p := range r.site.Entries {
		watches.Go(func() { r.probe(watching, p) })
	}
	steady, err := r.callThrough(watching, r.steady, calls())
	if err != nil {
		return err
	}
	rough, err := r.callThrough(watching, r.rough, calls())
	if err != nil {
		return err
	}
	r.playEvents(ctx)
	if ctx.Err() == nil {
		r.recover(ctx)
	}
	stopWatching()
	watches.Wait()
	r.report.Steady, r.report.UnderFaults = <-steady, <-rough
	return nil
}

// callThrough sends calls through the entries until the context ends.
func (r *runner) callThrough(ctx context.Context, entries []*Process, kinds []load.Call) (<-chan load.Report, error) {
	options := load.Options{
		Calls: kinds, Rate: callRate, Resend: true, Seed: r.options.Seed, Timeout: 2 * routeTimeout,
		CountRuns: func(_ context.Context, prefix string) (load.Runs, error) {
			return load.Runs{Counts: r.site.Runs.WithPrefix(prefix)}, nil
		},
	}
	for _, p := range entries {
		options.Entries = append(options.Entries, p.Callers)
	}
	callers, err := load.New(options)
	if err != nil {
		return nil, fmt.Errorf("start the callers: %w", err)
	}
	ended := make(chan load.Report, 1)
	go func() {
		report, err := callers.Run(ctx)
		if err != nil {
			r.find("the calls could not be counted: %v", err)
		}
		ended <- report
	}()
	return ended, nil
}

// playEvents lets each event happen at its time and waits for their ends.
func (r *runner) playEvents(ctx context.Context) {
	began := time.Now()
	var events sync.WaitGroup
	defer events.Wait()
	for _, e := range Plan(r.options.Seed, r.options.Duration) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(e.At))):
		}
		events.Go(func() { r.happen(ctx, e) })
	}
}

// happen lets one event happen.
func (r *runner) happen(ctx context.Context, e Event) {
	what, err := r.disturb(ctx, e)
	r.mu.Lock()
	defer r.mu.Unlock()
	if what == "" && err == nil {
		r.report.Skipped[e.Kind]++
		return
	}
	r.report.Events[e.Kind]++
	if err != nil {
		r.report.Findings = append(r.report.Findings, fmt.Sprintf("%s: %v", e.Kind, err))
		r.stop()
	}
}

// claim reserves a victim, and reports false where something happens to it
// already.
func (r *runner) claim(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return false
	}
	r.busy[name] = true
	return true
}

func (r *runner) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, name)
}

// watchProcesses looks for processes that end by themselves.
func (r *runner) watchProcesses(ctx context.Context) {
	for sleep(ctx, watchPause) {
		for _, p := range r.site.Processes() {
			if failure := p.Failure(); failure != "" {
				r.find("%s", failure)
				return
			}
		}
	}
}

// watchPause is the time between two looks at the processes.
const watchPause = 200 * time.Millisecond

// recover waits until the whole site works after the last fault.
func (r *runner) recover(ctx context.Context) {
	r.say("the last fault has ended")
	began := time.Now()
	if err := r.site.AwaitInForce(r.operator.accepted(), recoveryTime); err != nil {
		r.find("not recovered: %v", err)
		return
	}
	if err := r.site.AwaitTargets(recoveryTime - time.Since(began)); err != nil {
		r.find("not recovered: %v", err)
		return
	}
	r.report.Recovery = time.Since(began)
	r.say("recovered after %s", r.report.Recovery.Round(time.Millisecond))
	r.operator.checkLast()
	calling, stopCalling := context.WithTimeout(ctx, recoveredTime)
	defer stopCalling()
	// Calls with a key may end as unknown for two minutes after proxies of two
	// zones forgot their records.
	plain := slices.DeleteFunc(calls(), func(c load.Call) bool { return c.Keyed })
	ended, err := r.callThrough(calling, r.site.Entries, plain)
	if err != nil {
		r.find("no calls after the recovery: %v", err)
		return
	}
	after := <-ended
	if answered := after.Verdicts[load.VerdictAnswered]; float64(answered) < recoveredShare*float64(after.Sent) {
		r.find("after the recovery %d of %d calls were answered: %v %v", answered, after.Sent, after.Verdicts, after.Reasons)
	}
}

// finish judges the counts of the whole run.
func (r *runner) finish() *Report {
	for _, finding := range r.judge() {
		r.find("%s", finding)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Changes, report.Moves, report.Reads = r.operator.counts()
	return &report
}

// sleep waits and reports whether the context goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// EventCounts returns the counts of the events in the order of their names.
func (r *Report) EventCounts() string {
	parts := make([]string, 0, len(r.Events))
	for _, kind := range slices.Sorted(maps.Keys(r.Events)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, r.Events[kind]))
	}
	return strings.Join(parts, ", ")
}
