package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// inject carries out an event and waits for its end. It returns a summary of
// what was done, and an error if the event could not be carried out. The summary is
// empty if the event was skipped, because what it affects was busy or because no
// loss of a disk was tolerated. It is also empty if a move did not end or if both
// changes of a race were accepted.
func (r *runner) inject(ctx context.Context, e Event) (string, error) {
	switch e.Kind {
	case KindKillEntry:
		return r.restart(ctx, e, choose(e, r.underFaults), (*Process).Kill)
	case KindKillExit:
		return r.restart(ctx, e, choose(e, r.site.Exits), (*Process).Kill)
	case KindKillControl:
		return r.restart(ctx, e, choose(e, r.site.Controls), (*Process).Kill)
	case KindStopEntry:
		return r.restart(ctx, e, choose(e, r.site.Entries), (*Process).TerminateRepeatedly)
	case KindStopExit:
		return r.restart(ctx, e, choose(e, r.site.Exits), (*Process).TerminateRepeatedly)
	case KindStopControl:
		return r.restart(ctx, e, choose(e, r.site.Controls), (*Process).TerminateRepeatedly)
	case KindPlannedStopEntry, KindPlannedStopExit, KindPlannedStopControl:
		return r.restart(ctx, e, choose(e, r.withGrace(e.Kind)), (*Process).TerminateRepeatedly)
	case KindPowerOffControl:
		return r.restart(ctx, e, choose(e, r.site.Controls), func(p *Process) error { return powerOff(e, p) })
	case KindPowerOffAll:
		return r.powerOffAll(ctx, e)
	case KindLoseDisk:
		return r.loseDisk(ctx, e)
	case KindPauseEntry:
		return r.pause(ctx, e, choose(e, r.underFaults))
	case KindPauseExit:
		return r.pause(ctx, e, choose(e, r.site.Exits))
	case KindPauseControl:
		return r.pause(ctx, e, choose(e, r.site.Controls))
	case KindFullDisk:
		return r.injectDiskFault(ctx, e, faultFull)
	case KindSlowDisk:
		return r.injectDiskFault(ctx, e, e.Delay.String())
	case KindDelayLink, KindResetLink, KindRefuseLink, KindSilentIn, KindSilentOut, KindSilentLink:
		return r.injectLinkFault(ctx, e)
	case KindCrashTarget:
		return r.restartTarget(ctx, e, (*Target).Crash)
	case KindDrainTarget:
		return r.restartTarget(ctx, e, (*Target).Drain)
	case KindChange:
		return r.logEvent(e, r.operator.change(int(e.Choice%uint64(len(r.site.Controls))))), nil
	case KindRace:
		return r.logEvent(e, r.operator.race(int(e.Choice%uint64(len(r.site.Controls))))), nil
	case KindGoodMove, KindBadMove:
		return r.moveBooking(ctx, e), nil
	case KindBulkChange:
		return r.logEvent(e, r.operator.changeBulk(e.Choice)), nil
	case KindFreezeProxy:
		return r.pause(ctx, e, choose(e, r.seriesProxies(e.Kind)))
	case KindReloadProxy:
		return r.reload(e, choose(e, r.seriesProxies(e.Kind))), nil
	case KindEvacuate:
		return r.evacuate(ctx, e)
	}
	return "", fmt.Errorf("unknown kind of event %q", e.Kind)
}

// choose returns the element that an event affects.
func choose[T any](e Event, from []T) T { return from[e.Choice%uint64(len(from))] }

// logEvent logs the summary of an event and returns it.
func (r *runner) logEvent(e Event, summary string) string {
	if summary != "" {
		r.logf("%s: %s", e.Kind, summary)
	}
	return summary
}

// beginFault records that a fault begins. The returned function records that it ends.
func (r *runner) beginFault(e Event, name string) (end func()) {
	isStop := slices.Contains([]Kind{KindStopEntry, KindStopExit, KindPlannedStopEntry, KindPlannedStopExit, KindDrainTarget}, e.Kind)
	endAt := r.faults.begin(time.Now(), name, isStop)
	return func() { endAt(time.Now()) }
}

