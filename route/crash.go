package route

import "time"

// lossWindow is the time before a confirmed crash within which calls that lost
// their connection count as in flight at it.
const lossWindow = 2 * time.Second

// CrashWatch finds the requests that were in flight when the target of one
// proxy crashed. It is not safe for use by several goroutines at once.
type CrashWatch struct {
	running map[Fingerprint]int
	lost    []lostCall
	// down is true from a confirmed crash until the target answers again.
	down  bool
	crash CrashID
}

type lostCall struct {
	fingerprint Fingerprint
	at          time.Time
}

// NewCrashWatch returns a watch over a target without a call.
func NewCrashWatch() *CrashWatch {
	return &CrashWatch{running: make(map[Fingerprint]int)}
}

// Begin counts a call that is sent to the target.
func (w *CrashWatch) Begin(fingerprint Fingerprint) { w.running[fingerprint]++ }

// End counts the end of a call. A call that lost its connection may turn out
// to have been in flight at a crash.
func (w *CrashWatch) End(now time.Time, fingerprint Fingerprint, lost bool) {
	if w.running[fingerprint]--; w.running[fingerprint] <= 0 {
		delete(w.running, fingerprint)
	}
	if lost {
		w.forgetOld(now)
		w.lost = append(w.lost, lostCall{fingerprint: fingerprint, at: now})
	}
}

// Answered says that the target is up.
func (w *CrashWatch) Answered() { w.down = false }

// Confirm takes the proof of a crash: the target refuses connections or was
// started again. The id is that of the crash if it is a new one. It returns
// the requests that were in flight, and the id that counts.
func (w *CrashWatch) Confirm(now time.Time, id CrashID) ([]Fingerprint, CrashID) {
	w.forgetOld(now)
	if len(w.lost) == 0 {
		return nil, 0
	}
	if !w.down {
		w.down = true
		w.crash = id
	}
	found := make([]Fingerprint, 0, len(w.lost)+len(w.running))
	for _, l := range w.lost {
		found = append(found, l.fingerprint)
	}
	for fingerprint := range w.running {
		found = append(found, fingerprint)
	}
	w.lost = nil
	return found, w.crash
}

func (w *CrashWatch) forgetOld(now time.Time) {
	old := 0
	for old < len(w.lost) && now.Sub(w.lost[old].at) > lossWindow {
		old++
	}
	w.lost = w.lost[old:]
}
