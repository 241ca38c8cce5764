package quota

import (
	"math"
	"math/rand/v2"
	"slices"
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

// TestOwnerCutOffWithItsZone guards against an owner that grants tokens to the entries in its
// zone while the others, which it no longer reaches, have another owner.
func TestOwnerCutOffWithItsZone(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEntry("a-1", DefaultBounds(), rand.New(rand.NewPCG(1, 0)))
	ring := &Ring{}
	ring.SetMembers([]string{"a", "b", "c", "d", "e"})
	name := "0"
	for i := 1; ring.Owner(name) != "a"; i++ {
		name = string(rune('0' + i))
	}
	quotas := map[string]hornbeamwell.Quota{name: quotaFor(100)}
	e.Update(now, quotas, ring, "a")
	for _, test := range []struct {
		reached  []string
		isCutOff bool
	}{
		{[]string{"b", "c", "d"}, false},
		{[]string{"b"}, true},
		{[]string{"b", "c"}, false},
	} {
		e.SetListed(now)
		for range 3 {
			now = now.Add(probeInterval)
			for _, batch := range e.Next(now) {
				o := NewOwner(batch.Owner+"-1", DefaultBounds())
				if slices.Contains(test.reached, batch.Owner) {
					e.Receive(now, batch.Owner, o.Serve(now, batch.Request))
				}
			}
		}
		if got := e.IsCutOff(now); got != test.isCutOff {
			t.Errorf("with %s reached of b to e the owner is cut off: %v, want %v", test.reached, got, test.isCutOff)
		}
	}
	o := NewOwner("a-1", DefaultBounds())
	o.Update(now, quotas)
	serve := func(sequence uint64) TeamReply {
		return o.Serve(now, Request{Entry: "b-1", Sequence: sequence, Teams: []TeamRequest{{Team: name, Want: 1, Recent: 50}}}).Teams[0]
	}
	serve(1)
	o.SetCutOff(now, true)
	now = now.Add(5 * time.Second)
	if got := serve(2); got.IsOwner || got.Granted > 0 || !got.IsCutOff {
		t.Errorf("the owner that was cut off replied %+v", got)
	}
	o.SetCutOff(now, false)
	if got := serve(3); !got.IsOwner || float64(got.Granted) > DefaultBounds().excess(quotas[name])/8 {
		t.Errorf("the owner that starts anew replied %+v", got)
	}
}

// TestEntryOfACutOffOwnerSpendsTheReserve guards against entries that go on spending at a rate
// that the next owner grants to others.
func TestEntryOfACutOffOwnerSpendsTheReserve(t *testing.T) {
	e, now := newGrantedEntry(t, 100)
	now = now.Add(keepAliveInterval)
	batch := nextBatch(t, e, now)
	e.Receive(now, "b", Reply{Sequence: batch.Request.Sequence, Teams: []TeamReply{{Team: "team", IsCutOff: true}}})
	spent := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		if e.Take(now, "team").Verdict == VerdictSpend {
			spent++
		}
	}
	if most := 2*DefaultBounds().reserveRate(quotaFor(100), 1) + 1; spent == 0 || float64(spent) > most {
		t.Errorf("%d calls spent within 2 s, want some and at most %.1f", spent, most)
	}
}