// restart ends a process and starts it again at the end of the event.
func (r *runner) restart(ctx context.Context, e Event, p *Process, end func(*Process) error) (string, error) {
	if !r.tryLock(p.ID) {
		return "", nil
	}
	defer r.unlock(p.ID)
	defer r.beginFault(e, p.ID)()
	summary := r.logEvent(e, fmt.Sprintf("%s for %s", p.ID, e.Duration.Round(time.Millisecond)))
	if err := end(p); err != nil {
		return summary, err
	}
	sleep(ctx, e.Duration)
	return summary, p.Start()
}

// powerOff kills a process and simulates a power loss in its data folder.
func powerOff(e Event, p *Process) error {
	if err := p.Kill(); err != nil {
		return err
	}
	return p.losePower(rand.New(rand.NewPCG(e.Choice, uint64(e.At))))
}

// powerOffAll cuts the power of every control instance that no other event ends or
// pauses.
func (r *runner) powerOffAll(ctx context.Context, e Event) (string, error) {
	var locked []*Process
	for _, p := range r.site.Controls {
		if r.tryLock(p.ID) {
			defer r.unlock(p.ID)
			locked = append(locked, p)
		}
	}
	summary := r.logEvent(e, fmt.Sprintf("%d control instances for %s", len(locked), e.Duration.Round(time.Millisecond)))
	errs := make([]error, len(locked))
	var powerOffs sync.WaitGroup
	for i, p := range locked {
		powerOffs.Go(func() { errs[i] = powerOff(e, p) })
	}
	powerOffs.Wait()
	sleep(ctx, e.Duration)
	for i, p := range locked {
		if errs[i] != nil {
			return summary, errs[i]
		}
		if err := p.Start(); err != nil {
			return summary, err
		}
	}
	return summary, nil
}

// diskRepairTimeout bounds the wait until the contents of a lost disk are
// restored from the other control instances.
const diskRepairTimeout = 60 * time.Second

// loseDisk empties the data folder of a control instance if the system reports
// that it tolerates a loss. It then waits until the system tolerates the next
// one, at most for diskRepairTimeout.
func (r *runner) loseDisk(ctx context.Context, e Event) (string, error) {
	const allDisks = "disks"
	p := choose(e, r.site.Controls)
	if !r.tryLock(allDisks) {
		return "", nil
	}
	defer r.unlock(allDisks)
	if !r.tryLock(p.ID) {
		return "", nil
	}
	defer r.unlock(p.ID)
	if r.toleratedLosses(ctx) == 0 {
		return "", nil
	}
	summary := r.logEvent(e, p.ID+" loses its disk")
	if err := p.Kill(); err != nil {
		return summary, err
	}
	if err := p.ClearDataFolder(); err != nil {
		return summary, err
	}
	sleep(ctx, e.Duration)
	if err := p.Start(); err != nil {
		return summary, err
	}
	for end := time.Now().Add(diskRepairTimeout); r.toleratedLosses(ctx) == 0 && time.Now().Before(end); {
		if !sleep(ctx, readPeriod) {
			break
		}
	}
	return summary, nil
}

// toleratedLosses returns how many disks may be lost according to the first
// control instance that responds, 0 if none does.
func (r *runner) toleratedLosses(ctx context.Context) int {
	for i := range r.site.Controls {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		response, err := r.site.OperatorClient(i).GetStatus(requestCtx, connect.NewRequest(&schema.GetStatusRequest{}))
		cancel()
		if err == nil {
			return int(response.Msg.GetToleratedLosses())
		}
	}
	return 0
}

