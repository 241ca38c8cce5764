package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestAdmissionInvariants offers, ends and cancels calls at random. It guards
// against wrong counts of running and waiting calls, and against calls that are
// decided twice or never.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		a := NewAdmission(slots)
		var running, waiting []*Waiter
		receiveVerdicts := func() {
			rest := waiting[:0]
			for _, w := range waiting {
				select {
				case verdict := <-w.Decided:
					if verdict == VerdictAdmit {
						running = append(running, w)
					}
				default:
					rest = append(rest, w)
				}
			}
			waiting = rest
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				w := &Waiter{
					Caller:   fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")),
					Class:    rapid.SampledFrom([]hornbeamwell.Class{hornbeamwell.ClassInteractive, hornbeamwell.ClassBulk}).Draw(t, "class"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond),
					Rank:     rapid.IntRange(UrgentRank, 2).Draw(t, "rank"),
					Decided:  make(chan Verdict, 1),
				}
				if objective := rapid.IntRange(0, 500).Draw(t, "objective"); objective > 0 {
					w.Objective = now.Add(time.Duration(objective) * time.Millisecond)
				}
				switch a.Offer(now, w) {
				case VerdictAdmit:
					running = append(running, w)
				case VerdictWait:
					waiting = append(waiting, w)
				case VerdictFull, VerdictLate, VerdictRateLimited:
				}
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "index")
				w := running[i]
				running = append(running[:i], running[i+1:]...)
				a.Done(now, w, time.Duration(rapid.IntRange(1, 50).Draw(t, "ms"))*time.Millisecond, rapid.Bool().Draw(t, "shed"))
			},
			"leave": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "index")
				if !a.Cancel(waiting[i]) {
					t.Fatal("a queued call was not cancelled")
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
			},
			"slots": func(t *rapid.T) {
				slots = rapid.IntRange(1, 6).Draw(t, "slots")
				a.Limit.SetSlots(slots)
			},
			"rate": func(t *rapid.T) {
				perSecond := rapid.SampledFrom([]float64{0, 0.3, 5, 500}).Draw(t, "per second")
				a.SetRateLimit(now, now.Add(time.Millisecond), hornbeamwell.RateLimit{IsLimited: perSecond > 0, PerSecond: perSecond})
			},
			"order": func(t *rapid.T) {
				a.OrdersByObjective = rapid.Bool().Draw(t, "by objective")
				a.RelatesSheds = rapid.Bool().Draw(t, "relates sheds")
			},
			"state": func(t *rapid.T) {
				count := rapid.IntRange(0, 6)
				a.State(now, hornbeamwell.LoadStatement{IsStated: true, Running: count.Draw(t, "running"), Waiting: count.Draw(t, "waiting"), Slots: count.Draw(t, "stated slots")})
			},
			"tick": func(*rapid.T) { a.Tick(now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				receiveVerdicts()
				if a.Running() != len(running) || a.Load() != len(running)+len(waiting) {
					t.Fatalf("admission counts %d running and a load of %d, want %d running and %d waiting", a.Running(), a.Load(), len(running), len(waiting))
				}
				if limit := a.Limit.Current(); limit < 1 || limit > slots {
					t.Fatalf("the limit is %d of %d slots", limit, slots)
				}
				if len(a.sheds.starts) != len(running) {
					t.Fatalf("%d starts are recorded of %d running calls", len(a.sheds.starts), len(running))
				}
				calls := 0
				for caller, n := range a.callers {
					if n <= 0 {
						t.Fatalf("caller %s has %d calls", caller, n)
					}
					calls += n
				}
				held, ofRanks := 0, 0
				for _, n := range a.held {
					held += n
				}
				for _, n := range a.runningOfRank {
					ofRanks += n
				}
				if held != len(running) || ofRanks != len(running) {
					t.Fatalf("the callers hold %d slots, the ranks %d, %d are in use", held, ofRanks, len(running))
				}
				if calls != a.Load() {
					t.Fatalf("the callers have %d calls, the load is %d", calls, a.Load())
				}
			},
		})
	})
}

func newWaiter(caller string, class hornbeamwell.Class, deadline time.Time) *Waiter {
	return &Waiter{Caller: caller, Class: class, Deadline: deadline, Decided: make(chan Verdict, 1)}
}

func TestGreedyCallerDoesNotStarveOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAdmission(2)
	first := newWaiter("greedy", hornbeamwell.ClassInteractive, now.Add(time.Minute))
	a.Offer(now, first)
	for range 20 {
		a.Offer(now, newWaiter("greedy", hornbeamwell.ClassInteractive, now.Add(time.Second)))
	}
	other := newWaiter("other", hornbeamwell.ClassInteractive, now.Add(time.Minute))
	if verdict := a.Offer(now, other); verdict != VerdictWait {
		t.Fatalf("the second caller got the verdict %d", verdict)
	}
	a.Done(now, first, time.Millisecond, false)
	select {
	case verdict := <-other.Decided:
		if verdict != VerdictAdmit {
			t.Fatalf("the second caller got the verdict %d on its queued call", verdict)
		}
	default:
		t.Fatal("the call of the greedy caller was admitted first")
	}
}

func TestBulkCallsLeaveASlotFree(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAdmission(4)
	bulk := 0
	for range 8 {
		if a.Offer(now, newWaiter("x", hornbeamwell.ClassBulk, now.Add(time.Minute))) == VerdictAdmit {
			bulk++
		}
	}
	if bulk != 3 {
		t.Fatalf("bulk calls hold %d of 4 slots, want 3", bulk)
	}
	if verdict := a.Offer(now, newWaiter("y", hornbeamwell.ClassInteractive, now.Add(time.Minute))); verdict == VerdictFull {
		t.Fatal("an interactive call was refused while bulk calls wait")
	}
}
