package route

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func limitOf(perSecond float64) hornbeamwell.RateLimit {
	return hornbeamwell.RateLimit{IsLimited: true, PerSecond: perSecond}
}

// TestRateLimitOutlivesOlderResponses guards against a limit that is lifted by a
// response which the target sent before it stated the limit and which was read later.
func TestRateLimitOutlivesOlderResponses(t *testing.T) {
	var l RateLimiter
	start := time.Unix(1000, 0)
	sentBefore := start.Add(-50 * time.Millisecond)
	if !l.Observe(start, sentBefore, limitOf(20)) {
		t.Fatal("a stated limit changed nothing")
	}
	if l.Observe(start.Add(time.Millisecond), sentBefore, hornbeamwell.RateLimit{}) || l.Limit() != limitOf(20) {
		t.Errorf("a response to an earlier call changed the limit to %s", l.Limit())
	}
	if !l.Observe(start.Add(2*time.Millisecond), sentBefore, limitOf(10)) {
		t.Error("a stated change of the limit was ignored")
	}
	sentAfter := start.Add(10 * time.Millisecond)
	if l.Observe(start.Add(60*time.Millisecond), sentAfter, hornbeamwell.RateLimit{}) {
		t.Error("a single response without a limit ended it")
	}
	if !l.Observe(start.Add(70*time.Millisecond), sentAfter, hornbeamwell.RateLimit{}) || l.Limit().IsLimited {
		t.Errorf("the limit is still %s after two responses without one to later calls", l.Limit())
	}
}

// TestRateLimitOutlivesSpoiltResponse guards against a burst at a target in need, one of
// whose responses lost its statement.
func TestRateLimitOutlivesSpoiltResponse(t *testing.T) {
	var l RateLimiter
	now := time.Unix(1000, 0)
	for range 20 {
		l.Observe(now, now.Add(-50*time.Millisecond), limitOf(2))
		now = now.Add(500 * time.Millisecond)
		if l.Observe(now, now.Add(-50*time.Millisecond), hornbeamwell.RateLimit{}) {
			t.Fatal("a single response without a limit ended it")
		}
		now = now.Add(500 * time.Millisecond)
	}
}

// TestRateLimitedTargetGetsItsRate simulates a target in need: it states that it takes
// 26.7 calls per second while 90 arrive, with an objective of 300 ms. It must get
// nearly its rate, never more, and the calls beyond it must be refused at once, since
// other targets may have room.
func TestRateLimitedTargetGetsItsRate(t *testing.T) {
	const (
		slots          = 12
		perSecond      = 26.7
		callsPerSecond = 90
		seconds        = 20
		window         = 4 * time.Second
	)
	for seed := range uint64(5) {
		q := newQueueSimulation(seed, slots)
		var starts []time.Time
		q.work = func(*Waiter) time.Duration {
			starts = append(starts, q.now)
			return time.Duration(60+q.random.IntN(60)) * time.Millisecond
		}
		q.admission.SetRateLimit(q.now, q.now, limitOf(perSecond))
		for range seconds * int(time.Second/simulationTick) {
			q.tick()
			if at, isNeeded := q.admission.NextTick(); isNeeded && !at.After(q.now) {
				q.admission.Tick(q.now)
			}
			if q.random.IntN(int(time.Second/simulationTick)) < callsPerSecond {
				q.offer(&Waiter{Caller: "c", Route: "r", Rank: 2, Objective: q.now.Add(300 * time.Millisecond), Deadline: q.now.Add(800 * time.Millisecond)})
			}
		}
		if got, allowed := mostWithin(starts, window), int(1.5*perSecond*window.Seconds())+5; got > allowed {
			t.Errorf("seed %d: %d calls within %s, want at most %d", seed, got, window, allowed)
		}
		if least := 9 * int(perSecond*10) * seconds / 100; q.inTime < least {
			t.Errorf("seed %d: %d responses in time, want at least %d; %d late, %d refused", seed, q.inTime, least, q.late, q.refused)
		}
		if mean := q.queuedTime / time.Duration(max(q.refused, 1)); mean > 300*time.Millisecond/8 {
			t.Errorf("seed %d: refused calls were queued for %s on average", seed, mean)
		}
	}
}

// mostWithin returns the highest number of times within any window of the length.
func mostWithin(times []time.Time, window time.Duration) int {
	most, end := 0, 0
	for begin, first := range times {
		for end < len(times) && times[end].Sub(first) < window {
			end++
		}
		most = max(most, end-begin)
	}
	return most
}

// TestTargetWithZeroRateIsProbed guards against a target that stated a limit of zero
// and never gets a call again, so that the end of its limit is not noticed.
func TestTargetWithZeroRateIsProbed(t *testing.T) {
	q := newQueueSimulation(1, 4)
	q.admission.SetRateLimit(q.now, q.now, limitOf(0))
	for range 10 * int(time.Second/simulationTick) {
		q.tick()
		q.offer(&Waiter{Caller: "c", Route: "r", Objective: q.now.Add(300 * time.Millisecond), Deadline: q.now.Add(time.Second)})
	}
	if ran := q.ran["r"]; ran < 3 || ran > 6 {
		t.Errorf("%d calls within 10 s, want one each 2 s", ran)
	}
}

// TestEndOfRateLimitAdmitsQueuedCalls guards against calls that go on waiting for a
// token after the limit has ended.
func TestEndOfRateLimitAdmitsQueuedCalls(t *testing.T) {
	a := NewAdmission(4)
	now := time.Unix(1000, 0)
	a.SetRateLimit(now, now, limitOf(1))
	w := &Waiter{Route: "r", Deadline: now.Add(10 * time.Second), Decided: make(chan Verdict, 1)}
	if verdict := a.Offer(now, w); verdict != VerdictWait {
		t.Fatalf("the first call got verdict %d, want it to wait for a token", verdict)
	}
	if at, isNeeded := a.NextTick(); !isNeeded || at.Sub(now).Round(time.Millisecond) != time.Second {
		t.Errorf("the next tick is at %v, needed %v, want it after 1s", at.Sub(now), isNeeded)
	}
	for range responsesToLift {
		a.SetRateLimit(now.Add(20*time.Millisecond), now.Add(10*time.Millisecond), hornbeamwell.RateLimit{})
	}
	select {
	case verdict := <-w.Decided:
		if verdict != VerdictAdmit {
			t.Errorf("the queued call got verdict %d", verdict)
		}
	default:
		t.Error("the queued call still waits")
	}
}

// TestCallIsRefusedAtOnceBeforeFirstResponse guards against calls that wait for their turn
// until their deadline at a target with a low rate that has answered none yet, since its
// proxy has started again.
func TestCallIsRefusedAtOnceBeforeFirstResponse(t *testing.T) {
	a := NewAdmission(4)
	now := time.Unix(1000, 0)
	a.AdoptRateLimit(now, limitOf(2))
	for i, want := range []Verdict{VerdictWait, VerdictWait, VerdictRateLimited} {
		w := &Waiter{Route: "r", Objective: now.Add(1200 * time.Millisecond), Deadline: now.Add(3 * time.Second), Decided: make(chan Verdict, 1)}
		if verdict := a.Offer(now, w); verdict != want {
			t.Errorf("call %d got verdict %d, want %d", i, verdict, want)
		}
	}
}
