package route

import (
	"testing"
	"time"
)

func TestCrashConfirmsTheOnlySuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewCrashDetector()
	d.Begin(1, true)
	d.Begin(2, false)
	d.End(now, 1, true, true)
	got := make(map[Fingerprint]Suspicion)
	for _, s := range d.RecordCrash(now) {
		got[s.Fingerprint] = s.Suspicion
	}
	if got[1] != SuspicionConfirmed || got[2] != SuspicionCrash {
		t.Fatalf("suspicions %v, want request 1 confirmed and request 2 only in flight at the crash", got)
	}
}
