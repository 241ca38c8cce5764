package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// newGrantedEntry returns an entry whose owner has just stated the rate and granted
// nothing that is left.
func newGrantedEntry(t *testing.T, perSecond float64) (*Entry, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	e := NewEntry("a-1", DefaultBounds(), rand.New(rand.NewPCG(1, 0)))
	ring := &Ring{}
	ring.SetMembers([]string{"b"})
	e.Update(now, map[string]hornbeamwell.Quota{"team": quotaFor(100)}, ring, "a")
	e.Take(now, "team")
	batch := nextBatch(t, e, now)
	e.Receive(now, "b", Reply{Sequence: batch.Request.Sequence, Teams: []TeamReply{{Team: "team", IsOwner: true, Granted: 1, Rate: perSecond}}})
	if got := e.Resolve(now, "team").Verdict; got != VerdictSpend {
		t.Fatalf("the verdict with a token is %d", got)
	}
	return e, now
}

func nextBatch(t *testing.T, e *Entry, now time.Time) Batch {
	t.Helper()
	batches := e.Next(now)
	if len(batches) != 1 {
		t.Fatalf("%d requests are due, want 1", len(batches))
	}
	return batches[0]
}

// TestLostRequestRefusesNoCall guards against calls that are refused because a single
// message was lost: those that waited for it, and those that come before the next reply.
func TestLostRequestRefusesNoCall(t *testing.T) {
	e, now := newGrantedEntry(t, 40)
	for range 3 {
		if got := e.Take(now, "team").Verdict; got != VerdictWait {
			t.Fatalf("the verdict without a token is %d", got)
		}
	}
	batch := nextBatch(t, e, now)
	now = now.Add(MaxWait)
	e.Fail(now, "b", batch.Request.Sequence)
	// 0.8 x 40 a second, for the 100 ms since the request.
	for i := range 3 {
		if got := e.Resolve(now, "team").Verdict; got != VerdictSpend {
			t.Errorf("the verdict on waiting call %d is %d", i, got)
		}
	}
	if got := e.Take(now, "team").Verdict; got == VerdictRefuse {
		t.Error("a call was refused before the owner was asked again")
	}
	nextBatch(t, e, now)
}

// TestCallWaitsForTheNextRequest guards against calls that are refused although the owner is
// asked again within the time for which a call may wait.
func TestCallWaitsForTheNextRequest(t *testing.T) {
	e, now := newGrantedEntry(t, 0)
	e.Take(now, "team")
	for range 2 {
		batch := nextBatch(t, e, now)
		now = now.Add(MaxWait)
		e.Fail(now, "b", batch.Request.Sequence)
	}
	verdicts := map[Verdict]int{}
	for range 5 {
		verdicts[e.Take(now, "team").Verdict]++
	}
	if verdicts[VerdictRefuse] > 0 {
		t.Errorf("%d of 5 calls were refused, want them to wait", verdicts[VerdictRefuse])
	}
}

// TestCallThatWaitedSpendsAlone guards against a call that is refused at the end of its wait
// although the owner stated a rate for the time in which it does not reply.
func TestCallThatWaitedSpendsAlone(t *testing.T) {
	e, now := newGrantedEntry(t, 40)
	e.Take(now, "team")
	nextBatch(t, e, now)
	if got := e.Cancel(now.Add(MaxWait), "team").Verdict; got != VerdictSpend {
		t.Errorf("the verdict is %d", got)
	}
}

// TestOddReplyLeavesTheQuota guards against one reply with numbers that are too large that
// lets an entry spend without a bound, or blocks its team.
func TestOddReplyLeavesTheQuota(t *testing.T) {
	for name, odd := range map[string]TeamReply{
		"granted":  {Granted: math.MaxInt},
		"rate":     {Rate: math.MaxFloat64, TotalRate: math.MaxFloat64},
		"wait":     {Wait: math.MaxInt64},
		"negative": {Granted: math.MinInt, Rate: -math.MaxFloat64, TotalRate: -1, Wait: math.MinInt64},
	} {
		t.Run(name, func(t *testing.T) {
			e, now := newGrantedEntry(t, 0)
			e.Take(now, "team")
			batch := nextBatch(t, e, now)
			odd.Team, odd.IsOwner = "team", true
			e.Receive(now, "b", Reply{Sequence: batch.Request.Sequence, Teams: []TeamReply{odd}})
			spent, wasAsked := 0, false
			for range 200 {
				now = now.Add(10 * time.Millisecond)
				for range 10 {
					if e.Take(now, "team").Verdict == VerdictSpend {
						spent++
					}
				}
				for _, next := range e.Next(now) {
					wasAsked = true
					e.Receive(now, "b", Reply{Sequence: next.Request.Sequence, Teams: []TeamReply{{Team: "team", IsOwner: true}}})
				}
			}
			if spent > 300 || !wasAsked {
				t.Errorf("%d calls spent within 2 s of a quota of 100 a second, asked again: %v", spent, wasAsked)
			}
		})
	}
}
