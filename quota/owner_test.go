package quota

import (
	"math"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// ownerCourse asks an owner of one team. The time starts at 1000 s.
type ownerCourse struct {
	owner    *Owner
	now      time.Time
	sequence uint64
}

func newOwnerCourse(quota hornbeamwell.Quota) *ownerCourse {
	c := &ownerCourse{owner: NewOwner("self", DefaultBounds()), now: time.Unix(1000, 0)}
	c.owner.Update(c.now, map[string]hornbeamwell.Quota{"team": quota})
	return c
}

// ask sends a request after the time. The entry took the reply to its last request.
func (c *ownerCourse) ask(after time.Duration, entry string, r TeamRequest) TeamReply {
	c.now = c.now.Add(after)
	c.sequence++
	r.Team = "team"
	return c.owner.Serve(c.now, Request{Entry: entry, Sequence: c.sequence, Acknowledged: c.sequence, Teams: []TeamRequest{r}}).Teams[0]
}

// TestNewOwnerSavesNothingUp guards against a team that gets its burst twice within a
// window: from the last owner, and from the new one that saved it up while it settled.
func TestNewOwnerSavesNothingUp(t *testing.T) {
	quota := hornbeamwell.Quota{PerSecond: 320, Burst: 200}
	c := newOwnerCourse(quota)
	reply := c.ask(settleTime, "a", TeamRequest{Want: 1000})
	if most := DefaultBounds().excess(quota) / 8; float64(reply.Granted) > most {
		t.Errorf("%d tokens granted at the end of the settling time, want at most %.1f", reply.Granted, most)
	}
}

// TestNewOwnerLeavesRatesOfAbsentEntries guards against a new owner that grants what entries
// that did not come yet spend alone at the rates of the last owner.
func TestNewOwnerLeavesRatesOfAbsentEntries(t *testing.T) {
	quota := hornbeamwell.Quota{PerSecond: 100, Burst: 200}
	c := newOwnerCourse(quota)
	granted := 0
	for c.now.Before(time.Unix(1000, 0).Add(aloneTime)) {
		granted += c.ask(10*time.Millisecond, "a", TeamRequest{Want: 10, Recent: 20, RecentTotal: 80}).Granted
	}
	// While it settles, the rate of the entry that came; then what the others do not have.
	most := 20*settleTime.Seconds() + 40*(aloneTime-settleTime).Seconds() + DefaultBounds().excess(quota)/8
	if float64(granted) > most || float64(granted) < 0.9*most {
		t.Errorf("%d tokens granted within 3 s, want %.0f at most and nearly that", granted, most)
	}
}

// TestOwnerSetsStatedRatesAside guards against tokens that the owner grants to one entry
// while another one spends them alone, before its silence is noticed.
func TestOwnerSetsStatedRatesAside(t *testing.T) {
	c := newOwnerCourse(hornbeamwell.Quota{PerSecond: 100, Burst: 100})
	c.ask(4*time.Second, "a", TeamRequest{Want: 80})
	rate := c.ask(time.Second, "a", TeamRequest{Want: 1}).Rate
	if rate < 20 {
		t.Fatalf("the owner stated a rate of %.1f, want at least 20", rate)
	}
	reply := c.ask(500*time.Millisecond, "b", TeamRequest{Want: 1000})
	if most := 100 - rate/2; float64(reply.Granted) > most {
		t.Errorf("%d tokens granted while an entry with a rate of %.1f was silent for 0.5 s, want at most %.1f", reply.Granted, rate, most)
	}
}

// TestStatedRatesStayWithinTheQuota guards against entries that together may spend more than
// the quota alone, since their rates include a burst.
func TestStatedRatesStayWithinTheQuota(t *testing.T) {
	c := newOwnerCourse(hornbeamwell.Quota{PerSecond: 100, Burst: 300})
	rates := map[string]float64{}
	c.now = c.now.Add(10 * time.Second)
	for range 200 {
		for _, entry := range []string{"a", "b", "c"} {
			reply := c.ask(5*time.Millisecond, entry, TeamRequest{Want: 20})
			rates[entry] = reply.Rate
			if sum := rates["a"] + rates["b"] + rates["c"]; sum > 100.001 {
				t.Fatalf("the stated rates add up to %.1f, want at most 100", sum)
			}
		}
	}
}

// TestOddRequestLeavesTheQuota guards against one request with numbers that are too large
// that lets a team spend more than its quota, or nothing for long.
func TestOddRequestLeavesTheQuota(t *testing.T) {
	quota := hornbeamwell.Quota{PerSecond: 100, Burst: 100}
	for name, odd := range map[string]TeamRequest{
		"want":         {Want: math.MaxInt},
		"returned":     {Returned: math.MaxInt},
		"spent":        {SpentAlone: math.MaxInt},
		"spent 1e9":    {SpentAlone: 1e9},
		"negative":     {Want: math.MinInt, Returned: math.MinInt, SpentAlone: math.MinInt, Kept: -1e308, Recent: -1e308, RecentTotal: -1e308},
		"kept":         {Kept: math.MaxFloat64},
		"recent":       {Recent: math.MaxFloat64, RecentTotal: math.MaxFloat64},
		"kept, recent": {Want: 1, Kept: math.MaxFloat64, Recent: math.MaxFloat64},
	} {
		t.Run(name, func(t *testing.T) {
			c := newOwnerCourse(quota)
			c.ask(5*time.Second, "a", TeamRequest{Want: 10})
			c.ask(time.Second, "odd", odd)
			start, granted := c.now, 0
			for c.now.Before(start.Add(20 * time.Second)) {
				granted += c.ask(20*time.Millisecond, "a", TeamRequest{Want: 10}).Granted
			}
			if granted < 1000 || granted > 2200 {
				t.Errorf("%d tokens within 20 s after the request, want about 2000", granted)
			}
		})
	}
}
