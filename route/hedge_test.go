package route

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	hedgeModelShare = 0.1
	hedgeModelCalls = 10000
)

// hedgeEvent is a call that ends or has had no response for its delay.
type hedgeEvent struct {
	at, ends time.Time
	estimate HedgeEstimate
	duration time.Duration
	isEnd    bool
	isSecond bool
}

type hedgeEvents []hedgeEvent

func (e hedgeEvents) Len() int           { return len(e) }
func (e hedgeEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e hedgeEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *hedgeEvents) Push(x any)        { *e = append(*e, x.(hedgeEvent)) }
func (e *hedgeEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// runHedgeModel sends 100 calls per second whose usual duration is 80 to 120 ms times the
// factor, and returns the number of hedges in the second half and the denials.
func runHedgeModel(random *rand.Rand, share float64, factor func(n int) float64) (hedges int, denied map[HedgeDenial]int) {
	history, limit, budget := &HedgeHistory{}, NewHedgeLimit(share), NewBudget(0.2, 10)
	denied = make(map[HedgeDenial]int)
	var events hedgeEvents
	rule := &Rule{Route: hornbeamwell.Route{Idempotent: true, MaxAttempts: 3}}
	start := time.Unix(1000, 0)
	for n := range hedgeModelCalls {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		for len(events) > 0 && events[0].at.Before(now) {
			e, _ := heap.Pop(&events).(hedgeEvent)
			if e.isEnd {
				history.End(e.at, e.estimate, e.duration)
				continue
			}
			if !e.isSecond {
				history.Exceed()
			}
			denial := TakeHedge(HedgeQuery{
				Rule: rule, Sends: 1, HasTarget: true, Remaining: time.Minute, Estimate: e.estimate,
				IsSlow: history.IsSlow(e.estimate), SinceRefusal: math.MaxInt64, Limit: limit, Budget: budget,
			})
			if again := e.at.Add(e.estimate.Delay); denial != "" && !e.isSecond && e.ends.After(again) {
				heap.Push(&events, hedgeEvent{at: again, ends: e.ends, estimate: e.estimate, isSecond: true})
			}
			if n < hedgeModelCalls/2 {
				continue
			}
			denied[denial]++
			if denial == "" {
				hedges++
			}
		}
		limit.Deposit()
		budget.Deposit()
		estimate := history.Begin(now)
		duration := time.Duration(factor(n) * (80 + 40*random.Float64()) * float64(time.Millisecond))
		heap.Push(&events, hedgeEvent{at: now.Add(duration), estimate: estimate, duration: duration, isEnd: true})
		if estimate.Delay > 0 && duration > estimate.Delay {
			heap.Push(&events, hedgeEvent{at: now.Add(estimate.Delay), ends: now.Add(duration), estimate: estimate})
		}
	}
	return hedges, denied
}

// TestHedgeDecisions guards against copies that make an overload worse: when all calls
// become slow there must be none, and never more than the share of the calls. It also
// guards against a decision that never hedges the slow calls among usual ones.
func TestHedgeDecisions(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	half := hedgeModelCalls / 2
	someSlow := func(int) float64 {
		if random.Float64() < 0.03 {
			return 7
		}
		return 1
	}
	tests := []struct {
		name     string
		share    float64
		factor   func(n int) float64
		min, max int
		denial   HedgeDenial
	}{
		{"3 in 100 take seven times as long", hedgeModelShare, someSlow, half * 2 / 100, half * 6 / 100, ""},
		{"one target of ten at 2.5 x", hedgeModelShare, func(n int) float64 { return []float64{1, 2.5}[n%10/9] }, 1, half / 10, ""},
		{"all slow", hedgeModelShare, func(n int) float64 { return []float64{1, 4}[min(n/half, 1)] }, 0, 0, HedgeSlow},
		{"limit reached", 0.01, someSlow, half / 200, half/100 + maxHedgeTokens, HedgeLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hedges, denied := runHedgeModel(random, tt.share, tt.factor)
			t.Logf("%d hedges of %d calls, decisions %v", hedges, half, denied)
			if hedges < tt.min || hedges > tt.max {
				t.Errorf("%d hedges, want %d to %d", hedges, tt.min, tt.max)
			}
			if tt.denial != "" && denied[tt.denial] == 0 {
				t.Errorf("no call was denied because of %q", tt.denial)
			}
		})
	}
}

// TestHedgeDenials guards against a hedge that a condition forbids, and against one that
// takes the half of the retry budget that is kept for failures.
func TestHedgeDenials(t *testing.T) {
	full := func() *Budget { return NewBudget(0, 10) }
	allowed := func() HedgeQuery {
		return HedgeQuery{
			Rule: &Rule{Route: hornbeamwell.Route{Idempotent: true, MaxAttempts: 2}}, Sends: 1, HasTarget: true, Remaining: time.Second,
			Estimate: HedgeEstimate{Delay: time.Second / 10, Median: time.Second / 20}, SinceRefusal: time.Minute,
			Limit: full(), Budget: full(),
		}
	}
	tests := map[HedgeDenial]func(q *HedgeQuery){
		"":                 func(*HedgeQuery) {},
		HedgeOff:           func(q *HedgeQuery) { q.Limit = nil },
		HedgeNotIdempotent: func(q *HedgeQuery) { q.Rule = &Rule{Route: hornbeamwell.Route{MaxAttempts: 2}} },
		HedgeMoving:        func(q *HedgeQuery) { q.IsMoving = true },
		HedgeAttempts:      func(q *HedgeQuery) { q.Sends = 2 },
		HedgeTimeLeft:      func(q *HedgeQuery) { q.Remaining = time.Second / 30 },
		HedgeShortOfRoom:   func(q *HedgeQuery) { q.SinceRefusal = time.Second / 2 },
		HedgeSlow:          func(q *HedgeQuery) { q.IsSlow = true },
		HedgeNoTarget:      func(q *HedgeQuery) { q.HasTarget = false },
		HedgeLimit:         func(q *HedgeQuery) { q.Limit = NewHedgeLimit(0.5) },
		HedgeRetryBudget:   func(q *HedgeQuery) { q.Budget.tokens = 5 },
	}
	for want, change := range tests {
		q := allowed()
		change(&q)
		if got := TakeHedge(q); got != want {
			t.Errorf("denied because of %q, want %q", got, want)
		}
	}
	q := allowed()
	for TakeHedge(q) == "" {
	}
	if q.Budget.tokens != 5 {
		t.Errorf("%v of 10 retries are left, want 5", q.Budget.tokens)
	}
}
