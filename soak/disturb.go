package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// disturb lets an event happen and waits for its end. It returns what was done,
// nothing where the victim was too busy, and an error where the event could not
// be carried out.
func (r *runner) disturb(ctx context.Context, e Event) (string, error) {
	switch e.Kind {
	case KindKillEntry:
		return r.restart(ctx, e, pick(e, r.rough), (*Process).Kill)
	case KindKillExit:
		return r.restart(ctx, e, pick(e, r.site.Exits), (*Process).Kill)
	case KindKillControl:
		return r.restart(ctx, e, pick(e, r.site.Controls), (*Process).Kill)
	case KindStopEntry:
		return r.restart(ctx, e, pick(e, r.site.Entries), (*Process).TerminateInSeries)
	case KindStopExit:
		return r.restart(ctx, e, pick(e, r.site.Exits), (*Process).TerminateInSeries)
	case KindStopControl:
		return r.restart(ctx, e, pick(e, r.site.Controls), (*Process).TerminateInSeries)
	case KindPowerControl:
		return r.restart(ctx, e, pick(e, r.site.Controls), func(p *Process) error { return cutPower(e, p) })
	case KindPowerAll:
		return r.powerAll(ctx, e)
	case KindLoseDisk:
		return r.loseDisk(ctx, e)
	case KindPauseEntry:
		return r.pause(ctx, e, pick(e, r.rough))
	case KindPauseExit:
		return r.pause(ctx, e, pick(e, r.site.Exits))
	case KindPauseControl:
		return r.pause(ctx, e, pick(e, r.site.Controls))
	case KindFullDisk:
		return r.disk(ctx, e, orderFull)
	case KindSlowDisk:
		return r.disk(ctx, e, e.Delay.String())
	case KindDelayLink, KindResetLink, KindRefuseLink, KindSilentIn, KindSilentOut, KindSilentLink:
		return r.link(ctx, e)
	case KindCrashTarget:
		return r.target(ctx, e, (*Target).Crash)
	case KindDrainTarget:
		return r.target(ctx, e, (*Target).Drain)
	case KindChange:
		return r.told(e, r.operator.change(int(e.Pick%uint64(len(r.site.Controls))))), nil
	case KindRace:
		return r.told(e, r.operator.race(int(e.Pick%uint64(len(r.site.Controls))))), nil
	case KindGoodMove, KindBadMove:
		return r.move(ctx, e), nil
	}
	return "", fmt.Errorf("no event %q", e.Kind)
}

// pick returns what an event happens to.
func pick[T any](e Event, from []T) T { return from[e.Pick%uint64(len(from))] }

// told says what an event did.
func (r *runner) told(e Event, what string) string {
	if what != "" {
		r.say("%s: %s", e.Kind, what)
	}
	return what
}

// restart ends a process, and starts it again when the event is over.
func (r *runner) restart(ctx context.Context, e Event, p *Process, end func(*Process) error) (string, error) {
	if !r.claim(p.ID) {
		return "", nil
	}
	defer r.release(p.ID)
	what := r.told(e, fmt.Sprintf("%s for %s", p.ID, e.For.Round(time.Millisecond)))
	if err := end(p); err != nil {
		return what, err
	}
	sleep(ctx, e.For)
	return what, p.Start()
}

// cutPower kills a process and takes what it had not synced.
func cutPower(e Event, p *Process) error {
	if err := p.Kill(); err != nil {
		return err
	}
	return p.losePower(rand.New(rand.NewPCG(e.Pick, uint64(e.At))))
}

// powerAll cuts the power of every control instance that nothing else happens
// to.
func (r *runner) powerAll(ctx context.Context, e Event) (string, error) {
	var claimed []*Process
	for _, p := range r.site.Controls {
		if r.claim(p.ID) {
			defer r.release(p.ID)
			claimed = append(claimed, p)
		}
	}
	what := r.told(e, fmt.Sprintf("%d control instances for %s", len(claimed), e.For.Round(time.Millisecond)))
	errs := make([]error, len(claimed))
	var cuts sync.WaitGroup
	for i, p := range claimed {
		cuts.Go(func() { errs[i] = cutPower(e, p) })
	}
	cuts.Wait()
	sleep(ctx, e.For)
	for i, p := range claimed {
		if errs[i] != nil {
			return what, errs[i]
		}
		if err := p.Start(); err != nil {
			return what, err
		}
	}
	return what, nil
}

// diskRepair bounds the time until a lost disk is replaced by what the others
// hold.
const diskRepair = 60 * time.Second

