package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// roomLoad is a load on two services. See testdata/room_returns.txtar.
type roomLoad struct {
	demand, room, sheds []roomStep
	// submissionRank is the rank of the calls at the second service that are not nested.
	// That of the others is 2.
	submissionRank    int
	during, after     [2]time.Duration
	least, thanBefore float64
}

type roomStep struct {
	value float64
	from  time.Duration
}

func stepAt(steps []roomStep, since time.Duration, value float64) float64 {
	for _, s := range steps {
		if since >= s.from {
			value = s.value
		}
	}
	return value
}

func parseRoomLoad(t *testing.T, text string) *roomLoad {
	t.Helper()
	l := &roomLoad{submissionRank: 1}
	number := func(text string) float64 {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	at := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		switch f[0] {
		case "demand":
			l.demand = append(l.demand, roomStep{number(f[1]), at(f[2])})
		case "room":
			l.room = append(l.room, roomStep{number(f[1]), at(f[2])})
		case "sheds":
			l.sheds = append(l.sheds, roomStep{number(f[1]), at(f[2])})
		case "submissions":
			l.submissionRank = int(number(f[2]))
		case "during":
			l.during = [2]time.Duration{at(f[1]), at(f[2])}
		case "after":
			l.after = [2]time.Duration{at(f[1]), at(f[2])}
		case "least":
			l.least = number(f[1])
		case "than":
			l.thanBefore = number(f[2])
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return l
}

// roomTarget is a target with its admission and the runs in vain that its proxy knows.
type roomTarget struct {
	admission *Admission
	shortage  NestedShortage
	isOuter   bool
}

// roomCall is a call from its first request to its end.
type roomCall struct {
	route               string
	rank                int
	work                time.Duration
	arrived             time.Time
	objective, deadline time.Duration
	value, lateValue    float64
	// nested counts the nested calls that are yet to be made. parent is nil for others.
	nested  int
	parent  *roomCall
	returns int
	tried   []*roomTarget
	at      *roomTarget
	waiter  *Waiter
	started time.Time
	failed  bool
}

type roomEvent struct {
	at time.Time
	do func()
}

// roomSimulation plays a roomLoad.
type roomSimulation struct {
	load         *roomLoad
	now, start   time.Time
	random       *rand.Rand
	outer, inner []*roomTarget
	waiting      []*roomCall
	events       []roomEvent
	// value and demanded are sums of the seconds of arrival.
	value, demanded [40]float64
	counts          map[string]int
}

func (s *roomSimulation) since() time.Duration { return s.now.Sub(s.start) }

func (s *roomSimulation) after(d time.Duration, do func()) {
	s.events = append(s.events, roomEvent{s.now.Add(d), do})
}

func (s *roomSimulation) count(c *roomCall, what string) {
	s.counts[fmt.Sprintf("%02d %s %s", int(s.since().Seconds())/2*2, c.route, what)]++
}

// request sends the call to the less loaded of two targets that were not tried.
func (s *roomSimulation) request(c *roomCall) {
	targets := s.inner
	if c.route == "lookup" {
		targets = s.outer
	}
	var free []*roomTarget
	for _, target := range targets {
		if !slices.Contains(c.tried, target) {
			free = append(free, target)
		}
	}
	s.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	c.at = slices.MinFunc(free[:min(len(free), 2)], func(x, y *roomTarget) int {
		return cmp.Compare(x.admission.Load(), y.admission.Load())
	})
	c.tried = append(c.tried, c.at)
	if c.route == "lookup" {
		share := c.at.shortage.Share(s.now, c.route)
		if !c.at.shortage.Admits(share, s.random) {
			s.count(c, "nested_refused")
			s.refused(c, c.at.shortage.RetryAfter(share))
			return
		}
	}
	c.waiter = &Waiter{
		Caller: fmt.Sprint(s.random.IntN(20)), Route: c.route, Rank: c.rank, Decided: make(chan Verdict, 1),
		Objective: c.arrived.Add(c.objective), Deadline: c.arrived.Add(c.deadline),
	}
	switch verdict := c.at.admission.Offer(s.now, c.waiter); verdict {
	case VerdictAdmit:
		s.run(c)
	case VerdictWait:
		s.waiting = append(s.waiting, c)
	default:
		s.count(c, fmt.Sprint("verdict ", verdict))
		s.refusedAtTarget(c)
	}
}

// refusedAtTarget sends the call to another target if one is left.
func (s *roomSimulation) refusedAtTarget(c *roomCall) {
	retryAfter := max(c.at.admission.RetryAfter(), 20*time.Millisecond)
	targets := len(s.inner)
	if c.route == "lookup" {
		targets = len(s.outer)
	}
	if len(c.tried) < targets {
		s.request(c)
		return
	}
	s.count(c, "refused")
	s.refused(c, retryAfter)
}

// refused lets the caller come back after the delay, up to twice.
func (s *roomSimulation) refused(c *roomCall, retryAfter time.Duration) {
	left := c.arrived.Add(c.deadline).Sub(s.now)
	if c.returns < 2 && retryAfter <= left/3 {
		c.returns++
		c.tried = nil
		s.after(retryAfter, func() { s.request(c) })
		return
	}
	c.failed = true
	s.end(c)
}

func (s *roomSimulation) run(c *roomCall) {
	c.started = s.now
	share := stepAt(s.load.sheds, s.since(), 0)
	if !c.at.isOuter && s.random.Float64() < share {
		s.after(2*time.Millisecond, func() {
			c.at.admission.Done(s.now, c.waiter, s.now.Sub(c.started), true)
			s.refusedAtTarget(c)
		})
		return
	}
	work := time.Duration(float64(c.work) * (0.7 + 0.6*s.random.Float64()))
	if s.random.IntN(30) == 0 {
		work *= 7
	}
	s.after(work, func() { s.nest(c) })
}

// nest makes the next nested call, or ends the run.
func (s *roomSimulation) nest(c *roomCall) {
	if c.nested > 0 && !c.failed {
		c.nested--
		s.request(&roomCall{
			route: "verify", rank: c.rank, work: 71 * time.Millisecond, arrived: s.now, parent: c,
			objective: 400 * time.Millisecond, deadline: min(800*time.Millisecond, c.arrived.Add(c.deadline).Sub(s.now)),
		})
		return
	}
	c.at.admission.Done(s.now, c.waiter, s.now.Sub(c.started), false)
	if c.route == "lookup" {
		c.at.shortage.Record(s.now, c.route, c.failed)
	}
	what := "ran"
	if c.failed {
		what = "in_vain"
	}
	if c.parent == nil && s.now.Sub(c.arrived) > c.objective && !c.failed {
		what = "ran_late"
	}
	s.count(c, what)
	s.end(c)
}

func (s *roomSimulation) end(c *roomCall) {
	if c.parent != nil {
		c.parent.failed = c.failed
		s.nest(c.parent)
		return
	}
	second := int(c.arrived.Sub(s.start).Seconds())
	s.demanded[second] += c.value
	switch took := s.now.Sub(c.arrived); {
	case c.failed || took > c.deadline:
	case took > c.objective:
		s.value[second] += c.lateValue
	default:
		s.value[second] += c.value
	}
}

func (s *roomSimulation) step() {
	s.now = s.now.Add(time.Millisecond)
	for _, target := range s.inner {
		if slots := int(stepAt(s.load.room, s.since(), 18)); target.admission.Limit.Slots() != slots {
			target.admission.Limit.SetSlots(slots)
		}
	}
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at.After(s.now) {
			s.events = append(s.events, e)
		} else {
			e.do()
		}
	}
	waiting := s.waiting
	s.waiting = nil
	for _, c := range waiting {
		select {
		case verdict := <-c.waiter.Decided:
			if verdict == VerdictAdmit {
				s.run(c)
			} else {
				s.count(c, fmt.Sprint("queued verdict ", verdict))
				s.refusedAtTarget(c)
			}
		default:
			s.waiting = append(s.waiting, c)
		}
	}
}

// roomTail is the time after the last interval in which its calls end, the longest deadline.
const roomTail = 6 * time.Second

func (l *roomLoad) run(seed uint64, relatesSheds bool) *roomSimulation {
	s := &roomSimulation{
		load: l, start: time.Unix(1000, 0), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{},
	}
	newTarget := func(isOuter bool) *roomTarget {
		a := NewAdmission(18)
		a.OrdersByObjective, a.RelatesSheds = true, relatesSheds
		return &roomTarget{admission: a, isOuter: isOuter}
	}
	for range 3 {
		s.outer = append(s.outer, newTarget(true))
	}
	for range 2 {
		s.inner = append(s.inner, newTarget(false))
	}
	arrivals := rand.New(rand.NewPCG(seed, 2))
	for s.since() < l.after[1]+roomTail {
		s.step()
		if s.since() > l.after[1] {
			continue
		}
		demand := stepAt(l.demand, s.since(), 1) * time.Millisecond.Seconds()
		if arrivals.Float64() < demand*819*3/27 {
			c := &roomCall{
				route: "lookup", rank: 2, work: 240 * time.Millisecond, arrived: s.now, objective: 800 * time.Millisecond,
				deadline: 5 * time.Second, value: 1, lateValue: 0.3, nested: 1,
			}
			if arrivals.Float64() < 0.4 {
				c.nested = 2
			}
			s.request(c)
		}
		if arrivals.Float64() < demand*334*2/19 {
			s.request(&roomCall{
				route: "submission", rank: l.submissionRank, work: 310 * time.Millisecond, arrived: s.now, objective: time.Second,
				deadline: 6 * time.Second, value: 2, lateValue: 0.6,
			})
		}
	}
	return s
}

// share returns the value of the calls that arrived in the interval relative to that of
// all of them.
func (s *roomSimulation) share(interval [2]time.Duration) float64 {
	value, demanded := 0.0, 0.0
	for second := int(interval[0].Seconds()); second < int(interval[1].Seconds()); second++ {
		value += s.value[second]
		demanded += s.demanded[second]
	}
	return value / demanded
}

// roomSeeds is the number of seeds of which the shares are means.
const roomSeeds = 4

// roomShares are shares of the value in the seconds of a disturbance and after it.
type roomShares struct{ during, after float64 }

func (l *roomLoad) total(relatesSheds bool) roomShares {
	var sum roomShares
	for seed := range uint64(roomSeeds) {
		s := l.run(seed, relatesSheds)
		sum.during += s.share(l.during) / roomSeeds
		sum.after += s.share(l.after) / roomSeeds
	}
	return sum
}

// TestRoomReturns plays two services of which one makes nested calls to the other, with
// and without a disturbance, and beside limits that every shed reduces. It guards against
// decisions that keep a shortage alive after the room is back.
func TestRoomReturns(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/room_returns.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			skipWithRaceDetector(t)
			l := parseRoomLoad(t, string(file.Data))
			undisturbed := *l
			undisturbed.room, undisturbed.sheds = nil, nil
			present, without := l.total(true), undisturbed.total(true)
			t.Logf("share of the value during and after the disturbance: %.3f, without one %.3f", present, without)
			if present.after < l.least*without.after {
				t.Errorf("the share of the value is %.3f after the disturbance, %.3f without one", present.after, without.after)
			}
			if len(l.sheds) == 0 {
				return
			}
			former := l.total(false)
			t.Logf("with limits that every shed reduces: %.3f", former)
			if present.during < l.thanBefore*former.during || present.after < former.after {
				t.Error("hardly better than with limits that every shed reduces")
			}
		})
	}
}