// pause suspends a process for the duration of the event.
func (r *runner) pause(ctx context.Context, e Event, p *Process) (string, error) {
	if !r.tryLock(p.ID) {
		return "", nil
	}
	defer r.unlock(p.ID)
	defer r.beginFault(e, p.ID)()
	summary := r.logEvent(e, fmt.Sprintf("%s for %s", p.ID, e.Duration.Round(time.Millisecond)))
	p.Pause()
	defer p.Resume()
	sleep(ctx, e.Duration)
	return summary, nil
}

// injectDiskFault makes the disk of a control instance full or slow for the
// duration of the event.
func (r *runner) injectDiskFault(ctx context.Context, e Event, fault string) (string, error) {
	p := choose(e, r.site.Controls)
	name := "disk of " + p.ID
	if !r.tryLock(name) {
		return "", nil
	}
	defer r.unlock(name)
	summary := r.logEvent(e, fmt.Sprintf("fault %s on the disk of %s for %s", fault, p.ID, e.Duration.Round(time.Millisecond)))
	if err := p.setStorageFault(fault); err != nil {
		return summary, err
	}
	sleep(ctx, e.Duration)
	return summary, p.setStorageFault("")
}

// injectLinkFault injects a fault into the connections to a process or a target for
// the duration of the event, or resets them.
func (r *runner) injectLinkFault(ctx context.Context, e Event) (string, error) {
	forwarders, names := r.links()
	i := e.Choice % uint64(len(forwarders))
	forwarder, name := forwarders[i], linkName(names[i])
	if !r.tryLock(name) {
		return "", nil
	}
	defer r.unlock(name)
	defer r.beginFault(e, name)()
	summary := r.logEvent(e, fmt.Sprintf("%s for %s", name, e.Duration.Round(time.Millisecond)))
	if e.Kind == KindResetLink {
		forwarder.Reset()
		return summary, nil
	}
	forwarder.SetFaults(linkFaults(e))
	defer forwarder.SetFaults(LinkFaults{})
	sleep(ctx, e.Duration)
	return summary, nil
}

func linkFaults(e Event) LinkFaults {
	switch e.Kind {
	case KindDelayLink:
		return LinkFaults{Delay: e.Delay}
	case KindRefuseLink:
		return LinkFaults{Refuses: true}
	case KindSilentIn:
		return LinkFaults{SilentIn: true}
	case KindSilentOut:
		return LinkFaults{SilentOut: true}
	case KindSilentLink:
		return LinkFaults{SilentIn: true, SilentOut: true}
	default:
		return LinkFaults{}
	}
}

// links returns the forwarders with the names of the processes and targets
// behind them.
func (r *runner) links() ([]*Forwarder, []string) {
	var forwarders []*Forwarder
	var names []string
	for _, p := range r.site.Processes() {
		if p.Forwarder != nil {
			forwarders = append(forwarders, p.Forwarder)
			names = append(names, p.ID)
		}
	}
	for _, t := range r.site.Targets {
		forwarders = append(forwarders, t.Forwarder)
		names = append(names, "the "+targetName(t))
	}
	return forwarders, names
}

// restartTarget ends a target and starts it again at the end of the event.
func (r *runner) restartTarget(ctx context.Context, e Event, end func(*Target)) (string, error) {
	t := choose(e, r.site.Targets)
	name := targetName(t)
	if !r.tryLock(name) {
		return "", nil
	}
	defer r.unlock(name)
	defer r.beginFault(e, name)()
	summary := r.logEvent(e, fmt.Sprintf("the %s for %s", name, e.Duration.Round(time.Millisecond)))
	end(t)
	sleep(ctx, e.Duration)
	return summary, t.Start()
}

// moveBooking moves the booking service to another version. One move runs at a
// time.
func (r *runner) moveBooking(ctx context.Context, e Event) string {
	const name = "moves"
	if !r.tryLock(name) {
		return ""
	}
	defer r.unlock(name)
	to := versionBad
	if e.Kind == KindGoodMove {
		to = r.operator.nextGoodVersion()
	}
	return r.logEvent(e, r.operator.runMove(ctx, to))
}
