package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	// meanEvacuationPause is the mean time between the starts of two evacuations.
	meanEvacuationPause = 7 * time.Second
	// evacuationTimeout bounds the wait until an evacuation is in force everywhere.
	// Without that its calls are not checked.
	evacuationTimeout = 8 * time.Second
	// evacuationGrace is the time from the watermark on after which no call may reach a
	// target in the zone. Requests that were written before are read within it.
	evacuationGrace = time.Second
)

// planEvacuations returns the evacuations of a run. They have random numbers of their
// own, so that the other events of a seed do not depend on them.
func planEvacuations(seed uint64, duration time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 4))
	var events []Event
	for at := initialDelay; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanEvacuationPause))
		if at >= duration {
			return events
		}
		events = append(events, Event{
			At:       at,
			Kind:     KindEvacuate,
			Duration: minEventDuration + time.Duration(random.Int64N(int64(maxEventDuration-minEventDuration))),
			Choice:   random.Uint64(),
		})
	}
}

// evacuate evacuates a zone for the duration of the event and checks that its targets get
// no calls once the order is in force everywhere. One evacuation runs at a time, and moves run
// meanwhile. No link to a target of the zone has a fault, since a forwarder may hold
// requests back.
func (r *runner) evacuate(ctx context.Context, e Event) (string, error) {
	const evacuations = "evacuations"
	if !r.tryLock(evacuations) {
		return "", nil
	}
	defer r.unlock(evacuations)
	zone := Zone(int(e.Choice % zoneCount))
	var targets []*Target
	for _, t := range r.site.Targets {
		if t.Proxy.Zone != zone {
			continue
		}
		name := linkName("the " + targetName(t))
		if !r.tryLock(name) {
			return "", nil
		}
		defer r.unlock(name)
		targets = append(targets, t)
	}
	version, err := r.operator.orderEvacuation(zone, true)
	if err != nil {
		return "", fmt.Errorf("start the evacuation of %s: %w", zone, err)
	}
	result := r.checkEvacuated(ctx, e, zone, version, targets)
	if _, err := r.operator.orderEvacuation(zone, false); err != nil {
		return result, fmt.Errorf("end the evacuation of %s: %w", zone, err)
	}
	return r.logEvent(e, result), nil
}

// checkEvacuated waits until the order is in force everywhere and counts the calls that
// reach the targets during the event.
func (r *runner) checkEvacuated(ctx context.Context, e Event, zone string, version uint64, targets []*Target) string {
	if !r.awaitEvacuated(ctx, version) || !sleep(ctx, evacuationGrace) {
		return fmt.Sprintf("%s, version %d was not in force everywhere within %s", zone, version, evacuationTimeout)
	}
	count := func() (calls int64) {
		for _, t := range targets {
			all, _ := t.Calls()
			calls += all
		}
		return calls
	}
	before := count()
	sleep(ctx, e.Duration)
	if late := count() - before; late > 0 {
		r.addFinding("%d calls reached targets in %s more than %s after its evacuation was in force as version %d", late, zone, evacuationGrace, version)
	}
	return fmt.Sprintf("%s, checked for %s in version %d", zone, e.Duration.Round(time.Millisecond), version)
}

// awaitEvacuated waits until the version is in force on every proxy and none is silent.
func (r *runner) awaitEvacuated(ctx context.Context, version uint64) bool {
	end := time.Now().Add(evacuationTimeout)
	for i := 0; time.Now().Before(end) && sleep(ctx, readPeriod); i++ {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		response, err := r.site.OperatorClient(i).GetStatus(requestCtx, connect.NewRequest(&schema.GetStatusRequest{}))
		cancel()
		if err == nil && response.Msg.GetWatermark() >= version && response.Msg.GetSilentProxies() == 0 {
			return true
		}
	}
	return false
}

// orderEvacuation starts or ends the evacuation of a zone. It sends the order to one
// control instance after the other until one accepts it, and returns its version.
func (o *operator) orderEvacuation(zone string, isStart bool) (uint64, error) {
	var version uint64
	err := o.r.site.Eventually(resendTimeout, func(ctx context.Context, attempt int) error {
		client := o.r.site.OperatorClient(attempt)
		if isStart {
			response, err := client.StartEvacuation(ctx, connect.NewRequest(&schema.StartEvacuationRequest{Zone: zone}))
			if err == nil {
				version = response.Msg.GetVersion()
			}
			return err
		}
		response, err := client.EndEvacuation(ctx, connect.NewRequest(&schema.EndEvacuationRequest{Zone: zone}))
		if err == nil {
			version = response.Msg.GetVersion()
		}
		return err
	})
	if err == nil {
		o.recordAccepted(version, nil)
	}
	return version, err
}
