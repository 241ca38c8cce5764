package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of event.
type Kind string

// The kinds of events.
const (
	KindKillEntry    Kind = "kill_entry"
	KindKillExit     Kind = "kill_exit"
	KindKillControl  Kind = "kill_control"
	KindPauseEntry   Kind = "pause_entry"
	KindPauseExit    Kind = "pause_exit"
	KindPauseControl Kind = "pause_control"
	KindStopEntry    Kind = "stop_entry"
	KindStopExit     Kind = "stop_exit"
	KindStopControl  Kind = "stop_control"
	// KindPowerOffControl cuts the power of one control instance, KindPowerOffAll
	// that of all that no other event ends or pauses. KindLoseDisk empties the data
	// folder of one.
	KindPowerOffControl Kind = "power_control"
	KindPowerOffAll     Kind = "power_all"
	KindLoseDisk        Kind = "lose_disk"
	KindFullDisk        Kind = "full_disk"
	KindSlowDisk        Kind = "slow_disk"
	// Link events affect the connections that go through the forwarder of a control
	// instance, a proxy or a target.
	KindDelayLink  Kind = "delay_link"
	KindResetLink  Kind = "reset_link"
	KindRefuseLink Kind = "refuse_link"
	KindSilentIn   Kind = "silent_in"
	KindSilentOut  Kind = "silent_out"
	KindSilentLink Kind = "silent_link"
	// Targets crash or drain, and start again.
	KindCrashTarget Kind = "crash_target"
	KindDrainTarget Kind = "drain_target"
	// Requests of the operators. KindRace sends two changes on the same base
	// version.
	KindChange   Kind = "change"
	KindRace     Kind = "race"
	KindGoodMove Kind = "good_move"
	KindBadMove  Kind = "bad_move"
	// KindEvacuate evacuates an availability zone. It has no weight among the others.
	KindEvacuate Kind = "evacuate"
	// KindBulkChange adds hundreds of routes. It and the kinds that only accompany it,
	// KindFreezeProxy and KindReloadProxy, have no weight among the others.
	KindBulkChange  Kind = "bulk_change"
	KindFreezeProxy Kind = "freeze_proxy"
	KindReloadProxy Kind = "reload_proxy"
	// Planned stops affect the processes with a grace period, which are killed at its end.
	// They have no weight among the others.
	KindPlannedStopEntry   Kind = "planned_stop_entry"
	KindPlannedStopExit    Kind = "planned_stop_exit"
	KindPlannedStopControl Kind = "planned_stop_control"
)

// kindWeights are the relative frequencies of the kinds. Events that stop most
// of the system are rare, so that the others occur while it works.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{KindKillEntry, 2},
	{KindKillExit, 4},
	{KindKillControl, 3},
	{KindPauseEntry, 2},
	{KindPauseExit, 4},
	{KindPauseControl, 3},
	{KindStopEntry, 4},
	{KindStopExit, 4},
	{KindStopControl, 2},
	{KindPowerOffControl, 3},
	{KindPowerOffAll, 1},
	{KindLoseDisk, 2},
	{KindFullDisk, 2},
	{KindSlowDisk, 2},
	{KindDelayLink, 4},
	{KindResetLink, 5},
	{KindRefuseLink, 3},
	{KindSilentIn, 3},
	{KindSilentOut, 3},
	{KindSilentLink, 3},
	{KindCrashTarget, 4},
	{KindDrainTarget, 6},
	{KindChange, 12},
	{KindRace, 3},
	{KindGoodMove, 3},
	{KindBadMove, 4},
}

const (
	// meanPause is the mean time between two bursts of events.
	meanPause = 700 * time.Millisecond
	// burstShare is the share of the bursts that have several events.
	burstShare = 0.3
	// maxBurstEvents bounds the events of a burst, maxBurstPause the time between
	// two of them.
	maxBurstEvents = 5
	maxBurstPause  = 150 * time.Millisecond
	// minEventDuration and maxEventDuration bound how long an event lasts.
	minEventDuration = 200 * time.Millisecond
	maxEventDuration = 4 * time.Second
	// maxDelay bounds the delay of a link or of a disk write.
	maxDelay = 300 * time.Millisecond
	// initialDelay is the time before which no event starts.
	initialDelay = time.Second
)

// Event is a fault or an operator's request during a soak.
type Event struct {
	// At is when the event starts, as the time since the start of the run of events.
	At   time.Duration
	Kind Kind
	// Duration is how long the event lasts. Changes, races, moves and resets of links
	// ignore it.
	Duration time.Duration
	// Delay is the delay of a link or of a disk write.
	Delay time.Duration
	// Choice selects the process, disk, link or target that the event affects.
	Choice uint64
}

// String describes the event.
func (e Event) String() string {
	return fmt.Sprintf("%6.2f s %s for %s", e.At.Seconds(), e.Kind, e.Duration.Round(time.Millisecond))
}

// Plan returns the events of a run. They depend only on the seed and the
// duration.
func Plan(seed uint64, duration time.Duration) []Event {
	events := slices.Concat(planFaults(seed, duration), planEvacuations(seed, duration), planSeries(seed, duration), planStops(seed, duration))
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// planFaults returns all events but the evacuations, the series of large changes and the planned
// stops.
func planFaults(seed uint64, duration time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	var events []Event
	for at := initialDelay; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
		count := 1
		if random.Float64() < burstShare {
			count += 1 + random.IntN(maxBurstEvents-1)
		}
		for range count {
			if at >= duration {
				return events
			}
			events = append(events, Event{
				At:       at,
				Kind:     drawKind(random),
				Duration: minEventDuration + time.Duration(random.Int64N(int64(maxEventDuration-minEventDuration))),
				Delay:    time.Duration(random.Int64N(int64(maxDelay))),
				Choice:   random.Uint64(),
			})
			at += time.Duration(random.Int64N(int64(maxBurstPause)))
		}
	}
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, k := range kindWeights {
		total += k.weight
	}
	draw := random.IntN(total)
	for _, k := range kindWeights {
		if draw -= k.weight; draw < 0 {
			return k.kind
		}
	}
	return KindChange
}
