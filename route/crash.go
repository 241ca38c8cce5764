package route

import "time"

// lossWindow is the time before a confirmed crash within which calls that lost
// their connection count as in flight at it.
const lossWindow = 2 * time.Second

// CrashDetector finds the requests that were in flight when the target of one
// proxy crashed. It is not safe for use by several goroutines at once.
type CrashDetector struct {
	// running counts the calls at the target by how they run.
	running map[runningCall]int
	lost    []lostCall
}

// runningCall is a request at the target.
type runningCall struct {
	fingerprint Fingerprint
	// asSuspect is true where it runs as the only suspect.
	asSuspect bool
}

type lostCall struct {
	runningCall
	at time.Time
}

// NewCrashDetector returns a watch over a target without a call.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{running: make(map[runningCall]int)}
}

// Begin counts a call that is sent to the target.
func (w *CrashDetector) Begin(fingerprint Fingerprint, asSuspect bool) {
	w.running[runningCall{fingerprint, asSuspect}]++
}

// End counts the end of a call. A call that lost its connection may turn out
// to have been in flight at a crash.
func (w *CrashDetector) End(now time.Time, fingerprint Fingerprint, asSuspect, lost bool) {
	call := runningCall{fingerprint, asSuspect}
	if w.running[call]--; w.running[call] <= 0 {
		delete(w.running, call)
	}
	if lost {
		w.forgetOld(now)
		w.lost = append(w.lost, lostCall{runningCall: call, at: now})
	}
}

// RecordCrash takes the proof of a crash: the target refuses connections or was
// started again. It returns the requests that were in flight. One that ran as
// the only suspect is convicted: it was in flight at an earlier crash too.
func (w *CrashDetector) RecordCrash(now time.Time) []Suspect {
	w.forgetOld(now)
	if len(w.lost) == 0 {
		return nil
	}
	found := make([]Suspect, 0, len(w.lost)+len(w.running))
	add := func(call runningCall) {
		suspicion := SuspicionCrash
		if call.asSuspect {
			suspicion = SuspicionConfirmed
		}
		found = append(found, Suspect{
			Fingerprint: call.fingerprint, Suspicion: suspicion, Until: now.Add(SuspectLifetime),
		})
	}
	for _, l := range w.lost {
		add(l.runningCall)
	}
	for call := range w.running {
		add(call)
	}
	w.lost = nil
	return found
}

func (w *CrashDetector) forgetOld(now time.Time) {
	old := 0
	for old < len(w.lost) && now.Sub(w.lost[old].at) > lossWindow {
		old++
	}
	w.lost = w.lost[old:]
}