// loseDisk takes the disk of a control instance while the system says that it
// can bear it, and waits until it can bear the next loss.
func (r *runner) loseDisk(ctx context.Context, e Event) (string, error) {
	const allDisks = "disks"
	p := pick(e, r.site.Controls)
	if !r.claim(allDisks) {
		return "", nil
	}
	defer r.release(allDisks)
	if !r.claim(p.ID) {
		return "", nil
	}
	defer r.release(p.ID)
	if r.toleratedLosses(ctx) == 0 {
		return "", nil
	}
	what := r.told(e, p.ID+" loses its disk")
	if err := p.Kill(); err != nil {
		return what, err
	}
	if err := p.ClearDataFolder(); err != nil {
		return what, err
	}
	sleep(ctx, e.For)
	if err := p.Start(); err != nil {
		return what, err
	}
	for end := time.Now().Add(diskRepair); r.toleratedLosses(ctx) == 0 && time.Now().Before(end); {
		if !sleep(ctx, readPause) {
			break
		}
	}
	return what, nil
}

// toleratedLosses asks how many disks may be lost, 0 where nobody can say.
func (r *runner) toleratedLosses(ctx context.Context) int {
	for i := range r.site.Controls {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		response, err := r.site.OperatorClient(i).GetStatus(asking, connect.NewRequest(&schema.GetStatusRequest{}))
		cancel()
		if err == nil {
			return int(response.Msg.GetToleratedLosses())
		}
	}
	return 0
}

// pause takes the processor from a process for a while.
func (r *runner) pause(ctx context.Context, e Event, p *Process) (string, error) {
	if !r.claim(p.ID) {
		return "", nil
	}
	defer r.release(p.ID)
	what := r.told(e, fmt.Sprintf("%s for %s", p.ID, e.For.Round(time.Millisecond)))
	p.Pause()
	defer p.Resume()
	sleep(ctx, e.For)
	return what, nil
}

// disk makes a disk full or slow for a while.
func (r *runner) disk(ctx context.Context, e Event, order string) (string, error) {
	p := pick(e, r.site.Controls)
	name := "disk of " + p.ID
	if !r.claim(name) {
		return "", nil
	}
	defer r.release(name)
	what := r.told(e, fmt.Sprintf("%s of %s for %s", order, p.ID, e.For.Round(time.Millisecond)))
	if err := p.order(order); err != nil {
		return what, err
	}
	sleep(ctx, e.For)
	return what, p.order("")
}

// link disturbs the connections to a process or a target for a while.
func (r *runner) link(ctx context.Context, e Event) (string, error) {
	relays, names := r.links()
	at := e.Pick % uint64(len(relays))
	relay, name := relays[at], "link to "+names[at]
	if !r.claim(name) {
		return "", nil
	}
	defer r.release(name)
	what := r.told(e, fmt.Sprintf("%s for %s", name, e.For.Round(time.Millisecond)))
	if e.Kind == KindResetLink {
		relay.Reset()
		return what, nil
	}
	relay.Set(linkState(e))
	defer relay.Set(LinkState{})
	sleep(ctx, e.For)
	return what, nil
}

func linkState(e Event) LinkState {
	switch e.Kind {
	case KindDelayLink:
		return LinkState{Delay: e.Delay}
	case KindRefuseLink:
		return LinkState{Refuses: true}
	case KindSilentIn:
		return LinkState{SilentIn: true}
	case KindSilentOut:
		return LinkState{SilentOut: true}
	case KindSilentLink:
		return LinkState{SilentIn: true, SilentOut: true}
	default:
		return LinkState{}
	}
}

// links returns the relays with the names of what is behind them.
func (r *runner) links() ([]*Relay, []string) {
	var relays []*Relay
	var names []string
	for _, p := range r.site.Processes() {
		if p.Relay != nil {
			relays = append(relays, p.Relay)
			names = append(names, p.ID)
		}
	}
	for _, t := range r.site.Targets {
		relays = append(relays, t.Relay)
		names = append(names, "the target of "+t.Proxy.ID)
	}
	return relays, names
}

// target ends a target, and starts it again when the event is over.
func (r *runner) target(ctx context.Context, e Event, end func(*Target)) (string, error) {
	t := pick(e, r.site.Targets)
	name := "target of " + t.Proxy.ID
	if !r.claim(name) {
		return "", nil
	}
	defer r.release(name)
	what := r.told(e, fmt.Sprintf("the %s for %s", name, e.For.Round(time.Millisecond)))
	end(t)
	sleep(ctx, e.For)
	return what, t.Start()
}

// move moves the booking service, one move at a time.
func (r *runner) move(ctx context.Context, e Event) string {
	const name = "moves"
	if !r.claim(name) {
		return ""
	}
	defer r.release(name)
	to := versionBad
	if e.Kind == KindGoodMove {
		to = r.operator.nextGood()
	}
	return r.told(e, r.operator.move(ctx, to))
}
