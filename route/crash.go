package route

import "time"

// connectionLossWindow is the time before a confirmed crash within which calls
// that lost their connection count as in flight at the crash.
const connectionLossWindow = 2 * time.Second

// CrashDetector determines the requests that were in flight when the target of
// one proxy crashed. It is not safe for concurrent use.
type CrashDetector struct {
	// running counts the calls in flight at the target.
	running map[runningCall]int
	lost    []lostCall
}

// runningCall identifies calls in flight at the target.
type runningCall struct {
	fingerprint Fingerprint
	// asSuspect is true if the request runs as the only suspect of its proxy.
	asSuspect bool
}

type lostCall struct {
	runningCall
	at time.Time
}

// NewCrashDetector returns a CrashDetector for a target without calls.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{running: make(map[runningCall]int)}
}

// Begin records a call that is sent to the target.
func (d *CrashDetector) Begin(fingerprint Fingerprint, asSuspect bool) {
	d.running[runningCall{fingerprint, asSuspect}]++
}

// End records the end of a call. A call that lost its connection may have been
// in flight at a crash that is confirmed later.
func (d *CrashDetector) End(now time.Time, fingerprint Fingerprint, asSuspect, lost bool) {
	call := runningCall{fingerprint, asSuspect}
	if d.running[call]--; d.running[call] <= 0 {
		delete(d.running, call)
	}
	if lost {
		d.expire(now)
		d.lost = append(d.lost, lostCall{runningCall: call, at: now})
	}
}

// RecordCrash records a crash that is proven because the target refuses
// connections or was started again. It returns the requests that were in flight,
// or none if no call lost its connection within connectionLossWindow. The
// suspicion of a request that ran as the only suspect is confirmed, because the
// request was in flight at an earlier crash too.
func (d *CrashDetector) RecordCrash(now time.Time) []Suspect {
	d.expire(now)
	if len(d.lost) == 0 {
		return nil
	}
	found := make([]Suspect, 0, len(d.lost)+len(d.running))
	add := func(call runningCall) {
		suspicion := SuspicionCrash
		if call.asSuspect {
			suspicion = SuspicionConfirmed
		}
		found = append(found, Suspect{
			Fingerprint: call.fingerprint, Suspicion: suspicion, Until: now.Add(SuspectLifetime),
		})
	}
	for _, l := range d.lost {
		add(l.runningCall)
	}
	for call := range d.running {
		add(call)
	}
	d.lost = nil
	return found
}

func (d *CrashDetector) expire(now time.Time) {
	expired := 0
	for expired < len(d.lost) && now.Sub(d.lost[expired].at) > connectionLossWindow {
		expired++
	}
	d.lost = d.lost[expired:]
}
