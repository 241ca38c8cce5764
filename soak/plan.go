package soak

import (
	"fmt"
	"math/rand/v2"
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
	// KindPowerControl loses the power of a control instance, KindPowerAll
	// that of all, and KindLoseDisk the disk of one.
	KindPowerControl Kind = "power_control"
	KindPowerAll     Kind = "power_all"
	KindLoseDisk     Kind = "lose_disk"
	KindFullDisk     Kind = "full_disk"
	KindSlowDisk     Kind = "slow_disk"
	// The links are those to a control instance, an exit proxy or a target.
	KindDelayLink  Kind = "delay_link"
	KindResetLink  Kind = "reset_link"
	KindRefuseLink Kind = "refuse_link"
	KindSilentIn   Kind = "silent_in"
	KindSilentOut  Kind = "silent_out"
	KindSilentLink Kind = "silent_link"
	// Targets crash or leave, and come back.
	KindCrashTarget Kind = "crash_target"
	KindDrainTarget Kind = "drain_target"
	// The operators' calls.
	KindChange   Kind = "change"
	KindRace     Kind = "race"
	KindGoodMove Kind = "good_move"
	KindBadMove  Kind = "bad_move"
)

// kindWeights say how often a kind is drawn. What takes most of the system away
// is rare, so that it meets a system that works.
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
	{KindPowerControl, 3},
	{KindPowerAll, 1},
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
	// meanPause is the mean time between two series of events.
	meanPause = 700 * time.Millisecond
	// seriesShare is the part of the series that have several events.
	seriesShare = 0.3
	// seriesLength is the most events of a series, seriesPause the most time
	// between two of them.
	seriesLength = 5
	seriesPause  = 150 * time.Millisecond
	// shortest and longest bound how long an event lasts.
	shortest = 200 * time.Millisecond
	longest  = 4 * time.Second
	// mostDelay bounds the delay of a link or a write.
	mostDelay = 300 * time.Millisecond
	// firstEvent is the time in which the site is left alone.
	firstEvent = time.Second
)

// Event is one thing that happens to a site.
type Event struct {
	At   time.Duration
	Kind Kind
	// For is how long it lasts.
	For time.Duration
	// Delay is that of a link or a write.
	Delay time.Duration
	// Pick chooses what it happens to.
	Pick uint64
}

// String describes the event.
func (e Event) String() string {
	return fmt.Sprintf("%6.2f s %s for %s", e.At.Seconds(), e.Kind, e.For.Round(time.Millisecond))
}

// Plan returns the events of a run. It follows from the seed and the duration
// alone.
func Plan(seed uint64, duration time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	var events []Event
	for at := firstEvent; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
		count := 1
		if random.Float64() < seriesShare {
			count += 1 + random.IntN(seriesLength-1)
		}
		for range count {
			if at >= duration {
				return events
			}
			events = append(events, Event{
				At:    at,
				Kind:  drawKind(random),
				For:   shortest + time.Duration(random.Int64N(int64(longest-shortest))),
				Delay: time.Duration(random.Int64N(int64(mostDelay))),
				Pick:  random.Uint64(),
			})
			at += time.Duration(random.Int64N(int64(seriesPause)))
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
