package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// toleranceTimeout bounds the wait until the system tolerates the loss of as many
	// disks as its size allows.
	toleranceTimeout = 60 * time.Second
	// maxPowerLossDelay bounds the time from the acceptance of the last change to the
	// loss of power.
	maxPowerLossDelay = 50 * time.Millisecond
	// powerLossDuration is the time without power.
	powerLossDuration = 1200 * time.Millisecond
)

// losePowerEverywhere cuts the power of every process and target at one moment, right
// after a change was accepted. As many control instances as the system tolerates lose
// their disks with it. All start again.
func (r *runner) losePowerEverywhere(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 2))
	wanted := (len(r.site.Controls) - 1) / 2
	if !r.awaitTolerance(ctx, wanted) {
		return
	}
	last := r.operator.change(random.IntN(len(r.site.Controls)))
	sleep(ctx, time.Duration(random.Int64N(int64(maxPowerLossDelay))))
	losesDisk := map[*Process]bool{}
	for _, i := range random.Perm(len(r.site.Controls))[:wanted] {
		losesDisk[r.site.Controls[i]] = true
	}
	r.logf("%s; power is lost everywhere, with %d of %d disks", last, wanted, len(r.site.Controls))
	r.forEachProcess("loses power", func(p *Process) error {
		switch {
		case losesDisk[p]:
			if err := p.Kill(); err != nil {
				return err
			}
			return p.ClearDataFolder()
		case p.DataFolder != "":
			return powerOff(Event{At: r.options.Duration, Choice: r.options.Seed}, p)
		default:
			return p.Kill()
		}
	})
	for _, t := range r.site.Targets {
		t.Crash()
	}
	sleep(ctx, powerLossDuration)
	r.forEachProcess("starts", (*Process).Start)
	for _, t := range r.site.Targets {
		if err := t.Start(); err != nil {
			r.addFinding("start after the loss of power: %v", err)
		}
	}
}

// awaitTolerance waits until the system tolerates the loss of that many disks. It
// reports whether it does, and adds a finding if not.
func (r *runner) awaitTolerance(ctx context.Context, wanted int) bool {
	tolerated := 0
	for end := time.Now().Add(toleranceTimeout); time.Now().Before(end); {
		if tolerated = r.toleratedLosses(ctx); tolerated >= wanted {
			return true
		}
		if !sleep(ctx, readPeriod) {
			return false
		}
	}
	r.addFinding("the loss of %d disks is tolerated %s after the last fault, want %d", tolerated, toleranceTimeout, wanted)
	return false
}

// forEachProcess carries out an action on all processes at once and adds a finding for
// each that fails.
func (r *runner) forEachProcess(name string, action func(*Process) error) {
	var actions sync.WaitGroup
	for _, p := range r.site.Processes() {
		actions.Go(func() {
			if err := action(p); err != nil {
				r.addFinding("%s %s: %v", p.ID, name, err)
			}
		})
	}
	actions.Wait()
}
