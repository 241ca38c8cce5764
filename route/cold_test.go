package route

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// TestColdStates guards against a target that is taken for warm on stale knowledge, or for
// cold longer than what it states.
func TestColdStates(t *testing.T) {
	t.Parallel()
	archive, err := txtar.ParseFile("testdata/cold_states.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			var state ColdState
			for line := range strings.Lines(string(f.Data)) {
				playColdEvent(t, &state, strings.Fields(line))
			}
		})
	}
}

func playColdEvent(t *testing.T, state *ColdState, fields []string) {
	t.Helper()
	start := time.Unix(1000, 0)
	duration := func(i int) time.Duration {
		d, err := time.ParseDuration(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	now := start.Add(duration(0))
	switch fields[1] {
	case "configure":
		perSecond, err := strconv.ParseFloat(fields[3], 64)
		if err != nil {
			t.Fatal(err)
		}
		state.Configure(duration(2), perSecond)
	case "begin":
		state.Begin(now)
	case "heartbeat":
		state.Heartbeat(now, duration(2))
	case "health":
		state.Health(now, start.Add(duration(2)), duration(3))
	case "evacuated", "ended":
		state.SetEvacuated(now, fields[1] == "evacuated")
	case "asks":
		if got := strconv.FormatBool(state.TakeHealthRequest(now)); got != fields[2] {
			t.Errorf("%v: asks the health endpoint: %s", fields, got)
		}
	case "want":
		_, until := state.Limit()
		if left := max(until.Sub(now), 0); left != duration(2) || string(state.Source()) != fields[3] {
			t.Errorf("%v: cold for %s by %s", fields, left, state.Source())
		}
	default:
		t.Fatalf("unknown event %v", fields)
	}
}

// TestColdTargetGetsItsRate guards against more calls within a second than a cold target
// tolerates, whatever ran right before it became cold and whatever limit it states, and
// against much fewer calls than it accepts.
func TestColdTargetGetsItsRate(t *testing.T) {
	t.Parallel()
	const (
		perSecond = 13
		bound     = 27
		coldFor   = 3 * time.Second
	)
	for range 20 {
		seed := rand.Uint64()
		random := rand.New(rand.NewPCG(seed, 1))
		a := NewAdmission(100)
		now := time.Unix(1000, 0)
		a.SetCold(now, perSecond, now)
		var starts []time.Time
		offer := func(until time.Time, gap time.Duration) {
			for ; now.Before(until); now = now.Add(time.Duration(random.Int64N(int64(2*gap)) + 1)) {
				w := &Waiter{Caller: "c", Route: "r", Deadline: now.Add(10 * time.Millisecond), Decided: make(chan Verdict, 1)}
				if a.Offer(now, w) == VerdictAdmit {
					starts = append(starts, now)
					a.Done(now, w, time.Millisecond, false)
				}
			}
		}
		for range 5 {
			offer(now.Add(time.Second), time.Duration(1+random.IntN(30))*time.Millisecond)
			if random.IntN(2) == 0 {
				a.SetRateLimit(now, now, limitOf(20+random.Float64()*200))
			}
			coldAt := now
			a.SetCold(now, perSecond, now.Add(coldFor))
			offer(coldAt.Add(coldFor), time.Millisecond)
			checkColdStarts(t, seed, starts, coldAt, bound)
			if got, least := countSince(starts, coldAt.Add(time.Second)), 9*2*perSecond/10; got < least {
				t.Errorf("seed %d: %d starts in 2 s, want at least %d", seed, got, least)
			}
		}
	}
}

func countSince(times []time.Time, since time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(since) {
			count++
		}
	}
	return count
}

// checkColdStarts checks the calls in the second before each start since the time.
func checkColdStarts(t *testing.T, seed uint64, starts []time.Time, since time.Time, bound int) {
	t.Helper()
	for i, at := range starts {
		if at.Before(since) {
			continue
		}
		within := countSince(starts[:i+1], at.Add(-time.Second))
		if within > bound {
			t.Errorf("seed %d: %d starts within a second at a cold target, want at most %d", seed, within, bound)
			return
		}
	}
}

// TestCallWaitsAtColdTargetOnlyWithoutAlternative guards against calls that are queued at a
// cold target although another one has room, and against refusals where all are cold.
func TestCallWaitsAtColdTargetOnlyWithoutAlternative(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		hasAlternative bool
		want           Verdict
	}{{false, VerdictWait}, {true, VerdictRateLimited}} {
		a := NewAdmission(10)
		a.SetCold(now, 13, now.Add(time.Second))
		w := &Waiter{Route: "r", Deadline: now.Add(5 * time.Second), HasAlternative: c.hasAlternative, Decided: make(chan Verdict, 1)}
		if got := a.Offer(now, w); got != c.want {
			t.Errorf("with an alternative %v the verdict is %d, want %d", c.hasAlternative, got, c.want)
		}
	}
}

// TestRefusalsAtOnceCountOnce guards against a cold target that gets hardly any calls since
// many that were sent at the same instant were refused.
func TestRefusalsAtOnceCountOnce(t *testing.T) {
	t.Parallel()
	var l Load
	now := time.Unix(1000, 0)
	l.AssumeCold(1, 13)
	const retryAfter = 80 * time.Millisecond
	for range 20 {
		l.RefuseCold(now, retryAfter)
	}
	if now = now.Add(retryAfter); l.isHeldBack(now) {
		t.Error("the target is avoided for longer than the refusals say")
	}
	for range 50 {
		l.RefuseCold(now, retryAfter)
		now = now.Add(maxColdHold)
	}
	l.AcceptCold()
	l.RefuseCold(now, retryAfter)
	if !l.isHeldBack(now.Add(maxColdHold/2)) || l.isHeldBack(now.Add(9*maxColdHold/10)) {
		t.Error("after a call that was accepted the target is not avoided for a shorter time")
	}
}
